//! The subcommands and their output.

use crate::apply;
use crate::configuration_commands::{DiffOptions, KnownOptions, run_check, run_diff};
use crate::error::OperatorError;
use crate::files::CheckedFiles;
use crate::front_configuration::{ConfigurationFormat, ReportLine, front_document};
use crate::remote::RemoteAccess;
use crate::status;
use crate::trace;
use async_io::block_on;
use camphorway_model::Generation;
use clap::{Args, Parser, Subcommand};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Operates the query tier.
#[derive(Debug, Parser)]
#[command(name = "camphorway", version)]
struct OperatorCommand {
    /// Print JSON.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    action: OperatorAction,
}

/// Access to the platform's store.
#[derive(Args, Debug)]
struct StoreOptions {
    /// The store's address.
    #[arg(long)]
    store: SocketAddr,
    /// File that contains the access token.
    #[arg(long)]
    token_file: Option<PathBuf>,
}

/// The subcommands.
#[derive(Debug, Subcommand)]
enum OperatorAction {
    /// Check inventory and rules, or a configuration of fronts, before they are sent.
    Check {
        /// For configurations of fronts.
        #[command(flatten)]
        known: KnownOptions,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show how files differ from the configuration in the store.
    Diff {
        /// The store's address and token, or another file.
        #[command(flatten)]
        options: DiffOptions,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Write files to the store and wait until they are in force.
    Apply {
        /// The store's address and token.
        #[command(flatten)]
        store: StoreOptions,
        /// Admin addresses of the daemons to wait for.
        #[arg(long, value_delimiter = ',')]
        admin: Vec<SocketAddr>,
        /// The generation on which the change is based.
        #[arg(long)]
        from: Option<u64>,
        /// How long to wait for the daemons, in seconds.
        #[arg(long, default_value_t = 10)]
        wait: u64,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show each daemon's generation, members and invariant violations.
    Status {
        /// Admin addresses of the daemons.
        #[arg(long, value_delimiter = ',', required = true)]
        admin: Vec<SocketAddr>,
    },
    /// Show a daemon's whole state as JSON.
    Dump {
        /// The daemon's admin address.
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Show where a request would be sent, with which rank, and why.
    Explain {
        /// The daemon's admin address.
        #[arg(long)]
        admin: SocketAddr,
        /// The requested service.
        #[arg(long)]
        service: String,
        /// The caller.
        #[arg(long, default_value = "")]
        caller: String,
        /// The kind of request.
        #[arg(long)]
        kind: Option<String>,
    },
    /// Show all log lines of a request, from the log files of all processes.
    Story {
        /// The request's id.
        #[arg(long)]
        request: String,
        /// The log files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// The output of a subcommand, as text and as JSON.
#[derive(Clone, Debug)]
pub struct CommandOutput {
    /// The text.
    pub text: String,
    /// The JSON document.
    pub json: Value,
}

/// Parses the command line and runs the subcommand. `format` reads configurations of fronts.
pub fn main<Format>(format: &Format) -> ExitCode
where
    Format: ConfigurationFormat,
{
    let command = OperatorCommand::parse();
    match block_on(run(&command.action, format)) {
        Ok(output) => {
            if command.json {
                println!("{}", output.json);
            } else {
                println!("{}", output.text.trim_end());
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            if command.json {
                let mut body =
                    json!({ "problem": error.to_string(), "exit-code": error.exit_code() });
                if let OperatorError::Unfit(lines) = &error {
                    body["findings"] = lines.iter().map(ReportLine::to_json).collect();
                }
                println!("{body}");
            } else {
                eprintln!("{error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run<Format>(
    action: &OperatorAction,
    format: &Format,
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    match action {
        OperatorAction::Check { known, files } => run_check(format, known, files).await,
        OperatorAction::Diff { options, files } => run_diff(format, options, files).await,
        OperatorAction::Apply {
            store,
            admin,
            from,
            wait,
            files,
        } => {
            let timeout = Duration::from_secs(*wait);
            run_apply(store, admin, from.map(Generation), timeout, files).await
        }
        OperatorAction::Status { admin } => {
            let access = RemoteAccess::start()?;
            let statuses = status::poll_daemons(&access, admin).await;
            let lines: Vec<Value> = statuses.iter().map(status::DaemonStatus::to_json).collect();
            Ok(CommandOutput {
                text: status::format_table(&statuses),
                json: json!(lines),
            })
        }
        OperatorAction::Story { request, files } => trace_request(request, files),
        OperatorAction::Dump { admin } => show(*admin, "/state").await,
        OperatorAction::Explain {
            admin,
            service,
            caller,
            kind,
        } => {
            let mut path = format!("/explain?service={service}&caller={caller}");
            if let Some(kind) = kind {
                path.push_str("&kind=");
                path.push_str(kind);
            }
            show(*admin, &path).await
        }
    }
}

fn trace_request(request: &str, files: &[PathBuf]) -> Result<CommandOutput, OperatorError> {
    let lines = trace::read(files, request)?;
    let text = if lines.is_empty() {
        format!("no log line mentions request {request}")
    } else {
        trace::to_text(&lines)
    };
    Ok(CommandOutput {
        text,
        json: trace::to_json(&lines),
    })
}

async fn run_apply(
    options: &StoreOptions,
    admins: &[SocketAddr],
    base: Option<Generation>,
    timeout: Duration,
    files: &[PathBuf],
) -> Result<CommandOutput, OperatorError> {
    if front_document(files)?.is_some() {
        return Err(OperatorError::Options(
            "apply writes inventory and rules; a configuration of fronts is written to their store",
        ));
    }
    let checked = CheckedFiles::read(files)?;
    let access = RemoteAccess::start()?;
    let store = access.store(options.store, options.token_file.clone())?;
    let daemons = status::poll_daemons(&access, admins).await;
    let generation = apply::publish(&access, &store, &checked, base, &daemons).await?;
    let domains = status::wait_until_in_force(&access, admins, generation, timeout).await?;
    let text = if admins.is_empty() {
        format!("generation {generation} accepted; no daemon was asked whether it is in force")
    } else {
        let lines = domains.join("\n");
        format!("generation {generation} accepted and in force\n{lines}")
    };
    Ok(CommandOutput {
        text,
        json: json!({ "generation": generation, "in-force": domains }),
    })
}

async fn show(admin: SocketAddr, path: &str) -> Result<CommandOutput, OperatorError> {
    let access = RemoteAccess::start()?;
    let state = access.read_json(admin, path).await?;
    let text = serde_json::to_string_pretty(&state).unwrap_or_default();
    Ok(CommandOutput { text, json: state })
}

//! The command line itself.

use crate::apply;
use crate::error::OperatorError;
use crate::files::CheckedFiles;
use crate::remote::RemoteAccess;
use crate::status;
use crate::story;
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

/// Where the platform's store is.
#[derive(Args, Debug)]
struct StoreOptions {
    /// The store's address.
    #[arg(long)]
    store: SocketAddr,
    /// File that holds the access token.
    #[arg(long)]
    token_file: Option<PathBuf>,
}

/// What to do.
#[derive(Debug, Subcommand)]
enum OperatorAction {
    /// Check inventory and rules, offline.
    Check {
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show how files differ from what is in the store.
    Diff {
        /// Where the store is.
        #[command(flatten)]
        store: StoreOptions,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Put files in force.
    Apply {
        /// Where the store is.
        #[command(flatten)]
        store: StoreOptions,
        /// Admin addresses of the daemons to wait for.
        #[arg(long, value_delimiter = ',')]
        admin: Vec<SocketAddr>,
        /// The generation that the change was made from.
        #[arg(long)]
        from: Option<u64>,
        /// How long to wait for the daemons, in seconds.
        #[arg(long, default_value_t = 10)]
        wait: u64,
        /// The files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Show each daemon's generation, members and breaches.
    Status {
        /// Admin addresses of the daemons.
        #[arg(long, value_delimiter = ',', required = true)]
        admin: Vec<SocketAddr>,
    },
    /// Show all that a daemon believes, as JSON.
    Dump {
        /// The daemon's admin address.
        #[arg(long)]
        admin: SocketAddr,
    },
    /// Show where a request would go, with what rank, and why.
    Explain {
        /// The admin address of the daemon to ask.
        #[arg(long)]
        admin: SocketAddr,
        /// The service asked.
        #[arg(long)]
        service: String,
        /// Who asks.
        #[arg(long, default_value = "")]
        caller: String,
        /// The kind of work.
        #[arg(long)]
        kind: Option<String>,
    },
    /// Tell a request's story from log files of all processes.
    Story {
        /// The request's id.
        #[arg(long)]
        request: String,
        /// The log files.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// What a command prints: for people, and as JSON.
struct Printed {
    text: String,
    json: Value,
}

/// Reads the command line and does what it says.
pub fn main() -> ExitCode {
    let command = OperatorCommand::parse();
    match block_on(run(&command.action)) {
        Ok(printed) => {
            if command.json {
                println!("{}", printed.json);
            } else {
                println!("{}", printed.text.trim_end());
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            if command.json {
                let body = json!({ "problem": error.to_string(), "exit-code": error.exit_code() });
                println!("{body}");
            } else {
                eprintln!("{error}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(action: &OperatorAction) -> Result<Printed, OperatorError> {
    match action {
        OperatorAction::Check { files } => check(files),
        OperatorAction::Diff { store, files } => diff(store, files).await,
        OperatorAction::Apply {
            store,
            admin,
            from,
            wait,
            files,
        } => {
            let wait = Duration::from_secs(*wait);
            run_apply(store, admin, from.map(Generation), wait, files).await
        }
        OperatorAction::Status { admin } => {
            let access = RemoteAccess::start()?;
            let all = status::ask_all(&access, admin).await;
            let lines: Vec<Value> = all.iter().map(status::DaemonStatus::to_json).collect();
            Ok(Printed {
                text: status::table(&all),
                json: json!(lines),
            })
        }
        OperatorAction::Story { request, files } => tell_story(request, files),
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

fn tell_story(request: &str, files: &[PathBuf]) -> Result<Printed, OperatorError> {
    let lines = story::read(files, request)?;
    let text = if lines.is_empty() {
        format!("no line names request {request}")
    } else {
        story::to_text(&lines)
    };
    Ok(Printed {
        text,
        json: story::to_json(&lines),
    })
}

fn check(files: &[PathBuf]) -> Result<Printed, OperatorError> {
    let checked = CheckedFiles::read(files)?;
    let [services, servers, rules] = checked.counts;
    Ok(Printed {
        text: format!("valid: {services} services, {servers} servers, {rules} rules"),
        json: json!({ "valid": true, "services": services, "servers": servers, "rules": rules }),
    })
}

async fn diff(options: &StoreOptions, files: &[PathBuf]) -> Result<Printed, OperatorError> {
    let checked = CheckedFiles::read(files)?;
    let access = RemoteAccess::start()?;
    let store = access.store(options.store, options.token_file.clone())?;
    let stored = apply::read_head(&store)
        .await
        .map_err(OperatorError::Store)?;
    let changes = apply::changes(&store, &checked, &stored.head)
        .await
        .map_err(OperatorError::Store)?;
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let generation = stored.head.generation;
    let text = if lines.is_empty() {
        format!("no difference from generation {generation}")
    } else {
        format!("from generation {generation}:\n{}", lines.join("\n"))
    };
    Ok(Printed {
        text,
        json: json!({ "generation": generation, "changes": lines }),
    })
}

async fn run_apply(
    options: &StoreOptions,
    admins: &[SocketAddr],
    from: Option<Generation>,
    wait: Duration,
    files: &[PathBuf],
) -> Result<Printed, OperatorError> {
    let checked = CheckedFiles::read(files)?;
    let access = RemoteAccess::start()?;
    let store = access.store(options.store, options.token_file.clone())?;
    let generation = apply::accept(&access, &store, &checked, from).await?;
    let domains = status::wait_everywhere(&access, admins, generation, wait).await?;
    let text = if admins.is_empty() {
        format!("generation {generation} accepted; no daemon was asked whether it is in force")
    } else {
        let lines = domains.join("\n");
        format!("generation {generation} accepted and in force\n{lines}")
    };
    Ok(Printed {
        text,
        json: json!({ "generation": generation, "in-force": domains }),
    })
}

async fn show(admin: SocketAddr, path: &str) -> Result<Printed, OperatorError> {
    let access = RemoteAccess::start()?;
    let state = access.read(admin, path).await?;
    let text = serde_json::to_string_pretty(&state).unwrap_or_default();
    Ok(Printed { text, json: state })
}

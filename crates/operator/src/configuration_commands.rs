//! `check` and `diff`: which kind of files they are given, and inventory and rules.

use crate::apply;
use crate::command::CommandOutput;
use crate::error::OperatorError;
use crate::files::CheckedFiles;
use crate::front_check::{self, KnownSources};
use crate::front_configuration::{ConfigurationFormat, front_document};
use crate::remote::RemoteAccess;
use clap::Args;
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where servers and their regions are known from.
#[derive(Args, Debug)]
pub(crate) struct KnownOptions {
    /// The address of the fronts' store, whose servers a configuration of fronts is checked
    /// against.
    #[arg(long)]
    store: Option<SocketAddr>,
    /// File with a list of servers, as the fronts' store answers it.
    #[arg(long, conflicts_with = "store")]
    servers: Option<PathBuf>,
    /// File with a section `[regions]`, such as a front's settings.
    #[arg(long)]
    regions: Option<PathBuf>,
}

/// What files are compared with.
#[derive(Args, Debug)]
pub(crate) struct DiffOptions {
    /// The store's address.
    #[arg(long, required_unless_present = "against")]
    store: Option<SocketAddr>,
    /// File that contains the access token.
    #[arg(long)]
    token_file: Option<PathBuf>,
    /// File with a configuration of fronts, in place of the store.
    #[arg(long, conflicts_with = "store")]
    against: Option<PathBuf>,
}

/// Checks files.
pub(crate) async fn run_check<Format>(
    format: &Format,
    known: &KnownOptions,
    files: &[PathBuf],
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    let sources = KnownSources {
        store: known.store,
        servers: known.servers.as_deref(),
        regions: known.regions.as_deref(),
    };
    match front_document(files)? {
        Some(document) => front_check::check(format, &document, &sources).await,
        None if sources == KnownSources::default() => check(files),
        None => Err(OperatorError::Options(
            "inventory and rules are checked without --store, --servers and --regions",
        )),
    }
}

/// Compares files.
pub(crate) async fn run_diff<Format>(
    format: &Format,
    options: &DiffOptions,
    files: &[PathBuf],
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    let document = front_document(files)?;
    match (document, options.store, &options.against) {
        (Some(document), _, Some(against)) => front_check::diff_files(format, against, &document),
        (Some(_), Some(_), None) if options.token_file.is_some() => {
            Err(OperatorError::Options("the store of fronts takes no token"))
        }
        (Some(document), Some(store), None) => {
            front_check::diff_store(format, store, &document).await
        }
        (None, Some(store), None) => diff(store, options.token_file.clone(), files).await,
        (_, None, None) | (None, _, Some(_)) => Err(OperatorError::Options(
            "inventory and rules are compared with --store",
        )),
    }
}

/// Checks inventory and rules.
fn check(files: &[PathBuf]) -> Result<CommandOutput, OperatorError> {
    let checked = CheckedFiles::read(files)?;
    let [services, servers, rules] = checked.counts;
    Ok(CommandOutput {
        text: format!("valid: {services} services, {servers} servers, {rules} rules"),
        json: json!({ "valid": true, "services": services, "servers": servers, "rules": rules }),
    })
}

/// Compares inventory and rules with the store's.
async fn diff(
    address: SocketAddr,
    token_file: Option<PathBuf>,
    files: &[PathBuf],
) -> Result<CommandOutput, OperatorError> {
    let checked = CheckedFiles::read(files)?;
    let access = RemoteAccess::start()?;
    let store = access.store(address, token_file)?;
    let stored = apply::read_head(&store)
        .await
        .map_err(OperatorError::Store)?;
    let changes = apply::changes_from_store(&store, &checked, &stored.head)
        .await
        .map_err(OperatorError::Store)?;
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    let generation = stored.head.generation;
    let text = if lines.is_empty() {
        format!("no difference from generation {generation}")
    } else {
        format!("from generation {generation}:\n{}", lines.join("\n"))
    };
    Ok(CommandOutput {
        text,
        json: json!({ "generation": generation, "changes": lines }),
    })
}

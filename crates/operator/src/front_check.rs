//! `check` and `diff` of configurations of fronts.

use crate::command::CommandOutput;
use crate::error::OperatorError;
use crate::front_configuration::{ConfigurationFormat, ReportLine, read_file};
use crate::remote::RemoteAccess;
use camphorway_model::ini;
use camphorway_model::{ConfigurationDraft, FailureDomain, ServerRecord};
use camphorway_policy::{
    CheckFinding, FindingSeverity, KnownDeployment, ServingPlaces, changes_between,
    check_configuration,
};
use serde_json::{Value, json};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

const REGIONS_SECTION: &str = "regions";

/// Where servers and regions are known from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownSources<'options> {
    /// The store of fronts.
    pub store: Option<SocketAddr>,
    /// A file with the store's list of servers.
    pub servers: Option<&'options Path>,
    /// A file that names the region of each failure domain.
    pub regions: Option<&'options Path>,
}

/// Checks a configuration.
///
/// # Errors
/// Returns all findings if there is an error among them, or the source that can't be read.
pub async fn check<Format>(
    format: &Format,
    document: &[u8],
    sources: &KnownSources<'_>,
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    let draft = format.read(document).map_err(OperatorError::Unfit)?;
    let servers = known_servers(format, sources).await?;
    let places = sources.regions.map(read_places).transpose()?;
    let known = KnownDeployment {
        servers: servers.as_deref(),
        places: places.as_ref(),
    };
    let findings = check_configuration(&draft, &known);
    let lines: Vec<ReportLine> = findings
        .iter()
        .map(|finding| report_line(format, finding))
        .collect();
    let is_error = |line: &ReportLine| line.severity == FindingSeverity::Error;
    if lines.iter().any(is_error) {
        return Err(OperatorError::Unfit(lines));
    }
    Ok(valid_output(&draft, &lines))
}

/// Compares a configuration with the one in the store.
///
/// # Errors
/// Returns the faults of the configuration, or why the store's can't be read.
pub async fn diff_store<Format>(
    format: &Format,
    store: SocketAddr,
    document: &[u8],
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    let after = format.read(document).map_err(OperatorError::Unfit)?;
    let access = RemoteAccess::start()?;
    let before = format.stored_configuration(&access, store).await;
    let before = before.map_err(OperatorError::FrontStore)?;
    Ok(diff_output(&before.unwrap_or_default(), &after))
}

/// Compares a configuration with that of the file `against`.
///
/// # Errors
/// Returns the faults of either, or that the file can't be read.
pub fn diff_files<Format>(
    format: &Format,
    against: &Path,
    document: &[u8],
) -> Result<CommandOutput, OperatorError>
where
    Format: ConfigurationFormat,
{
    let after = format.read(document).map_err(OperatorError::Unfit)?;
    let before = format.read(&read_file(against)?);
    let before = before.map_err(OperatorError::Unfit)?;
    Ok(diff_output(&before, &after))
}

async fn known_servers<Format>(
    format: &Format,
    sources: &KnownSources<'_>,
) -> Result<Option<Vec<ServerRecord>>, OperatorError>
where
    Format: ConfigurationFormat,
{
    if let Some(store) = sources.store {
        let access = RemoteAccess::start()?;
        let servers = format.stored_servers(&access, store).await;
        return servers.map(Some).map_err(OperatorError::FrontStore);
    }
    let Some(path) = sources.servers else {
        return Ok(None);
    };
    let servers = format.read_servers(&read_file(path)?);
    servers.map(Some).map_err(|reason| {
        let path = path.display().to_string();
        OperatorError::Unfit(vec![ReportLine {
            severity: FindingSeverity::Error,
            path,
            reason,
        }])
    })
}

/// The places of a deployment from the section `[regions]` of a file.
fn read_places(path: &Path) -> Result<ServingPlaces, OperatorError> {
    let bytes = read_file(path)?;
    let text = String::from_utf8_lossy(&bytes);
    let mut faults = Vec::new();
    let file = path.display().to_string();
    let mut sections = ini::parse(&file, &text, &mut faults);
    if !faults.is_empty() {
        return Err(OperatorError::Invalid(faults));
    }
    let section = sections
        .iter_mut()
        .find(|section| section.title() == (REGIONS_SECTION, ""));
    let section = section.ok_or(OperatorError::Options(
        "the file of --regions has no section [regions]",
    ))?;
    let pairs = section.take_pairs().into_iter();
    let regions: HashMap<FailureDomain, String> = pairs
        .map(|(domain, region)| (FailureDomain::new(&domain), region))
        .collect();
    Ok(ServingPlaces::new(&Arc::new(regions), BTreeSet::new()))
}

fn report_line<Format>(format: &Format, finding: &CheckFinding) -> ReportLine
where
    Format: ConfigurationFormat,
{
    ReportLine {
        severity: finding.kind.severity(),
        path: format.path(finding.place),
        reason: finding.kind.to_string(),
    }
}

fn valid_output(draft: &ConfigurationDraft, warnings: &[ReportLine]) -> CommandOutput {
    let version = draft.version;
    let (routes, services) = (draft.routes.len(), draft.services.len());
    let workspaces = draft.workspaces.len();
    let mut text = format!(
        "valid: version {version}, {routes} routes, {services} services, {workspaces} workspaces"
    );
    for warning in warnings {
        text.push('\n');
        text.push_str(&warning.to_string());
    }
    let findings: Vec<Value> = warnings.iter().map(ReportLine::to_json).collect();
    let json = json!({ "valid": true, "version": version, "routes": routes,
        "services": services, "workspaces": workspaces, "findings": findings });
    CommandOutput { text, json }
}

fn diff_output(before: &ConfigurationDraft, after: &ConfigurationDraft) -> CommandOutput {
    let changes = changes_between(before, after);
    let lines: Vec<String> = changes
        .iter()
        .map(|change| change.to_string().replace(char::is_control, " "))
        .collect();
    let version = before.version;
    let text = if lines.is_empty() {
        format!("no difference from version {version}")
    } else {
        format!("from version {version}:\n{}", lines.join("\n"))
    };
    CommandOutput {
        text,
        json: json!({ "version": version, "changes": lines }),
    }
}

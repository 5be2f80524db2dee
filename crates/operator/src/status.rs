//! The state of daemons, and the progress of a configuration change.

use crate::error::OperatorError;
use crate::remote::RemoteAccess;
use camphorway_model::Generation;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// One daemon's reported state.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// The daemon's admin address.
    pub admin: SocketAddr,
    /// The daemon's state dump, or why there is none.
    pub state: Result<Value, String>,
}

impl DaemonStatus {
    /// Returns the generation in force.
    pub fn generation(&self) -> Option<u64> {
        self.state.as_ref().ok()?["generation"].as_u64()
    }

    /// Returns the newest generation that the daemon has had, in force or refused.
    pub fn newest_generation(&self) -> Option<u64> {
        let refused = &self.state.as_ref().ok()?["refused-generation"]["generation"];
        self.generation().max(refused.as_u64())
    }

    /// Returns the VM's name, or the address if the daemon does not answer.
    pub fn name(&self) -> String {
        let vm = self
            .state
            .as_ref()
            .ok()
            .and_then(|state| state["vm"].as_str());
        vm.map_or_else(|| self.admin.to_string(), str::to_owned)
    }

    /// Returns the failure domain, or `unreachable` if it is unknown.
    pub fn domain(&self) -> String {
        let state = self.state.as_ref().ok();
        let domain = state.and_then(|state| state["failure-domain"].as_str());
        domain.unwrap_or("unreachable").to_owned()
    }

    /// Returns a summary as JSON.
    pub fn to_json(&self) -> Value {
        match &self.state {
            Ok(state) => json!({
                "admin": self.admin,
                "vm": state["vm"],
                "failure-domain": state["failure-domain"],
                "generation": state["generation"],
                "refused-generation": state["refused-generation"],
                "members-alive": count_alive(state),
                "is-watcher": state["is-watcher"],
                "requests-running": state["requests-running"],
                "claims-waiting": state["claims-waiting"],
                "stopping": state["stopping"],
                "invariant-breaches": state["invariant-breaches"],
            }),
            Err(cause) => json!({ "admin": self.admin, "problem": cause }),
        }
    }
}

fn count_alive(state: &Value) -> usize {
    let members = state["members"].as_array().map_or(&[][..], Vec::as_slice);
    let is_alive = |member: &&Value| member["state"] == "alive";
    members.iter().filter(is_alive).count()
}

/// Reads the state of each daemon.
pub async fn poll_daemons(access: &RemoteAccess, admins: &[SocketAddr]) -> Vec<DaemonStatus> {
    let mut statuses = Vec::new();
    for admin in admins {
        let state = access.read_json(*admin, "/state").await;
        statuses.push(DaemonStatus {
            admin: *admin,
            state: state.map_err(|cause| cause.to_string()),
        });
    }
    statuses
}

/// Formats a table with one line per daemon.
pub fn format_table(statuses: &[DaemonStatus]) -> String {
    let mut text = format!(
        "{:<24}{:<20}{:>11}{:>9}{:>10}  {}\n",
        "daemon", "failure domain", "generation", "members", "breaches", "remarks"
    );
    for status in statuses {
        let line = match &status.state {
            Ok(state) => {
                let mut remarks = Vec::new();
                if state["is-watcher"] == true {
                    remarks.push("watcher".to_owned());
                }
                if state["stopping"] == true {
                    remarks.push("stopping".to_owned());
                }
                if !state["refused-generation"].is_null() {
                    remarks.push(format!(
                        "refused {}",
                        state["refused-generation"]["generation"]
                    ));
                }
                format!(
                    "{:<24}{:<20}{:>11}{:>9}{:>10}  {}",
                    status.name(),
                    status.domain(),
                    state["generation"],
                    count_alive(state),
                    state["invariant-breaches"],
                    remarks.join(", ")
                )
            }
            Err(cause) => format!("{:<24}{:<20}{cause}", status.name(), "unreachable"),
        };
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Waits until `generation` or a later one is in force in all daemons; returns,
/// for each failure domain, the number of daemons that have it.
///
/// # Errors
/// Returns the daemons without it once `timeout` has passed.
pub async fn wait_until_in_force(
    access: &RemoteAccess,
    admins: &[SocketAddr],
    generation: Generation,
    timeout: Duration,
) -> Result<Vec<String>, OperatorError> {
    let started_at = Instant::now();
    loop {
        let statuses = poll_daemons(access, admins).await;
        let is_updated = |status: &&DaemonStatus| status.generation() >= Some(generation.0);
        if statuses.iter().filter(is_updated).count() == statuses.len() {
            return Ok(count_by_domain(&statuses, generation));
        }
        if started_at.elapsed() >= timeout {
            let outdated = statuses.iter().filter(|status| !is_updated(status));
            return Err(OperatorError::NotInForce {
                generation,
                missing: outdated
                    .map(|status| format!("{} ({})", status.name(), status.domain()))
                    .collect(),
            });
        }
        access.clock().sleep(POLL_INTERVAL).await;
    }
}

fn count_by_domain(statuses: &[DaemonStatus], generation: Generation) -> Vec<String> {
    let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for status in statuses {
        let count = counts.entry(status.domain()).or_default();
        count.0 += usize::from(status.generation() >= Some(generation.0));
        count.1 += 1;
    }
    let line = |(domain, (updated, total)): (String, (usize, usize))| {
        format!("{domain}: {updated} of {total}")
    };
    counts.into_iter().map(line).collect()
}

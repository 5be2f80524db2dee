//! What daemons say of themselves, and how far a change has come.

use crate::error::OperatorError;
use crate::remote::RemoteAccess;
use camphorway_model::Generation;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(100);

/// One daemon's line.
#[derive(Clone, Debug)]
pub struct DaemonStatus {
    /// Its admin address.
    pub admin: SocketAddr,
    /// Its state dump, or why there is none.
    pub state: Result<Value, String>,
}

impl DaemonStatus {
    /// The generation in force there.
    pub fn generation(&self) -> Option<u64> {
        self.state.as_ref().ok()?["generation"].as_u64()
    }

    /// The VM's name, or the address if it does not answer.
    pub fn name(&self) -> String {
        let vm = self
            .state
            .as_ref()
            .ok()
            .and_then(|state| state["vm"].as_str());
        vm.map_or_else(|| self.admin.to_string(), str::to_owned)
    }

    /// The failure domain.
    pub fn domain(&self) -> String {
        let state = self.state.as_ref().ok();
        let domain = state.and_then(|state| state["failure-domain"].as_str());
        domain.unwrap_or("unreachable").to_owned()
    }

    /// The line as JSON.
    pub fn to_json(&self) -> Value {
        match &self.state {
            Ok(state) => json!({
                "admin": self.admin,
                "vm": state["vm"],
                "failure-domain": state["failure-domain"],
                "generation": state["generation"],
                "refused-generation": state["refused-generation"],
                "members-alive": alive(state),
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

fn alive(state: &Value) -> usize {
    let members = state["members"].as_array().map_or(&[][..], Vec::as_slice);
    let is_alive = |member: &&Value| member["state"] == "alive";
    members.iter().filter(is_alive).count()
}

/// Asks each daemon for its state.
pub async fn ask_all(access: &RemoteAccess, admins: &[SocketAddr]) -> Vec<DaemonStatus> {
    let mut all = Vec::new();
    for admin in admins {
        let state = access.read(*admin, "/state").await;
        all.push(DaemonStatus {
            admin: *admin,
            state: state.map_err(|cause| cause.to_string()),
        });
    }
    all
}

/// A table of all daemons for people.
pub fn table(all: &[DaemonStatus]) -> String {
    let mut text = format!(
        "{:<24}{:<20}{:>11}{:>9}{:>10}  {}\n",
        "daemon", "failure domain", "generation", "members", "breaches", "remarks"
    );
    for status in all {
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
                    alive(state),
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

/// Waits until `generation` is in force at all daemons and prints, for each
/// failure domain, how many have it.
///
/// # Errors
/// Returns the daemons without it when `limit` has passed.
pub async fn wait_everywhere(
    access: &RemoteAccess,
    admins: &[SocketAddr],
    generation: Generation,
    limit: Duration,
) -> Result<Vec<String>, OperatorError> {
    let began = Instant::now();
    loop {
        let all = ask_all(access, admins).await;
        let has_it = |status: &&DaemonStatus| status.generation() >= Some(generation.0);
        if all.iter().filter(has_it).count() == all.len() {
            return Ok(by_domain(&all, generation));
        }
        if began.elapsed() >= limit {
            let lacks_it = all.iter().filter(|status| !has_it(status));
            return Err(OperatorError::NotEverywhere {
                generation,
                missing: lacks_it
                    .map(|status| format!("{} ({})", status.name(), status.domain()))
                    .collect(),
            });
        }
        access.clock().sleep(POLL).await;
    }
}

fn by_domain(all: &[DaemonStatus], generation: Generation) -> Vec<String> {
    let mut counts: BTreeMap<String, (usize, usize)> = BTreeMap::new();
    for status in all {
        let count = counts.entry(status.domain()).or_default();
        count.0 += usize::from(status.generation() >= Some(generation.0));
        count.1 += 1;
    }
    let line = |(domain, (have, of)): (String, (usize, usize))| format!("{domain}: {have} of {of}");
    counts.into_iter().map(line).collect()
}

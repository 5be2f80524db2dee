//! The entries that differ between two configurations.

use camphorway_model::{ServiceName, WorkspaceName};
use derive_more::Display;

/// One entry that differs.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind} {entry}: {}", join(details))]
pub struct ConfigurationChange {
    /// The entry.
    pub entry: ChangedEntry,
    /// What happens to it.
    pub kind: ChangeKind,
    /// What it means, and for whose requests.
    pub details: Vec<ChangeDetail>,
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangeKind {
    /// It is only in the new configuration.
    #[display("+")]
    Added,
    /// It is only in the old configuration.
    #[display("-")]
    Removed,
    /// It is in both.
    #[display("~")]
    Changed,
}

/// An entry of a configuration.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChangedEntry {
    /// The version.
    #[display("version")]
    Version,
    /// The limits on all callers.
    #[display("limits of all callers")]
    Limits,
    /// A route.
    #[display("route {_0}")]
    Route(String),
    /// A service.
    #[display("service {_0}")]
    Service(ServiceName),
    /// A workspace.
    #[display("workspace {_0}")]
    Workspace(WorkspaceName),
}

/// One thing that differs, or whom it concerns.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ChangeDetail {
    /// Fronts ignore the new configuration.
    #[display("not above the one in force, so that fronts keep that one")]
    VersionNotNewer,
    /// The requests that the route takes.
    #[display("requests to {_0}")]
    Requests(String),
    /// The route that takes the requests in the other configuration.
    #[display(
        "otherwise {}",
        _0.as_ref().map_or_else(|| "answered 404".to_owned(), |name| format!("on route {name}"))
    )]
    Elsewhere(Option<String>),
    /// Number of routes that use the service.
    #[display("routes that use it: {_0}")]
    UsedBy(usize),
    /// Keys that are given and taken away.
    #[display("keys +{added} -{removed}")]
    Keys {
        /// New keys.
        added: usize,
        /// Keys that are refused from now on.
        removed: usize,
    },
    /// Shards of a merged answer.
    #[display("shards +{added} -{removed}")]
    Shards {
        /// New shards.
        added: usize,
        /// Shards that are no longer asked.
        removed: usize,
    },
    /// A field that has another value.
    #[display("{field} {before} -> {after}")]
    Field {
        /// The field.
        field: ChangedField,
        /// Its value in the old configuration.
        before: String,
        /// Its value in the new configuration.
        after: String,
    },
}

/// A field of an entry.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ChangedField {
    /// The version.
    #[display("number")]
    Version,
    /// The host.
    #[display("host")]
    Host,
    /// The path prefix.
    #[display("prefix")]
    Prefix,
    /// Whether requests may run more than once.
    #[display("idempotent")]
    Repeatable,
    /// The time limit.
    #[display("time limit")]
    TimeLimit,
    /// The objective.
    #[display("objective")]
    Objective,
    /// The number of attempts.
    #[display("attempts")]
    Attempts,
    /// The rank.
    #[display("priority")]
    Priority,
    /// Whether requests need no key.
    #[display("anonymous")]
    Anonymous,
    /// The home regions.
    #[display("homes")]
    Homes,
    /// The services.
    #[display("services")]
    Target,
    /// The number of records of a merged answer.
    #[display("records")]
    TopRecords,
    /// The minimum coverage of a merged answer.
    #[display("minimum coverage")]
    MinShare,
    /// The connections that one server accepts.
    #[display("connections")]
    Connections,
    /// The limit of cold servers.
    #[display("cold servers")]
    WarmUp,
    /// The quota.
    #[display("quota")]
    Quota,
    /// Maximum size of a request head.
    #[display("head bytes")]
    HeaderBytes,
    /// Maximum size of a request body.
    #[display("body bytes")]
    BodyBytes,
    /// Maximum time to receive a request head.
    #[display("head timeout")]
    HeaderTimeout,
    /// Maximum time that a connection may be idle.
    #[display("idle timeout")]
    IdleTimeout,
}

fn join(details: &[ChangeDetail]) -> String {
    let details: Vec<String> = details.iter().map(ToString::to_string).collect();
    details.join("; ")
}

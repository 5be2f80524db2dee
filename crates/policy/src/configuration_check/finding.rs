//! The findings of a check.

use crate::place::PlaceGap;
use camphorway_model::{DraftPlace, IgnoredFigure, LimitPart, ServiceName, WorkspaceName};
use derive_more::Display;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{kind}")]
pub struct CheckFinding {
    /// The entry.
    pub place: DraftPlace,
    /// What is wrong with it.
    pub kind: FindingKind,
}

/// How much a finding takes away.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum FindingSeverity {
    /// Fronts drop the entry, or can't serve it as it stands.
    #[display("error")]
    Error,
    /// It is served, but hardly as meant.
    #[display("warning")]
    Warning,
}

/// Why a service has no server for a route.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum MissingServers {
    /// None is registered that takes new requests.
    #[display("has no server")]
    None,
    /// It has some, but none where the route may be served.
    #[display("has no server in the home regions ({})", _0.name())]
    AtHome(PlaceGap),
}

/// What is wrong. No text holds a key.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum FindingKind {
    /// Fronts don't take the figure as it stands.
    #[display("{}", ignored_text(*_0))]
    Ignored(IgnoredFigure),
    /// A limit of 0.
    #[display("{}", limit_text(*_0))]
    LimitOfNothing(LimitPart),
    /// An earlier route has the same host and prefix.
    #[display("hidden by route `{_0}`, which has the same host and prefix")]
    Hidden(String),
    /// Another route has the same name.
    #[display("an earlier route is named `{_0}` too; logs and splits take both for one")]
    RouteNameRepeated(String),
    /// No request names this host.
    #[display("no request can have this host: it is empty, has a port or is no host name")]
    HostUnreachable,
    /// No request has such a path.
    #[display("no path can begin with this prefix")]
    PrefixUnreachable,
    /// Paths that go on within a segment match as well.
    #[display("the prefix doesn't end with a slash and matches longer names too")]
    PrefixWithinSegment,
    /// The route names no service that could answer.
    #[display("no service has a weight; each request is refused")]
    NoTarget,
    /// The part of a split gets no request.
    #[display("service `{_0}` has no weight and gets no request")]
    NoWeight(ServiceName),
    /// A service is named twice.
    #[display("service `{_0}` is named twice")]
    TargetRepeated(ServiceName),
    /// The service has no configuration of its own.
    #[display("service `{_0}` isn't among the services")]
    ServiceUndeclared(ServiceName),
    /// The service can't answer.
    #[display("service `{service}` {missing}")]
    NoServer {
        /// The service.
        service: ServiceName,
        /// Why.
        missing: MissingServers,
        /// Whether requests of the route are refused for it.
        is_fatal: bool,
    },
    /// More attempts than servers.
    #[display("{attempts} attempts, but only {servers} of the servers of `{service}` may answer")]
    AttemptsAboveServers {
        /// The attempts.
        attempts: usize,
        /// The service with the fewest servers.
        service: ServiceName,
        /// Their number.
        servers: usize,
    },
    /// The minimum coverage is not a fraction.
    #[display("the minimum coverage is not from 0 to 1")]
    CoverageNoFraction,
    /// Fewer shards have servers than an answer needs.
    #[display("an answer needs {needed} shards, and {reached} have servers")]
    CoverageUnreached {
        /// Shards that an answer must cover.
        needed: usize,
        /// Shards with servers.
        reached: usize,
    },
    /// A merged answer has no record.
    #[display("answers hold no record")]
    NoRecords,
    /// No request has any time.
    #[display("the time limit is 0; no request is answered in time")]
    NoTime,
    /// Requests end before their objective.
    #[display("the time limit is below the objective")]
    TimeLimitBelowObjective,
    /// No answer is in time.
    #[display("the objective is 0; no answer is in time")]
    NoObjective,
    /// Servers of the route can't serve some workspaces.
    #[display(
        "no region is home of both the route and workspace `{first}` (of {count} such workspaces)"
    )]
    HomesApart {
        /// The first such workspace.
        first: WorkspaceName,
        /// Number of such workspaces.
        count: usize,
    },
    /// No failure domain lies in a home region.
    #[display("no failure domain lies in the home regions")]
    HomesUnknown,
    /// An earlier service has the same name.
    #[display("a later service is named `{_0}` too, and replaces this one")]
    ServiceReplaced(ServiceName),
    /// The service's servers accept no connection.
    #[display("its servers accept no connection")]
    NoConnections,
    /// A server's slots can't all be used.
    #[display("{connections} connections a server, but one has {slots} slots")]
    ConnectionsBelowSlots {
        /// Connections that a server accepts.
        connections: usize,
        /// The most slots of its servers.
        slots: u32,
    },
    /// No header can hold the workspace's name.
    #[display("no header can hold the name; none of its keys is taken")]
    WorkspaceUnusable,
    /// Two workspaces have one name.
    #[display("an earlier workspace is named `{_0}` too; its quota binds both")]
    WorkspaceRepeated(WorkspaceName),
    /// No request can name the workspace.
    #[display("the workspace has no key")]
    NoKeys,
    /// Another workspace holds the key.
    #[display("workspace `{_0}` holds this key")]
    KeyTaken(WorkspaceName),
    /// Requests that come together exceed the quota.
    #[display("the burst is below one request; of two requests at once, one may be refused")]
    BurstBelowOne,
    /// More requests at once than any route has room for.
    #[display("the burst of {burst} is above the {room} connections of the servers of any route")]
    BurstAboveRoom {
        /// The burst, in whole requests.
        burst: u64,
        /// Connections to the servers of the route with the most.
        room: u64,
    },
}

impl FindingKind {
    /// How much it takes away.
    pub fn severity(&self) -> FindingSeverity {
        match self {
            Self::LimitOfNothing(LimitPart::HeaderBytes | LimitPart::HeaderTimeout)
            | Self::Hidden(_)
            | Self::HostUnreachable
            | Self::PrefixUnreachable
            | Self::NoTarget
            | Self::NoServer { is_fatal: true, .. }
            | Self::CoverageNoFraction
            | Self::CoverageUnreached { .. }
            | Self::NoTime
            | Self::HomesUnknown
            | Self::ServiceReplaced(_)
            | Self::NoConnections
            | Self::WorkspaceUnusable
            | Self::WorkspaceRepeated(_)
            | Self::KeyTaken(_) => FindingSeverity::Error,
            Self::Ignored(_)
            | Self::LimitOfNothing(LimitPart::BodyBytes | LimitPart::IdleTimeout)
            | Self::RouteNameRepeated(_)
            | Self::PrefixWithinSegment
            | Self::NoWeight(_)
            | Self::TargetRepeated(_)
            | Self::ServiceUndeclared(_)
            | Self::NoServer {
                is_fatal: false, ..
            }
            | Self::AttemptsAboveServers { .. }
            | Self::NoRecords
            | Self::TimeLimitBelowObjective
            | Self::NoObjective
            | Self::HomesApart { .. }
            | Self::ConnectionsBelowSlots { .. }
            | Self::NoKeys
            | Self::BurstBelowOne
            | Self::BurstAboveRoom { .. } => FindingSeverity::Warning,
        }
    }
}

fn ignored_text(figure: IgnoredFigure) -> &'static str {
    match figure {
        IgnoredFigure::Quota => "without a rate above 0 there is no quota",
        IgnoredFigure::WarmUp => "a figure below 0; cold servers have no limit",
        IgnoredFigure::Attempts => "no attempt; fronts make one",
        IgnoredFigure::Kind => "not a known kind; requests are never repeated",
    }
}

fn limit_text(limit: LimitPart) -> &'static str {
    match limit {
        LimitPart::HeaderBytes => "0 bytes; each request is refused",
        LimitPart::BodyBytes => "0 bytes; requests with a body are refused",
        LimitPart::HeaderTimeout => "0; no request arrives in time",
        LimitPart::IdleTimeout => "0; no connection is kept",
    }
}

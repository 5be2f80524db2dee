//! The data model of the query tier: identifiers, the inventory and rules that
//! operators write, the layout of an index snapshot, coverage and outcomes.
//!
//! All types are plain data with validation. Nothing in this package does I/O
//! or reads a clock, so all daemons parse the same text to the same value.

pub mod configuration;
pub mod coverage;
pub mod draft;
pub mod front_record;
pub mod grouping;
pub mod id;
pub mod ini;
pub mod inventory;
pub mod layout;
pub mod outcome;
pub mod rank;
pub mod registration;
pub mod routing;
pub mod rules;
pub mod split;
pub mod workspace;

pub use configuration::{CheckedConfiguration, HeadObject, PartReference};
pub use coverage::{CoverageCount, CoverageReport};
pub use draft::{
    ConfigurationDraft, DraftPlace, DraftWorkspace, IgnoredFigure, LimitPart, RoutePart,
    ServicePart, WorkspacePart,
};
pub use front_record::{FrontRecord, PeerKey};
pub use grouping::{GroupId, GroupTable, ServerGroup};
pub use id::{
    CallerName, FailureDomain, Generation, InstanceName, RegionName, RequestId, ServerName,
    ServiceName, ShardId, SnapshotId, VmName, WorkspaceName,
};
pub use inventory::{BackendServer, MergeKind, ServiceEntry, TierInventory};
pub use layout::{LayoutError, ServiceLayout, ShardPlacement, SnapshotLayout};
pub use outcome::{AnswerOutcome, RefusalReason};
pub use rank::{PerRank, RequestRank};
pub use registration::{RegisteredState, ServerRecord};
pub use routing::{
    CallerLimits, GatherRule, RequestRoute, RouteTable, RouteTarget, RoutedService, WarmUpRule,
    WeightedService,
};
pub use rules::{CanaryMode, PolicySwitches, RankRule, RequestRule, TierRules};
pub use workspace::{HomeRegions, KeyDigest, Workspace, WorkspaceQuota, WorkspaceTable};

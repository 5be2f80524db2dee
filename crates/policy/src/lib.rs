//! The decisions of the query tier, free of I/O.
//!
//! Each type is a state machine: its user reports events with the time at which
//! they happened, and it answers what to do. Nothing sleeps, sends or reads a
//! clock; `now` is an argument. So a test can simulate years of traffic in a
//! second and replay any fault from its seed.

pub mod admission;
pub mod answer_lead;
pub mod budget;
pub mod claim;
pub mod cold_pace;
pub mod configuration_changes;
pub mod configuration_check;
pub mod connection_ledger;
pub mod directory;
pub mod dispatch;
pub mod drain;
pub mod evacuation;
pub mod extra_budgets;
pub mod extra_call;
pub mod failure_rate;
pub mod fair_room;
pub mod feed_order;
pub mod gate;
pub mod handshake_ledger;
pub mod hedge;
pub mod invariant;
pub mod latency;
pub mod memory_ledger;
pub mod notice_route;
pub mod place;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod quota_place;
pub mod quota_succession;
pub mod rate_limit;
pub mod records;
pub(crate) mod rendezvous;
pub mod replica;
pub mod retry_turn;
pub mod room_evidence;
pub mod service_times;
pub mod silence;
pub mod snapshot_choice;
pub mod split;
pub mod stall;
pub mod start_pace;
pub mod stated_load;
pub mod stop_window;
pub mod warm_up;
pub mod window_budget;
pub mod workspace_demand;

pub use admission::{AdmissionDecision, AdmissionRequest, EntryAdmission, WaitReport};
pub use answer_lead::AnswerLead;
pub use budget::RatioBudget;
pub use claim::{ClaimDecision, ClaimEntry, ClaimObject, ClaimState, ClaimWindow};
pub use cold_pace::{ColdLimit, ColdPacer, ColdPart, ColdServer};
pub use configuration_changes::{
    ChangeDetail, ChangeKind, ChangedEntry, ChangedField, ConfigurationChange, changes_between,
};
pub use configuration_check::{
    CheckFinding, FindingKind, FindingSeverity, KnownDeployment, MissingServers,
    check_configuration,
};
pub use connection_ledger::{
    ClosingConnections, ConnectionId, ConnectionLedger, ConnectionLimits, ConnectionRefused,
    MemoryGrant,
};
pub use directory::{DirectoryEntry, ServerDirectory};
pub use dispatch::{DispatchLedger, NotRunProof, UnsentToken};
pub use drain::{DrainReport, DrainTable};
pub use evacuation::EvacuationTable;
pub use extra_budgets::{ExtraBudgets, ExtraCall};
pub use extra_call::QueryForecast;
pub use failure_rate::FailureRate;
pub use fair_room::{FairRoom, RoomCause, RoomDraw, RoomRefusal, RoomRequest};
pub use feed_order::{FeedOrder, FeedOrigin};
pub use gate::{CallEnd, GateEvent, GateSettings, ServerGate, ServerState};
pub use handshake_ledger::{HandshakeId, HandshakeLedger, HandshakeLimits, HandshakeVerdict};
pub use hedge::{HedgePacer, RepeatBudgets};
pub use latency::LatencyWindow;
pub use memory_ledger::{MemoryLedger, MemoryRefused, MessageId, YieldingMessages};
pub use notice_route::{NoticeReach, NoticeRoute};
pub use place::{PlaceGap, RequestHomes, ServingPlaces};
pub use quarantine::{
    ClearReport, ContentHash, ContentVerdict, CrashReport, QuarantineNotice, QuarantineTable,
};
pub use queue::{CallId, KindHash, RankedQueue, WaitingCall};
pub use quota::{
    CreditDecision, GrantorRole, LocalCredit, QuotaLedger, QuotaParts, QuotaTolerance,
};
pub use quota_place::{GrantorGroup, QuotaPlace};
pub use quota_succession::{OwnershipReply, QuotaSuccession, SuccessionState};
pub use rate_limit::{CallPacer, LimitedServer, MAX_RATE_LIMIT, RateShare};
pub use records::greatest_records;
pub use replica::{CallExpectation, ReplicaOutcome, ReplicaStats, ServerDistance};
pub use retry_turn::RetryTurn;
pub use room_evidence::{RoomEvidence, ServerRoom, ServiceRoom};
pub use service_times::ServiceTimes;
pub use silence::SilentPeers;
pub use split::WeightedSplit;
pub use stall::{ServerStall, StallChange};
pub use start_pace::{StartPace, UsualService};
pub use stated_load::{LoadReport, StatedLoad};
pub use stop_window::{StopWindow, WorkForecast};
pub use window_budget::{AllowanceRamp, BudgetLimits, SharedAllowance, WindowBudget};

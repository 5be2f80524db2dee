//! What the daemons share: who is there, who holds which group of backend
//! servers, and which configuration is in force.
//!
//! Like the policy package this one does no I/O. The daemon feeds it messages
//! and the time, and carries out the actions that it returns.
//!
//! Membership follows SWIM (Das, Gupta and Motivala, 2002): direct probes, then
//! indirect ones through two other members, suspicion before death, and
//! incarnation numbers by which a suspected member clears itself. Members are
//! probed within their own failure domain only; news of other domains arrives
//! through one exchange a second with a member of another domain.

pub mod holders;
pub mod items;
pub mod member;
pub mod membership;
pub mod tracker;

pub use holders::{HolderTable, watchers};
pub use items::{ItemVersion, SharedItem, SharedItems};
pub use member::{MemberRecord, MemberState};
pub use membership::{GossipMessage, MemberAction, MemberTable, MembershipSettings};
pub use tracker::{ConfigTracker, TrackerEvent};

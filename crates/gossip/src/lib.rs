//! The state that daemons share: the members, the assignment of backend server
//! groups to them, and the configuration in force.
//!
//! Like the policy package, this package does no I/O. The daemon passes in
//! messages and the current time, and executes the returned actions.
//!
//! Membership follows SWIM (Das, Gupta and Motivala, 2002): direct probes, then
//! indirect probes through two other members, suspicion before a member is
//! declared dead, and incarnation numbers by which a suspected member refutes
//! the suspicion. Failure detection covers a member's own failure domain only;
//! updates about other domains arrive through one exchange per second with a
//! member of another domain.

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

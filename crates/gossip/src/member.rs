//! The record of a member, as known to the other members.

use camphorway_model::{FailureDomain, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// The state of a member. Within an incarnation, a later variant overrides an
/// earlier one.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers.
    #[display("alive")]
    Alive,
    /// The member did not answer, and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The member announced that it is leaving; it still serves requests that reach it.
    #[display("leaving")]
    Leaving,
    /// The member has failed or left.
    #[display("dead")]
    Dead,
}

/// The name, address and state of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The member's VM.
    pub vm: VmName,
    /// The failure domain of the VM.
    pub domain: FailureDomain,
    /// The address at which other daemons reach the member.
    pub address: SocketAddr,
    /// Raised only by the member itself, to override records from others.
    pub incarnation: u64,
    /// The member's state.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record takes precedence over `other` of the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the member may hold groups.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// The record's hash, for digests. Suspicion is left out, because it is
    /// short-lived and would make digests differ needlessly.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.vm.as_str().as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        let state = match self.state {
            MemberState::Alive | MemberState::Suspect => 0,
            MemberState::Leaving => 1,
            MemberState::Dead => 2,
        };
        hasher.update(&[state]);
        hasher.digest()
    }
}

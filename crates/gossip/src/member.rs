//! One member of the tier, as others know it.

use camphorway_model::{FailureDomain, VmName};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Whether a member is taken to be there. A later variant overrides an earlier
/// one of the same incarnation.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It did not answer, and may still clear itself.
    #[display("suspect")]
    Suspect,
    /// It said that it is going; it still serves what reaches it.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("dead")]
    Dead,
}

/// What is known of a member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The VM it runs on.
    pub vm: VmName,
    /// The failure domain it stands in.
    pub domain: FailureDomain,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Raised by the member alone, to override what others say of it.
    pub incarnation: u64,
    /// Whether it is there.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record is newer news than `other` of the same member.
    pub fn overrides(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the member may hold groups.
    pub fn is_serving(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }

    /// Hash of the record, for digests. Suspicion is left out: it passes quickly
    /// and would make digests differ for nothing.
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

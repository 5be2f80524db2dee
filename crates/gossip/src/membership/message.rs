//! The messages between members and what a member has to do.

use crate::member::MemberRecord;
use camphorway_model::VmName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Periods and timeouts of the membership.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Between two rounds of probes.
    pub period: Duration,
    /// Members of the own failure domain probed in a round.
    pub probes: usize,
    /// Members of other failure domains probed in a round.
    pub far_probes: usize,
    /// Without an answer for this long, others are asked to probe.
    pub direct_timeout: Duration,
    /// Without an answer for this long, the member is suspected.
    pub indirect_timeout: Duration,
    /// A suspect that doesn't clear itself for this long is dead.
    pub suspicion: Duration,
    /// How long a dead member is remembered.
    pub tombstone: Duration,
    /// Digests that differ for this long lead to a full exchange.
    pub settle: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            probes: 3,
            far_probes: 1,
            direct_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_millis(900),
            suspicion: Duration::from_secs(3),
            tombstone: Duration::from_secs(120),
            settle: Duration::from_secs(3),
        }
    }
}

/// Digests that ride on every probe and its answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedDigest {
    /// Of the members.
    pub members: u64,
    /// Of the shared items: configuration, layouts, leaving servers.
    pub items: u64,
    /// Sum of the items' versions, which only grows: who has less, pulls.
    pub item_version_sum: u64,
    /// Of the reports on crashes and draining servers.
    pub reports: u64,
}

/// A message between two members; each goes one way.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Asks for an [`GossipMessage::Ack`].
    Probe {
        /// Repeated in the answer.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// The sender's digests.
        digest: SharedDigest,
        /// Recent news.
        updates: Vec<MemberRecord>,
    },
    /// Answers a probe.
    Ack {
        /// The probe's number.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// The sender's digests.
        digest: SharedDigest,
        /// Recent news.
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third member and to pass its answer on.
    Relay {
        /// The probe's number at the asking member.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// Whom to probe.
        target: VmName,
    },
    /// Asks for all records.
    PullMembers {
        /// The sender's record.
        sender: MemberRecord,
    },
    /// All records that the sender has.
    AllMembers {
        /// The records.
        records: Vec<MemberRecord>,
    },
}

/// What the daemon has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message; it may get lost.
    Send {
        /// The receiver's name, if known.
        to: Option<VmName>,
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: GossipMessage,
    },
    /// The members that may hold groups have changed.
    MembersChanged,
    /// The peer has items that we lack, or other reports: ask it for them.
    Pull {
        /// The peer.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
    },
}

//! The messages between members, and the actions that the daemon executes.

use crate::member::MemberRecord;
use camphorway_model::VmName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Periods and timeouts of the membership protocol.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Time between two rounds of probes.
    pub period: Duration,
    /// Number of members of the own failure domain probed per round.
    pub probes: usize,
    /// Number of members of other failure domains probed per round.
    pub remote_probes: usize,
    /// Time without an answer after which indirect probes are sent.
    pub direct_timeout: Duration,
    /// Time without an answer after which the member is suspected.
    pub indirect_timeout: Duration,
    /// Time after which a suspected member is declared dead.
    pub suspicion_timeout: Duration,
    /// Time for which the record of a dead member is kept.
    pub tombstone_retention: Duration,
    /// Time for which member digests must differ before all records are pulled.
    pub full_sync_delay: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            probes: 3,
            remote_probes: 1,
            direct_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_millis(900),
            suspicion_timeout: Duration::from_secs(3),
            tombstone_retention: Duration::from_secs(120),
            full_sync_delay: Duration::from_secs(3),
        }
    }
}

/// The digests attached to each probe and its answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedDigest {
    /// Digest of the member records.
    pub members: u64,
    /// Digest of the shared items: configuration, layouts, leaving servers.
    pub items: u64,
    /// Sum of the items' versions, which never decreases. Of two daemons whose item digests
    /// differ, the one with the lower sum pulls; with equal sums both do.
    pub item_version_sum: u64,
    /// Digest of the reports of crashes and draining servers.
    pub reports: u64,
}

/// A one-way message between two members.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum GossipMessage {
    /// Requests a [`GossipMessage::Ack`].
    Probe {
        /// The sequence number, repeated in the answer.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// The sender's digests.
        digest: SharedDigest,
        /// Recent member updates.
        updates: Vec<MemberRecord>,
    },
    /// Answers a probe.
    Ack {
        /// The probe's sequence number.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// The sender's digests.
        digest: SharedDigest,
        /// Recent member updates.
        updates: Vec<MemberRecord>,
    },
    /// Asks the receiver to probe a third member and forward its answer.
    Relay {
        /// The sequence number of the requesting member's probe.
        sequence: u64,
        /// The sender's record.
        sender: MemberRecord,
        /// The member to probe.
        target: VmName,
    },
    /// Requests all records.
    PullMembers {
        /// The sender's record.
        sender: MemberRecord,
    },
    /// Answers with all of the sender's records.
    AllMembers {
        /// The records.
        records: Vec<MemberRecord>,
    },
}

/// An action for the daemon to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message. Delivery is not guaranteed.
    Send {
        /// The receiver's name, if known.
        to: Option<VmName>,
        /// The receiver's address.
        address: SocketAddr,
        /// The message.
        message: GossipMessage,
    },
    /// Recompute the holders: the members that may hold groups changed.
    MembersChanged,
    /// Pull from a peer that has newer items or different reports.
    Pull {
        /// The peer's name.
        vm: VmName,
        /// The peer's address.
        address: SocketAddr,
    },
}

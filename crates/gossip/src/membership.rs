//! The member table and the handling of membership messages.

mod dissemination;
mod message;
mod probe;

pub use message::{GossipMessage, MemberAction, MembershipSettings, SharedDigest};

use crate::member::{MemberRecord, MemberState};
use camphorway_model::{FailureDomain, VmName};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

#[derive(Clone, Debug)]
struct PendingProbe {
    target: VmName,
    sent_at: Instant,
    relayed: bool,
    /// For an indirect probe, the member that requested it and its sequence number.
    origin: Option<(VmName, u64)>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    record: MemberRecord,
    sends_left: u32,
}

/// The members, as known to this daemon.
#[derive(Debug)]
pub struct MemberTable {
    settings: MembershipSettings,
    own: MemberRecord,
    members: BTreeMap<VmName, MemberRecord>,
    suspected: HashMap<VmName, Instant>,
    dead: HashMap<VmName, Instant>,
    candidates: BTreeMap<SocketAddr, Option<VmName>>,
    pending: BTreeMap<u64, PendingProbe>,
    updates: VecDeque<QueuedUpdate>,
    probe_order: Vec<VmName>,
    digest_differs_since: Option<Instant>,
    next_round: Option<Instant>,
    sequence: u64,
    random: fastrand::Rng,
    /// The current digests; the daemon sets those of items and reports before each round.
    pub digest: SharedDigest,
}

impl MemberTable {
    /// Creates a table that contains only `own`.
    pub fn new(own: MemberRecord, settings: MembershipSettings, seed: u64) -> Self {
        let members = BTreeMap::from([(own.vm.clone(), own.clone())]);
        let mut table = Self {
            settings,
            own,
            members,
            suspected: HashMap::new(),
            dead: HashMap::new(),
            candidates: BTreeMap::new(),
            pending: BTreeMap::new(),
            updates: VecDeque::new(),
            probe_order: Vec::new(),
            digest_differs_since: None,
            next_round: None,
            sequence: 0,
            random: fastrand::Rng::with_seed(seed),
            digest: SharedDigest::default(),
        };
        table.refresh_digest();
        table
    }

    /// This daemon's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// All records, including those of dead members.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// The members that may hold groups of `domain`.
    pub fn serving<'table>(
        &'table self,
        domain: &'table FailureDomain,
    ) -> impl Iterator<Item = &'table MemberRecord> {
        self.members
            .values()
            .filter(move |record| record.domain == *domain && record.is_serving())
    }

    /// Adds addresses of possible members, from the VM list or the settings.
    pub fn add_candidates<Candidates>(&mut self, candidates: Candidates)
    where
        Candidates: IntoIterator<Item = SocketAddr>,
    {
        for address in candidates {
            if address != self.own.address {
                self.candidates.entry(address).or_default();
            }
        }
    }

    /// The time at which [`MemberTable::tick`] is due next.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let round = self.next_round.unwrap_or(now);
        if self.pending.is_empty() && self.suspected.is_empty() {
            return round;
        }
        let step = self.settings.direct_timeout / 4;
        round.min(now + step)
    }

    /// Announces that this daemon is leaving.
    pub fn leave(&mut self, now: Instant) -> Vec<MemberAction> {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
        self.publish_own();
        let local_peers = self.others().filter(|peer| peer.domain == self.own.domain);
        let peers: Vec<MemberRecord> = local_peers.cloned().collect();
        let mut actions = vec![MemberAction::MembersChanged];
        // Sent at once instead of in the next round, so that the seats move without delay.
        for peer in &peers {
            actions.push(self.probe(peer, None, now));
        }
        actions
    }

    /// Probes a few members at once, so that they receive a new digest.
    pub fn announce(&mut self, fanout: usize, now: Instant) -> Vec<MemberAction> {
        let mut local_peers: Vec<MemberRecord> = self
            .others()
            .filter(|peer| peer.domain == self.own.domain)
            .cloned()
            .collect();
        self.random.shuffle(&mut local_peers);
        local_peers.truncate(fanout);
        local_peers.extend(self.remote_partner());
        local_peers
            .iter()
            .map(|peer| self.probe(peer, None, now))
            .collect()
    }

    /// Runs due work: timeouts and the next round.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.check_pending_probes(now, &mut actions);
        self.check_suspects(now, &mut actions);
        if self.next_round.is_none_or(|due| due <= now) {
            self.next_round = Some(now + self.settings.period);
            self.start_round(now, &mut actions);
        }
        actions
    }

    /// Handles a received message.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        match message {
            GossipMessage::Probe {
                sequence,
                sender,
                digest,
                updates,
            } => {
                self.apply_gossip(&sender, digest, updates, now, &mut actions);
                let reply = GossipMessage::Ack {
                    sequence,
                    sender: self.own.clone(),
                    digest: self.digest,
                    updates: self.take_updates(),
                };
                actions.push(send(&sender, reply));
            }
            GossipMessage::Ack {
                sequence,
                sender,
                digest,
                updates,
            } => {
                self.apply_gossip(&sender, digest, updates, now, &mut actions);
                self.handle_ack(sequence, &sender, &mut actions);
            }
            GossipMessage::Relay {
                sequence,
                sender,
                target,
            } => {
                self.apply_gossip(&sender, self.digest, Vec::new(), now, &mut actions);
                if let Some(target) = self.members.get(&target).cloned() {
                    let origin = Some((sender.vm.clone(), sequence));
                    let action = self.probe(&target, origin, now);
                    actions.push(action);
                }
            }
            GossipMessage::PullMembers { sender } => {
                self.apply_gossip(&sender, self.digest, Vec::new(), now, &mut actions);
                let records = self.members.values().cloned().collect();
                actions.push(send(&sender, GossipMessage::AllMembers { records }));
            }
            GossipMessage::AllMembers { records } => {
                for record in records {
                    self.apply_record(record, now, &mut actions);
                }
            }
        }
        actions
    }

    /// Number of members in each state: alive, suspect, leaving, dead.
    pub fn counts(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for record in self.members.values() {
            counts[record.state as usize] += 1;
        }
        counts
    }

    fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|record| record.vm != self.own.vm && record.state != MemberState::Dead)
    }
}

fn send(peer: &MemberRecord, message: GossipMessage) -> MemberAction {
    MemberAction::Send {
        to: Some(peer.vm.clone()),
        address: peer.address,
        message,
    }
}

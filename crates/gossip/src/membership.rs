//! The table of members and the messages that keep it.

mod message;
mod news;
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
    sent: Instant,
    relayed: bool,
    /// The member that asked for this probe, and its number for it.
    origin: Option<(VmName, u64)>,
}

#[derive(Clone, Debug)]
struct QueuedUpdate {
    record: MemberRecord,
    sends_left: u32,
}

/// The members as this daemon knows them.
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
    differs_since: Option<Instant>,
    next_round: Option<Instant>,
    sequence: u64,
    random: fastrand::Rng,
    /// Set by the daemon before each round.
    pub digest: SharedDigest,
}

impl MemberTable {
    /// A table that knows only `own`.
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
            differs_since: None,
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

    /// All records, dead ones included.
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

    /// Addresses at which members may be found, from the VM list or settings.
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

    /// When [`MemberTable::tick`] is due next.
    pub fn next_tick(&self, now: Instant) -> Instant {
        let round = self.next_round.unwrap_or(now);
        if self.pending.is_empty() && self.suspected.is_empty() {
            return round;
        }
        let step = self.settings.direct_timeout / 4;
        round.min(now + step)
    }

    /// Announces that this daemon is going.
    pub fn leave(&mut self, now: Instant) -> Vec<MemberAction> {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
        self.store_own();
        let near = self.others().filter(|peer| peer.domain == self.own.domain);
        let peers: Vec<MemberRecord> = near.cloned().collect();
        let mut actions = vec![MemberAction::MembersChanged];
        // The seats should move at once, so the news doesn't wait for a round.
        for peer in &peers {
            actions.push(self.probe(peer, None, now));
        }
        actions
    }

    /// Probes at once a few members, so that they learn of a new digest.
    pub fn announce(&mut self, fanout: usize, now: Instant) -> Vec<MemberAction> {
        let mut near: Vec<MemberRecord> = self
            .others()
            .filter(|peer| peer.domain == self.own.domain)
            .cloned()
            .collect();
        self.random.shuffle(&mut near);
        near.truncate(fanout);
        near.extend(self.far_partner());
        near.iter()
            .map(|peer| self.probe(peer, None, now))
            .collect()
    }

    /// Runs what is due.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        self.check_pending(now, &mut actions);
        self.check_suspects(now, &mut actions);
        if self.next_round.is_none_or(|due| due <= now) {
            self.next_round = Some(now + self.settings.period);
            self.start_round(now, &mut actions);
        }
        actions
    }

    /// Takes a message that came from `address`.
    pub fn receive(&mut self, message: GossipMessage, now: Instant) -> Vec<MemberAction> {
        let mut actions = Vec::new();
        match message {
            GossipMessage::Probe {
                sequence,
                sender,
                digest,
                updates,
            } => {
                self.hear_from(&sender, digest, updates, now, &mut actions);
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
                self.hear_from(&sender, digest, updates, now, &mut actions);
                self.acknowledged(sequence, &sender, &mut actions);
            }
            GossipMessage::Relay {
                sequence,
                sender,
                target,
            } => {
                self.hear_from(&sender, self.digest, Vec::new(), now, &mut actions);
                if let Some(target) = self.members.get(&target).cloned() {
                    let origin = Some((sender.vm.clone(), sequence));
                    let action = self.probe(&target, origin, now);
                    actions.push(action);
                }
            }
            GossipMessage::PullMembers { sender } => {
                self.hear_from(&sender, self.digest, Vec::new(), now, &mut actions);
                let records = self.members.values().cloned().collect();
                actions.push(send(&sender, GossipMessage::AllMembers { records }));
            }
            GossipMessage::AllMembers { records } => {
                for record in records {
                    self.learn(record, now, &mut actions);
                }
            }
        }
        actions
    }

    /// Counts of members by state: alive, suspect, leaving, dead.
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

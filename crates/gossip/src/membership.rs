//! The table of members and the messages that keep it.

use crate::member::{MemberRecord, MemberState};
use camphorway_model::{FailureDomain, VmName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::Xxh3;

const MOST_UPDATES: usize = 8;
const INDIRECT_PROBES: usize = 2;
const FAR_PARTNERS: usize = 3;

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
    /// Of the quarantine.
    pub quarantine: u64,
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
    Changed,
    /// The sender's items or quarantine differ from ours: exchange them with it.
    Differs {
        /// The peer.
        vm: VmName,
        /// Its address.
        address: SocketAddr,
        /// What it has.
        digest: SharedDigest,
    },
}

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
        let mut actions = vec![MemberAction::Changed];
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

    fn start_round(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        for _ in 0..self.settings.probes {
            if let Some(peer) = self.next_near() {
                let action = self.probe(&peer, None, now);
                actions.push(action);
            }
        }
        for _ in 0..self.settings.far_probes {
            if let Some(peer) = self.far_partner() {
                let action = self.probe(&peer, None, now);
                actions.push(action);
            }
        }
        self.probe_candidate(actions);
        let tombstone = self.settings.tombstone;
        let old: Vec<VmName> = self
            .dead
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) > tombstone)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in old {
            self.dead.remove(&vm);
            self.members.remove(&vm);
            self.refresh_digest();
        }
    }

    /// The next member of the own domain, each once before any comes again.
    fn next_near(&mut self) -> Option<MemberRecord> {
        while let Some(vm) = self.probe_order.pop() {
            let known = self.members.get(&vm);
            if let Some(record) = known.filter(|record| record.state != MemberState::Dead) {
                return Some(record.clone());
            }
        }
        let near = self.others().filter(|peer| peer.domain == self.own.domain);
        let mut order: Vec<VmName> = near.map(|peer| peer.vm.clone()).collect();
        self.random.shuffle(&mut order);
        self.probe_order = order;
        let vm = self.probe_order.pop()?;
        self.members.get(&vm).cloned()
    }

    /// One of this member's few partners in other domains.
    ///
    /// They stay the same while they live, since a new connection costs as much
    /// as minutes of probes over an old one.
    fn far_partner(&mut self) -> Option<MemberRecord> {
        let own = &self.own;
        let far = self.members.values();
        let far = far.filter(|peer| peer.domain != own.domain && peer.state != MemberState::Dead);
        let mut partners: Vec<(u64, &MemberRecord)> = far
            .map(|peer| (affinity(&own.vm, &peer.vm), peer))
            .collect();
        let count = FAR_PARTNERS.min(partners.len());
        if count == 0 {
            return None;
        }
        partners.select_nth_unstable_by_key(count - 1, |(affinity, _)| *affinity);
        let index = self.random.usize(..count);
        Some(partners[index].1.clone())
    }

    /// Tries one address that no living member has.
    fn probe_candidate(&mut self, actions: &mut Vec<MemberAction>) {
        let living: Vec<SocketAddr> = self.others().map(|peer| peer.address).collect();
        let unknown: Vec<SocketAddr> = self
            .candidates
            .keys()
            .filter(|address| !living.contains(address))
            .copied()
            .collect();
        if unknown.is_empty() {
            return;
        }
        // A daemon that knows nobody tries all at once, so that it joins within a round.
        let alone = living.is_empty();
        let first = self.random.usize(..unknown.len());
        let count = if alone { unknown.len().min(16) } else { 1 };
        for offset in 0..count {
            let address = unknown[(first + offset) % unknown.len()];
            let message = GossipMessage::PullMembers {
                sender: self.own.clone(),
            };
            actions.push(MemberAction::Send {
                to: None,
                address,
                message,
            });
        }
    }

    fn probe(
        &mut self,
        peer: &MemberRecord,
        origin: Option<(VmName, u64)>,
        now: Instant,
    ) -> MemberAction {
        self.sequence += 1;
        let probe = PendingProbe {
            target: peer.vm.clone(),
            sent: now,
            relayed: false,
            origin,
        };
        self.pending.insert(self.sequence, probe);
        let message = GossipMessage::Probe {
            sequence: self.sequence,
            sender: self.own.clone(),
            digest: self.digest,
            updates: self.take_updates(),
        };
        send(peer, message)
    }

    fn acknowledged(
        &mut self,
        sequence: u64,
        sender: &MemberRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(probe) = self.pending.remove(&sequence) else {
            return;
        };
        let Some((origin, number)) = probe.origin else {
            return;
        };
        if let Some(origin) = self.members.get(&origin) {
            let message = GossipMessage::Ack {
                sequence: number,
                sender: sender.clone(),
                digest: self.digest,
                updates: Vec::new(),
            };
            actions.push(send(origin, message));
        }
    }

    fn check_pending(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let settings = self.settings.clone();
        let mut relays = Vec::new();
        let mut silent = Vec::new();
        self.pending.retain(|sequence, probe| {
            let waited = now.saturating_duration_since(probe.sent);
            if waited >= settings.indirect_timeout {
                if probe.origin.is_none() {
                    silent.push((probe.target.clone(), probe.sent));
                }
                return false;
            }
            if waited >= settings.direct_timeout && !probe.relayed && probe.origin.is_none() {
                probe.relayed = true;
                relays.push((*sequence, probe.target.clone()));
            }
            true
        });
        for (sequence, target) in relays {
            self.ask_relays(sequence, &target, actions);
        }
        // A process that was paused finds all its probes late at once; the fault is its own.
        let paused = silent
            .iter()
            .any(|(_, sent)| now.saturating_duration_since(*sent) > settings.indirect_timeout * 2);
        if paused {
            return;
        }
        for (target, _) in silent {
            self.suspect(&target, now, actions);
        }
    }

    fn ask_relays(&mut self, sequence: u64, target: &VmName, actions: &mut Vec<MemberAction>) {
        let mut helpers: Vec<MemberRecord> = self
            .others()
            .filter(|peer| peer.vm != *target && peer.state == MemberState::Alive)
            .filter(|peer| peer.domain == self.own.domain)
            .cloned()
            .collect();
        self.random.shuffle(&mut helpers);
        for helper in helpers.iter().take(INDIRECT_PROBES) {
            let message = GossipMessage::Relay {
                sequence,
                sender: self.own.clone(),
                target: target.clone(),
            };
            actions.push(send(helper, message));
        }
    }

    fn suspect(&mut self, target: &VmName, now: Instant, actions: &mut Vec<MemberAction>) {
        let Some(record) = self.members.get(target) else {
            return;
        };
        // A cut between domains is not the death of the members behind it.
        if record.domain != self.own.domain {
            return;
        }
        let mut record = record.clone();
        match record.state {
            MemberState::Alive => record.state = MemberState::Suspect,
            MemberState::Leaving => record.state = MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        }
        self.learn(record, now, actions);
    }

    fn check_suspects(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let suspicion = self.settings.suspicion;
        let due: Vec<VmName> = self
            .suspected
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= suspicion)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in due {
            self.suspected.remove(&vm);
            let Some(record) = self.members.get(&vm) else {
                continue;
            };
            if record.state == MemberState::Suspect {
                let mut record = record.clone();
                record.state = MemberState::Dead;
                self.learn(record, now, actions);
            }
        }
    }

    fn hear_from(
        &mut self,
        sender: &MemberRecord,
        digest: SharedDigest,
        updates: Vec<MemberRecord>,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
        self.learn(sender.clone(), now, actions);
        for record in updates {
            self.learn(record, now, actions);
        }
        if digest.items != self.digest.items || digest.quarantine != self.digest.quarantine {
            actions.push(MemberAction::Differs {
                vm: sender.vm.clone(),
                address: sender.address,
                digest,
            });
        }
        if digest.members == self.digest.members {
            self.differs_since = None;
            return;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= self.settings.settle {
            self.differs_since = None;
            let message = GossipMessage::PullMembers {
                sender: self.own.clone(),
            };
            actions.push(send(sender, message));
        }
    }

    /// Takes news of a member if it is newer than what is known.
    fn learn(&mut self, record: MemberRecord, now: Instant, actions: &mut Vec<MemberAction>) {
        if record.vm == self.own.vm {
            self.defend(&record, actions);
            return;
        }
        let before = self.members.get(&record.vm);
        if before.is_some_and(|before| !record.overrides(before)) {
            return;
        }
        // A death that everyone here has forgotten is no news.
        if before.is_none() && record.state == MemberState::Dead {
            return;
        }
        let was_serving = before.is_some_and(MemberRecord::is_serving);
        let changed = was_serving != record.is_serving();
        match record.state {
            MemberState::Suspect => {
                self.suspected.insert(record.vm.clone(), now);
            }
            MemberState::Dead => {
                self.dead.insert(record.vm.clone(), now);
                self.suspected.remove(&record.vm);
            }
            MemberState::Alive | MemberState::Leaving => {
                self.dead.remove(&record.vm);
                self.suspected.remove(&record.vm);
            }
        }
        self.members.insert(record.vm.clone(), record.clone());
        self.queue_update(record);
        self.refresh_digest();
        if changed {
            actions.push(MemberAction::Changed);
        }
    }

    /// Overrides what others wrongly say of this daemon.
    fn defend(&mut self, record: &MemberRecord, actions: &mut Vec<MemberAction>) {
        if !record.overrides(&self.own) {
            return;
        }
        self.own.incarnation = record.incarnation + 1;
        self.store_own();
        actions.push(MemberAction::Changed);
    }

    fn store_own(&mut self) {
        let own = self.own.clone();
        self.members.insert(own.vm.clone(), own.clone());
        self.queue_update(own);
        self.refresh_digest();
    }

    fn queue_update(&mut self, record: MemberRecord) {
        self.updates.retain(|update| update.record.vm != record.vm);
        let size = self.members.len().max(2);
        let sends_left = 3 * size.ilog2().max(1);
        self.updates.push_front(QueuedUpdate { record, sends_left });
    }

    /// The updates that go out with a message; the least sent ones first.
    fn take_updates(&mut self) -> Vec<MemberRecord> {
        let mut taken = Vec::new();
        for _ in 0..self.updates.len().min(MOST_UPDATES) {
            let Some(mut update) = self.updates.pop_front() else {
                break;
            };
            taken.push(update.record.clone());
            update.sends_left -= 1;
            if update.sends_left > 0 {
                self.updates.push_back(update);
            }
        }
        taken
    }

    fn refresh_digest(&mut self) {
        let mix = |digest: u64, record: &MemberRecord| digest.wrapping_add(record.digest());
        // The dead are left out, since members forget them at different times.
        self.digest.members = self
            .members
            .values()
            .filter(|record| record.state != MemberState::Dead)
            .fold(0, mix);
    }
}

/// A number that differs for each pair, by which members choose partners.
fn affinity(own: &VmName, peer: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(peer.as_str().as_bytes());
    hasher.digest()
}

fn send(peer: &MemberRecord, message: GossipMessage) -> MemberAction {
    MemberAction::Send {
        to: Some(peer.vm.clone()),
        address: peer.address,
        message,
    }
}

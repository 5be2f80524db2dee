//! Probes: the choice of members, timeouts, and suspicion.

use super::message::{GossipMessage, MemberAction};
use super::{MemberTable, PendingProbe, send};
use crate::member::{MemberRecord, MemberState};
use camphorway_model::VmName;
use std::net::SocketAddr;
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3;

const INDIRECT_PROBES: usize = 2;
const REMOTE_PARTNERS: usize = 3;

impl MemberTable {
    pub(super) fn start_round(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        for _ in 0..self.settings.probes {
            if let Some(peer) = self.next_local_peer() {
                let action = self.probe(&peer, None, now);
                actions.push(action);
            }
        }
        for _ in 0..self.settings.remote_probes {
            if let Some(peer) = self.remote_partner() {
                let action = self.probe(&peer, None, now);
                actions.push(action);
            }
        }
        self.probe_candidate(actions);
        let tombstone_retention = self.settings.tombstone_retention;
        let expired: Vec<VmName> = self
            .dead
            .iter()
            .filter(|(_, at)| now.saturating_duration_since(**at) > tombstone_retention)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in expired {
            self.dead.remove(&vm);
            self.members.remove(&vm);
            self.refresh_digest();
        }
    }

    /// The next member of the own domain, in random order and each once per pass.
    pub(super) fn next_local_peer(&mut self) -> Option<MemberRecord> {
        while let Some(vm) = self.probe_order.pop() {
            let known = self.members.get(&vm);
            if let Some(record) = known.filter(|record| record.state != MemberState::Dead) {
                return Some(record.clone());
            }
        }
        let local_peers = self.others().filter(|peer| peer.domain == self.own.domain);
        let mut order: Vec<VmName> = local_peers.map(|peer| peer.vm.clone()).collect();
        self.random.shuffle(&mut order);
        self.probe_order = order;
        let vm = self.probe_order.pop()?;
        self.members.get(&vm).cloned()
    }

    /// One of this member's few partners in other domains.
    ///
    /// The partners stay the same while they are alive, because a new connection
    /// costs as much as minutes of probes over an existing one.
    pub(super) fn remote_partner(&mut self) -> Option<MemberRecord> {
        let own = &self.own;
        let remote_peers = self.members.values();
        let remote_peers = remote_peers
            .filter(|peer| peer.domain != own.domain && peer.state != MemberState::Dead);
        let mut partners: Vec<(u64, &MemberRecord)> = remote_peers
            .map(|peer| (affinity(&own.vm, &peer.vm), peer))
            .collect();
        let count = REMOTE_PARTNERS.min(partners.len());
        if count == 0 {
            return None;
        }
        partners.select_nth_unstable_by_key(count - 1, |(affinity, _)| *affinity);
        let index = self.random.usize(..count);
        Some(partners[index].1.clone())
    }

    /// Contacts a candidate address that belongs to no living member.
    pub(super) fn probe_candidate(&mut self, actions: &mut Vec<MemberAction>) {
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
        // A daemon without known members contacts several at once, so that it joins within a round.
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

    pub(super) fn probe(
        &mut self,
        peer: &MemberRecord,
        origin: Option<(VmName, u64)>,
        now: Instant,
    ) -> MemberAction {
        self.sequence += 1;
        let probe = PendingProbe {
            target: peer.vm.clone(),
            sent_at: now,
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

    pub(super) fn handle_ack(
        &mut self,
        sequence: u64,
        sender: &MemberRecord,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(probe) = self.pending.remove(&sequence) else {
            return;
        };
        let Some((origin, origin_sequence)) = probe.origin else {
            return;
        };
        if let Some(origin) = self.members.get(&origin) {
            let message = GossipMessage::Ack {
                sequence: origin_sequence,
                sender: sender.clone(),
                digest: self.digest,
                updates: Vec::new(),
            };
            actions.push(send(origin, message));
        }
    }

    pub(super) fn check_pending_probes(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let settings = self.settings.clone();
        let mut relays = Vec::new();
        let mut unanswered = Vec::new();
        self.pending.retain(|sequence, probe| {
            let waited = now.saturating_duration_since(probe.sent_at);
            if waited >= settings.indirect_timeout {
                if probe.origin.is_none() {
                    unanswered.push((probe.target.clone(), probe.sent_at));
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
            self.request_indirect_probes(sequence, &target, actions);
        }
        // After a pause of this process all its probes are late; the members are not at fault.
        let paused = unanswered.iter().any(|(_, sent_at)| {
            now.saturating_duration_since(*sent_at) > settings.indirect_timeout * 2
        });
        if paused {
            return;
        }
        for (target, _) in unanswered {
            self.suspect(&target, now, actions);
        }
    }

    pub(super) fn request_indirect_probes(
        &mut self,
        sequence: u64,
        target: &VmName,
        actions: &mut Vec<MemberAction>,
    ) {
        let mut relays: Vec<MemberRecord> = self
            .others()
            .filter(|peer| peer.vm != *target && peer.state == MemberState::Alive)
            .filter(|peer| peer.domain == self.own.domain)
            .cloned()
            .collect();
        self.random.shuffle(&mut relays);
        for relay in relays.iter().take(INDIRECT_PROBES) {
            let message = GossipMessage::Relay {
                sequence,
                sender: self.own.clone(),
                target: target.clone(),
            };
            actions.push(send(relay, message));
        }
    }

    pub(super) fn suspect(
        &mut self,
        target: &VmName,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(record) = self.members.get(target) else {
            return;
        };
        // A network partition between domains doesn't mean that members are dead.
        if record.domain != self.own.domain {
            return;
        }
        let mut record = record.clone();
        match record.state {
            MemberState::Alive => record.state = MemberState::Suspect,
            MemberState::Leaving => record.state = MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        }
        self.apply_record(record, now, actions);
    }

    pub(super) fn check_suspects(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
        let suspicion_timeout = self.settings.suspicion_timeout;
        let due: Vec<VmName> = self
            .suspected
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= suspicion_timeout)
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
                self.apply_record(record, now, actions);
            }
        }
    }
}

/// A hash of the pair, by which members choose remote partners.
fn affinity(own: &VmName, peer: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(peer.as_str().as_bytes());
    hasher.digest()
}

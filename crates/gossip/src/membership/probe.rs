//! Probes: whom to ask, when, and what silence means.

use super::message::{GossipMessage, MemberAction};
use super::{MemberTable, PendingProbe, send};
use crate::member::{MemberRecord, MemberState};
use camphorway_model::VmName;
use std::net::SocketAddr;
use std::time::Instant;
use xxhash_rust::xxh3::Xxh3;

const INDIRECT_PROBES: usize = 2;
const FAR_PARTNERS: usize = 3;

impl MemberTable {
    pub(super) fn start_round(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
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
    pub(super) fn next_near(&mut self) -> Option<MemberRecord> {
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
    pub(super) fn far_partner(&mut self) -> Option<MemberRecord> {
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

    pub(super) fn probe(
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

    pub(super) fn acknowledged(
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

    pub(super) fn check_pending(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
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

    pub(super) fn ask_relays(
        &mut self,
        sequence: u64,
        target: &VmName,
        actions: &mut Vec<MemberAction>,
    ) {
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

    pub(super) fn suspect(
        &mut self,
        target: &VmName,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
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

    pub(super) fn check_suspects(&mut self, now: Instant, actions: &mut Vec<MemberAction>) {
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
}

/// A number that differs for each pair, by which members choose partners.
fn affinity(own: &VmName, peer: &VmName) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(own.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(peer.as_str().as_bytes());
    hasher.digest()
}

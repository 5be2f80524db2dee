//! Dissemination of member updates: precedence of records, and the queue.

use super::message::{GossipMessage, MemberAction, SharedDigest};
use super::{MemberTable, QueuedUpdate, send};
use crate::member::{MemberRecord, MemberState};
use std::time::Instant;

const MAX_UPDATES_PER_MESSAGE: usize = 8;

impl MemberTable {
    /// Applies the sender's record, the updates and the digests of a received message.
    pub(super) fn apply_gossip(
        &mut self,
        sender: &MemberRecord,
        digest: SharedDigest,
        updates: Vec<MemberRecord>,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
        self.apply_record(sender.clone(), now, actions);
        for record in updates {
            self.apply_record(record, now, actions);
        }
        let behind = digest.items != self.digest.items
            && digest.item_version_sum >= self.digest.item_version_sum;
        if behind || digest.reports != self.digest.reports {
            actions.push(MemberAction::Pull {
                vm: sender.vm.clone(),
                address: sender.address,
            });
        }
        if digest.members == self.digest.members {
            self.digest_differs_since = None;
            return;
        }
        let since = *self.digest_differs_since.get_or_insert(now);
        if now.saturating_duration_since(since) >= self.settings.full_sync_delay {
            self.digest_differs_since = None;
            let message = GossipMessage::PullMembers {
                sender: self.own.clone(),
            };
            actions.push(send(sender, message));
        }
    }

    /// Applies a member's record if it overrides the current one.
    pub(super) fn apply_record(
        &mut self,
        record: MemberRecord,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
        if record.vm == self.own.vm {
            self.refute(&record, actions);
            return;
        }
        let previous = self.members.get(&record.vm);
        if previous.is_some_and(|previous| !record.overrides(previous)) {
            return;
        }
        // A dead member whose record has been removed must not be added again.
        if previous.is_none() && record.state == MemberState::Dead {
            return;
        }
        let was_serving = previous.is_some_and(MemberRecord::is_serving);
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
            actions.push(MemberAction::MembersChanged);
        }
    }

    /// Overrides a wrong record of this daemon by raising its incarnation.
    pub(super) fn refute(&mut self, record: &MemberRecord, actions: &mut Vec<MemberAction>) {
        if !record.overrides(&self.own) {
            return;
        }
        self.own.incarnation = record.incarnation + 1;
        self.publish_own();
        actions.push(MemberAction::MembersChanged);
    }

    pub(super) fn publish_own(&mut self) {
        let own = self.own.clone();
        self.members.insert(own.vm.clone(), own.clone());
        self.queue_update(own);
        self.refresh_digest();
    }

    pub(super) fn queue_update(&mut self, record: MemberRecord) {
        self.updates.retain(|update| update.record.vm != record.vm);
        let size = self.members.len().max(2);
        let sends_left = 3 * size.ilog2().max(1);
        self.updates.push_front(QueuedUpdate { record, sends_left });
    }

    /// Takes the updates to attach to a message, the least often sent first.
    pub(super) fn take_updates(&mut self) -> Vec<MemberRecord> {
        let mut taken = Vec::new();
        for _ in 0..self.updates.len().min(MAX_UPDATES_PER_MESSAGE) {
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

    pub(super) fn refresh_digest(&mut self) {
        let mix = |digest: u64, record: &MemberRecord| digest.wrapping_add(record.digest());
        // Dead members are left out, since members remove them at different times.
        self.digest.members = self
            .members
            .values()
            .filter(|record| record.state != MemberState::Dead)
            .fold(0, mix);
    }
}

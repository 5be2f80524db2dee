//! News of members: what overrides what, and how it spreads.

use super::message::{GossipMessage, MemberAction, SharedDigest};
use super::{MemberTable, QueuedUpdate, send};
use crate::member::{MemberRecord, MemberState};
use std::time::Instant;

const MOST_UPDATES: usize = 8;

impl MemberTable {
    pub(super) fn hear_from(
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
        let behind = digest.items != self.digest.items
            && digest.item_version_sum >= self.digest.item_version_sum;
        if behind || digest.reports != self.digest.reports {
            actions.push(MemberAction::Pull {
                vm: sender.vm.clone(),
                address: sender.address,
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
    pub(super) fn learn(
        &mut self,
        record: MemberRecord,
        now: Instant,
        actions: &mut Vec<MemberAction>,
    ) {
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
            actions.push(MemberAction::MembersChanged);
        }
    }

    /// Overrides what others wrongly say of this daemon.
    pub(super) fn defend(&mut self, record: &MemberRecord, actions: &mut Vec<MemberAction>) {
        if !record.overrides(&self.own) {
            return;
        }
        self.own.incarnation = record.incarnation + 1;
        self.store_own();
        actions.push(MemberAction::MembersChanged);
    }

    pub(super) fn store_own(&mut self) {
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

    /// The updates that go out with a message; the least sent ones first.
    pub(super) fn take_updates(&mut self) -> Vec<MemberRecord> {
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

    pub(super) fn refresh_digest(&mut self) {
        let mix = |digest: u64, record: &MemberRecord| digest.wrapping_add(record.digest());
        // The dead are left out, since members forget them at different times.
        self.digest.members = self
            .members
            .values()
            .filter(|record| record.state != MemberState::Dead)
            .fold(0, mix);
    }
}

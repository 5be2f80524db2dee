//! A simulated network between member tables, with delay, loss, partitions,
//! paused members and a simulated clock.

use camphorway_gossip::{
    GossipMessage, MemberAction, MemberRecord, MemberState, MemberTable, MembershipSettings,
};
use camphorway_model::{FailureDomain, VmName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const DELAY: Duration = Duration::from_millis(2);

/// The members and the messages in flight.
pub struct FakeNetwork {
    pub now: Instant,
    pub members: Vec<MemberTable>,
    /// Members that neither send nor receive.
    pub down: Vec<bool>,
    /// Whether members of different domains can't reach each other.
    pub is_partitioned: bool,
    pub loss: f64,
    pub messages: usize,
    queue: BTreeMap<(Instant, u64), (usize, GossipMessage)>,
    sequence: u64,
    random: fastrand::Rng,
}

impl FakeNetwork {
    /// Creates `size` members in each of `domains` domains. The first member of
    /// each of the first two domains is a candidate of all.
    pub fn new(domains: usize, size: usize, seed: u64) -> Self {
        let mut members = Vec::new();
        for index in 0..domains * size {
            let own = MemberRecord {
                vm: VmName::new(&format!("entry-{index}")),
                domain: FailureDomain::new(&format!("domain-{}", index / size)),
                address: address(index),
                incarnation: 1,
                state: MemberState::Alive,
            };
            let mut table =
                MemberTable::new(own, MembershipSettings::default(), seed + index as u64);
            let second = if domains > 1 { size } else { 0 };
            table.add_candidates([address(0), address(second)]);
            members.push(table);
        }
        Self {
            now: Instant::now(),
            down: vec![false; members.len()],
            members,
            is_partitioned: false,
            loss: 0.0,
            messages: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Runs the network for `duration` of simulated time.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(10);
            self.deliver();
            for index in 0..self.members.len() {
                if !self.down[index] && self.members[index].next_tick(self.now) <= self.now {
                    let actions = self.members[index].tick(self.now);
                    self.perform(index, actions);
                }
            }
        }
    }

    /// Runs until `done` returns true, for at most `limit`. Returns the elapsed time.
    pub fn run_until<Done>(&mut self, limit: Duration, done: Done) -> Option<Duration>
    where
        Done: Fn(&Self) -> bool,
    {
        let started_at = self.now;
        while !done(self) {
            if self.now - started_at > limit {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now - started_at)
    }

    /// Minimum, over the running members, of the number of members they regard as serving.
    pub fn min_serving_seen(&self) -> usize {
        let known =
            |table: &MemberTable| table.records().filter(|record| record.is_serving()).count();
        let running = self
            .members
            .iter()
            .zip(&self.down)
            .filter(|(_, down)| !**down);
        running
            .map(|(table, _)| known(table))
            .min()
            .unwrap_or_default()
    }

    /// Whether no running member of the domain regards `target` as serving.
    pub fn is_gone(&self, target: usize) -> bool {
        let vm = self.members[target].own().vm.clone();
        let domain = self.members[target].own().domain.clone();
        self.members.iter().enumerate().all(|(index, table)| {
            let is_observer = index != target && !self.down[index] && table.own().domain == domain;
            let sees_target = table
                .records()
                .any(|record| record.vm == vm && record.is_serving());
            !(is_observer && sees_target)
        })
    }

    /// Puts the messages of a member's actions in flight.
    pub fn perform(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            if let MemberAction::Send {
                address, message, ..
            } = action
            {
                self.messages += 1;
                let to = usize::from(address.port()) - 1;
                let crosses_domains =
                    self.members[from].own().domain != self.members[to].own().domain;
                if (self.is_partitioned && crosses_domains) || self.random.f64() < self.loss {
                    continue;
                }
                self.sequence += 1;
                self.queue
                    .insert((self.now + DELAY, self.sequence), (to, message));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, message) = entry.remove();
            if !self.down[to] {
                let actions = self.members[to].receive(message, self.now);
                self.perform(to, actions);
            }
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

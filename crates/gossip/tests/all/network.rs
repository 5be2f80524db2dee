//! A fake of the messages' way between member tables: delay, loss, cuts and
//! paused members, with a time of its own.

use camphorway_gossip::{
    GossipMessage, MemberAction, MemberRecord, MemberState, MemberTable, MembershipSettings,
};
use camphorway_model::{FailureDomain, VmName};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const DELAY: Duration = Duration::from_millis(2);

/// Members and the messages under way.
pub struct FakeNetwork {
    pub now: Instant,
    pub members: Vec<MemberTable>,
    /// Members that neither send nor receive.
    pub down: Vec<bool>,
    /// Whether members of different domains can't reach each other.
    pub is_cut: bool,
    pub loss: f64,
    pub messages: usize,
    queue: BTreeMap<(Instant, u64), (usize, GossipMessage)>,
    sequence: u64,
    random: fastrand::Rng,
}

impl FakeNetwork {
    /// `size` members in each of `domains` domains; each knows the first.
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
            // The first member of each of the first two domains.
            let second = if domains > 1 { size } else { 0 };
            table.add_candidates([address(0), address(second)]);
            members.push(table);
        }
        Self {
            now: Instant::now(),
            down: vec![false; members.len()],
            members,
            is_cut: false,
            loss: 0.0,
            messages: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Lets `duration` pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(10);
            self.deliver();
            for index in 0..self.members.len() {
                if !self.down[index] && self.members[index].next_tick(self.now) <= self.now {
                    let actions = self.members[index].tick(self.now);
                    self.act(index, actions);
                }
            }
        }
    }

    /// Runs until `done` holds, at most `limit`; the time it took.
    pub fn run_until<Done>(&mut self, limit: Duration, done: Done) -> Option<Duration>
    where
        Done: Fn(&Self) -> bool,
    {
        let began = self.now;
        while !done(self) {
            if self.now - began > limit {
                return None;
            }
            self.run(Duration::from_millis(50));
        }
        Some(self.now - began)
    }

    /// How many members the running members take to be serving, at least.
    pub fn least_known(&self) -> usize {
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

    /// Whether every running member of the domain takes `target` to be gone.
    pub fn is_gone(&self, target: usize) -> bool {
        let vm = self.members[target].own().vm.clone();
        let domain = self.members[target].own().domain.clone();
        self.members.iter().enumerate().all(|(index, table)| {
            let concerned = index != target && !self.down[index] && table.own().domain == domain;
            let serves = table
                .records()
                .any(|record| record.vm == vm && record.is_serving());
            !(concerned && serves)
        })
    }

    pub fn act(&mut self, from: usize, actions: Vec<MemberAction>) {
        for action in actions {
            if let MemberAction::Send {
                address, message, ..
            } = action
            {
                self.messages += 1;
                let to = usize::from(address.port()) - 1;
                let crosses = self.members[from].own().domain != self.members[to].own().domain;
                if (self.is_cut && crosses) || self.random.f64() < self.loss {
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
                self.act(to, actions);
            }
        }
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

//! The gate counts slots exactly, reports each call exactly once, and preserves
//! each rank's guaranteed share during a flood.

use camphorway_model::RequestRank;
use camphorway_policy::{
    CallEnd, CallId, GateEvent, GateSettings, KindHash, ServerGate, WaitingCall,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

const SLOTS: u32 = 3;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        rank: usize,
        kind: u64,
        deadline_ms: u64,
        exclusive: bool,
    },
    Finish {
        pick: usize,
        end: usize,
    },
    Withdraw {
        pick: usize,
    },
    Leaving(bool),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..3_usize, 0..4_u64, 0..200_u64, prop::bool::weighted(0.1))
            .prop_map(|(rank, kind, deadline_ms, exclusive)| Step::Offer { rank, kind, deadline_ms, exclusive }),
        5 => (0..100_usize, 0..6_usize).prop_map(|(pick, end)| Step::Finish { pick, end }),
        1 => (0..100_usize).prop_map(|pick| Step::Withdraw { pick }),
        1 => prop::bool::weighted(0.1).prop_map(Step::Leaving),
        3 => (0..50_u64).prop_map(Step::Advance),
    ]
}

fn call(id: u64, rank: RequestRank, kind: u64, deadline: Instant) -> WaitingCall {
    WaitingCall {
        id: CallId(id),
        rank,
        kind: KindHash(kind),
        deadline,
        preemptible: rank == RequestRank::Bulk,
        exclusive: false,
    }
}

fn settings() -> GateSettings {
    let mut settings = GateSettings::new(SLOTS);
    settings.preempt = true;
    settings
}

/// The calls that a correct gate has waiting and running.
#[derive(Default)]
struct GateModel {
    waiting: BTreeSet<u64>,
    running: BTreeSet<u64>,
}

impl GateModel {
    fn apply(&mut self, events: &[GateEvent]) {
        for event in events {
            match event {
                GateEvent::Granted(id) => {
                    assert!(self.waiting.remove(&id.0), "{id:?} granted without waiting");
                    self.running.insert(id.0);
                }
                GateEvent::TooLate(id)
                | GateEvent::QueueFull(id)
                | GateEvent::ServerUnavailable(id) => {
                    assert!(self.waiting.remove(&id.0), "{id:?} dropped without waiting");
                }
                GateEvent::Preempt(id) => assert!(self.running.contains(&id.0)),
            }
        }
        assert!(self.running.len() <= SLOTS as usize);
    }
}

proptest! {
    #[test]
    fn slots_are_exact_and_each_call_is_reported_once(steps in prop::collection::vec(step(), 1..300)) {
        let mut now = Instant::now();
        let mut gate = ServerGate::new(settings());
        let mut model = GateModel::default();
        let mut next = 0;
        for step in steps {
            match step {
                Step::Offer { rank, kind, deadline_ms, exclusive } => {
                    let deadline = now + Duration::from_millis(deadline_ms);
                    let mut call = call(next, RequestRank::ALL[rank], kind, deadline);
                    call.exclusive = exclusive;
                    model.waiting.insert(next);
                    next += 1;
                    let events = gate.offer(call, now);
                    model.apply(&events);
                }
                Step::Finish { pick, end } => {
                    let Some(id) = model.running.iter().nth(pick % model.running.len().max(1)).copied() else {
                        continue;
                    };
                    let ends = [
                        CallEnd::Answered { took: Duration::from_millis(5) },
                        CallEnd::Shed,
                        CallEnd::Failed,
                        CallEnd::Cancelled,
                        CallEnd::Unsent,
                        CallEnd::Answered { took: Duration::from_millis(9) },
                    ];
                    model.running.remove(&id);
                    let events = gate.finish(CallId(id), ends[end], now);
                    model.apply(&events);
                }
                Step::Withdraw { pick } => {
                    let Some(id) = model.waiting.iter().nth(pick % model.waiting.len().max(1)).copied() else {
                        continue;
                    };
                    prop_assert!(gate.withdraw(CallId(id)));
                    model.waiting.remove(&id);
                }
                Step::Leaving(leaving) => gate.set_leaving(leaving),
                Step::Advance(ms) => now += Duration::from_millis(ms),
            }
            prop_assert_eq!(gate.load().0, model.running.len());
        }
    }

    #[test]
    fn flood_of_one_rank_leaves_the_others_their_share(flooding in 0..3_usize, seed in any::<u64>()) {
        let served = flood(RequestRank::ALL[flooding], seed);
        let total: f64 = served.values().sum();
        let shares = [0.5, 0.3, 0.1];
        for rank in RequestRank::ALL {
            let share = served[&rank] / total;
            // Every rank offers more than its share, so each must receive at
            // least nine tenths of it.
            prop_assert!(share >= shares[rank as usize] * 0.9, "{rank}: {share} of {served:?}");
        }
    }
}

/// Simulates a fully loaded server for 20 s. All ranks offer more than their
/// share and `flooding` ten times as much. Returns the service time that each
/// rank received.
fn flood(flooding: RequestRank, seed: u64) -> BTreeMap<RequestRank, f64> {
    const SERVICE: Duration = Duration::from_millis(10);
    const TICK: Duration = Duration::from_millis(1);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut now = Instant::now();
    let mut settings = settings();
    settings.preempt = false;
    let mut gate = ServerGate::new(settings);
    let mut ranks = BTreeMap::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut served: BTreeMap<RequestRank, f64> = RequestRank::ALL.map(|rank| (rank, 0.0)).into();
    let mut next = 0;
    for _ in 0..20_000 {
        now += TICK;
        let mut events = Vec::new();
        let ended: Vec<u64> = running
            .iter()
            .filter(|(end, _)| *end <= now)
            .map(|(_, id)| *id)
            .collect();
        running.retain(|(end, _)| *end > now);
        for id in ended {
            *served.entry(ranks[&id]).or_default() += SERVICE.as_secs_f64();
            events.extend(gate.finish(CallId(id), CallEnd::Answered { took: SERVICE }, now));
        }
        for rank in RequestRank::ALL {
            // Three slots of 10 ms serve 0.3 calls per millisecond; each rank offers 0.25.
            let offered = if rank == flooding { 2.5 } else { 0.25 };
            let count = offered as usize + usize::from(random.f64() < offered % 1.0);
            for _ in 0..count {
                ranks.insert(next, rank);
                let deadline = now + Duration::from_millis(200);
                events.extend(gate.offer(call(next, rank, 0, deadline), now));
                next += 1;
            }
        }
        for event in events {
            if let GateEvent::Granted(id) = event {
                running.push((now + SERVICE, id.0));
            }
        }
    }
    served
}

#[test]
fn flooding_kind_delays_only_itself() {
    let now = Instant::now();
    let mut gate = ServerGate::new(GateSettings::new(1));
    let deadline = now + Duration::from_secs(10);
    let mut events = Vec::new();
    for id in 0..100 {
        events.extend(gate.offer(call(id, RequestRank::Normal, 1, deadline), now));
    }
    gate.offer(call(100, RequestRank::Normal, 2, deadline), now);
    assert_eq!(events, [GateEvent::Granted(CallId(0))]);
    let took = Duration::from_millis(5);
    let first = gate.finish(CallId(0), CallEnd::Answered { took }, now);
    let GateEvent::Granted(first) = first[0] else {
        panic!("{first:?}")
    };
    let second = gate.finish(first, CallEnd::Answered { took }, now);
    let granted = [GateEvent::Granted(first), second[0]];
    assert!(
        granted.contains(&GateEvent::Granted(CallId(100))),
        "{granted:?}"
    );
}

#[test]
fn failing_server_is_reopened_by_one_probe() {
    let mut now = Instant::now();
    let mut gate = ServerGate::new(GateSettings::new(2));
    let deadline = now + Duration::from_secs(60);
    for id in 0..3 {
        gate.offer(call(id, RequestRank::Normal, 1, deadline), now);
        gate.finish(CallId(id), CallEnd::Failed, now);
    }
    assert!(!gate.is_usable(now));
    let refused = gate.offer(call(3, RequestRank::Normal, 1, deadline), now);
    assert_eq!(refused, [GateEvent::ServerUnavailable(CallId(3))]);
    now += Duration::from_secs(1);
    let probe = gate.offer(call(4, RequestRank::Normal, 1, deadline), now);
    assert_eq!(probe, [GateEvent::Granted(CallId(4))]);
    assert!(!gate.is_usable(now), "a second call beside the probe");
    gate.finish(
        CallId(4),
        CallEnd::Answered {
            took: Duration::from_millis(5),
        },
        now,
    );
    assert!(gate.is_usable(now));
}

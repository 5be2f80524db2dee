//! LOST: the fronts are stopped by SIGTERM and started again in turn, on a deployment
//! whose `graceS` is a fraction.

use crate::client::{Clients, End, Load};
use crate::leaf::{CrashPoint, LeafSettings};
use crate::record::Record;
use crate::{Deployment, Plan, StartTimes, Verdict};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ROUNDS: usize = 4;
/// The pause between two stops.
const GAP: Duration = Duration::from_secs(2);
/// More than `stabilityWindowMs` between rounds.
const CALM: Duration = Duration::from_secs(6);

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let whole = std::env::var("GRACE_S").is_ok_and(|value| value == "6");
    let plan = Plan {
        fronts: 3,
        leafs: 11,
        leaf: LeafSettings {
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            crash_point: CrashPoint::Never,
        },
        grace_s: if whole { "6" } else { "6.5" },
        kind: "non_idempotent",
    };
    let mut deployment = Deployment::start(plan, record, trouble)?;
    let fronts: Vec<SocketAddr> = deployment
        .fronts
        .iter()
        .map(|front| front.callers)
        .collect();
    let load = Load {
        clients: 24,
        method: "POST",
        path: "/serial/order",
        deadline_ms: 6_000,
        pause: Duration::from_millis(10),
        roams: false,
    };
    let clients = Clients::start(&fronts, load, record);
    let mut starts: StartTimes = vec![vec![Instant::now()]; plan.fronts];
    for _ in 0..ROUNDS {
        sleep(CALM);
        if trouble {
            deployment.say("the fronts are stopped and started in turn");
            deployment.restart_in_turn(GAP, &mut starts)?;
        } else {
            sleep(GAP * 4);
        }
    }
    sleep(Duration::from_secs(1));
    let attempts = clients.finish();
    let arrivals = deployment.leafs.iter().flat_map(|leaf| leaf.arrivals());
    let passed_on: HashSet<String> = arrivals
        .filter(|arrival| arrival.ran)
        .map(|arrival| arrival.id)
        .collect();
    let cut = attempts
        .iter()
        .filter(|attempt| attempt.end == End::NoAnswer && passed_on.contains(&attempt.id));
    let cut: Vec<_> = cut.collect();
    for attempt in &cut {
        let after = attempt.ended_at.saturating_duration_since(attempt.sent_at);
        let line = format!("LOST {} cut after {:.3} s", attempt.id, after.as_secs_f64());
        deployment.record.line(&line);
    }
    let failed = attempts
        .iter()
        .filter(|attempt| attempt.end == End::Status(502));
    deployment.say(&format!(
        "graceS {}; {} requests that are not idempotent; passed on to a leaf and then cut without an answer: {}; \
         answered 502: {}",
        plan.grace_s,
        attempts.len(),
        cut.len(),
        failed.count()
    ));
    if attempts.len() < 100 {
        return Err(io::Error::other("too little was sent"));
    }
    Ok(if cut.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

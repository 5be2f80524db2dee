//! BUDGET: content that crashes the leafs that run it comes again, at any front.

use crate::client::{Attempt, Clients, End, Load};
use crate::leaf::{CrashPoint, Leaf, LeafSettings};
use crate::record::Record;
use crate::{Deployment, Plan, StartTimes, Verdict};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const STABILITY_WINDOW: Duration = Duration::from_secs(5);
/// More retries than this, later than the stability window after the third crash,
/// break the rule.
const MAX_RETRIES: usize = 3;
/// The pause between two restarts of fronts.
const RESTART_GAP: Duration = Duration::from_secs(2);

fn plan(fronts: usize, crash_point: CrashPoint) -> Plan {
    Plan {
        fronts,
        leafs: 11,
        leaf: LeafSettings {
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            crash_point,
        },
        grace_s: "6",
        kind: "idempotent",
    }
}

/// One caller, whose program sends the request again and again, at any front.
const CRASHING_LOAD: Load = Load {
    clients: 1,
    method: "GET",
    path: "/serial/crash",
    deadline_ms: 6_000,
    pause: Duration::from_millis(250),
    roams: true,
};
const USUAL_LOAD: Load = Load {
    clients: 9,
    method: "GET",
    path: "/serial/2f",
    deadline_ms: 6_000,
    pause: Duration::from_millis(200),
    roams: false,
};

/// All fronts are restarted in turn while the content is quarantined.
pub fn play_restarts(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let mut deployment = Deployment::start(plan(9, CrashPoint::BeforeAnswer), record, trouble)?;
    let mut starts: StartTimes = vec![vec![Instant::now()]; deployment.fronts.len()];
    sleep(Duration::from_secs(6));
    let (usual, crashing) = start_clients(&deployment, Duration::from_millis(250));
    sleep(Duration::from_secs(3));
    if trouble {
        deployment.say("all fronts are restarted in turn");
        deployment.restart_in_turn(RESTART_GAP, &mut starts)?;
    } else {
        sleep(RESTART_GAP * 9 + Duration::from_secs(6));
    }
    sleep(Duration::from_secs(42));
    judge(&deployment, usual.finish(), crashing.finish(), &starts)
}

/// The content crashes the leafs while they answer. With `CRASH=before` it crashes them
/// before they answer, to compare; without trouble it crashes none.
pub fn play_in_answer(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let is_before = std::env::var("CRASH").is_ok_and(|value| value == "before");
    let crash_point = match (trouble, is_before) {
        (false, _) => CrashPoint::Never,
        (true, true) => CrashPoint::BeforeAnswer,
        (true, false) => CrashPoint::InAnswer,
    };
    let deployment = Deployment::start(plan(3, crash_point), record, trouble)?;
    let starts: StartTimes = vec![vec![Instant::now()]; deployment.fronts.len()];
    sleep(Duration::from_secs(6));
    let (usual, crashing) = start_clients(&deployment, Duration::from_secs(1));
    sleep(Duration::from_secs(30));
    judge(&deployment, usual.finish(), crashing.finish(), &starts)
}

fn start_clients(deployment: &Deployment, pause: Duration) -> (Clients, Clients) {
    let fronts: Vec<SocketAddr> = deployment
        .fronts
        .iter()
        .map(|front| front.callers)
        .collect();
    let usual = Clients::start(&fronts, USUAL_LOAD, &deployment.record);
    sleep(Duration::from_secs(1));
    deployment.say("the content that crashes leafs begins to come");
    let load = Load {
        pause,
        ..CRASHING_LOAD
    };
    let crashing = Clients::start(&fronts, load, &deployment.record);
    (usual, crashing)
}

fn judge(
    deployment: &Deployment,
    usual: Vec<Attempt>,
    crashing: Vec<Attempt>,
    starts: &StartTimes,
) -> io::Result<Verdict> {
    let mut crashes: Vec<Instant> = deployment
        .leafs
        .iter()
        .flat_map(|leaf| leaf.crashes())
        .collect();
    crashes.sort();
    let fronts: HashMap<SocketAddr, usize> = deployment
        .fronts
        .iter()
        .enumerate()
        .map(|(index, front)| (front.callers, index))
        .collect();
    let sent_to: HashMap<&str, usize> = crashing
        .iter()
        .map(|attempt| (attempt.id.as_str(), fronts[&attempt.address]))
        .collect();
    let unserved = usual
        .iter()
        .filter(|attempt| attempt.end != End::Status(200))
        .count();
    let mut retries = HashSet::new();
    if let Some(third) = crashes.get(2) {
        let arrivals = deployment
            .leafs
            .iter()
            .flat_map(|leaf: &Arc<Leaf>| leaf.arrivals());
        for arrival in arrivals.filter(|arrival| arrival.at > *third + STABILITY_WINDOW) {
            let Some(front) = sent_to.get(arrival.id.as_str()) else {
                continue;
            };
            let started = starts[*front].iter().filter(|at| **at <= arrival.at).max();
            if started.is_some_and(|at| arrival.at - *at >= STABILITY_WINDOW)
                && retries.insert(arrival.id.clone())
            {
                let after = (arrival.at - *third).as_secs_f64();
                let line = format!(
                    "BUDGET {} by front-{front} {after:.3} s after the third crash",
                    arrival.id
                );
                deployment.record.line(&line);
            }
        }
    }
    deployment.say(&format!(
        "the content came {} times and crashed {} leafs; it reached leafs in {} retries by fronts in touch, \
         later than {} s after the third crash; usual requests: {}, not served: {unserved}",
        crashing.len(),
        crashes.len(),
        retries.len(),
        STABILITY_WINDOW.as_secs(),
        usual.len()
    ));
    if crashing.len() < 20 || usual.len() < 200 {
        return Err(io::Error::other("too little was sent"));
    }
    Ok(if retries.len() > MAX_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

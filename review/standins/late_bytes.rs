//! TWICE: after a part of their answers, leafs send additional bytes late ("garble",
//! "extra late").

use crate::client::{Clients, End, Load};
use crate::leaf::{CrashPoint, LeafSettings};
use crate::record::Record;
use crate::{Deployment, Plan, Verdict};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// The site's dose of `garble` with `extra late`: x = 0.03, share = 0.6, for_s = 5.
const PER_THOUSAND: u64 = 30;
const FAULTY_LEAFS: usize = 6;
const FAULT_LENGTH: Duration = Duration::from_secs(5);
const FAULTS: usize = 6;
const PAUSE: Duration = Duration::from_secs(6);

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        fronts: 3,
        leafs: 11,
        leaf: LeafSettings {
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            crash_point: CrashPoint::Never,
        },
        grace_s: "6",
        kind: "non_idempotent",
    };
    let deployment = Deployment::start(plan, record, trouble)?;
    let fronts: Vec<SocketAddr> = deployment
        .fronts
        .iter()
        .map(|front| front.callers)
        .collect();
    let load = Load {
        clients: 12,
        method: "POST",
        path: "/serial/order",
        deadline_ms: 6_000,
        pause: Duration::from_millis(100),
        roams: false,
    };
    let clients = Clients::start(&fronts, load, record);
    for _ in 0..FAULTS {
        sleep(PAUSE);
        for leaf in deployment.leafs.iter().take(FAULTY_LEAFS) {
            leaf.set_late_bytes(if trouble { PER_THOUSAND } else { 0 });
        }
        sleep(FAULT_LENGTH);
        for leaf in &deployment.leafs {
            leaf.set_late_bytes(0);
        }
    }
    let attempts = clients.finish();
    sleep(Duration::from_millis(500));
    let mut runs: HashMap<String, usize> = HashMap::new();
    for arrival in deployment.leafs.iter().flat_map(|leaf| leaf.arrivals()) {
        *runs.entry(arrival.id).or_default() += usize::from(arrival.ran);
    }
    let twice = runs.iter().filter(|(_, runs)| **runs > 1);
    let twice: Vec<&String> = twice.map(|(id, _)| id).collect();
    for id in &twice {
        deployment.record.line(&format!("TWICE {id}"));
    }
    let served = attempts
        .iter()
        .filter(|attempt| attempt.end == End::Status(200));
    deployment.say(&format!(
        "{} requests that are not idempotent; answered 200: {}; run more than once: {}",
        attempts.len(),
        served.count(),
        twice.len()
    ));
    if attempts.len() < 1_000 {
        return Err(io::Error::other("too little was sent"));
    }
    Ok(if twice.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

//! DRAIN: a front that starts while the store's stale lists are some seconds old gets
//! the second page of the servers from an older state than the first.

use crate::client::{Clients, End, Load};
use crate::leaf::{CrashPoint, LeafSettings};
use crate::record::Record;
use crate::{Deployment, Plan, Verdict};
use std::io;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The site's dose of `platform_compact`: stale reads are 5.5 s behind.
const STALE: Duration = Duration::from_millis(5_500);
const DRAIN: Duration = Duration::from_secs(3);
const STABILITY_WINDOW: Duration = Duration::from_secs(5);
/// Entries of other services, so that the list has two pages of 500.
const OTHERS: usize = 520;

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        fronts: 1,
        leafs: 3,
        leaf: LeafSettings {
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            crash_point: CrashPoint::BeforeAnswer,
        },
        grace_s: "6",
        kind: "non_idempotent",
    };
    let mut deployment = Deployment::prepare(plan, record, trouble)?;
    let others: Vec<(String, Vec<u8>)> = (0..OTHERS)
        .map(|index| {
            let spec = format!(
                "{{\"service\":\"delavnica-{}\",\"address\":\"127.0.0.2:{}\",\"zone\":\"koper-a\",\
                 \"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1,\
                 \"born\":1760000000000}}",
                index / 3,
                20_000 + index
            );
            (format!("h-{index:04}"), spec.into_bytes())
        })
        .collect();
    deployment.store.put_all("servers", &others);
    sleep(Duration::from_secs(8));
    let leaving = Arc::clone(&deployment.leafs[0]);
    leaving.register("draining");
    let drained_at = Instant::now();
    deployment.say(&format!(
        "the store accepts that {} is draining",
        leaving.name
    ));
    // The first page is from now, or as old as the second.
    let first = if trouble { Duration::ZERO } else { STALE };
    deployment.store.set_stale_ages(first, STALE);
    sleep(Duration::from_secs(1));
    deployment.start_fronts(plan)?;
    let started_at = Instant::now();
    let load = Load {
        clients: 12,
        method: "POST",
        path: "/serial/order",
        deadline_ms: 6_000,
        pause: Duration::from_millis(50),
        roams: false,
    };
    let clients = Clients::start(&[deployment.fronts[0].callers], load, record);
    sleep(Duration::from_secs(12));
    // Many seconds after drainMs the leaf exits.
    leaving.crash();
    sleep(Duration::from_secs(1));
    let attempts = clients.finish();
    let lost = attempts
        .iter()
        .filter(|attempt| attempt.end != End::Status(200));
    let lost = lost.count();
    let due = (drained_at + DRAIN).max(started_at + STABILITY_WINDOW);
    let late = leaving
        .arrivals()
        .into_iter()
        .filter(|arrival| arrival.ran && arrival.at > due);
    let late: Vec<_> = late.collect();
    for arrival in &late {
        let after = arrival.at.duration_since(drained_at).as_secs_f64();
        let line = format!(
            "DRAIN {} reaches {} {after:.3} s after",
            arrival.id, leaving.name
        );
        deployment.record.line(&line);
    }
    deployment.say(&format!(
        "{} requests that are not idempotent; reached {} later than drainMs after it was draining, \
         from a front in touch: {}; without success as it exits: {lost}",
        attempts.len(),
        leaving.name,
        late.len()
    ));
    if attempts.len() < 100 {
        return Err(io::Error::other("too little was sent"));
    }
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

//! RECOVER: an entry of another writer among the servers has bytes that can't be read;
//! then all processes are killed and start again.

use crate::client::{Clients, End, Load};
use crate::leaf::{CrashPoint, LeafSettings};
use crate::record::Record;
use crate::{Deployment, Plan, Verdict};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const RECOVER: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_secs(1);
/// How long the service is judged after `RECOVER`.
const JUDGED: Duration = Duration::from_secs(10);

pub fn play(record: &Arc<Record>, trouble: bool) -> io::Result<Verdict> {
    let plan = Plan {
        fronts: 3,
        leafs: 5,
        leaf: LeafSettings {
            slots: 3,
            queue: 12,
            work: Duration::from_millis(90),
            crash_point: CrashPoint::BeforeAnswer,
        },
        grace_s: "6",
        kind: "idempotent",
    };
    let mut deployment = Deployment::start(plan, record, trouble)?;
    let fronts: Vec<SocketAddr> = deployment
        .fronts
        .iter()
        .map(|front| front.callers)
        .collect();
    let load = Load {
        clients: 9,
        method: "GET",
        path: "/serial/2f",
        deadline_ms: 6_000,
        pause: Duration::from_millis(100),
        roams: false,
    };
    let clients = Clients::start(&fronts, load, record);
    sleep(Duration::from_secs(5));
    if trouble {
        deployment.say("an entry of another writer, with the bytes FF FE in a text");
        let spec = b"{\"service\":\"\xff\xfe\",\"address\":\"127.0.0.1:9\",\"state\":\"ready\"}";
        deployment.store.put("servers", "i-odd", spec);
    }
    sleep(Duration::from_secs(5));
    deployment.say("all fronts are killed");
    let killed_at = Instant::now();
    for front in &mut deployment.fronts {
        front.kill();
    }
    sleep(DOWN);
    for front in &mut deployment.fronts {
        front.spawn(false)?;
    }
    let back_at = Instant::now();
    sleep(RECOVER + JUDGED);
    let ready = deployment
        .fronts
        .iter()
        .filter(|front| front.is_ready())
        .count();
    let attempts = clients.finish();
    let share = |from: Instant, until: Instant| {
        let sent = attempts
            .iter()
            .filter(|attempt| attempt.sent_at >= from && attempt.sent_at < until);
        let sent: Vec<_> = sent.collect();
        let served = sent
            .iter()
            .filter(|attempt| attempt.end == End::Status(200))
            .count();
        (served, sent.len())
    };
    let before = share(
        killed_at - Duration::from_secs(9),
        killed_at - Duration::from_secs(1),
    );
    let after = share(back_at + RECOVER, Instant::now());
    deployment.say(&format!(
        "served before the kill: {} of {}; from {} s after the fronts were back: {} of {}; ready fronts: {ready} of 3",
        before.0,
        before.1,
        RECOVER.as_secs(),
        after.0,
        after.1
    ));
    if before.1 < 50 || before.0 * 4 < before.1 || after.1 < 10 {
        return Err(io::Error::other("too little was sent or served before"));
    }
    Ok(if after.0 * 4 < after.1 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

//! Two fronts grant the quota of one tenant in full after a rolling restart has taken two
//! machines in turn.

use crate::client::{self, Sent, SentLog, Spec};
use crate::cut::{bounds, judge, owners};
use crate::deployment::{Deployment, Route};
use crate::front::SIGTERM;
use crate::json::Json;
use crate::leaf::Work;
use crate::record::Record;
use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RATE: f64 = 60.0;
const TENANTS: usize = 60;
/// The time between the start of the first machine and the signal to the next one.
const GAP: Duration = Duration::from_millis(1_000);
/// How long one tenant sends more than its quota, and how much at each of two fronts.
const FLOOD: Duration = Duration::from_millis(6_500);
const PER_FRONT_S: f64 = 2.0 * RATE;
const CLIENTS_A_FRONT: usize = 10;

pub fn run(root: &Path, record: &Record, trouble: bool) -> i32 {
    let mut world = Deployment::new(root, record, bounds());
    let work: Work = Arc::new(|_| (200, Vec::new(), b"sheet".to_vec()));
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].iter().enumerate() {
        world.add_leaf(&format!("i-desk{index}"), "archive-desk", zone, &work);
    }
    let tenants: Vec<Json> = (0..TENANTS)
        .map(|index| {
            Json::map(&[
                ("name", Json::text(&format!("tenant{index}"))),
                (
                    "apiKeys",
                    Json::List(vec![Json::text(&format!("key{index}"))]),
                ),
                ("ratePerS", Json::Number(RATE)),
                ("burst", Json::from(0)),
            ])
        })
        .collect();
    let route = Route {
        name: "reprint-history",
        prefix: "/reprint/",
        idempotent: true,
        service: "archive-desk",
        attempts: 2,
        timeout_ms: 4_000,
    };
    world.configure(&[route], &tenants);
    let zones = ["zone-a", "zone-b", "zone-c", "zone-d"];
    for (name, zone) in ["front-a-1", "front-b-1", "front-c-1", "front-d-1"]
        .iter()
        .zip(zones)
    {
        world.add_front(name, zone);
    }
    if !world.start_all() {
        return 2;
    }
    // Fronts know for sure who owned a quota after a window and 5 s.
    thread::sleep(Duration::from_secs(13));
    let before = owners(&world);
    record.say("SIGTERM to front-a-1, the first machine of the rolling restart");
    world.front("front-a-1").signal(SIGTERM);
    thread::sleep(Duration::from_millis(1_500));
    let after = owners(&world);
    let moved = |tenant: &&String| {
        before
            .get(*tenant)
            .is_some_and(|front| front == "front-a-1")
            && after.get(*tenant).is_some_and(|front| front == "front-b-1")
    };
    let mut names: Vec<&String> = before.keys().collect();
    names.sort();
    let Some(tenant) = names.into_iter().find(moved).cloned() else {
        record.say("no tenant's quota moved from front-a-1 to front-b-1");
        return 2;
    };
    record.say(&format!(
        "{tenant}: front-a-1 owned its quota, now front-b-1 does"
    ));
    world.front("front-a-1").wait_end(Duration::from_secs(6));
    record.say("front-a-1 has ended");
    thread::sleep(Duration::from_millis(300));
    let root = world.root.clone();
    world.front("front-a-1").start(&root, false);
    let started_at = Instant::now();
    if !world.front("front-a-1").wait_ready(Duration::from_secs(10)) {
        return 2;
    }
    record.say("front-a-1 is ready again");
    let log = SentLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    let key = tenant.replace("tenant", "key");
    let mut clients = Vec::new();
    for front in ["front-a-1", "front-c-1"] {
        let address = world.front(front).callers;
        for _ in 0..CLIENTS_A_FRONT {
            let spec = Spec {
                method: "GET",
                path: "/reprint/2f".to_owned(),
                key: key.clone(),
                tenant: tenant.clone(),
                body: Vec::new(),
                deadline: Duration::from_secs(4),
            };
            let per_s = PER_FRONT_S / CLIENTS_A_FRONT as f64;
            clients.push(client::start(front, address, spec, per_s, &log, &stop));
        }
    }
    record.say(&format!(
        "{tenant} sends {PER_FRONT_S} a second to each of front-a-1 and front-c-1"
    ));
    let flood_at = Instant::now();
    thread::sleep(GAP.saturating_sub(started_at.elapsed()));
    if trouble {
        record.say("SIGTERM to front-b-1, the next machine of the rolling restart");
        world.front("front-b-1").signal(SIGTERM);
    }
    let mut now = HashMap::new();
    while flood_at.elapsed() < FLOOD {
        thread::sleep(Duration::from_millis(250));
        let mut owning: Vec<String> = Vec::new();
        for front in &world.fronts {
            let owned = format!("workspace=\"{tenant}\"");
            let metrics = front.metrics();
            let is_owner = metrics
                .lines()
                .any(|line| line.contains("quota_owned_milliseconds{") && line.contains(&owned));
            if is_owner {
                owning.push(front.name.clone());
            }
        }
        if now.insert("owners", owning.clone()) != Some(owning.clone()) {
            record.say(&format!("by their metrics {owning:?} own {tenant}'s quota"));
        }
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = world.runs.lock().expect("runs").clone();
    let sent: Vec<Sent> = log.lock().expect("log").clone();
    judge(record, started_at, &sent, &runs, ["front-a-1", "front-c-1"])
}

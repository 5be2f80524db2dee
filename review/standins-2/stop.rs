//! A front that is stopped soon after its start cuts requests that wait for credit of
//! their tenant's quota.

use crate::client::{self, Sent, SentLog, Spec, send_one};
use crate::cut::bounds;
use crate::deployment::{Deployment, Route};
use crate::front::SIGTERM;
use crate::json::Json;
use crate::leaf::Work;
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The time between the start of the front and the second SIGTERM.
const RUN: Duration = Duration::from_secs(3);
/// Tenants that send more than their quota of `RATE` a second.
const HOT: [&str; 3] = ["hot0", "hot1", "hot2"];
const RATE: u64 = 6;
/// Clients of each of them at each other front, and the requests a second of each client:
/// 27 a second for each tenant, that is 4.5 times its quota.
const CLIENTS: usize = 9;
const PER_CLIENT_S: f64 = 1.5;
/// How long each of them sends so much.
const FLOOD: Duration = Duration::from_millis(5_800);
/// Clients of each of them that keep a connection to the front that stops, and when they
/// send their next request on it, after the signal.
const KEPT_CLIENTS: usize = 12;
const KEPT_AFTER: Duration = Duration::from_millis(4_100);
const KEPT_GAP: Duration = Duration::from_millis(20);
const LOSS_SLACK: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(4);

fn tenant(name: &str, rate: u64) -> Json {
    Json::map(&[
        ("name", Json::text(name)),
        (
            "apiKeys",
            Json::List(vec![Json::text(&format!("key-{name}"))]),
        ),
        ("ratePerS", Json::from(rate)),
        ("burst", Json::from(0)),
    ])
}

pub fn run(root: &Path, record: &Record, trouble: bool) -> i32 {
    let mut world = Deployment::new(root, record, bounds());
    let work: Work = Arc::new(|_| (200, Vec::new(), b"sheet".to_vec()));
    for (index, zone) in ["zone-a", "zone-b", "zone-c"].iter().enumerate() {
        world.add_leaf(&format!("i-desk{index}"), "archive-desk", zone, &work);
    }
    let route = Route {
        name: "reprint-history",
        prefix: "/reprint/",
        idempotent: true,
        service: "archive-desk",
        attempts: 2,
        timeout_ms: 4_000,
    };
    let mut tenants = vec![tenant("calm", 500)];
    tenants.extend(HOT.iter().map(|name| tenant(name, RATE)));
    world.configure(&[route], &tenants);
    for (name, zone) in [
        ("front-a-1", "zone-a"),
        ("front-b-1", "zone-b"),
        ("front-c-1", "zone-c"),
    ] {
        world.add_front(name, zone);
    }
    if !world.start_all() {
        return 2;
    }
    thread::sleep(Duration::from_secs(13));
    let log = SentLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let spec = |tenant: &str| Spec {
        method: "GET",
        path: "/reprint/2f".to_owned(),
        key: format!("key-{tenant}"),
        tenant: tenant.to_owned(),
        body: Vec::new(),
        deadline: DEADLINE,
    };
    for front in ["front-a-1", "front-b-1", "front-c-1"] {
        let address = world.front(front).callers;
        for _ in 0..4 {
            clients.push(client::start(
                front,
                address,
                spec("calm"),
                5.0,
                &log,
                &stop,
            ));
        }
    }
    record.say("SIGTERM to front-b-1: it is stopped and started again");
    world.front("front-b-1").signal(SIGTERM);
    world.front("front-b-1").wait_end(Duration::from_secs(6));
    record.say("front-b-1 has ended");
    thread::sleep(Duration::from_millis(300));
    let root = world.root.clone();
    world.front("front-b-1").start(&root, false);
    let started_at = Instant::now();
    if !world.front("front-b-1").wait_ready(Duration::from_secs(10)) {
        return 2;
    }
    record.say("front-b-1 is ready again");
    let second = started_at + RUN;
    let stopping = world.front("front-b-1").callers;
    for name in HOT {
        for index in 0..KEPT_CLIENTS {
            let (spec, log) = (spec(name), Arc::clone(&log));
            let first = second - Duration::from_millis(1_200) + KEPT_GAP * 4 * index as u32;
            let next = second + KEPT_AFTER + KEPT_GAP * index as u32;
            clients.push(thread::spawn(move || {
                let mut kept = None;
                for at in [first, next] {
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let sent = send_one(&mut kept, "front-b-1", stopping, &spec);
                    log.lock().expect("log").push(sent);
                }
            }));
        }
    }
    thread::sleep(second.saturating_duration_since(Instant::now()));
    if trouble {
        record.say("SIGTERM to front-b-1, 3 s after its start");
        world.front("front-b-1").signal(SIGTERM);
    }
    thread::sleep(Duration::from_secs(1));
    let flood_stop = Arc::new(AtomicBool::new(false));
    // Spread evenly over the time between two requests of one client.
    let gap = Duration::from_secs_f64(1.0 / PER_CLIENT_S) / (2 * CLIENTS) as u32;
    for _ in 0..CLIENTS {
        for front in ["front-a-1", "front-c-1"] {
            let address = world.front(front).callers;
            for name in HOT {
                clients.push(client::start(
                    front,
                    address,
                    spec(name),
                    PER_CLIENT_S,
                    &log,
                    &flood_stop,
                ));
            }
            thread::sleep(gap);
        }
    }
    let flood_at = Instant::now();
    if trouble {
        world.front("front-b-1").wait_end(Duration::from_secs(6));
        record.say(&format!(
            "front-b-1 has ended after {:.3} s",
            second.elapsed().as_secs_f64()
        ));
    }
    thread::sleep(FLOOD.saturating_sub(flood_at.elapsed()));
    flood_stop.store(true, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = log.lock().expect("log").clone();
    judge(record, second, &sent)
}

/// LOST: the connection ended without an answer, later than the slack after the request
/// was sent, and before its deadline.
fn judge(record: &Record, second: Instant, sent: &[Sent]) -> i32 {
    let mut lost = 0;
    for one in sent
        .iter()
        .filter(|one| one.at >= second && one.tenant != "calm")
    {
        let after = |at: Instant| at.saturating_duration_since(second).as_secs_f64();
        let took = one.ended.saturating_duration_since(one.at);
        let is_lost = one.is_sent
            && one.status == 0
            && !one.timed_out
            && took > LOSS_SLACK
            && took < DEADLINE * 7 / 10
            && one.front == "front-b-1";
        let line = format!(
            "request {} of {} sent to {} {:.3} s after the second SIGTERM, {} after {:.3} s",
            one.id,
            one.tenant,
            one.front,
            after(one.at),
            match one.status {
                0 if !one.is_sent => "not sent".to_owned(),
                0 => "connection closed without an answer".to_owned(),
                status => format!("answered {status}"),
            },
            took.as_secs_f64()
        );
        if is_lost {
            lost += 1;
            record.say(&line);
        } else {
            record.line(&line);
        }
    }
    record.say(&format!(
        "{lost} requests read by front-b-1 ended without an answer"
    ));
    i32::from(lost > 0)
}

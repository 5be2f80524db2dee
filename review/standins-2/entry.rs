//! Another writer's entry, which lacks fields, sends one service's requests to a leaf of
//! another service.

use crate::client::{self, SentLog, Spec};
use crate::cut::bounds;
use crate::deployment::{Deployment, Route};
use crate::json::Json;
use crate::leaf::Work;
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const CLIENTS_A_FRONT: usize = 8;

pub fn run(root: &Path, record: &Record, trouble: bool) -> i32 {
    let mut world = Deployment::new(root, record, bounds());
    let zones = ["zone-a", "zone-b", "zone-c"];
    for service in ["archive-desk", "press-board"] {
        let text = format!("sheet of {service}");
        let work: Work = Arc::new(move |_| (200, Vec::new(), text.clone().into_bytes()));
        for (index, zone) in zones.iter().enumerate() {
            world.add_leaf(&format!("i-{service}{index}"), service, zone, &work);
        }
    }
    let route = |name, prefix, service| Route {
        name,
        prefix,
        idempotent: true,
        service,
        attempts: 2,
        timeout_ms: 4_000,
    };
    let routes = [
        route("reprint-history", "/reprint/", "archive-desk"),
        route("job-ticket", "/ticket/", "press-board"),
    ];
    world.configure(&routes, &[]);
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
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let log = SentLog::default();
    let spec = Spec {
        method: "GET",
        path: "/reprint/2f".to_owned(),
        key: String::new(),
        tenant: String::new(),
        body: Vec::new(),
        deadline: Duration::from_secs(4),
    };
    let mut clients = Vec::new();
    for front in &world.fronts {
        for _ in 0..CLIENTS_A_FRONT {
            let spec = spec.clone();
            clients.push(client::start(
                &front.name,
                front.callers,
                spec,
                20.0,
                &log,
                &stop,
            ));
        }
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        // All but `version`, `seq` and `born`, and of another service.
        let leaf = world.leaf("i-press-board0");
        let entry = Json::map(&[
            ("service", Json::text("archive-desk")),
            ("address", Json::text(&leaf.address.to_string())),
            ("zone", Json::text(&leaf.zone)),
            ("slots", Json::from(64)),
            ("state", Json::text("ready")),
            ("warmupLeftMs", Json::from(0)),
        ]);
        record.say(&format!(
            "another writer writes servers/i-press-board0: {entry}"
        ));
        world.store.put("servers", "i-press-board0", &entry);
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let answers = log.lock().expect("log").clone();
    let runs = world.runs.lock().expect("runs").clone();
    let mut broken = 0;
    for sent in &answers {
        let run = runs.iter().find(|run| run.request == sent.id);
        let service = run.map_or("-", |run| run.service.as_str());
        let leaf = run.map_or("-", |run| run.leaf.as_str());
        record.line(&format!(
            "request {} GET {} sent to {}: run by {leaf} of {service}, answered {} {:?} {}",
            sent.id,
            spec.path,
            sent.front,
            sent.status,
            String::from_utf8_lossy(&sent.body),
            sent.stamp
        ));
        if service == "press-board" {
            broken += 1;
        }
    }
    record.say(&format!(
        "{} requests for archive-desk, {broken} of them run by a leaf of press-board",
        answers.len()
    ));
    i32::from(broken > 0)
}

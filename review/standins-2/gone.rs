//! After the front that owned a tenant's quota is gone for good, the tenant is refused
//! nearly everything, though it stays below its quota.

use crate::client::{self, SentLog, Spec};
use crate::cut::{bounds, owners};
use crate::deployment::{Deployment, Route};
use crate::json::Json;
use crate::leaf::Work;
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const TENANTS: usize = 12;
/// The quota of each tenant, and what each sends, in requests a second.
const RATE: f64 = 20.0;
const USUAL: f64 = 12.5;
/// `recoverS` of the deployment.
const RECOVERY: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(30);

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
                ("burst", Json::Number(RATE)),
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
    for (name, zone) in [
        ("front-a-1", "zone-a"),
        ("front-b-1", "zone-b"),
        ("front-c-1", "zone-c"),
        ("front-d-1", "zone-d"),
    ] {
        world.add_front(name, zone);
    }
    if !world.start_all() {
        return 2;
    }
    thread::sleep(Duration::from_secs(13));
    let owners = owners(&world);
    let mut owned: Vec<&String> = owners
        .iter()
        .filter(|(_, front)| *front == "front-b-1")
        .map(|(name, _)| name)
        .collect();
    owned.sort();
    record.say(&format!("front-b-1 owns the quotas of {owned:?}"));
    if owned.is_empty() || owned.len() > TENANTS / 2 {
        return 2;
    }
    if trouble {
        world.front("front-b-1").kill();
        record.say("front-b-1 is gone for good (SIGKILL)");
    }
    thread::sleep(RECOVERY);
    let log = SentLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let start = Instant::now();
    for index in 0..TENANTS {
        for front in ["front-a-1", "front-c-1", "front-d-1"] {
            let spec = Spec {
                method: "GET",
                path: "/reprint/2f".to_owned(),
                key: format!("key{index}"),
                tenant: format!("tenant{index}"),
                body: Vec::new(),
                deadline: Duration::from_secs(4),
            };
            let address = world.front(front).callers;
            clients.push(client::start(
                front,
                address,
                spec,
                USUAL / 3.0,
                &log,
                &stop,
            ));
            thread::sleep(Duration::from_millis(7));
        }
    }
    thread::sleep(MEASURED);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let sent = log.lock().expect("log").clone();
    for one in &sent {
        record.line(&format!(
            "request {} of {} sent to {} at {:.3}: {}",
            one.id,
            one.tenant,
            one.front,
            one.at.saturating_duration_since(start).as_secs_f64(),
            one.status
        ));
    }
    let share = |tenant: &str| {
        let of_tenant = sent
            .iter()
            .filter(|one| tenant.is_empty() || one.tenant == tenant);
        let (mut all, mut served) = (0, 0);
        for one in of_tenant {
            all += 1;
            served += usize::from(one.status == 200);
        }
        (served, all, served as f64 / f64::from(all.max(1) as u32))
    };
    let (_, _, all_share) = share("");
    let mut starved = 0;
    for index in 0..TENANTS {
        let name = format!("tenant{index}");
        let (served, all, own_share) = share(&name);
        let owner = owners.get(&name).map_or("-", String::as_str);
        record.say(&format!(
            "{name} (owner was {owner}): {served} of {all} requests served"
        ));
        starved += usize::from(own_share < all_share / 4.0);
    }
    record.say(&format!(
        "{:.3} of all requests served; {starved} tenants less than a quarter as often",
        all_share
    ));
    i32::from(starved > 0)
}

//! Two fronts grant the quota of one tenant in full: its owner, which stands still for some
//! seconds or is cut off from the store and the other fronts, and a front that is started
//! again meanwhile.

use crate::client::{self, Sent, SentLog, Spec};
use crate::deployment::{Deployment, Route};
use crate::front::{Bounds, SIGCONT, SIGSTOP, SIGTERM};
use crate::json::Json;
use crate::leaf::{Run, Work};
use crate::record::Record;
use crate::relay;
use std::collections::{BTreeMap, HashMap};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const RATE: f64 = 60.0;
const BURST: f64 = 0.0;
const WINDOW: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
const TENANTS: usize = 40;
/// What happens to the owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OwnerTrouble {
    /// It is frozen and wakes again.
    Frozen,
    /// It is cut off from the store and the other fronts.
    Cut,
}

impl OwnerTrouble {
    fn lasts(self) -> Duration {
        match self {
            Self::Frozen => Duration::from_secs(5),
            Self::Cut => Duration::from_secs(8),
        }
    }

    /// When the flood of one tenant's requests begins after the trouble.
    fn flood_after(self) -> Duration {
        match self {
            Self::Frozen => Duration::from_millis(4_950),
            Self::Cut => Duration::from_millis(5_700),
        }
    }
}

/// How long the flood lasts.
const FLOOD: Duration = Duration::from_millis(6_500);
const CLIENTS_A_FRONT: usize = 10;

pub fn bounds() -> Bounds {
    Bounds {
        values: BTreeMap::from([
            ("heartbeatMs", "1200"),
            ("bounds.configApplyMs", "5000"),
            ("bounds.drainMs", "5000"),
            ("bounds.graceS", "6"),
            ("bounds.retryBudgetRatio", "0.2"),
            ("bounds.budgetWindowS", "10"),
            ("bounds.budgetSlack", "162"),
            ("bounds.quotaWindowS", "5"),
            ("bounds.quotaOverage", "0.1"),
            ("bounds.quotaSlack", "20"),
            ("bounds.revokeMs", "5000"),
            ("bounds.strictRevoke", "false"),
            ("limits.memoryMb", "512"),
            ("limits.maxFds", "8192"),
        ]),
        zones: vec![
            ("zone-a", "east"),
            ("zone-b", "west"),
            ("zone-c", "south"),
            ("zone-d", "north"),
        ],
    }
}

/// The front that owns each tenant's quota, by the fronts' metrics.
pub fn owners(world: &Deployment) -> HashMap<String, String> {
    let mut owners = HashMap::new();
    for front in &world.fronts {
        for line in front.metrics().lines() {
            if line.contains("quota_owned_milliseconds{") {
                let name = line.split('"').nth(1).unwrap_or("").to_owned();
                owners.insert(name, front.name.clone());
            }
        }
    }
    owners
}

pub fn run(root: &Path, record: &Record, trouble: bool, kind: OwnerTrouble) -> i32 {
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
                ("burst", Json::Number(BURST)),
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
    // Between front-a-1 and the others all datagrams pass relays, which can be cut.
    let is_cut = Arc::new(AtomicBool::new(false));
    let own = world.front("front-a-1").peers;
    let own_relay = relay::start(own, &is_cut);
    let others: Vec<(String, String)> = world.fronts[1..]
        .iter()
        .map(|front| {
            (
                front.peers.to_string(),
                relay::start(front.peers, &is_cut).to_string(),
            )
        })
        .collect();
    let (own, own_relay) = (own.to_string(), own_relay.to_string());
    world.store.set_rewrite(Arc::new(move |reader, text| {
        if reader != "front-a-1" {
            return text.replace(&own, &own_relay);
        }
        others
            .iter()
            .fold(text, |text, (other, relay)| text.replace(other, relay))
    }));
    if !world.start_all() {
        return 2;
    }
    // Fronts know for sure who owned a quota after a window and 5 s.
    thread::sleep(Duration::from_secs(13));
    let before = owners(&world);
    record.say(&format!(
        "{} of {TENANTS} tenants' quotas have an owner",
        before.len()
    ));
    record.say("SIGTERM to front-b-1: it is stopped and started again");
    world.front("front-b-1").signal(SIGTERM);
    thread::sleep(Duration::from_millis(1_500));
    let after = owners(&world);
    let moved = |tenant: &&String| {
        before
            .get(*tenant)
            .is_some_and(|front| front == "front-b-1")
            && after.get(*tenant).is_some_and(|front| front == "front-a-1")
    };
    let mut names: Vec<&String> = before.keys().collect();
    names.sort();
    let Some(tenant) = names.into_iter().find(moved).cloned() else {
        record.say("no tenant's quota moved from front-b-1 to front-a-1");
        return 2;
    };
    record.say(&format!(
        "{tenant}: front-b-1 owned its quota, now front-a-1 does"
    ));
    world.front("front-b-1").wait_end(Duration::from_secs(6));
    record.say("front-b-1 has ended");

    let log = SentLog::default();
    let stop = Arc::new(AtomicBool::new(false));
    if trouble {
        match kind {
            OwnerTrouble::Frozen => {
                world.front("front-a-1").signal(SIGSTOP);
                record.say("front-a-1 is frozen (SIGSTOP)");
            }
            OwnerTrouble::Cut => {
                is_cut.store(true, Ordering::Relaxed);
                world.store.set_cut("front-a-1", true);
                record.say("front-a-1 is cut off from the store and from all other fronts");
            }
        }
    }
    let cut_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let root = world.root.clone();
    world.front("front-b-1").start(&root, false);
    if !world.front("front-b-1").wait_ready(Duration::from_secs(10)) {
        return 2;
    }
    record.say("front-b-1 is ready again");
    thread::sleep(kind.flood_after().saturating_sub(cut_at.elapsed()));
    record.say(&format!(
        "{tenant} sends {} requests a second to each of front-a-1 and front-b-1",
        2.0 * RATE
    ));
    let flood_at = Instant::now();
    let key = tenant.replace("tenant", "key");
    let mut clients = Vec::new();
    for front in ["front-a-1", "front-b-1"] {
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
            let per_s = 2.0 * RATE / CLIENTS_A_FRONT as f64;
            clients.push(client::start(front, address, spec, per_s, &log, &stop));
        }
    }
    thread::sleep(kind.lasts().saturating_sub(cut_at.elapsed()));
    if trouble {
        match kind {
            OwnerTrouble::Frozen => {
                world.front("front-a-1").signal(SIGCONT);
                record.say("front-a-1 goes on (SIGCONT)");
            }
            OwnerTrouble::Cut => {
                is_cut.store(false, Ordering::Relaxed);
                world.store.set_cut("front-a-1", false);
                record.say("the cut has ended");
            }
        }
    }
    thread::sleep(FLOOD.saturating_sub(flood_at.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = world.runs.lock().expect("runs").clone();
    let sent = log.lock().expect("log").clone();
    judge(record, cut_at, &sent, &runs, ["front-a-1", "front-b-1"])
}

/// QUOTA: the requests of each window that were both sent and run in it.
pub fn judge(
    record: &Record,
    start: Instant,
    sent: &[Sent],
    runs: &[Run],
    fronts: [&str; 2],
) -> i32 {
    let mut first_run: HashMap<&str, Instant> = HashMap::new();
    for run in runs {
        first_run.entry(run.request.as_str()).or_insert(run.at);
    }
    let since = |at: Instant| at.saturating_duration_since(start).as_secs_f64();
    let mut requests: Vec<(f64, f64, &str)> = Vec::new();
    for one in sent {
        let run = first_run.get(one.id.as_str());
        record.line(&format!(
            "request {} of {} sent to {} at {:.3}, run at {}, answered {} at {:.3}",
            one.id,
            one.tenant,
            one.front,
            since(one.at),
            run.map_or("-".to_owned(), |at| format!("{:.3}", since(*at))),
            one.status,
            since(one.ended)
        ));
        if let Some(at) = run {
            requests.push((since(one.at), since(*at), one.front.as_str()));
        }
    }
    requests.sort_by(|one, other| one.0.total_cmp(&other.0));
    let bound = (RATE * WINDOW + BURST) * (1.0 + OVERAGE) + SLACK;
    let mut worst = (0, 0.0, HashMap::new());
    for (index, (from, _, _)) in requests.iter().enumerate() {
        let inside = requests[index..].iter();
        let inside =
            inside.filter(|(sent, run, _)| *sent <= from + WINDOW && *run <= from + WINDOW);
        let mut by_front: HashMap<&str, usize> = HashMap::new();
        let mut count = 0;
        for (_, _, front) in inside {
            count += 1;
            *by_front.entry(front).or_default() += 1;
        }
        if count > worst.0 {
            worst = (count, *from, by_front);
        }
    }
    for second in 0..14 {
        let of = |front: &str| {
            let inside = requests.iter().filter(|(sent, _, other)| {
                *other == front && *sent >= f64::from(second) && *sent < f64::from(second + 1)
            });
            inside.count()
        };
        record.say(&format!(
            "second {second}: {} run from {}, {} from {}",
            of(fronts[0]),
            fronts[0],
            of(fronts[1]),
            fronts[1]
        ));
    }
    record.say(&format!(
        "most requests sent and run in {WINDOW} s: {} (from {:.3} s on; {:?}); allowed {bound}",
        worst.0, worst.1, worst.2
    ));
    i32::from(worst.0 as f64 > bound)
}

//! The cases of the review: `cases NAME FOLDER` plays one, writes `record.txt` into its
//! folder and ends with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod client;
mod front;
mod http;
mod leaf;
mod record;
mod store;

mod crashing;
mod foreign_bytes;
mod fraction;
mod late_bytes;
mod old_page;

use client::HOST;
use front::{Front, ZONES};
use leaf::{Leaf, LeafSettings};
use record::Record;
use std::io;
use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use store::Store;

/// A run takes no longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Whether the rule was broken.
pub enum Verdict {
    Held,
    Broken,
}

/// The times at which each front was started.
pub type StartTimes = Vec<Vec<Instant>>;

/// How long a front that has ended is down.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A small deployment: a store, a service and its leafs, and fronts.
pub struct Deployment {
    pub store: Arc<Store>,
    pub leafs: Vec<Arc<Leaf>>,
    pub fronts: Vec<Front>,
    pub record: Arc<Record>,
    pub trouble: bool,
    directory: PathBuf,
}

pub const SERVICE: &str = "garancija";

/// What a deployment consists of.
#[derive(Clone, Copy)]
pub struct Plan {
    pub fronts: usize,
    pub leafs: usize,
    pub leaf: LeafSettings,
    /// `bounds.graceS` as the platform's settings give it.
    pub grace_s: &'static str,
    /// The kind of the only route.
    pub kind: &'static str,
}

impl Deployment {
    /// Starts the store with its leafs registered and a configuration, then the
    /// fronts, and waits until they are ready.
    pub fn start(plan: Plan, record: &Arc<Record>, trouble: bool) -> io::Result<Self> {
        let mut deployment = Self::prepare(plan, record, trouble)?;
        deployment.start_fronts(plan)?;
        Ok(deployment)
    }

    /// Starts all but the fronts.
    pub fn prepare(plan: Plan, record: &Arc<Record>, trouble: bool) -> io::Result<Self> {
        let store = Store::start()?;
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let mut leafs = Vec::new();
        for index in 0..plan.leafs {
            let zone = ZONES[index % ZONES.len()].0;
            let name = format!("i-{index:04}");
            let leaf = Leaf::start(&name, (SERVICE, zone), plan.leaf, (&store, record))?;
            leafs.push(leaf);
        }
        store.put("config", "main", configuration(7, plan.kind).as_bytes());
        Ok(Self {
            store,
            leafs,
            fronts: Vec::new(),
            record: Arc::clone(record),
            trouble,
            directory,
        })
    }

    pub fn start_fronts(&mut self, plan: Plan) -> io::Result<()> {
        for index in 0..plan.fronts {
            let address = self.store.address();
            self.fronts
                .push(Front::start(index, address, plan.grace_s, &self.directory)?);
        }
        for front in &self.fronts {
            if !front.wait_ready(Duration::from_secs(10)) {
                return Err(io::Error::other("a front is not ready after 10 s"));
            }
        }
        self.record.line("all fronts are ready");
        Ok(())
    }

    /// Stops each front by SIGTERM, one each `gap`, and starts it again.
    pub fn restart_in_turn(&mut self, gap: Duration, starts: &mut StartTimes) -> io::Result<()> {
        let began = Instant::now();
        let count = self.fronts.len();
        let mut stopped = vec![None; count];
        let mut ended = vec![None; count];
        let mut restarted = vec![false; count];
        while !restarted.iter().all(|done| *done) {
            for index in 0..count {
                let front: &mut Front = &mut self.fronts[index];
                if stopped[index].is_none() && began.elapsed() >= gap * index as u32 {
                    self.record.line(&format!("SIGTERM to front-{index}"));
                    front.signal("TERM")?;
                    stopped[index] = Some(Instant::now());
                }
                let Some(stopped_at) = stopped[index] else {
                    continue;
                };
                if ended[index].is_none() && front.process.try_wait()?.is_some() {
                    let after = stopped_at.elapsed().as_secs_f64();
                    self.record
                        .line(&format!("front-{index} ended {after:.3} s after SIGTERM"));
                    ended[index] = Some(Instant::now());
                }
                let is_due = ended[index].is_some_and(|at: Instant| at.elapsed() >= RESTART_DELAY);
                if is_due && !restarted[index] {
                    self.record.line(&format!("front-{index} starts again"));
                    front.spawn(false)?;
                    starts[index].push(Instant::now());
                    restarted[index] = true;
                }
            }
            thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    pub fn say(&self, text: &str) {
        self.record.say(text);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.fronts.clear();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// One route to one service, with the figures of the site's `serial-check`.
fn configuration(version: u64, kind: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"/serial/\",\"kind\":\"{kind}\",\"timeoutMs\":6000,\"goalMs\":800,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":2}}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000}}}}"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("record.txt can't be written");
        exit(2);
    };
    let record = Arc::new(record);
    let watched = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.say("not finished in time");
        watched.flush();
        front::kill_all();
        exit(2);
    });
    record.say(&format!("case {name}, trouble: {trouble}"));
    let result = match name.as_str() {
        "foreign-bytes" => foreign_bytes::play(&record, trouble),
        "fraction" => fraction::play(&record, trouble),
        "restarts" => crashing::play_restarts(&record, trouble),
        "in-answer" => crashing::play_in_answer(&record, trouble),
        "late-bytes" => late_bytes::play(&record, trouble),
        "old-page" => old_page::play(&record, trouble),
        _ => Err(io::Error::other("no such case")),
    };
    let code = match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            2
        }
    };
    record.say(["the rule held", "the rule is broken", "no result"][code as usize]);
    record.flush();
    exit(code);
}

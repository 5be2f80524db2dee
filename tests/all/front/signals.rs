//! What servers say of themselves in their answers is followed by all fronts.

use super::{new_id, testbed};
use camphorway_standins::front::testbed::{FrontTestbed, exchange, request_text};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Fronts have discovered each other after this time.
const DISCOVERY_TIME: Duration = Duration::from_secs(4);
/// The users count requests in spans of this length.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// The time from which the users count, after a limit was first named.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_secs(5);

/// Callers that send requests to fronts until stopped.
struct SteadyCallers {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<u16>>>,
}

impl SteadyCallers {
    /// Starts callers of each front, each with a request every `interval`.
    fn start(testbed: &FrontTestbed, path: &'static str, each: usize, interval: Duration) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let addresses = testbed.fronts.iter().map(|front| front.caller_address);
        let addresses: Vec<SocketAddr> = addresses.collect();
        let repeated = addresses.iter().cycle().take(addresses.len() * each);
        let start = |address: &SocketAddr| {
            let (address, is_stopped) = (*address, Arc::clone(&is_stopped));
            std::thread::spawn(move || {
                let mut statuses = Vec::new();
                while !is_stopped.load(Ordering::Relaxed) {
                    let text = request_text("GET", path, &new_id(), 900);
                    let answer = exchange(address, text.as_bytes());
                    statuses.push(answer.map_or(0, |answer| answer.status()));
                    std::thread::sleep(interval);
                }
                statuses
            })
        };
        let threads = repeated.map(start).collect();
        Self {
            is_stopped,
            threads,
        }
    }

    /// Stops the callers. Returns the statuses of all answers.
    fn finish(self) -> Vec<u16> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let statuses = self.threads.into_iter().flat_map(|thread| {
            let statuses = thread.join();
            statuses.expect("a caller")
        });
        statuses.collect()
    }
}

/// The requests of the busiest span of `window` among `arrivals` since `from`.
fn busiest(arrivals: &[Instant], from: Instant, window: Duration) -> usize {
    let counted: Vec<&Instant> = arrivals.iter().filter(|at| **at >= from).collect();
    let in_window = |start: &&Instant| {
        let end = **start + window;
        let within = counted.iter().filter(|at| ***at >= **start && ***at < end);
        within.count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// A server got far more requests than the limit that it had named.
#[test]
fn servers_that_name_a_limit_get_no_more_from_all_fronts_together() {
    const LIMIT: f64 = 10.0;
    let testbed = testbed(1, 6);
    std::thread::sleep(DISCOVERY_TIME);
    let limited = &testbed.servers[0][..2];
    for server in limited {
        server.set_rate_limit(Some(LIMIT));
    }
    let callers = SteadyCallers::start(&testbed, "/s0/", 2, Duration::from_millis(30));
    let named_at = Instant::now();
    std::thread::sleep(LIMIT_KNOWN_AFTER + LIMIT_WINDOW + Duration::from_secs(1));
    let statuses = callers.finish();
    let allowed = 1.5 * LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0;
    for server in limited {
        let arrivals: Vec<Instant> = server.arrivals().iter().map(|a| a.arrived_at).collect();
        let most = busiest(&arrivals, named_at + LIMIT_KNOWN_AFTER, LIMIT_WINDOW);
        assert!(
            most as f64 <= allowed,
            "{most} of {allowed} at {}",
            server.name
        );
        let used = LIMIT * LIMIT_WINDOW.as_secs_f64() / 2.0;
        assert!(most as f64 >= used, "only {most} at {}", server.name);
    }
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(
        failed,
        0,
        "the third server takes the rest of {}",
        statuses.len()
    );
}

/// A request that no server takes in its time is not held until its deadline.
#[test]
fn a_request_that_no_server_takes_in_time_is_refused_at_once() {
    let testbed = testbed(1, 1);
    std::thread::sleep(DISCOVERY_TIME);
    for server in &testbed.servers[0] {
        server.set_rate_limit(Some(0.0));
    }
    for _ in 0..8 {
        let answer = testbed.send_request(0, "GET", "/s0/", &new_id());
        answer.expect("an answer");
    }
    let began = Instant::now();
    let answer = testbed.send_request(0, "GET", "/s0/", &new_id());
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), 503, "{answer:?}");
    assert!(began.elapsed() < Duration::from_millis(100));
    let seconds: f64 = answer.header("retry-after").parse().expect("seconds");
    assert!(seconds >= 1.0, "{seconds} s");
}

/// A limit ends with the first answer that does not name it.
#[test]
fn a_server_that_no_longer_names_a_limit_is_used_in_full() {
    let testbed = testbed(1, 2);
    std::thread::sleep(DISCOVERY_TIME);
    for server in &testbed.servers[0] {
        server.set_rate_limit(Some(10.0));
    }
    let callers = SteadyCallers::start(&testbed, "/s0/", 4, Duration::from_millis(20));
    std::thread::sleep(Duration::from_secs(2));
    for server in &testbed.servers[0] {
        server.set_rate_limit(None);
    }
    std::thread::sleep(Duration::from_secs(1));
    let since = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    callers.finish();
    let arrivals = testbed.servers[0]
        .iter()
        .flat_map(|server| server.arrivals());
    let after = arrivals
        .filter(|arrival| arrival.arrived_at >= since)
        .count();
    assert!(
        after > 90,
        "{after} requests in a second, 30 were allowed before"
    );
}

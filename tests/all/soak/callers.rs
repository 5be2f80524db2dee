//! Callers that keep their connections until they are closed, and what they saw.

use camphorway_standins::front::http_message::HttpMessage;
use camphorway_standins::front::testbed::{
    FrontTestbed, PersistentConnection, records, request_text,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

const CALLERS_A_FRONT: usize = 3;
const PAUSE: Duration = Duration::from_millis(8);
const READ_LIMIT: Duration = Duration::from_secs(3);
const TIME_LIMIT_MS: u64 = 900;
/// Records in the answer of the route over all services.
const TOP: usize = 4;

/// What a caller asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SoakKind {
    One(usize),
    Once,
    All,
}

/// One request and its answer; none if the connection ended.
#[derive(Debug)]
pub(super) struct SoakAnswer {
    id: String,
    kind: SoakKind,
    answer: Option<HttpMessage>,
}

/// Callers on threads of their own.
#[derive(Debug)]
pub(super) struct SoakCallers {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<SoakAnswer>>>,
}

impl SoakCallers {
    pub(super) fn start(testbed: &FrontTestbed, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for (front, address) in testbed
            .fronts
            .iter()
            .map(|front| front.caller_address)
            .enumerate()
        {
            for caller in 0..CALLERS_A_FRONT {
                let stop = Arc::clone(&stop);
                let services = testbed.servers.len();
                let name = format!("soak-{seed}-{front}-{caller}");
                let thread = move || ask_until(&stop, address, &name, services);
                threads.push(std::thread::spawn(thread));
            }
        }
        Self { stop, threads }
    }

    pub(super) fn finish(self) -> Vec<SoakAnswer> {
        self.stop.store(true, Ordering::Relaxed);
        let answers = self
            .threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"));
        answers.flatten().collect()
    }
}

fn ask_until(
    stop: &AtomicBool,
    address: SocketAddr,
    name: &str,
    services: usize,
) -> Vec<SoakAnswer> {
    let mut answers = Vec::new();
    let mut connection = PersistentConnection::new(address, READ_LIMIT);
    while !stop.load(Ordering::Relaxed) {
        let number = answers.len();
        let (kind, method, path) = match number % 4 {
            0 => (SoakKind::Once, "POST", "/once/x".to_owned()),
            1 => (SoakKind::All, "GET", "/all/x".to_owned()),
            _ => {
                let service = number % services;
                (SoakKind::One(service), "GET", format!("/s{service}/x"))
            }
        };
        let id = format!("{name}-{number}");
        let text = request_text(method, &path, &id, TIME_LIMIT_MS);
        let answer = connection.send_request(&text).ok();
        answers.push(SoakAnswer { id, kind, answer });
        std::thread::sleep(PAUSE);
    }
    answers
}

impl SoakAnswer {
    pub(super) fn is_success(&self) -> bool {
        self.status() == 200
    }

    /// The status; 0 if the connection ended without an answer.
    pub(super) fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, HttpMessage::status)
    }

    /// Panics if the answer breaks a promise.
    pub(super) fn check(&self, testbed: &FrontTestbed) {
        let runs = testbed.run_count(&self.id);
        if self.kind == SoakKind::Once {
            assert!(runs <= 1, "{} ran {runs} times", self.id);
        }
        let Some(answer) = &self.answer else {
            return;
        };
        match answer.status() {
            200 => self.check_success(answer),
            // The services exist in every configuration.
            404 | 400 => panic!("{}: denied with {}", self.id, answer.status()),
            408 | 421 | 429 | 503 if self.kind == SoakKind::Once => {
                assert_eq!(runs, 0, "{} is said not to have run", self.id);
            }
            _ => {}
        }
    }

    fn check_success(&self, answer: &HttpMessage) {
        match self.kind {
            SoakKind::One(service) => self.check_passed(answer, service),
            SoakKind::Once => self.check_passed(answer, 0),
            SoakKind::All => self.check_merged(answer),
        }
    }

    fn check_passed(&self, answer: &HttpMessage, service: usize) {
        assert_eq!(
            answer.header("request-id"),
            self.id,
            "an answer of another request"
        );
        assert_eq!(answer.body, records(service).concat(), "{}", self.id);
        let signature = answer.header("server-stamp");
        assert!(
            signature.starts_with(&format!("i-{service}-")),
            "{}: {signature}",
            self.id
        );
    }

    fn check_merged(&self, answer: &HttpMessage) {
        let signatures = answer.header("part-stamps").split(", ");
        let mut services: Vec<usize> = signatures
            .map(|signature| {
                signature
                    .split('-')
                    .nth(1)
                    .and_then(|text| text.parse().ok())
            })
            .map(|service| service.expect("a signature of a service"))
            .collect();
        services.sort_unstable();
        let count = services.len();
        services.dedup();
        assert_eq!(services.len(), count, "{}: two parts of a service", self.id);
        let missing: usize = answer.header("missing-parts").parse().expect("a number");
        assert_eq!(missing + count, super::SERVICES, "{}", self.id);
        let mut greatest: Vec<[u8; 16]> = services.into_iter().flat_map(records).collect();
        greatest.sort_unstable_by(|one, other| other.cmp(one));
        greatest.truncate(TOP);
        assert_eq!(answer.body, greatest.concat(), "{}", self.id);
    }
}

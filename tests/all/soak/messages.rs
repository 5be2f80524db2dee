//! Series of odd messages: bytes of servers that belong to no request or have no end, what
//! servers say of themselves, and entries and pages of the store.

use camphorway_standins::front::object_store::{NOT_TEXT, StalePages};
use camphorway_standins::front::signed_server::ServerFault;
use camphorway_standins::front::testbed::{FrontTestbed, service_name};
use serde_json::json;
use std::time::{Duration, Instant};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const BYTE_FAULTS: [ServerFault; 6] = [
    ServerFault::StrayRejection,
    ServerFault::StrayMisdirection,
    ServerFault::EndlessHead,
    ServerFault::EndlessInterim,
    ServerFault::EndlessBody,
    ServerFault::EndlessExtra,
];
const CLOSED_TIMES: [&str; 5] = ["0.3", "1", "2.5", "-1", "Sat, 05 Dec 2026 16:00:00 GMT"];
const LIMITS: [f64; 3] = [5.0, 40.0, 0.5];
/// Of so many steps, one changes something.
const STEPS_A_CHANGE: u8 = 2;

/// What ends once its time is over.
#[derive(Clone, Copy, Debug)]
enum OddMessage {
    Bytes(usize, usize),
    Closed(usize, usize),
    Limit(usize, usize),
    Leaving(usize, usize),
    StalePages,
    Entry,
}

/// A random series, apart from that of the faults, whose seeds stay what they are.
#[derive(Debug)]
pub(super) struct MessageSeries {
    random: fastrand::Rng,
    ends: Vec<(Instant, OddMessage)>,
}

impl MessageSeries {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(!seed),
            ends: Vec::new(),
        }
    }

    /// Begins an odd message at some steps, and ends those whose time is over.
    pub(super) fn change_next(&mut self, testbed: &FrontTestbed) {
        if self.random.u8(..STEPS_A_CHANGE) == 0 {
            let message = self.begin(testbed);
            println!("{message:?} begins");
            let duration = Duration::from_millis(self.random.u64(200..2_000));
            self.ends.push((Instant::now() + duration, message));
        }
        let now = Instant::now();
        let (due, later) = self.ends.drain(..).partition(|(at, _)| *at <= now);
        self.ends = later;
        end(testbed, due);
    }

    /// Ends all odd messages.
    pub(super) fn end_all(&mut self, testbed: &FrontTestbed) {
        end(testbed, std::mem::take(&mut self.ends));
    }

    fn begin(&mut self, testbed: &FrontTestbed) -> OddMessage {
        let service = self.random.usize(..testbed.servers.len());
        let replica = self.random.usize(..DOMAINS.len());
        let server = &testbed.servers[service][replica];
        match self.random.u8(..6) {
            0 => {
                server.set_fault(BYTE_FAULTS[self.random.usize(..BYTE_FAULTS.len())]);
                OddMessage::Bytes(service, replica)
            }
            1 => {
                server.set_fault(ServerFault::Reject);
                let time = CLOSED_TIMES[self.random.usize(..CLOSED_TIMES.len())];
                server.set_retry_after(Some(time));
                OddMessage::Closed(service, replica)
            }
            2 => {
                server.set_rate_limit(Some(LIMITS[self.random.usize(..LIMITS.len())]));
                OddMessage::Limit(service, replica)
            }
            3 => {
                server.set_leaving();
                OddMessage::Leaving(service, replica)
            }
            4 => {
                testbed.store.hold_stale_lists(StalePages::Later);
                OddMessage::StalePages
            }
            _ => {
                let spec = json!({ "service": format!("{NOT_TEXT}"), "address": 7 });
                testbed.store.put("servers", "i-odd", &spec);
                OddMessage::Entry
            }
        }
    }
}

fn end(testbed: &FrontTestbed, due: Vec<(Instant, OddMessage)>) {
    for (_, message) in due {
        match message {
            OddMessage::Bytes(service, replica) => {
                testbed.servers[service][replica].set_fault(ServerFault::None);
            }
            OddMessage::Closed(service, replica) => {
                testbed.servers[service][replica].set_fault(ServerFault::None);
                testbed.servers[service][replica].set_retry_after(None);
            }
            OddMessage::Limit(service, replica) => {
                testbed.servers[service][replica].set_rate_limit(None);
            }
            OddMessage::Leaving(service, replica) => {
                let server = &testbed.servers[service][replica];
                server.begin_incarnation();
                testbed.register(server, &service_name(service), DOMAINS[replica], "ready");
            }
            OddMessage::StalePages => testbed.store.refresh_stale_lists(),
            OddMessage::Entry => testbed.store.remove("servers", "i-odd"),
        }
    }
}

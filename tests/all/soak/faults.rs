//! The series of faults.

use camphorway_standins::front::object_store::StoreFault;
use camphorway_standins::front::signed_server::ServerFault;
use camphorway_standins::front::tcp_proxy::{LinkFault, TcpProxy};
use camphorway_standins::front::testbed::{FrontTestbed, service_name};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const SERVER_FAULTS: [ServerFault; 9] = [
    ServerFault::Reject,
    ServerFault::Fail,
    ServerFault::Hang,
    ServerFault::LoseAnswer,
    ServerFault::Truncate,
    ServerFault::MismatchedAnswer,
    ServerFault::ExtraAnswer,
    ServerFault::UnframedReset,
    ServerFault::Unsigned,
];

/// What undoes a fault.
#[derive(Clone, Copy, Debug)]
enum FaultRemedy {
    Wake(usize),
    Restart(usize),
    Server(usize, usize),
    ServerLink(usize),
    StoreLink,
    Store,
    Register(usize, usize),
}

/// Faults at random, of which several last at the same time.
#[derive(Debug)]
pub(super) struct FaultSeries {
    random: fastrand::Rng,
    began: Instant,
    due: Vec<(Instant, FaultRemedy)>,
}

impl FaultSeries {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: fastrand::Rng::with_seed(seed),
            began: Instant::now(),
            due: Vec::new(),
        }
    }

    /// Causes one fault, undoes those whose time is over, and pauses.
    pub(super) fn strike(&mut self, testbed: &mut FrontTestbed) {
        let remedy = self.cause(testbed);
        if let Some(remedy) = remedy {
            println!("{:?} {remedy:?} later", self.began.elapsed());
            let lasts = Duration::from_millis(self.random.u64(200..2_000));
            self.due.push((Instant::now() + lasts, remedy));
        }
        std::thread::sleep(Duration::from_millis(self.random.u64(30..300)));
        let now = Instant::now();
        let (over, due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = due;
        remedy_all(testbed, over);
    }

    /// Undoes all faults.
    pub(super) fn heal(&mut self, testbed: &mut FrontTestbed) {
        remedy_all(testbed, std::mem::take(&mut self.due));
    }

    fn cause(&mut self, testbed: &mut FrontTestbed) -> Option<FaultRemedy> {
        let front = self.random.usize(..testbed.fronts.len());
        let service = self.random.usize(..testbed.servers.len());
        let replica = self.random.usize(..DOMAINS.len());
        let link = self.random.usize(..testbed.server_proxies.len());
        match self.random.u8(..11) {
            0 => self.signal(testbed, front, Signal::STOP, FaultRemedy::Wake(front)),
            1 => self.signal(testbed, front, Signal::KILL, FaultRemedy::Restart(front)),
            2 => self.signal(testbed, front, Signal::TERM, FaultRemedy::Restart(front)),
            3 | 4 => {
                let fault = SERVER_FAULTS[self.random.usize(..SERVER_FAULTS.len())];
                testbed.servers[service][replica].set_fault(fault);
                Some(FaultRemedy::Server(service, replica))
            }
            5 | 6 => {
                let fault = self.link_fault(&testbed.server_proxies[link]);
                testbed.server_proxies[link].set_fault(fault);
                Some(FaultRemedy::ServerLink(link))
            }
            7 => {
                let fault = self.link_fault(testbed.store_proxy.as_ref()?);
                testbed.store_proxy.as_ref()?.set_fault(fault);
                Some(FaultRemedy::StoreLink)
            }
            8 => {
                let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset];
                testbed
                    .store
                    .set_fault(faults[self.random.usize(..faults.len())]);
                Some(FaultRemedy::Store)
            }
            9 => {
                for _ in 0..self.random.usize(1..4) {
                    testbed.configure(&testbed.routes());
                }
                testbed.store.discard_history();
                None
            }
            _ => {
                let server = &testbed.servers[service][replica];
                testbed.register(server, &service_name(service), DOMAINS[replica], "draining");
                Some(FaultRemedy::Register(service, replica))
            }
        }
    }

    fn signal(
        &self,
        testbed: &FrontTestbed,
        front: usize,
        signal: Signal,
        remedy: FaultRemedy,
    ) -> Option<FaultRemedy> {
        let is_touched = self.due.iter().any(|(_, other)| match other {
            FaultRemedy::Wake(other) | FaultRemedy::Restart(other) => *other == front,
            _ => false,
        });
        if is_touched {
            return None;
        }
        // It may have ended by itself, which the checks at the end would show.
        testbed.fronts[front].process.signal(signal).ok()?;
        Some(remedy)
    }

    fn link_fault(&mut self, link: &TcpProxy) -> LinkFault {
        let delay = Duration::from_millis(self.random.u64(5..300));
        match self.random.u8(..6) {
            0 => LinkFault::Delay(delay),
            1 => LinkFault::HoldToTarget,
            2 => LinkFault::HoldFromTarget,
            3 => LinkFault::FreezeOpen,
            4 => LinkFault::ResetNew,
            _ => {
                link.reset_open();
                LinkFault::None
            }
        }
    }
}

fn remedy_all(testbed: &mut FrontTestbed, remedies: Vec<(Instant, FaultRemedy)>) {
    for (_, remedy) in remedies {
        match remedy {
            FaultRemedy::Wake(front) => {
                let process = &testbed.fronts[front].process;
                process.signal(Signal::CONT).expect("a signal");
            }
            FaultRemedy::Restart(front) => testbed.restart_front(front).expect("a front"),
            FaultRemedy::Server(service, replica) => {
                testbed.servers[service][replica].set_fault(ServerFault::None);
            }
            FaultRemedy::ServerLink(link) => {
                testbed.server_proxies[link].set_fault(LinkFault::None);
            }
            FaultRemedy::StoreLink => {
                if let Some(link) = &testbed.store_proxy {
                    link.set_fault(LinkFault::None);
                }
            }
            FaultRemedy::Store => testbed.store.set_fault(StoreFault::None),
            FaultRemedy::Register(service, replica) => {
                let server = &testbed.servers[service][replica];
                testbed.register(server, &service_name(service), DOMAINS[replica], "ready");
            }
        }
    }
}

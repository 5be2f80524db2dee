//! The series of faults.

use camphorway_standins::routed::object_store::StoreFault;
use camphorway_standins::routed::signed_server::ServerFault;
use camphorway_standins::routed::stage::{RoutedStage, service_name};
use camphorway_standins::routed::tcp_proxy::{LinkFault, TcpProxy};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const SERVER_FAULTS: [ServerFault; 9] = [
    ServerFault::Reject,
    ServerFault::Fail,
    ServerFault::Hang,
    ServerFault::LoseAnswer,
    ServerFault::Truncate,
    ServerFault::Foreign,
    ServerFault::Extra,
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
    pub(super) fn strike(&mut self, stage: &mut RoutedStage) {
        let remedy = self.cause(stage);
        if let Some(remedy) = remedy {
            println!("{:?} {remedy:?} later", self.began.elapsed());
            let lasts = Duration::from_millis(self.random.u64(200..2_000));
            self.due.push((Instant::now() + lasts, remedy));
        }
        std::thread::sleep(Duration::from_millis(self.random.u64(30..300)));
        let now = Instant::now();
        let (over, due) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = due;
        remedy_all(stage, over);
    }

    /// Undoes all faults.
    pub(super) fn heal(&mut self, stage: &mut RoutedStage) {
        remedy_all(stage, std::mem::take(&mut self.due));
    }

    fn cause(&mut self, stage: &mut RoutedStage) -> Option<FaultRemedy> {
        let front = self.random.usize(..stage.fronts.len());
        let service = self.random.usize(..stage.servers.len());
        let replica = self.random.usize(..DOMAINS.len());
        let link = self.random.usize(..stage.server_links.len());
        match self.random.u8(..11) {
            0 => self.signal(stage, front, Signal::STOP, FaultRemedy::Wake(front)),
            1 => self.signal(stage, front, Signal::KILL, FaultRemedy::Restart(front)),
            2 => self.signal(stage, front, Signal::TERM, FaultRemedy::Restart(front)),
            3 | 4 => {
                let fault = SERVER_FAULTS[self.random.usize(..SERVER_FAULTS.len())];
                stage.servers[service][replica].set_fault(fault);
                Some(FaultRemedy::Server(service, replica))
            }
            5 | 6 => {
                let fault = self.link_fault(&stage.server_links[link]);
                stage.server_links[link].set_fault(fault);
                Some(FaultRemedy::ServerLink(link))
            }
            7 => {
                let fault = self.link_fault(stage.store_link.as_ref()?);
                stage.store_link.as_ref()?.set_fault(fault);
                Some(FaultRemedy::StoreLink)
            }
            8 => {
                let faults = [StoreFault::Busy, StoreFault::Silent, StoreFault::Reset];
                stage
                    .store
                    .set_fault(faults[self.random.usize(..faults.len())]);
                Some(FaultRemedy::Store)
            }
            9 => {
                for _ in 0..self.random.usize(1..4) {
                    stage.configure(&stage.routes());
                }
                stage.store.forget_history();
                None
            }
            _ => {
                let server = &stage.servers[service][replica];
                stage.register(server, &service_name(service), DOMAINS[replica], "draining");
                Some(FaultRemedy::Register(service, replica))
            }
        }
    }

    fn signal(
        &self,
        stage: &RoutedStage,
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
        stage.fronts[front].process.signal(signal).ok()?;
        Some(remedy)
    }

    fn link_fault(&mut self, link: &TcpProxy) -> LinkFault {
        let delay = Duration::from_millis(self.random.u64(5..300));
        match self.random.u8(..6) {
            0 => LinkFault::Delay(delay),
            1 => LinkFault::HoldForth,
            2 => LinkFault::HoldBack,
            3 => LinkFault::SilenceOpen,
            4 => LinkFault::Refuse,
            _ => {
                link.reset_open();
                LinkFault::None
            }
        }
    }
}

fn remedy_all(stage: &mut RoutedStage, remedies: Vec<(Instant, FaultRemedy)>) {
    for (_, remedy) in remedies {
        match remedy {
            FaultRemedy::Wake(front) => {
                let process = &stage.fronts[front].process;
                process.signal(Signal::CONT).expect("a signal");
            }
            FaultRemedy::Restart(front) => stage.restart_front(front).expect("a front"),
            FaultRemedy::Server(service, replica) => {
                stage.servers[service][replica].set_fault(ServerFault::None);
            }
            FaultRemedy::ServerLink(link) => {
                stage.server_links[link].set_fault(LinkFault::None);
            }
            FaultRemedy::StoreLink => {
                if let Some(link) = &stage.store_link {
                    link.set_fault(LinkFault::None);
                }
            }
            FaultRemedy::Store => stage.store.set_fault(StoreFault::None),
            FaultRemedy::Register(service, replica) => {
                let server = &stage.servers[service][replica];
                stage.register(server, &service_name(service), DOMAINS[replica], "ready");
            }
        }
    }
}

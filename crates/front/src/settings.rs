//! The settings of a front, read from an INI file. docs/front.md describes each
//! key.

use camphorway_daemon::connection_memory::PortLimits;
use camphorway_daemon::settings::{self, SettingsError};
use camphorway_model::ini::{self, IniFault, IniSection};
use camphorway_model::{FailureDomain, VmName};
use camphorway_policy::BudgetLimits;
use simplelog::LevelFilter;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;

const FRONT_KEYS: &str = "vm, failure-domain, callers, readiness, peers, log-level, \
                          answer-margin-ms, answer-margin-s";
const STORE_KEYS: &str = "address";
const BOUND_KEYS: &str = "in-force-ms, in-force-s, leave-ms, leave-s, heartbeat-ms, heartbeat-s";
const STOP_KEYS: &str = "grace-ms, grace-s";
const BUDGET_KEYS: &str = "ratio, window-ms, window-s, allowance, shared-allowance, restart";
const PLACE_KEYS: &str = "evacuate-ms, evacuate-s";
const COLD_KEYS: &str = "overage-factor, slack";
const QUOTA_KEYS: &str =
    "window-ms, window-s, overage-fraction, slack, revoke-ms, revoke-s, strict-revoke";
const EARLIER_OVERAGE_KEY: &str = "overage";
const VM_KEYS: &str = "memory-mb, descriptors, caller-memory-mb, caller-connections, \
                        readiness-memory-mb, readiness-connections, answer-memory-mb";
const SECTIONS: &str = "front, store, bounds, stop, budget, regions, places, cold, quota, vm";

const DEFAULT_BOUND: Duration = Duration::from_secs(3);
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);
const DEFAULT_ANSWER_MARGIN: Duration = Duration::from_millis(20);
const DEFAULT_RATIO: f64 = 0.1;
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
const DEFAULT_ALLOWANCE: f64 = 1.0;
const DEFAULT_QUOTA_WINDOW: Duration = Duration::from_secs(5);
/// The range of windows over which calls or requests are counted.
const WINDOWS: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);
const BYTES_PER_MB: f64 = 1_048_576.0;
/// Memory of callers' connections where that of the VM is unknown.
const DEFAULT_CALLER_BYTES: usize = 64 * 1_048_576;
/// Memory of servers' answers, on a large VM too.
const MAX_ANSWER_BYTES: usize = 32 * 1_048_576;
/// Connections of one port, on a large VM too.
const MAX_CONNECTIONS: usize = 4_096;

/// All settings of one front.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The VM's name.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: FailureDomain,
    /// The region of each failure domain.
    pub regions: HashMap<FailureDomain, String>,
    /// The address of the callers' port.
    pub callers: SocketAddr,
    /// The address of the readiness port.
    pub readiness: SocketAddr,
    /// The minimum level of log lines.
    pub log_level: LevelFilter,
    /// The store's address.
    pub store: SocketAddr,
    /// The UDP address for other fronts.
    pub peers: SocketAddr,
    /// A new configuration is in force within this time.
    pub in_force_bound: Duration,
    /// A leaving server gets no new calls after this time.
    pub leave_bound: Duration,
    /// The time between two writes of a server's registration.
    pub heartbeat: Duration,
    /// A query is answered this long before its objective, with the parts
    /// received.
    pub answer_margin: Duration,
    /// The time from the stop signal until the process is killed.
    pub grace: Duration,
    /// The limits of extra calls for each service.
    pub budget: BudgetLimits,
    /// Extra calls in each window beyond the ratio that all fronts share.
    pub shared_allowance: f64,
    /// Whether fronts may have made extra calls just before this start.
    pub is_restart: bool,
    /// The time within which a failure domain's servers get no more calls once the
    /// domain is evacuated; `None` if domains are not evacuated here.
    pub evacuate_bound: Option<Duration>,
    /// The tolerance of cold servers' limits; `None` if there is none.
    pub cold: Option<ColdBounds>,
    /// The tolerance of workspaces' quotas; `None` if there are no quotas here.
    pub quota: Option<QuotaBounds>,
    /// What the VM has; absent if unknown.
    pub vm_limits: VmLimits,
}

impl FrontSettings {
    /// Whether keys are refused once the configuration has not been confirmed for a time.
    pub fn refuses_unconfirmed_keys(&self) -> bool {
        self.quota.is_some_and(|bounds| bounds.is_revoke_strict)
    }

    /// The time within which the store's configuration is confirmed anew. Keys that can't
    /// be confirmed in time are refused where revocation is strict.
    pub fn configuration_bound(&self) -> Duration {
        let strict = self.quota.filter(|bounds| bounds.is_revoke_strict);
        let revoke_bound = strict.and_then(|bounds| bounds.revoke_bound);
        revoke_bound.map_or(self.in_force_bound, |bound| bound.min(self.in_force_bound))
    }
}

/// The tolerance of a cold server's limit on the requests of one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// The factor by which the limit may be exceeded.
    pub overage_factor: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl ColdBounds {
    /// No tolerance.
    pub const STRICT: Self = Self {
        overage_factor: 1.0,
        slack: 0.0,
    };
}

/// The tolerance of workspaces' quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window over which requests are counted.
    pub window: Duration,
    /// The fraction by which a quota may be exceeded.
    pub overage_fraction: f64,
    /// Requests beyond that in each window.
    pub slack: f64,
    /// The time within which a key that was taken away is refused.
    pub revoke_bound: Option<Duration>,
    /// Whether a front that can't learn of keys taken away refuses all keys after that
    /// time.
    pub is_revoke_strict: bool,
}

/// What a VM has for this process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct VmLimits {
    /// Memory, in bytes.
    pub memory_bytes: Option<usize>,
    /// File descriptors.
    pub descriptors: Option<usize>,
    /// Memory of callers' connections, in bytes, in place of a fraction.
    pub caller_bytes: Option<usize>,
    /// Callers' connections, in place of a fraction.
    pub caller_connections: Option<usize>,
    /// Memory of connections for readiness and metrics, in bytes, in place of a fraction.
    pub readiness_bytes: Option<usize>,
    /// Connections for readiness and metrics, in place of a fraction.
    pub readiness_connections: Option<usize>,
    /// Memory of servers' answers, in bytes, in place of a fraction.
    pub answer_bytes: Option<usize>,
}

impl VmLimits {
    /// By default, callers' connections get a quarter of the memory and three quarters of
    /// the descriptors; the others are for servers, the store and other fronts.
    pub fn callers(&self) -> PortLimits {
        let by_fraction = self.caller_fractions();
        PortLimits {
            max_bytes: self.caller_bytes.unwrap_or(by_fraction.max_bytes),
            max_connections: self
                .caller_connections
                .unwrap_or(by_fraction.max_connections),
        }
    }

    /// The balancer and scrapers need few connections.
    pub fn readiness(&self) -> PortLimits {
        let callers = self.caller_fractions();
        PortLimits {
            max_bytes: self.readiness_bytes.unwrap_or(callers.max_bytes / 8),
            max_connections: self
                .readiness_connections
                .unwrap_or(callers.max_connections / 12),
        }
    }

    fn caller_fractions(&self) -> PortLimits {
        let max_connections = self.descriptors.map_or(MAX_CONNECTIONS, |all| all * 3 / 4);
        PortLimits {
            max_bytes: self
                .memory_bytes
                .map_or(DEFAULT_CALLER_BYTES, |all| all / 4),
            max_connections: max_connections.min(MAX_CONNECTIONS),
        }
    }

    /// Memory of the answers that servers send, in bytes.
    pub fn answer_bytes(&self) -> usize {
        let quarter = self.memory_bytes.map(|all| all / 4);
        let by_fraction = quarter.map_or(MAX_ANSWER_BYTES, |bytes| bytes.min(MAX_ANSWER_BYTES));
        self.answer_bytes.unwrap_or(by_fraction)
    }
}

impl FrontSettings {
    /// Reads and checks the file at `path`, with `set` (`SECTION.KEY=VALUE`) in place of
    /// the file's values.
    ///
    /// # Errors
    /// Returns every fault with its file, line, section and key.
    pub fn read(path: &Path, set: &[String]) -> Result<Self, SettingsError> {
        settings::read_file(path, |file, text| Self::parse_with(file, text, set))
    }

    /// Parses and checks settings. `file` is the file name in faults.
    ///
    /// # Errors
    /// Returns every fault with its file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<IniFault>> {
        Self::parse_with(file, text, &[])
    }

    /// Parses and checks settings, with `set` (`SECTION.KEY=VALUE`) in place of the
    /// text's values.
    ///
    /// # Errors
    /// Returns every fault with its file, line, section and key.
    pub fn parse_with(file: &str, text: &str, set: &[String]) -> Result<Self, Vec<IniFault>> {
        let mut faults = Vec::new();
        let mut front = None;
        let mut store = None;
        let mut grace = Duration::from_secs(30);
        let mut budget = default_budget();
        let mut shared_allowance = 0.0;
        let mut is_restart = false;
        let (mut in_force_bound, mut leave_bound) = (DEFAULT_BOUND, DEFAULT_BOUND);
        let mut heartbeat = DEFAULT_HEARTBEAT;
        let mut regions = HashMap::new();
        let (mut evacuate_bound, mut cold, mut quota) = (None, None, None);
        let mut vm_limits = VmLimits::default();
        let mut sections = ini::parse(file, text, &mut faults);
        ini::set_values(&mut sections, set, &mut faults);
        for mut section in sections {
            match section.title() {
                ("front", "") => front = read_front(section, &mut faults),
                ("store", "") => store = read_store(section, &mut faults),
                ("stop", "") => {
                    let time = section.duration_within("grace", ini::TIMES, &mut faults);
                    grace = time.unwrap_or(grace);
                    section.finish(STOP_KEYS, &mut faults);
                }
                ("bounds", "") => {
                    let mut bound = |name| section.duration_within(name, ini::TIMES, &mut faults);
                    in_force_bound = bound("in-force").unwrap_or(in_force_bound);
                    leave_bound = bound("leave").unwrap_or(leave_bound);
                    heartbeat = bound("heartbeat").unwrap_or(heartbeat);
                    section.finish(BOUND_KEYS, &mut faults);
                }
                ("budget", "") => {
                    let shared = section.number_within("shared-allowance", 0.0..=1e6, &mut faults);
                    shared_allowance = shared.unwrap_or(shared_allowance);
                    let restart = section.optional("restart", "true, false", &mut faults);
                    is_restart = restart.unwrap_or(is_restart);
                    budget = read_budget(section, &mut faults);
                }
                ("places", "") => {
                    evacuate_bound = section.duration_within("evacuate", ini::TIMES, &mut faults);
                    section.finish(PLACE_KEYS, &mut faults);
                }
                ("cold", "") => cold = Some(read_cold(section, &mut faults)),
                ("quota", "") => quota = Some(read_quota(section, &mut faults)),
                ("vm", "") => vm_limits = read_vm(section, &mut faults),
                ("regions", "") => {
                    let pairs = section.take_pairs().into_iter();
                    regions.extend(pairs.map(|(name, region)| (FailureDomain::new(&name), region)));
                }
                _ => {
                    let problem = format!("unknown section; allowed: {SECTIONS}");
                    faults.push(section.fault_at("-", &problem));
                }
            }
        }
        if let (Some(mut settings), Some(address)) = (front, store)
            && faults.is_empty()
        {
            settings.store = address;
            settings.in_force_bound = in_force_bound;
            settings.leave_bound = leave_bound;
            settings.heartbeat = heartbeat;
            settings.shared_allowance = shared_allowance;
            settings.is_restart = is_restart;
            settings.grace = grace;
            settings.budget = budget;
            settings.regions = regions;
            settings.evacuate_bound = evacuate_bound;
            settings.cold = cold;
            settings.quota = quota;
            settings.vm_limits = vm_limits;
            return Ok(settings);
        }
        if faults.is_empty() {
            faults.push(settings::missing_section(file, "[front], [store]"));
        }
        Err(faults)
    }
}

fn default_budget() -> BudgetLimits {
    BudgetLimits {
        ratio: DEFAULT_RATIO,
        allowance: DEFAULT_ALLOWANCE,
        window: DEFAULT_WINDOW,
    }
}

fn read_front(mut section: IniSection, faults: &mut Vec<IniFault>) -> Option<FrontSettings> {
    let address = "an IP address and port";
    let vm: Option<String> = section.required("vm", "the VM's name", faults);
    let domain: Option<String> = section.required("failure-domain", "a name", faults);
    let callers = section.required("callers", address, faults);
    let readiness = section.required("readiness", address, faults);
    let levels = "off, error, warn, info, debug, trace";
    let peers = section.required("peers", address, faults);
    let log_level = section.optional("log-level", levels, faults);
    let margin = section.duration_within("answer-margin", ini::TIMES, faults);
    section.finish(FRONT_KEYS, faults);
    Some(FrontSettings {
        vm: VmName::new(&vm?),
        domain: FailureDomain::new(&domain?),
        regions: HashMap::new(),
        callers: callers?,
        readiness: readiness?,
        log_level: log_level.unwrap_or(LevelFilter::Info),
        store: callers?,
        peers: peers?,
        in_force_bound: DEFAULT_BOUND,
        leave_bound: DEFAULT_BOUND,
        heartbeat: DEFAULT_HEARTBEAT,
        answer_margin: margin.unwrap_or(DEFAULT_ANSWER_MARGIN),
        grace: Duration::ZERO,
        budget: default_budget(),
        shared_allowance: 0.0,
        is_restart: false,
        evacuate_bound: None,
        cold: None,
        quota: None,
        vm_limits: VmLimits::default(),
    })
}

fn read_store(mut section: IniSection, faults: &mut Vec<IniFault>) -> Option<SocketAddr> {
    let address = section.required("address", "an IP address and port", faults);
    section.finish(STORE_KEYS, faults);
    address
}

fn read_budget(mut section: IniSection, faults: &mut Vec<IniFault>) -> BudgetLimits {
    let mut limits = default_budget();
    if let Some(ratio) = section.number_within("ratio", 0.0..=10.0, faults) {
        limits.ratio = ratio;
    }
    if let Some(allowance) = section.number_within("allowance", 0.0..=1_000.0, faults) {
        limits.allowance = allowance;
    }
    if let Some(window) = section.duration_within("window", WINDOWS, faults) {
        limits.window = window;
    }
    section.finish(BUDGET_KEYS, faults);
    limits
}

fn read_cold(mut section: IniSection, faults: &mut Vec<IniFault>) -> ColdBounds {
    let bounds = ColdBounds {
        overage_factor: read_overage(&mut section, "overage-factor", 1.0..=100.0, faults)
            .unwrap_or(1.0),
        slack: section
            .number_within("slack", 0.0..=1e6, faults)
            .unwrap_or(0.0),
    };
    section.finish(COLD_KEYS, faults);
    bounds
}

fn read_quota(mut section: IniSection, faults: &mut Vec<IniFault>) -> QuotaBounds {
    let window = section.duration_within("window", WINDOWS, faults);
    let bounds = QuotaBounds {
        window: window.unwrap_or(DEFAULT_QUOTA_WINDOW),
        overage_fraction: read_overage(&mut section, "overage-fraction", 0.0..=100.0, faults)
            .unwrap_or(0.0),
        slack: section
            .number_within("slack", 0.0..=1e6, faults)
            .unwrap_or(0.0),
        revoke_bound: section.duration_within("revoke", ini::TIMES, faults),
        is_revoke_strict: section
            .optional("strict-revoke", "true, false", faults)
            .unwrap_or(false),
    };
    if bounds.is_revoke_strict && bounds.revoke_bound.is_none() {
        let problem = "revoke-ms or revoke-s is needed with it";
        faults.push(section.fault_at("strict-revoke", problem));
    }
    section.finish(QUOTA_KEYS, faults);
    bounds
}

/// Reads how far a limit may be exceeded. An earlier release calls it `overage`, whether
/// it is a factor or a fraction.
fn read_overage(
    section: &mut IniSection,
    key: &str,
    range: RangeInclusive<f64>,
    faults: &mut Vec<IniFault>,
) -> Option<f64> {
    let earlier = section.number_within(EARLIER_OVERAGE_KEY, range.clone(), faults);
    let current = section.number_within(key, range, faults);
    if earlier.is_some() && current.is_some() {
        let problem = format!("`{EARLIER_OVERAGE_KEY}` is given too; one of them is enough");
        faults.push(section.fault_at(key, &problem));
    }
    current.or(earlier)
}

fn read_vm(mut section: IniSection, faults: &mut Vec<IniFault>) -> VmLimits {
    let bytes = |mb: f64| (mb * BYTES_PER_MB) as usize;
    let mut memory = |key| section.number_within(key, 1.0..=1e6, faults).map(bytes);
    let memory_bytes = memory("memory-mb");
    let caller_bytes = memory("caller-memory-mb");
    let readiness_bytes = memory("readiness-memory-mb");
    let answer_bytes = memory("answer-memory-mb");
    let mut count = |key, min| {
        let count = section.count_within(key, min..=u32::MAX, faults);
        count.map(|count| count as usize)
    };
    let limits = VmLimits {
        memory_bytes,
        descriptors: count("descriptors", 16),
        caller_bytes,
        caller_connections: count("caller-connections", 1),
        readiness_bytes,
        readiness_connections: count("readiness-connections", 1),
        answer_bytes,
    };
    section.finish(VM_KEYS, faults);
    limits
}

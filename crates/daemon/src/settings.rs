//! The daemon's settings, an INI file.

use camphorway_model::ini::{self, IniFault, IniSection};
use camphorway_model::{FailureDomain, VmName};
use derive_more::Display;
use simplelog::LevelFilter;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const DAEMON_KEYS: &str = "vm, failure-domain, caller-address, peer-address, advertised-address, admin-address, \
                           traffic-threads, log-level, seeds";
const STORE_KEYS: &str = "address, token-file, calls-per-second";
const TLS_KEYS: &str = "ca-file, certificate-file, key-file";
const LIMIT_KEYS: &str = "body-bytes, header-bytes, connections, requests, \
                          caller-memory-mb, operator-memory-mb, \
                          read-timeout-ms, read-timeout-s, balancer-lag-ms, \
                          balancer-lag-s, drain-ms, drain-s";

const BYTES_PER_MB: usize = 1_048_576;

/// All settings of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// The VM's name, which is also the member's name.
    pub vm: VmName,
    /// The VM's failure domain.
    pub domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// UDP address for other daemons.
    pub peer_address: SocketAddr,
    /// Address at which other daemons reach this one; by default `peer_address`.
    pub advertised_address: SocketAddr,
    /// Address for operators and the balancer's health checks.
    pub admin_address: SocketAddr,
    /// Number of traffic threads.
    pub traffic_threads: usize,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
    /// Daemons to contact when the platform can't be reached.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Keys for traffic between daemons.
    pub tls: TlsSettings,
    /// Limits for callers.
    pub limits: LimitSettings,
}

/// Settings of the connection to the platform's store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// The store's address.
    pub address: SocketAddr,
    /// File that holds the access token.
    pub token_file: Option<PathBuf>,
    /// Maximum rate of this daemon's calls.
    pub calls_per_second: f64,
}

/// The certificate and key files, in PEM format.
#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the settings file"
)]
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// Certificates of the authority that all daemons trust.
    pub ca_file: PathBuf,
    /// This daemon's certificate chain.
    pub certificate_file: PathBuf,
    /// This daemon's private key.
    pub key_file: PathBuf,
}

/// Limits for callers, and times for the shutdown.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Timeout for receiving the head or the body of a request.
    pub read_timeout: Duration,
    /// Maximum number of connections on a port.
    pub max_connections: usize,
    /// Maximum number of concurrent requests.
    pub max_requests: usize,
    /// Memory that callers' connections may hold together, in bytes.
    pub max_caller_bytes: usize,
    /// Memory that operators' connections may hold together, in bytes.
    pub max_operator_bytes: usize,
    /// The time for which the balancer may still send requests after readiness
    /// fails.
    pub balancer_lag: Duration,
    /// Timeout of the graceful shutdown.
    pub drain_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 1_048_576,
            max_header_bytes: 16_384,
            read_timeout: Duration::from_secs(5),
            max_connections: 4_096,
            max_requests: 4_096,
            max_caller_bytes: 32 * BYTES_PER_MB,
            max_operator_bytes: 8 * BYTES_PER_MB,
            balancer_lag: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(30),
        }
    }
}

/// Why the settings can't be used.
#[derive(Debug, Display)]
pub enum SettingsError {
    /// The file can't be read.
    #[display("{}: cannot read settings: {cause}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The file has faults, printed one per line.
    #[display("{}", join_lines(_0))]
    Faults(Vec<IniFault>),
}

impl std::error::Error for SettingsError {}

fn join_lines(faults: &[IniFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl DaemonSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    /// Returns every fault with file, line, section and key.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        read_file(path, Self::parse)
    }

    /// Parses and checks settings; `file` names them in faults.
    ///
    /// # Errors
    /// Returns every fault with file, line, section and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<IniFault>> {
        let mut faults = Vec::new();
        let mut daemon = None;
        let mut store = None;
        let mut tls = None;
        let mut limits = LimitSettings::default();
        for section in ini::parse(file, text, &mut faults) {
            match section.title() {
                ("daemon", "") => daemon = read_daemon(section, &mut faults),
                ("store", "") => store = read_store(section, &mut faults),
                ("tls", "") => tls = read_tls(section, &mut faults),
                ("limits", "") => read_limits(section, &mut limits, &mut faults),
                _ => {
                    let problem = "unknown section; allowed: daemon, store, tls, limits";
                    faults.push(section.fault_at("-", problem));
                }
            }
        }
        if let (Some(mut settings), Some(store), Some(tls)) = (daemon, store, tls)
            && faults.is_empty()
        {
            settings.store = store;
            settings.tls = tls;
            settings.limits = limits;
            return Ok(settings);
        }
        if faults.is_empty() {
            faults.push(missing_section(file, "[daemon], [store], [tls]"));
        }
        Err(faults)
    }
}

/// Reads the file at `path` and parses it with `parse`.
///
/// # Errors
/// Returns the error from reading the file, or every fault that `parse` finds.
pub fn read_file<Settings, Parse>(path: &Path, parse: Parse) -> Result<Settings, SettingsError>
where
    Parse: FnOnce(&str, &str) -> Result<Settings, Vec<IniFault>>,
{
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Read {
        path: path.to_owned(),
        cause,
    })?;
    parse(&path.display().to_string(), &text).map_err(SettingsError::Faults)
}

/// The fault of a file that lacks a required section; `needed` lists them.
pub fn missing_section(file: &str, needed: &str) -> IniFault {
    IniFault {
        file: file.to_owned(),
        line: 0,
        section: String::new(),
        key: "-".to_owned(),
        problem: format!("a section is missing; needed: {needed}"),
    }
}

fn read_daemon(mut section: IniSection, faults: &mut Vec<IniFault>) -> Option<DaemonSettings> {
    let address = "an IP address and port";
    let vm: Option<String> = section.required("vm", "the VM's name", faults);
    let domain: Option<String> = section.required("failure-domain", "a name", faults);
    let caller_address = section.required("caller-address", address, faults);
    let peer_address = section.required("peer-address", address, faults);
    let advertised_address = section.optional("advertised-address", address, faults);
    let admin_address = section.required("admin-address", address, faults);
    let threads = section.count_within("traffic-threads", 1..=64, faults);
    let levels = "off, error, warn, info, debug, trace";
    let log_level = section.optional("log-level", levels, faults);
    let seeds: Option<String> = section.optional("seeds", address, faults);
    let mut peers = Vec::new();
    for text in seeds.iter().flat_map(|seeds| seeds.split(',')) {
        match text.trim().parse() {
            Ok(peer) => peers.push(peer),
            Err(_) => faults.push(section.fault_at(
                "seeds",
                &format!(
                    "`{}` is not allowed; allowed: a list of addresses with ports",
                    text.trim()
                ),
            )),
        }
    }
    section.finish(DAEMON_KEYS, faults);
    Some(DaemonSettings {
        vm: VmName::new(&vm?),
        domain: FailureDomain::new(&domain?),
        caller_address: caller_address?,
        peer_address: peer_address?,
        advertised_address: advertised_address.or(peer_address)?,
        admin_address: admin_address?,
        traffic_threads: threads.map_or(2, |count| count as usize),
        log_level: log_level.unwrap_or(LevelFilter::Info),
        seeds: peers,
        store: StoreSettings {
            address: admin_address?,
            token_file: None,
            calls_per_second: 0.0,
        },
        tls: TlsSettings {
            ca_file: PathBuf::new(),
            certificate_file: PathBuf::new(),
            key_file: PathBuf::new(),
        },
        limits: LimitSettings::default(),
    })
}

fn read_store(mut section: IniSection, faults: &mut Vec<IniFault>) -> Option<StoreSettings> {
    let address = section.required("address", "an IP address and port", faults);
    let token_file = section.optional("token-file", "a path", faults);
    let calls = section.number_within("calls-per-second", 1.0..=10_000.0, faults);
    section.finish(STORE_KEYS, faults);
    Some(StoreSettings {
        address: address?,
        token_file,
        calls_per_second: calls.unwrap_or(100.0),
    })
}

fn read_tls(mut section: IniSection, faults: &mut Vec<IniFault>) -> Option<TlsSettings> {
    let ca_file = section.required("ca-file", "a path", faults);
    let certificate_file = section.required("certificate-file", "a path", faults);
    let key_file = section.required("key-file", "a path", faults);
    section.finish(TLS_KEYS, faults);
    Some(TlsSettings {
        ca_file: ca_file?,
        certificate_file: certificate_file?,
        key_file: key_file?,
    })
}

fn read_limits(mut section: IniSection, limits: &mut LimitSettings, faults: &mut Vec<IniFault>) {
    let counts = [
        ("body-bytes", &mut limits.max_body_bytes, 67_108_864),
        ("header-bytes", &mut limits.max_header_bytes, 1_048_576),
        ("connections", &mut limits.max_connections, 1_000_000),
        ("requests", &mut limits.max_requests, 1_000_000),
    ];
    for (key, target, max) in counts {
        if let Some(count) = section.count_within(key, 1..=max, faults) {
            *target = count as usize;
        }
    }
    let memories = [
        ("caller-memory-mb", &mut limits.max_caller_bytes),
        ("operator-memory-mb", &mut limits.max_operator_bytes),
    ];
    for (key, target) in memories {
        if let Some(count) = section.count_within(key, 1..=1_000_000, faults) {
            *target = count as usize * BYTES_PER_MB;
        }
    }
    let times = [
        ("read-timeout", &mut limits.read_timeout),
        ("balancer-lag", &mut limits.balancer_lag),
        ("drain", &mut limits.drain_timeout),
    ];
    for (name, target) in times {
        if let Some(time) = section.duration_within(name, ini::TIMES, faults) {
            *target = time;
        }
    }
    section.finish(LIMIT_KEYS, faults);
}

//! Comparisons of two or more variants in one run.
//!
//! The variants differ only in the rules and take turns on the same fleet, so
//! that other load on the machine affects all of them alike.

use crate::fleet::{Fleet, wait_for};
use crate::load::{self, LoadAnswer, LoadPlan, StreamReport};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io;
use std::time::Duration;

const SETTLE_TIME: Duration = Duration::from_millis(700);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// One variant in a comparison.
#[derive(Clone, Debug)]
pub struct ExperimentVariant {
    /// The variant's name in the report.
    pub name: &'static str,
    /// Sections appended to the inventory.
    pub rules: String,
}

/// The results of one variant.
#[derive(Clone, Debug)]
pub struct VariantReport {
    /// The variant's name.
    pub name: &'static str,
    /// The results of each stream.
    pub streams: Vec<StreamReport>,
    /// All answers to callers.
    pub answers: Vec<LoadAnswer>,
    /// Calls that backend servers received.
    pub server_calls: u64,
    /// Calls refused because all slots were taken.
    pub over_slots: u64,
    /// Processor time of all daemons, in seconds.
    pub daemon_cpu: f64,
}

/// Runs the variants in turn, each `rounds` times.
///
/// # Errors
/// Returns an error if a configuration is not applied in time, a stand-in does not
/// answer or the load can't be started.
pub fn compare(
    fleet: &mut Fleet,
    variants: &[ExperimentVariant],
    plan: &LoadPlan,
    rounds: u64,
) -> io::Result<Vec<VariantReport>> {
    let base_inventory = fleet.inventory.clone();
    let mut reports: Vec<VariantReport> = variants
        .iter()
        .map(|variant| VariantReport {
            name: variant.name,
            streams: Vec::new(),
            answers: Vec::new(),
            server_calls: 0,
            over_slots: 0,
            daemon_cpu: 0.0,
        })
        .collect();
    for round in 0..rounds {
        for (variant, report) in variants.iter().zip(&mut reports) {
            apply_and_wait(fleet, &format!("{base_inventory}\n{}", variant.rules))?;
            let mut plan = plan.clone();
            plan.seed = plan.seed.wrapping_add(round * 1_000);
            let calls_before = fleet.server_counter("calls")?;
            let over_slots_before = fleet.server_counter("over-slots")?;
            let cpu_before = daemon_cpu(fleet);
            report.answers.extend(load::run(&plan)?);
            report.server_calls += fleet.server_counter("calls")? - calls_before;
            report.over_slots += fleet.server_counter("over-slots")? - over_slots_before;
            report.daemon_cpu += daemon_cpu(fleet) - cpu_before;
            std::thread::sleep(SETTLE_TIME);
        }
    }
    for report in &mut reports {
        let mut streams = load::report(plan, &report.answers);
        for stream in &mut streams {
            stream.good_per_second /= rounds as f64;
        }
        report.streams = streams;
    }
    Ok(reports)
}

/// Applies a configuration and waits until it is in force at every daemon.
///
/// # Errors
/// Returns an error if the store refuses it or a daemon does not apply it in time.
pub fn apply_and_wait(fleet: &mut Fleet, text: &str) -> io::Result<()> {
    let generation = fleet.apply(text)?;
    for index in 0..fleet.daemons.len() {
        let is_in_force = || {
            fleet
                .state(index)
                .is_ok_and(|state| state["generation"].as_u64() == Some(generation))
        };
        wait_for(is_in_force, "the configuration")?;
    }
    Ok(())
}

/// Processor time of all daemons so far, in seconds.
pub fn daemon_cpu(fleet: &Fleet) -> f64 {
    let processes = fleet
        .daemons
        .iter()
        .filter_map(|daemon| daemon.process.as_ref());
    processes.map(|process| process_cpu(process.id())).sum()
}

/// Processor time of a process so far, in seconds.
pub fn process_cpu(id: u32) -> f64 {
    cpu_seconds(&format!("/proc/{id}/stat"))
}

/// Processor time of the threads of a process whose name begins with `prefix`.
pub fn thread_cpu(id: u32, prefix: &str) -> f64 {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else {
        return 0.0;
    };
    let mut sum = 0.0;
    for thread in threads.flatten() {
        let path = thread.path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.starts_with(prefix) {
            sum += cpu_seconds(&path.join("stat").display().to_string());
        }
    }
    sum
}

/// Resident memory of a process, in bytes.
pub fn process_memory(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or_default() * 1_024
}

fn cpu_seconds(path: &str) -> f64 {
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    // The second field, the name in parentheses, may contain spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / CLOCK_TICKS_PER_SECOND
}

/// Formats the reports as a text table.
pub fn table(reports: &[VariantReport], shards: usize) -> String {
    let mut text = String::new();
    for report in reports {
        let queries: u64 = report.answers.len() as u64;
        let extra_call_ratio = report.server_calls as f64 / (queries as f64 * shards as f64) - 1.0;
        let per_call = report.daemon_cpu * 1e6 / report.server_calls.max(1) as f64;
        let _ = writeln!(
            text,
            "side {}: calls per queried shard {:.3}, without a free slot {}, daemon CPU {per_call:.0} us per server call",
            report.name,
            extra_call_ratio + 1.0,
            report.over_slots
        );
        text.push_str(&load::table(&report.streams));
    }
    text
}

/// Converts the reports to JSON.
pub fn to_json(reports: &[VariantReport]) -> Value {
    let variants: Vec<Value> = reports
        .iter()
        .map(|report| {
            json!({
                "side": report.name,
                "queries": report.answers.len(),
                "server-calls": report.server_calls,
                "over-slots": report.over_slots,
                "daemon-cpu-s": report.daemon_cpu,
                "streams": report.streams,
            })
        })
        .collect();
    json!(variants)
}

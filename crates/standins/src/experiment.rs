//! Comparisons of two or more sides in one run.
//!
//! The sides differ in the rules only and take turns on the same fleet, so
//! that whatever else the machine does falls on all of them alike.

use crate::fleet::{Fleet, wait_for};
use crate::load::{self, LoadAnswer, LoadPlan, StreamReport};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::io;
use std::time::Duration;

const SETTLE: Duration = Duration::from_millis(700);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// One side of a comparison.
#[derive(Clone, Debug)]
pub struct ExperimentVariant {
    /// Its name in the table.
    pub name: &'static str,
    /// Sections added to the inventory.
    pub rules: String,
}

/// What one side came to.
#[derive(Clone, Debug)]
pub struct VariantReport {
    /// The side's name.
    pub name: &'static str,
    /// The streams.
    pub streams: Vec<StreamReport>,
    /// All answers.
    pub answers: Vec<LoadAnswer>,
    /// Calls that backend servers received.
    pub server_calls: u64,
    /// Calls that found all slots taken.
    pub over_slots: u64,
    /// Processor time of all daemons, in seconds.
    pub daemon_cpu: f64,
}

/// Runs each side `rounds` times in turn.
///
/// # Errors
/// Returns an error if the fleet fails.
pub fn compare(
    fleet: &mut Fleet,
    sides: &[ExperimentVariant],
    plan: &LoadPlan,
    rounds: u64,
) -> io::Result<Vec<VariantReport>> {
    let base = fleet.inventory.clone();
    let mut reports: Vec<VariantReport> = sides
        .iter()
        .map(|side| VariantReport {
            name: side.name,
            streams: Vec::new(),
            answers: Vec::new(),
            server_calls: 0,
            over_slots: 0,
            daemon_cpu: 0.0,
        })
        .collect();
    for round in 0..rounds {
        for (side, report) in sides.iter().zip(&mut reports) {
            apply_and_wait(fleet, &format!("{base}\n{}", side.rules))?;
            let mut plan = plan.clone();
            plan.seed = plan.seed.wrapping_add(round * 1_000);
            let calls = fleet.server_counter("calls")?;
            let over = fleet.server_counter("over-slots")?;
            let cpu = daemon_cpu(fleet);
            report.answers.extend(load::run(&plan)?);
            report.server_calls += fleet.server_counter("calls")? - calls;
            report.over_slots += fleet.server_counter("over-slots")? - over;
            report.daemon_cpu += daemon_cpu(fleet) - cpu;
            std::thread::sleep(SETTLE);
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

/// Applies a configuration and waits until every daemon has it.
///
/// # Errors
/// Returns an error if that takes too long.
pub fn apply_and_wait(fleet: &mut Fleet, text: &str) -> io::Result<()> {
    let generation = fleet.apply(text)?;
    for index in 0..fleet.daemons.len() {
        let in_force = || {
            fleet
                .state(index)
                .is_ok_and(|state| state["generation"].as_u64() == Some(generation))
        };
        wait_for(in_force, "the configuration")?;
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
    cpu_of(&format!("/proc/{id}/stat"))
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
            sum += cpu_of(&path.join("stat").display().to_string());
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

fn cpu_of(path: &str) -> f64 {
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    // The name stands in brackets and may hold spaces.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / CLOCK_TICKS_PER_SECOND
}

/// A table of all sides for people.
pub fn table(reports: &[VariantReport], shards: usize) -> String {
    let mut text = String::new();
    for report in reports {
        let queries: u64 = report.answers.len() as u64;
        let extra = report.server_calls as f64 / (queries as f64 * shards as f64) - 1.0;
        let per_call = report.daemon_cpu * 1e6 / report.server_calls.max(1) as f64;
        let _ = writeln!(
            text,
            "side {}: calls/shard asked {:.3}, found no slot {}, daemon CPU {per_call:.0} us a server call",
            report.name,
            extra + 1.0,
            report.over_slots
        );
        text.push_str(&load::table(&report.streams));
    }
    text
}

/// All sides as JSON.
pub fn to_json(reports: &[VariantReport]) -> Value {
    let sides: Vec<Value> = reports
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
    json!(sides)
}

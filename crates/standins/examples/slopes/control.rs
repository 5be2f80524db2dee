//! Slopes of control work: membership, configuration changes and inventory size.

use camphorway_standins::experiment::{apply_and_wait, process_cpu, process_memory, thread_cpu};
use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::http;
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use std::io;
use std::time::{Duration, Instant};

const SERVER_COUNTS: [usize; 3] = [760, 2_280, 7_600];
/// Enough time for all daemons to connect to each other.
const SETTLE_TIME: Duration = Duration::from_secs(60);
const MEASURE_TIME: Duration = Duration::from_secs(15);
const CHANGES: u32 = 5;

/// Resources that a daemon has used so far.
#[derive(Clone, Copy, Default)]
struct DaemonUsage {
    control_cpu: f64,
    all_cpu: f64,
    wire_bytes: f64,
    wire_packets: f64,
    memory: f64,
    connections: f64,
}

fn mean_usage(fleet: &Fleet) -> io::Result<DaemonUsage> {
    let mut sum = DaemonUsage::default();
    let count = fleet.daemons.len() as f64;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let Some(process) = &daemon.process else {
            continue;
        };
        let wire = fleet.state(index)?["wire"].clone();
        let number = |name: &str| wire[name].as_f64().unwrap_or_default();
        sum.control_cpu += thread_cpu(process.id(), "control") / count;
        sum.all_cpu += process_cpu(process.id()) / count;
        sum.wire_bytes += (number("sent_bytes") + number("received_bytes")) / count;
        sum.wire_packets += (number("sent_packets") + number("received_packets")) / count;
        sum.memory += process_memory(process.id()) as f64 / count;
        sum.connections += number("connections") / count;
    }
    Ok(sum)
}

fn idle_spec(daemons: usize, domains: usize) -> FleetSpec {
    let mut spec = FleetSpec::new(FleetShape::simple(domains, 3));
    spec.daemons = daemons / domains;
    spec.run_servers = false;
    spec
}

/// Measures the control work of idle daemons.
pub fn daemons(counts: &[usize], domains: usize) -> io::Result<()> {
    println!(
        "idle daemons in {domains} failure domains, per daemon, {} s",
        MEASURE_TIME.as_secs()
    );
    println!("daemons  control CPU %  all CPU %  UDP bytes/s  datagrams/s  memory MB  connections");
    for count in counts.iter().copied() {
        let fleet = Fleet::start(idle_spec(count, domains))?;
        std::thread::sleep(SETTLE_TIME);
        let before = mean_usage(&fleet)?;
        let started_at = Instant::now();
        std::thread::sleep(MEASURE_TIME);
        let after = mean_usage(&fleet)?;
        let seconds = started_at.elapsed().as_secs_f64();
        println!(
            "{count:>7}  {:>13.3}  {:>9.3}  {:>11.0}  {:>11.1}  {:>9.1}  {:>11.1}",
            (after.control_cpu - before.control_cpu) / seconds * 100.0,
            (after.all_cpu - before.all_cpu) / seconds * 100.0,
            (after.wire_bytes - before.wire_bytes) / seconds,
            (after.wire_packets - before.wire_packets) / seconds,
            after.memory / 1e6,
            after.connections
        );
    }
    Ok(())
}

/// Measures the time until a change is in force at all daemons, and its calls.
pub fn changes(counts: &[usize], domains: usize) -> io::Result<()> {
    println!("configuration changes, mean and slowest of {CHANGES}");
    println!("daemons  mean ms  slowest ms  store calls a change  UDP bytes a change and daemon");
    for count in counts.iter().copied() {
        let mut fleet = Fleet::start(idle_spec(count, domains))?;
        std::thread::sleep(SETTLE_TIME);
        let inventory = fleet.inventory.clone();
        let calls = platform_calls(&fleet)?;
        let bytes = mean_usage(&fleet)?.wire_bytes;
        let all_started_at = Instant::now();
        let mut total = Duration::ZERO;
        let mut slowest = Duration::ZERO;
        for change in 0..CHANGES {
            let text = format!("{inventory}\n[rule r{change}]\nrank = bulk\n");
            let started_at = Instant::now();
            apply_and_wait(&mut fleet, &text)?;
            total += started_at.elapsed();
            slowest = slowest.max(started_at.elapsed());
        }
        let idle = idle_rates(&fleet)?;
        let seconds = all_started_at.elapsed().as_secs_f64() - MEASURE_TIME.as_secs_f64();
        let calls =
            platform_calls(&fleet)? - calls - idle.0 * (seconds + MEASURE_TIME.as_secs_f64());
        let bytes = mean_usage(&fleet)?.wire_bytes
            - bytes
            - idle.1 * (seconds + MEASURE_TIME.as_secs_f64());
        println!(
            "{count:>7}  {:>7.0}  {:>10.0}  {:>20.1}  {:>29.0}",
            (total / CHANGES).as_secs_f64() * 1e3,
            slowest.as_secs_f64() * 1e3,
            calls / f64::from(CHANGES),
            bytes / f64::from(CHANGES)
        );
        println!("         idle: {:.2} store calls/s in all", idle.0);
    }
    Ok(())
}

/// Measures the store calls per second of an idle fleet and the UDP bytes per second
/// of each of its daemons.
fn idle_rates(fleet: &Fleet) -> io::Result<(f64, f64)> {
    let calls = platform_calls(fleet)?;
    let bytes = mean_usage(fleet)?.wire_bytes;
    std::thread::sleep(MEASURE_TIME);
    let seconds = MEASURE_TIME.as_secs_f64();
    let calls = (platform_calls(fleet)? - calls) / seconds;
    let bytes = (mean_usage(fleet)?.wire_bytes - bytes) / seconds;
    Ok((calls, bytes))
}

fn platform_calls(fleet: &Fleet) -> io::Result<f64> {
    let counts = http::get(fleet.platform_address, "/counts")?.json();
    let counts = counts.as_object().cloned().unwrap_or_default();
    let calls = counts
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "conflict" | "limited"));
    Ok(calls.filter_map(|(_, count)| count.as_f64()).sum())
}

/// Measures a daemon's memory with large inventories and the time to apply them.
pub fn inventory() -> io::Result<()> {
    println!("one daemon, servers not running");
    println!("servers  inventory KB  memory MB  start to ready ms  CPU to start s");
    for count in SERVER_COUNTS {
        let mut shape = FleetShape::simple(11, count);
        shape.placement = InstancePlacement::OneDomain;
        // A short name keeps the parts small: the store refuses objects above 1 MiB.
        shape.services[0].name = String::from("p");
        let mut spec = FleetSpec::new(shape);
        spec.run_servers = false;
        spec.configure = false;
        let mut fleet = Fleet::start(spec)?;
        for daemon in &mut fleet.daemons[1..] {
            daemon.process = None;
        }
        fleet.write_layouts(&[1])?;
        let bytes = fleet.inventory.len();
        let started_at = Instant::now();
        let text = fleet.inventory.clone();
        apply_in_parts(&mut fleet, &text)?;
        camphorway_standins::fleet::wait_for(
            || fleet.state(0).is_ok_and(|state| state["generation"] == 1),
            "the inventory",
        )?;
        let start_time = started_at.elapsed();
        std::thread::sleep(Duration::from_secs(1));
        let process = fleet.daemons[0]
            .process
            .as_ref()
            .map_or(0, camphorway_standins::fleet::FleetProcess::id);
        println!(
            "{count:>7}  {:>12}  {:>9.1}  {:>17.0}  {:>14.2}",
            bytes / 1_000,
            process_memory(process) as f64 / 1e6,
            start_time.as_secs_f64() * 1e3,
            process_cpu(process)
        );
    }
    Ok(())
}

/// Applies an inventory in the parts into which the operators' tool splits it.
fn apply_in_parts(fleet: &mut Fleet, text: &str) -> io::Result<()> {
    let parts = camphorway_model::split::split([text]);
    let mut references = Vec::new();
    for part in parts {
        let reference = camphorway_model::PartReference::for_text(&part.name, &part.text);
        fleet.put_object(&reference.object_key(), &part.text, 0)?;
        references.push(reference);
    }
    let head = camphorway_model::HeadObject {
        generation: 1.into(),
        mark: "slopes".to_owned(),
        parts: references,
    };
    fleet.put_object("config/head", &serde_json::to_string(&head)?, 0)
}

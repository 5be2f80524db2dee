//! Slopes of traffic: processor time at the entry and the holder.

use camphorway_standins::experiment::process_cpu;
use camphorway_standins::fleet::{Fleet, FleetSpec};
use camphorway_standins::http;
use camphorway_standins::load::{LoadPlan, LoadStream, report, run};
use camphorway_standins::shape::{FleetShape, InstancePlacement};
use std::io;
use std::time::Duration;

const SHARD_COUNTS: [usize; 4] = [9, 36, 90, 180];
const CALLS_PER_SECOND: f64 = 4_000.0;
const SECONDS: u64 = 5;

/// Measures processor time by shards of a query, with entry and holder in one daemon
/// and in two.
pub fn queries() -> io::Result<()> {
    println!("about {CALLS_PER_SECOND} server calls/s, 1 ms calls, {SECONDS} s");
    println!(
        "place   shards  queries/s  p50 ms  p99 ms  entry us/query  holder us/query  us a server call"
    );
    for is_remote in [false, true] {
        for shards in SHARD_COUNTS {
            measure_queries(is_remote, shards)?;
        }
    }
    Ok(())
}

fn measure_queries(is_remote: bool, shards: usize) -> io::Result<()> {
    let mut shape = FleetShape::simple(if is_remote { 2 } else { 1 }, 1);
    shape.placement = InstancePlacement::OneDomain;
    shape.services[0].instances = 1;
    shape.services[0].replicas = 9;
    shape.services[0].shards = shards;
    shape.services[0].slots = 64;
    shape.services[0].connections = 400;
    let mut spec = FleetSpec::new(shape);
    spec.delay = Duration::from_millis(1);
    let fleet = Fleet::start(spec)?;
    let rate = CALLS_PER_SECOND / shards as f64;
    let entry = fleet.daemons.len() - 1;
    let plan = LoadPlan {
        targets: vec![fleet.daemons[entry].caller_address],
        streams: vec![LoadStream::new(
            "queries",
            "portal",
            rate,
            Duration::from_secs(1),
        )],
        duration: Duration::from_secs(SECONDS),
        warm_up: Duration::ZERO,
        seed: 1,
    };
    let cpu_seconds = |index: usize| {
        let process = fleet.daemons[index].process.as_ref();
        process.map_or(0.0, |process| process_cpu(process.id()))
    };
    let calls = fleet.server_counter("calls")?;
    let before: Vec<f64> = (0..fleet.daemons.len()).map(cpu_seconds).collect();
    let answers = run(&plan)?;
    let after: Vec<f64> = (0..fleet.daemons.len()).map(cpu_seconds).collect();
    let calls = fleet.server_counter("calls")? - calls;
    let queries = answers.len() as f64;
    let cpu_micros: Vec<f64> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| (after - before) * 1e6)
        .collect();
    let holder = if is_remote {
        cpu_micros[0] / queries
    } else {
        0.0
    };
    let summary = &report(&plan, &answers)[0];
    println!(
        "{}  {shards:>6}  {:>9.0}  {:>6.2}  {:>6.2}  {:>14.0}  {holder:>15.0}  {:>16.1}",
        if is_remote { "remote" } else { "local " },
        queries / SECONDS as f64,
        summary.p50_ms,
        summary.p99_ms,
        cpu_micros[entry] / queries,
        cpu_micros.iter().sum::<f64>() / calls.max(1) as f64
    );
    Ok(())
}

/// Measures store calls and processor time of requests that run at most once.
pub fn claims() -> io::Result<()> {
    println!("requests that run at most once, 3 daemons, {SECONDS} s");
    println!(
        "requests/s  complete  p50 ms  p99 ms  store calls a request  conflicts  daemon us a request"
    );
    for rate in [20.0, 100.0, 300.0] {
        let mut shape = FleetShape::simple(1, 4);
        shape.services[0].slots = 64;
        shape.services[0].connections = 400;
        let mut spec = FleetSpec::new(shape);
        spec.daemons = 3;
        let fleet = Fleet::start(spec)?;
        let mut stream = LoadStream::new("orders", "portal", rate, Duration::from_secs(2));
        stream.idempotent = false;
        let plan = LoadPlan {
            targets: fleet.caller_addresses(),
            streams: vec![stream],
            duration: Duration::from_secs(SECONDS),
            warm_up: Duration::ZERO,
            seed: 1,
        };
        let counts = || -> io::Result<serde_json::Value> {
            Ok(http::get(fleet.platform_address, "/counts")?.json())
        };
        let cpu_seconds = || camphorway_standins::experiment::daemon_cpu(&fleet);
        let number =
            |value: &serde_json::Value, name: &str| value[name].as_f64().unwrap_or_default();
        let (before, cpu_seconds_before) = (counts()?, cpu_seconds());
        let answers = run(&plan)?;
        std::thread::sleep(Duration::from_secs(1));
        let (after, cpu_seconds_after) = (counts()?, cpu_seconds());
        let increase = |name: &str| number(&after, name) - number(&before, name);
        let summary = &report(&plan, &answers)[0];
        let complete = summary
            .outcomes
            .get("complete")
            .copied()
            .unwrap_or_default();
        println!(
            "{rate:>10}  {complete:>8}  {:>6.1}  {:>6.1}  {:>21.2}  {:>9.0}  {:>19.0}",
            summary.p50_ms,
            summary.p99_ms,
            (increase("write") + increase("objects")) / answers.len() as f64,
            increase("conflict"),
            (cpu_seconds_after - cpu_seconds_before) * 1e6 / answers.len() as f64
        );
    }
    Ok(())
}

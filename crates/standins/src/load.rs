//! An open-loop load generator.
//!
//! Requests are sent at random times drawn from a seed, whether or not earlier ones
//! were answered. Latency counts from the planned time, so that requests that the
//! generator sends late don't hide slow daemons (coordinated omission).

use crate::http::{StandinExecutor, connect, read_reply, request};
use async_executor::Executor;
use async_io::Timer;
use async_io::block_on;
use bytes::Bytes;
use camphorway_model::RequestId;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::Method;
use hyper::client::conn::http1::SendRequest;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio_util::sync::CancellationToken;

const GENERATOR_THREADS: usize = 2;
const ANSWER_GRACE: Duration = Duration::from_secs(2);
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// A stream of similar requests.
#[derive(Clone, Debug)]
pub struct LoadStream {
    /// The stream's name in the report.
    pub name: String,
    /// The queried service.
    pub service: String,
    /// The caller's name.
    pub caller: String,
    /// The kind, if any.
    pub kind: Option<String>,
    /// Requests per second.
    pub rate: f64,
    /// The deadline of each request.
    pub deadline: Duration,
    /// Whether requests may run more than once.
    pub idempotent: bool,
    /// Time from the start of the run to the stream's start.
    pub from: Duration,
    /// Time from the start of the run to the stream's end.
    pub until: Duration,
    /// Whether each request has a unique body.
    pub unique_bodies: bool,
}

impl LoadStream {
    /// Creates a stream of idempotent requests over the whole run.
    pub fn new(name: &str, service: &str, rate: f64, deadline: Duration) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            caller: name.to_owned(),
            kind: None,
            rate,
            deadline,
            idempotent: true,
            from: Duration::ZERO,
            until: Duration::MAX,
            unique_bodies: true,
        }
    }
}

/// The plan of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The daemons' addresses, used in turn.
    pub targets: Vec<SocketAddr>,
    /// The streams of requests.
    pub streams: Vec<LoadStream>,
    /// Duration of sending.
    pub duration: Duration,
    /// Requests planned before this time are not counted.
    pub warm_up: Duration,
    /// The seed of send times and ids.
    pub seed: u64,
}

/// The result of one request.
#[derive(Clone, Debug)]
pub struct LoadAnswer {
    /// The stream's index in the plan.
    pub stream: usize,
    /// The request's id.
    pub id: String,
    /// The planned send time, from the start of the run.
    pub planned: Duration,
    /// Time from the planned send time to the answer.
    pub latency: Duration,
    /// The HTTP status; 0 if there was no answer.
    pub status: u16,
    /// The answer's body.
    pub body: Bytes,
}

/// The results of one stream.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct StreamReport {
    /// The stream's name.
    pub name: String,
    /// Counted requests.
    pub sent: u64,
    /// Requests by outcome; `no-answer` if the connection failed or no reply came.
    pub outcomes: BTreeMap<String, u64>,
    /// Requests by reason of refusal or failure.
    pub reasons: BTreeMap<String, u64>,
    /// Median latency of complete and partial answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Mean coverage over all requests, 0 for those without a complete or partial
    /// answer.
    pub mean_coverage: f64,
    /// Complete and partial answers within their deadline, per second.
    pub good_per_second: f64,
}

struct Generator {
    executor: StandinExecutor,
    idle: Mutex<BTreeMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
    answers: Mutex<Vec<LoadAnswer>>,
}

/// Runs a plan and returns every answer in order of arrival.
///
/// # Errors
/// Returns the system's error if threads can't be started.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<LoadAnswer>> {
    let executor: StandinExecutor = Arc::new(Executor::new());
    let stop = CancellationToken::new();
    let mut threads = Vec::new();
    for _ in 0..GENERATOR_THREADS {
        let (executor, stop) = (Arc::clone(&executor), stop.clone());
        let thread =
            std::thread::Builder::new().spawn(move || block_on(executor.run(stop.cancelled())))?;
        threads.push(thread);
    }
    let generator = Arc::new(Generator {
        executor: Arc::clone(&executor),
        idle: Mutex::default(),
        answers: Mutex::default(),
    });
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for index in 0..plan.streams.len() {
        let generator = Arc::clone(&generator);
        let plan = plan.clone();
        tasks.push(
            executor.spawn(async move { generator.send_stream(&plan, index, started_at).await }),
        );
    }
    block_on(async {
        let mut sent = Vec::new();
        for task in tasks {
            sent.extend(task.await);
        }
        for task in sent {
            task.await;
        }
    });
    stop.cancel();
    for thread in threads {
        let _ = thread.join();
    }
    Ok(std::mem::take(&mut *lock(&generator.answers)))
}

/// Summarizes the answers of a run, by stream.
///
/// # Panics
/// Panics if the histogram's bounds are invalid, which is a fault of this function.
pub fn report(plan: &LoadPlan, answers: &[LoadAnswer]) -> Vec<StreamReport> {
    let mut reports = Vec::new();
    for (index, stream) in plan.streams.iter().enumerate() {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("valid bounds");
        let mut report = StreamReport {
            name: stream.name.clone(),
            ..StreamReport::default()
        };
        let mut coverage = 0.0;
        let mut timely_count = 0_u64;
        let counted =
            |answer: &&LoadAnswer| answer.stream == index && answer.planned >= plan.warm_up;
        for answer in answers.iter().filter(counted) {
            report.sent += 1;
            let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            let outcome = body["outcome"].as_str().unwrap_or("no-answer").to_owned();
            if let Some(reason) = body["reason"].as_str() {
                *report.reasons.entry(reason.to_owned()).or_default() += 1;
            }
            if matches!(outcome.as_str(), "complete" | "partial") {
                histogram.saturating_record(answer.latency.as_micros() as u64);
                coverage += body["coverage"]["fraction"].as_f64().unwrap_or(1.0);
                timely_count += u64::from(answer.latency <= stream.deadline);
            }
            *report.outcomes.entry(outcome).or_default() += 1;
        }
        let millis = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        report.p50_ms = millis(0.5);
        report.p99_ms = millis(0.99);
        report.p999_ms = millis(0.999);
        report.mean_coverage = coverage / report.sent.max(1) as f64;
        let end = stream.until.min(plan.duration);
        let seconds = end
            .saturating_sub(stream.from.max(plan.warm_up))
            .as_secs_f64();
        report.good_per_second = timely_count as f64 / seconds.max(0.001);
        reports.push(report);
    }
    reports
}

/// Formats the reports as a text table.
pub fn table(reports: &[StreamReport]) -> String {
    let mut text = format!(
        "{:<14}{:>8}{:>9}{:>9}{:>9}{:>10}{:>10}  outcomes\n",
        "stream", "sent", "p50 ms", "p99 ms", "p99.9 ms", "coverage", "good/s"
    );
    for report in reports {
        let outcomes: Vec<String> = report
            .outcomes
            .iter()
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        let reasons: Vec<String> = report
            .reasons
            .iter()
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        let _ = writeln!(
            text,
            "{:<14}{:>8}{:>9.2}{:>9.2}{:>9.2}{:>10.4}{:>10.1}  {} {}",
            report.name,
            report.sent,
            report.p50_ms,
            report.p99_ms,
            report.p999_ms,
            report.mean_coverage,
            report.good_per_second,
            outcomes.join(" "),
            if reasons.is_empty() {
                String::new()
            } else {
                format!("({})", reasons.join(" "))
            }
        );
    }
    text
}

/// Converts the reports to JSON.
pub fn to_json(reports: &[StreamReport]) -> Value {
    json!(reports)
}

/// Creates a request id with the current time.
pub fn new_request_id(random: &mut fastrand::Rng) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut bytes = [0; 10];
    random.fill(&mut bytes);
    RequestId::from_parts(now.as_millis() as u64, bytes).to_string()
}

impl Generator {
    async fn send_stream(
        self: &Arc<Self>,
        plan: &LoadPlan,
        index: usize,
        started_at: Instant,
    ) -> Vec<async_executor::Task<()>> {
        let stream = &plan.streams[index];
        let mut random = fastrand::Rng::with_seed(plan.seed.wrapping_add(index as u64));
        let mut planned = stream.from;
        let mut tasks = Vec::new();
        let mut next_target = random.usize(..plan.targets.len());
        loop {
            let gap = -(1.0 - random.f64()).ln() / stream.rate;
            planned += Duration::from_secs_f64(gap);
            if planned >= plan.duration.min(stream.until) {
                return tasks;
            }
            Timer::at(started_at + planned).await;
            let target = plan.targets[next_target % plan.targets.len()];
            next_target += 1;
            let id = new_request_id(&mut random);
            let body = if stream.unique_bodies {
                id.clone()
            } else {
                stream.name.clone()
            };
            let generator = Arc::clone(self);
            let stream = stream.clone();
            tasks.push(self.executor.spawn(async move {
                let timeout = stream.deadline + ANSWER_GRACE;
                let exchange = generator.exchange(target, &stream, &id, &body);
                let timed_out = async {
                    Timer::after(timeout).await;
                    Err(io::Error::from(io::ErrorKind::TimedOut))
                };
                let reply = exchange.or(timed_out).await;
                let (status, body) = reply.map_or((0, Bytes::new()), |reply| {
                    (reply.status.as_u16(), reply.body)
                });
                let answer = LoadAnswer {
                    stream: index,
                    id,
                    planned,
                    latency: (started_at + planned).elapsed(),
                    status,
                    body,
                };
                lock(&generator.answers).push(answer);
            }));
        }
    }

    async fn exchange(
        &self,
        target: SocketAddr,
        stream: &LoadStream,
        id: &str,
        body: &str,
    ) -> io::Result<crate::http::HttpReply> {
        let pooled = loop {
            let sender = lock(&self.idle).entry(target).or_default().pop();
            match sender {
                Some(sender) if sender.is_ready() => break Some(sender),
                Some(_) => {}
                None => break None,
            }
        };
        let mut sender = match pooled {
            Some(sender) => sender,
            None => connect(target, &self.executor).await?,
        };
        let message = query_request(stream, id, body);
        let response = sender
            .send_request(message)
            .await
            .map_err(io::Error::other)?;
        let reply = read_reply(response).await?;
        lock(&self.idle).entry(target).or_default().push(sender);
        Ok(reply)
    }
}

/// Creates a caller's request as `stream` describes it.
pub fn query_request(stream: &LoadStream, id: &str, body: &str) -> hyper::Request<Full<Bytes>> {
    let deadline = stream.deadline.as_millis().to_string();
    let mut headers = vec![
        ("camphorway-request", id),
        ("camphorway-service", stream.service.as_str()),
        ("camphorway-caller", stream.caller.as_str()),
        ("camphorway-deadline-ms", deadline.as_str()),
        (
            "camphorway-idempotent",
            if stream.idempotent { "yes" } else { "no" },
        ),
    ];
    if let Some(kind) = &stream.kind {
        headers.push(("camphorway-kind", kind.as_str()));
    }
    request(Method::POST, "/query", &headers, body)
}

fn lock<Guarded>(mutex: &Mutex<Guarded>) -> MutexGuard<'_, Guarded> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

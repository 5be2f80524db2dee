//! Parsing of a request's HTTP headers, which docs/callers.md describes.

use crate::control::view::TierView;
use crate::entry::DEFAULT_CANARY;
use bytes::Bytes;
use camphorway_model::{CallerName, CanaryMode, RequestId, RequestRank, ServiceName};
use camphorway_policy::{AdmissionRequest, ContentHash, KindHash};
use derive_more::Display;
use hyper::header::HeaderMap;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

/// Header of the request's id, a `UUIDv7`.
pub const REQUEST_HEADER: &str = "camphorway-request";
/// Header of the requested service.
pub const SERVICE_HEADER: &str = "camphorway-service";
/// Header of the caller's name.
pub const CALLER_HEADER: &str = "camphorway-caller";
/// Header of the kind of work, for the rules.
pub const KIND_HEADER: &str = "camphorway-kind";
/// Header of the requested rank; it can only lower the rules' rank.
pub const RANK_HEADER: &str = "camphorway-rank";
/// Header of the time limit in milliseconds.
pub const DEADLINE_HEADER: &str = "camphorway-deadline-ms";
/// `no` if the request must run at most once.
pub const IDEMPOTENT_HEADER: &str = "camphorway-idempotent";
/// Header whose value selects the shard of a request that runs at most once.
pub const KEY_HEADER: &str = "camphorway-key";
/// `yes` if the caller has sent this id before.
pub const RESEND_HEADER: &str = "camphorway-resend";
const MAX_DEADLINE_MS: u64 = 600_000;
const MAX_NAME_BYTES: usize = 128;

/// A parsed request with the rules applied to it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The request's id.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// The caller's name.
    pub caller: CallerName,
    /// The rules' rank, or a lower requested one.
    pub rank: RequestRank,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the caller claims to have sent this id before.
    pub is_resend: bool,
    /// The cases in which a canary runs first.
    pub canary: CanaryMode,
    /// The time from arrival to the deadline.
    pub time_limit: Duration,
    /// The kind for queues and admission.
    pub kind: KindHash,
    /// The content hash for the quarantine.
    pub content: ContentHash,
    /// Selects the shard of a request that runs at most once.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A missing or malformed request header.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("header {header}: {problem}")]
pub struct HeaderError {
    /// The header.
    pub header: &'static str,
    /// The problem and the allowed values.
    pub problem: String,
}

impl std::error::Error for HeaderError {}

impl CallerRequest {
    /// Parses the headers and applies the rules of `view`.
    ///
    /// # Errors
    /// Returns the first header that is missing or malformed.
    pub fn read(headers: &HeaderMap, body: Bytes, view: &TierView) -> Result<Self, HeaderError> {
        let id = required(headers, REQUEST_HEADER)?;
        let id = RequestId::parse(id).map_err(|cause| error(REQUEST_HEADER, &cause.to_string()))?;
        let service = ServiceName::new(name(headers, SERVICE_HEADER)?);
        let caller = CallerName::new(name(headers, CALLER_HEADER)?);
        let kind = text(headers, KIND_HEADER)?;
        let rules = &view.config.rules;
        let rule = rules.find(&service, &caller, kind);
        let max_rank = rule.map_or(RequestRank::Normal, |rule| rule.rank);
        let rank = match text(headers, RANK_HEADER)? {
            Some(text) => RequestRank::parse(text)
                .map(|requested| max_rank.lower_of(requested))
                .ok_or_else(|| error(RANK_HEADER, "allowed: urgent, normal, bulk"))?,
            None => max_rank,
        };
        let time_limit = match text(headers, DEADLINE_HEADER)? {
            Some(text) => read_time_limit(text)?,
            None => rules.ranks[rank].deadline,
        };
        let rule_allows = rule.is_none_or(|rule| rule.idempotent);
        let caller_allows = yes_or_no(headers, IDEMPOTENT_HEADER)?.unwrap_or(true);
        let is_resend = yes_or_no(headers, RESEND_HEADER)?.unwrap_or(false);
        Ok(Self {
            id,
            rank,
            idempotent: rule_allows && caller_allows,
            is_resend,
            canary: rule.map_or(DEFAULT_CANARY, |rule| rule.canary),
            time_limit,
            kind: kind_hash(&service, &caller),
            content: ContentHash::of(service.as_str(), &body),
            key: text(headers, KEY_HEADER)?.map(str::to_owned),
            service,
            caller,
            body,
        })
    }
}

impl CallerRequest {
    /// The request's properties that admission control uses.
    pub fn admission_request(&self, coverage_target: f64) -> AdmissionRequest<'_> {
        AdmissionRequest {
            service: &self.service,
            rank: self.rank,
            kind: self.kind,
            time_left: self.time_limit,
            coverage_target,
        }
    }
}

fn kind_hash(service: &ServiceName, caller: &CallerName) -> KindHash {
    let mut hasher = Xxh3::new();
    hasher.update(service.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(caller.as_str().as_bytes());
    KindHash(hasher.digest())
}

fn read_time_limit(text: &str) -> Result<Duration, HeaderError> {
    match text.parse() {
        Ok(milliseconds) if (1..=MAX_DEADLINE_MS).contains(&milliseconds) => {
            Ok(Duration::from_millis(milliseconds))
        }
        Ok(_) | Err(_) => Err(error(
            DEADLINE_HEADER,
            "allowed: a whole number from 1 to 600000",
        )),
    }
}

fn text<'headers>(
    headers: &'headers HeaderMap,
    header: &'static str,
) -> Result<Option<&'headers str>, HeaderError> {
    let mut values = headers.get_all(header).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(error(header, "must stand once only"));
    }
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(error(header, "must be plain text")),
    }
}

fn yes_or_no(headers: &HeaderMap, header: &'static str) -> Result<Option<bool>, HeaderError> {
    match text(headers, header)? {
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(error(header, "allowed: yes, no")),
        None => Ok(None),
    }
}

fn required<'headers>(
    headers: &'headers HeaderMap,
    header: &'static str,
) -> Result<&'headers str, HeaderError> {
    text(headers, header)?.ok_or_else(|| error(header, "is missing"))
}

fn name<'headers>(
    headers: &'headers HeaderMap,
    header: &'static str,
) -> Result<&'headers str, HeaderError> {
    let name = required(headers, header)?;
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err(error(header, "must have 1 to 128 characters"));
    }
    Ok(name)
}

fn error(header: &'static str, problem: &str) -> HeaderError {
    HeaderError {
        header,
        problem: problem.to_owned(),
    }
}

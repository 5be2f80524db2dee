//! A workspace's quota over all fronts, and who may grant how much of it.
//!
//! It answers a workspace that sends at many times its usual, beside calm ones, to fronts
//! each of which sees few of its requests. One front, the owner, grants credit for each
//! request, up to the quota and most of its tolerance in any window. The rest of the
//! tolerance is divided into parts that need no agreement: what a deputy grants while the
//! owner can't be asked, what a new owner grants while the one before may still act, and
//! what single fronts use on their own. So the sum holds whoever is cut off, paused or
//! restarted, and while two fronts believe to be the owner. A front that starts has no
//! savings in any of these, since it doesn't know what its process before has granted.

use camphorway_model::WorkspaceQuota;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The fraction of the tolerance for each of: the deputy, an owner that has just become
/// one, and the fronts' own parts. The owner has the rest.
const PART_FRACTION: f64 = 0.15;
const PARTS: f64 = 3.0;
/// The fraction of a part of the tolerance that may be saved up.
const SAVINGS: f64 = 0.25;

/// How far the requests of a window may exceed a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTolerance {
    /// The window over which requests are counted.
    pub window: Duration,
    /// The fraction by which a quota may be exceeded.
    pub overage_fraction: f64,
    /// Requests beyond that in each window.
    pub slack: f64,
}

/// A quota and its tolerance, divided among those that may grant it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaParts {
    window: Duration,
    owner: GrantRate,
    deputy: GrantRate,
    /// Requests in each window that all fronts together use on their own.
    local: usize,
}

/// How many requests may be granted: in any time no more than `depth` and those of
/// `per_s`.
#[derive(Clone, Copy, Debug, PartialEq)]
struct GrantRate {
    per_s: f64,
    depth: f64,
}

impl GrantRate {
    /// Grants no more than `part` requests in any window. One request can be saved up
    /// also of a small part, or it would never be granted.
    fn of_part(part: f64, window_seconds: f64) -> Self {
        let depth = (part * SAVINGS).max(1.0).min(part);
        Self {
            per_s: (part - depth) / window_seconds,
            depth,
        }
    }
}

impl QuotaParts {
    /// Divides `quota`.
    pub fn new(quota: &WorkspaceQuota, tolerance: &QuotaTolerance) -> Self {
        let seconds = tolerance.window.as_secs_f64();
        let per_window = quota.requests_per_s * seconds + quota.burst;
        let room = per_window * tolerance.overage_fraction + tolerance.slack;
        let part = room * PART_FRACTION;
        let rest = room - PARTS * part;
        Self {
            window: tolerance.window,
            owner: GrantRate {
                per_s: quota.requests_per_s + rest * (1.0 - SAVINGS) / seconds,
                depth: (quota.burst + rest * SAVINGS).max(1.0),
            },
            deputy: GrantRate::of_part(part, seconds),
            // Fronts that know of different fronts may hold one more.
            local: (part as usize).saturating_sub(1),
        }
    }

    /// Requests in each window that one of `fronts` fronts may use on its own, the one
    /// with `rank` (from 0) among them.
    pub fn local_part(&self, rank: usize, fronts: usize) -> usize {
        let fronts = fronts.max(1);
        let is_among_first = rank < self.local % fronts;
        self.local / fronts + usize::from(is_among_first)
    }
}

/// The decision on one request's credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CreditDecision {
    /// The request is within the quota.
    Granted,
    /// There is no credit before this time has passed.
    Refused(Duration),
}

/// In what position a front grants credit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantorRole {
    /// It owns the quota.
    Owner,
    /// It stands in for an owner that can't be asked.
    Deputy,
}

/// What a front may grant of one workspace's quota.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    /// `None` while other fronts answer for the workspace.
    role: Option<GrantorRole>,
    /// Until then another owner may still grant.
    shared_until: Instant,
    owner: CreditBucket,
    /// Of a deputy, and of an owner while another one may grant.
    deputy: CreditBucket,
}

impl QuotaLedger {
    /// The ledger of a front that answers for no workspace yet.
    pub fn new(now: Instant) -> Self {
        Self {
            role: None,
            shared_until: now,
            owner: CreditBucket::new(now),
            deputy: CreditBucket::new(now),
        }
    }

    /// Sets in what position this front answers from now on. What the owner before has
    /// granted is unknown, and it may still grant for a while: a new one grants as a
    /// deputy for one window, and then begins without savings.
    pub fn set_role(&mut self, role: Option<GrantorRole>, parts: &QuotaParts, now: Instant) {
        if self.role != role {
            self.role = role;
            self.shared_until = now + parts.window;
            self.owner = CreditBucket::new(self.shared_until);
        }
    }

    /// Records that the owner before no longer grants: this one begins at once.
    pub fn confirm(&mut self, now: Instant) {
        if self.is_shared(now) {
            self.shared_until = now;
            self.owner = CreditBucket::new(now);
        }
    }

    /// Decides on one request; `None` if other fronts answer for the workspace.
    pub fn decide(&mut self, parts: &QuotaParts, now: Instant) -> Option<CreditDecision> {
        let role = self.role?;
        let is_owner = role == GrantorRole::Owner && !self.is_shared(now);
        let (bucket, rate) = if is_owner {
            (&mut self.owner, &parts.owner)
        } else {
            (&mut self.deputy, &parts.deputy)
        };
        bucket.refill(rate, now);
        Some(bucket.take(rate, parts.window))
    }

    /// Requests that the owner could grant when it last decided.
    pub fn credit(&self) -> f64 {
        self.owner.level
    }

    /// Whether another owner may still grant.
    pub fn is_shared(&self, now: Instant) -> bool {
        now < self.shared_until
    }
}

/// Requests that may be granted.
#[derive(Clone, Debug)]
struct CreditBucket {
    level: f64,
    level_at: Instant,
    /// Refused requests that were told to return, as far as their time has not come.
    promised: f64,
}

impl CreditBucket {
    /// A bucket without savings.
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            level_at: now,
            promised: 0.0,
        }
    }

    fn refill(&mut self, rate: &GrantRate, now: Instant) {
        let passed = now.saturating_duration_since(self.level_at);
        let credit = rate.per_s * passed.as_secs_f64();
        self.level = (self.level + credit).min(rate.depth);
        self.promised = (self.promised - credit).max(0.0);
        self.level_at = self.level_at.max(now);
    }

    fn take(&mut self, rate: &GrantRate, window: Duration) -> CreditDecision {
        if self.level >= 1.0 {
            self.level -= 1.0;
            return CreditDecision::Granted;
        }
        CreditDecision::Refused(self.promise(rate, window))
    }

    /// The time after which a refused request may return. Each one gets a later time, so
    /// that those who return find credit.
    fn promise(&mut self, rate: &GrantRate, window: Duration) -> Duration {
        let seconds = (1.0 - self.level + self.promised) / rate.per_s;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(window);
        if wait >= window {
            return window;
        }
        self.promised += 1.0;
        wait
    }
}

/// A front's own part of one workspace's quota. A use that the owner grants afterwards
/// is free again.
#[derive(Clone, Debug)]
pub struct LocalCredit {
    started_at: Instant,
    /// The times of the uses within the last window.
    used: VecDeque<Instant>,
}

impl LocalCredit {
    /// The part of a front that starts: what its process before used is unknown.
    pub fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            used: VecDeque::new(),
        }
    }

    /// Uses one of `part` requests of each window, if one is left.
    pub fn take(&mut self, part: usize, parts: &QuotaParts, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= parts.window;
        if !is_over(self.started_at) {
            return false;
        }
        while self.used.front().is_some_and(|used_at| is_over(*used_at)) {
            self.used.pop_front();
        }
        let is_free = self.used.len() < part;
        if is_free {
            self.used.push_back(now);
        }
        is_free
    }

    /// Frees the oldest use: the owner has granted it.
    pub fn restore(&mut self) {
        self.used.pop_front();
    }

    /// The time after which a use is free again; `None` if there is none.
    pub fn frees_after(&self, parts: &QuotaParts, now: Instant) -> Option<Duration> {
        let first = self.used.front()?;
        Some((*first + parts.window).saturating_duration_since(now))
    }
}

//! A budget of extra calls over a sliding time window.
//!
//! Many daemons share one limit without coordination: each allows itself the
//! ratio of its own first calls, so that the total keeps the ratio too. The
//! window is divided into slices; a slice counts as long as any moment of it lies
//! in the window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The number of slices in a window.
const SLICES: u32 = 20;

/// Allows extra calls as a ratio of the first calls in the last window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    limits: BudgetLimits,
    slices: VecDeque<WindowSlice>,
    first_calls: u32,
    extra_calls: u32,
}

/// The limits of a [`WindowBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Extra calls allowed for each first call.
    pub ratio: f64,
    /// Extra calls allowed in each window in addition to the ratio.
    pub allowance: f64,
    /// The window's length.
    pub window: Duration,
}

/// An allowance shared by several daemons, as seen by one of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedAllowance {
    /// The allowance of all daemons together.
    pub total: f64,
    /// The number of daemons that share it.
    pub daemons: usize,
    /// This daemon's index among them, from 0.
    pub index: usize,
}

impl SharedAllowance {
    /// This daemon's share. The shares differ by index, by less than one call, so
    /// that rounding each of them down to whole calls keeps the total.
    pub fn own_share(&self) -> f64 {
        let daemons = self.daemons.max(1) as f64;
        (self.total + self.index as f64 + 0.5) / daemons
    }
}

/// Limits the allowance after a restart: the calls spent before it are unknown,
/// so the allowance grows from zero over one window.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceRamp {
    /// The daemon's start time.
    pub started_at: Instant,
    /// The window's length.
    pub window: Duration,
}

impl AllowanceRamp {
    /// The fraction of the allowance that may be used at `now`, 0 to 1.
    pub fn fraction(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        (age.as_secs_f64() / self.window.as_secs_f64()).min(1.0)
    }
}

#[derive(Clone, Debug)]
struct WindowSlice {
    started_at: Instant,
    first_calls: u32,
    extra_calls: u32,
}

impl WindowBudget {
    /// An empty budget.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
            first_calls: 0,
            extra_calls: 0,
        }
    }

    /// Changes the allowance; recorded calls are kept.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.limits.allowance = allowance;
    }

    /// Records a first call.
    pub fn earn(&mut self, now: Instant) {
        self.earn_calls(1, now);
    }

    /// Records several first calls.
    pub fn earn_calls(&mut self, calls: usize, now: Instant) {
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        self.current_slice(now).first_calls += calls;
        self.first_calls += calls;
    }

    /// Whether an extra call is allowed, leaving `reserve` (a fraction of the
    /// limit, 0 to 1) to other calls.
    pub fn allows(&mut self, reserve: f64, now: Instant) -> bool {
        self.drop_expired(now);
        f64::from(self.extra_calls + 1) <= self.limit() * (1.0 - reserve)
    }

    /// Records an extra call if it is allowed. Returns whether it is.
    pub fn spend(&mut self, reserve: f64, now: Instant) -> bool {
        let allowed = self.allows(reserve, now);
        if allowed {
            self.current_slice(now).extra_calls += 1;
            self.extra_calls += 1;
        }
        allowed
    }

    /// Whether the window has no call.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.drop_expired(now);
        self.slices.is_empty()
    }

    /// The number of extra calls that are still allowed.
    pub fn remaining(&mut self, now: Instant) -> f64 {
        self.drop_expired(now);
        self.limit() - f64::from(self.extra_calls)
    }

    fn limit(&self) -> f64 {
        self.limits.ratio * f64::from(self.first_calls) + self.limits.allowance
    }

    fn current_slice(&mut self, now: Instant) -> &mut WindowSlice {
        self.drop_expired(now);
        let length = self.limits.window / SLICES;
        let is_current = self
            .slices
            .back()
            .is_some_and(|slice| now.saturating_duration_since(slice.started_at) < length);
        if !is_current {
            self.slices.push_back(WindowSlice {
                started_at: now,
                first_calls: 0,
                extra_calls: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    fn drop_expired(&mut self, now: Instant) {
        let length = self.limits.window / SLICES;
        while let Some(slice) = self.slices.front() {
            let age = now.saturating_duration_since(slice.started_at);
            if age < self.limits.window + length {
                return;
            }
            self.first_calls -= slice.first_calls;
            self.extra_calls -= slice.extra_calls;
            self.slices.pop_front();
        }
    }
}

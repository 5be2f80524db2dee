//! A budget of extra calls over a sliding window of time.
//!
//! Many daemons share one limit without telling each other: each allows itself
//! the ratio of its own first calls, and the sum of the parts is the ratio of
//! all. The window is kept in slices; a slice counts as long as any moment of
//! it lies in the window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Slices that a window is kept in.
const SLICES: u32 = 20;

/// Allows extra calls as a ratio of first calls in the last window.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    limits: BudgetLimits,
    slices: VecDeque<WindowSlice>,
    firsts: u32,
    extras: u32,
}

/// The limits of a [`WindowBudget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetLimits {
    /// Extra calls for each first call.
    pub ratio: f64,
    /// Extra calls in each window beside the ratio.
    pub allowance: f64,
    /// The window's length.
    pub window: Duration,
}

/// What several daemons share of an allowance, as one of them sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedAllowance {
    /// The allowance of all.
    pub total: f64,
    /// Daemons that share it.
    pub daemons: usize,
    /// This one's index among them, from 0.
    pub index: usize,
}

impl SharedAllowance {
    /// This daemon's part. Each budget rounds down to whole calls; parts that
    /// differ by index, from 0 to 1, make up for that over all daemons.
    pub fn own_share(&self) -> f64 {
        let daemons = self.daemons.max(1) as f64;
        (self.total + self.index as f64 + 0.5) / daemons
    }
}

/// How much of an allowance a daemon uses after a restart: what it spent before
/// is unknown, so the allowance grows over one window.
#[derive(Clone, Copy, Debug)]
pub struct AllowanceRamp {
    /// When the daemon started.
    pub started_at: Instant,
    /// The window's length.
    pub window: Duration,
}

impl AllowanceRamp {
    /// The part that may be used at `now`, 0 to 1.
    pub fn fraction(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        (age.as_secs_f64() / self.window.as_secs_f64()).min(1.0)
    }
}

#[derive(Clone, Debug)]
struct WindowSlice {
    started_at: Instant,
    firsts: u32,
    extras: u32,
}

impl WindowBudget {
    /// An empty budget.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            slices: VecDeque::new(),
            firsts: 0,
            extras: 0,
        }
    }

    /// Changes the allowance; what was counted stays.
    pub fn set_allowance(&mut self, allowance: f64) {
        self.limits.allowance = allowance;
    }

    /// Counts a first call.
    pub fn earn(&mut self, now: Instant) {
        self.slice(now).firsts += 1;
        self.firsts += 1;
    }

    /// Whether an extra call may go, leaving `reserve` (a part of the limit, 0
    /// to 1) to others.
    pub fn allows(&mut self, reserve: f64, now: Instant) -> bool {
        self.forget(now);
        f64::from(self.extras + 1) <= self.limit() * (1.0 - reserve)
    }

    /// Counts an extra call if it may go.
    pub fn spend(&mut self, reserve: f64, now: Instant) -> bool {
        let allowed = self.allows(reserve, now);
        if allowed {
            self.slice(now).extras += 1;
            self.extras += 1;
        }
        allowed
    }

    /// Extra calls that may still go.
    pub fn remaining(&mut self, now: Instant) -> f64 {
        self.forget(now);
        self.limit() - f64::from(self.extras)
    }

    fn limit(&self) -> f64 {
        self.limits.ratio * f64::from(self.firsts) + self.limits.allowance
    }

    fn slice(&mut self, now: Instant) -> &mut WindowSlice {
        self.forget(now);
        let length = self.limits.window / SLICES;
        let is_current = self
            .slices
            .back()
            .is_some_and(|slice| now.saturating_duration_since(slice.started_at) < length);
        if !is_current {
            self.slices.push_back(WindowSlice {
                started_at: now,
                firsts: 0,
                extras: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }

    fn forget(&mut self, now: Instant) {
        let length = self.limits.window / SLICES;
        while let Some(slice) = self.slices.front() {
            let age = now.saturating_duration_since(slice.started_at);
            if age < self.limits.window + length {
                return;
            }
            self.firsts -= slice.firsts;
            self.extras -= slice.extras;
            self.slices.pop_front();
        }
    }
}

//! Running quantiles of recent durations.

use std::time::Duration;

const WINDOW: usize = 128;
const REFRESH_EVERY: usize = 8;

/// The last durations of one kind of call.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    samples: Vec<u32>,
    next: usize,
    since_refresh: usize,
    sorted: Vec<u32>,
}

impl LatencyWindow {
    /// Adds a duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
        if self.samples.len() < WINDOW {
            self.samples.push(micros);
        } else {
            self.samples[self.next] = micros;
        }
        self.next = (self.next + 1) % WINDOW;
        self.since_refresh += 1;
        // Sorting on each sample would cost more than the decisions gain.
        if self.since_refresh >= REFRESH_EVERY || self.samples.len() <= REFRESH_EVERY {
            self.since_refresh = 0;
            self.sorted.clone_from(&self.samples);
            self.sorted.sort_unstable();
        }
    }

    /// The duration below which `fraction` of the recent ones lie.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let index = (fraction * last as f64).round() as usize;
        let micros = self.sorted[index.min(last)];
        Some(Duration::from_micros(u64::from(micros)))
    }

    /// The number of durations held.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether no duration was recorded.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}

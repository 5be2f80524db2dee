//! Running quantiles of recent durations.

use std::time::Duration;

const WINDOW_SAMPLES: usize = 128;
const REFRESH_SAMPLES: usize = 8;

/// The most recent durations of one kind of call.
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
        if self.samples.len() < WINDOW_SAMPLES {
            self.samples.push(micros);
        } else {
            self.samples[self.next] = micros;
        }
        self.next = (self.next + 1) % WINDOW_SAMPLES;
        self.since_refresh += 1;
        // Sorting after each sample would cost more than the fresher quantiles
        // are worth.
        if self.since_refresh >= REFRESH_SAMPLES || self.samples.len() <= REFRESH_SAMPLES {
            self.since_refresh = 0;
            self.sorted.clone_from(&self.samples);
            self.sorted.sort_unstable();
        }
    }

    /// The quantile `fraction` of the recent durations.
    pub fn quantile(&self, fraction: f64) -> Option<Duration> {
        let last = self.sorted.len().checked_sub(1)?;
        let index = (fraction * last as f64).round() as usize;
        let micros = self.sorted[index.min(last)];
        Some(Duration::from_micros(u64::from(micros)))
    }

    /// The number of recorded durations in the window.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether no duration was recorded.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}

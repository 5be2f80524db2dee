//! The daemon's clock.
//!
//! `async-io` has no clock that a test can pause. In production this clock uses
//! `async_io::Timer`; in a test it is a [`TestClock`], which the test advances.

use async_io::Timer;
use futures_lite::{FutureExt, future};
use rustix::time::{ClockId, clock_gettime};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time and of timers.
#[derive(Clone, Debug)]
pub enum DaemonClock {
    /// The system's clock.
    Real,
    /// A clock that changes only when a test advances it.
    Test(Arc<TestClock>),
}

/// A clock that a test advances.
pub struct TestClock {
    start: Instant,
    start_unix: Duration,
    state: Mutex<TestState>,
}

#[derive(Debug, Default)]
struct TestState {
    elapsed: Duration,
    next_id: u64,
    sleepers: BTreeMap<(Duration, u64), Waker>,
}

impl fmt::Debug for TestClock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TestClock").finish_non_exhaustive()
    }
}

impl TestClock {
    /// Creates a clock that starts at `unix` since 1970.
    pub fn new(unix: Duration) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            start_unix: unix,
            state: Mutex::default(),
        })
    }

    /// Advances the time by `step` and wakes the sleepers that are due.
    pub fn advance(&self, step: Duration) {
        let mut state = self.lock();
        state.elapsed += step;
        let first_later = (state.elapsed + Duration::from_nanos(1), 0);
        let later = state.sleepers.split_off(&first_later);
        let due = std::mem::replace(&mut state.sleepers, later);
        drop(state);
        for waker in due.into_values() {
            waker.wake();
        }
    }

    fn elapsed(&self) -> Duration {
        self.lock().elapsed
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, TestState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn sleep_until(&self, elapsed: Duration) {
        future::poll_fn(|context| {
            let mut state = self.lock();
            if state.elapsed >= elapsed {
                return Poll::Ready(());
            }
            state.next_id += 1;
            let key = (elapsed, state.next_id);
            state.sleepers.insert(key, context.waker().clone());
            Poll::Pending
        })
        .await;
    }
}

/// A time at which both clocks were read.
#[derive(Clone, Copy, Debug)]
struct ClockOrigin {
    instant: Instant,
    since_boot: Duration,
}

static ORIGIN: OnceLock<ClockOrigin> = OnceLock::new();

/// The time since the system's start, with the time for which it was suspended.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The monotonic time, which also counts the time for which the system is suspended.
/// `Instant::now` does not: what was confirmed before would seem to be fresh.
fn boot_now() -> Instant {
    let origin = ORIGIN.get_or_init(|| ClockOrigin {
        instant: Instant::now(),
        since_boot: since_boot(),
    });
    origin.instant + since_boot().saturating_sub(origin.since_boot)
}

impl DaemonClock {
    /// The current monotonic time.
    pub fn now(&self) -> Instant {
        match self {
            Self::Real => boot_now(),
            Self::Test(clock) => clock.start + clock.elapsed(),
        }
    }

    /// Milliseconds since 1970.
    pub fn unix_ms(&self) -> u64 {
        let unix = match self {
            Self::Real => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
            Self::Test(clock) => clock.start_unix + clock.elapsed(),
        };
        unix.as_millis() as u64
    }

    /// Sleeps for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        match self {
            Self::Real => {
                Timer::after(duration).await;
            }
            Self::Test(clock) => clock.sleep_until(clock.elapsed() + duration).await,
        }
    }

    /// Sleeps until `instant`.
    pub async fn sleep_until(&self, instant: Instant) {
        let left = instant.saturating_duration_since(self.now());
        self.sleep(left).await;
    }

    /// Runs `work` for at most `limit`; none if it took longer.
    pub async fn timeout<Work, Output>(&self, limit: Duration, work: Work) -> Option<Output>
    where
        Work: Future<Output = Output>,
    {
        let work = async { Some(work.await) };
        let timer = async {
            self.sleep(limit).await;
            None
        };
        work.or(timer).await
    }
}

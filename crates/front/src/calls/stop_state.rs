//! Whether this front stops, and until when it answers requests.

use camphorway_policy::StopWindow;
use std::sync::OnceLock;
use std::time::Instant;
use tokio_util::sync::CancellationToken;

/// The state of a planned stop, shared by the ports and the running requests.
#[derive(Debug, Default)]
pub struct StopState {
    window: OnceLock<StopWindow>,
    answer_now: CancellationToken,
}

impl StopState {
    /// Starts the stop: requests must be answered by `answer_by`.
    pub fn begin(&self, answer_by: Instant) {
        self.window.get_or_init(|| StopWindow { answer_by });
    }

    /// Whether the front stops.
    pub fn is_stopping(&self) -> bool {
        self.window.get().is_some()
    }

    /// The rest of the grace period, once the front stops.
    pub fn window(&self) -> Option<&StopWindow> {
        self.window.get()
    }

    /// Ends the requests that still run with what they have.
    pub fn answer_now(&self) {
        self.answer_now.cancel();
    }

    /// Waits until running requests must be answered with what they have.
    pub async fn wait_answer_now(&self) {
        self.answer_now.cancelled().await;
    }
}

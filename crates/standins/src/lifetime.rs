//! Lifetime of a stand-in, which ends with the process that started it.

use std::io::{self, Read};
use tokio_util::sync::CancellationToken;

/// Waits until standard input closes.
pub async fn end_of_input() {
    let ended = CancellationToken::new();
    let signal = ended.clone();
    std::thread::spawn(move || {
        // A read error also ends the wait.
        let _ = io::stdin().read_to_end(&mut Vec::new());
        signal.cancel();
    });
    ended.cancelled().await;
}

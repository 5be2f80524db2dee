//! Ends a stand-in together with the process that started it.

use std::io::{self, Read};
use tokio_util::sync::CancellationToken;

/// Returns when standard input closes.
pub async fn end_of_input() {
    let ended = CancellationToken::new();
    let signal = ended.clone();
    std::thread::spawn(move || {
        // Whatever ends the reading, nobody is there any more.
        let _ = io::stdin().read_to_end(&mut Vec::new());
        signal.cancel();
    });
    ended.cancelled().await;
}

//! Connections to peers that send bytes without end.

use bytes::Bytes;
use camphorway_daemon::http_client::{SendError, connect, is_connection_lost};
use camphorway_daemon::task::TaskSpawner;
use futures_lite::future::block_on;
use http_body_util::Full;
use hyper::Request;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio_util::sync::CancellationToken;

/// More than sockets hold, so that what is written beyond was received.
const SOCKET_BYTES: usize = 16 * 1_048_576;
const MAX_WRITTEN: usize = 4 * SOCKET_BYTES;

/// Starts a server that answers the first request with `bytes` again and again. Returns
/// its address, and counts what it wrote.
fn endless_server(bytes: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&written);
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let _ = stream.read(&mut [0; 1_024]);
        write_without_end(stream, bytes, &count);
    });
    (address, written)
}

fn write_without_end(mut stream: TcpStream, bytes: &[u8], count: &AtomicUsize) {
    let block = bytes.repeat(1_000);
    while count.load(Ordering::Relaxed) < MAX_WRITTEN && stream.write_all(&block).is_ok() {
        count.fetch_add(block.len(), Ordering::Relaxed);
    }
}

/// Only calls of fronts limited what a connection receives: the store's client, the
/// operator's command and the daemon read interim answers until their timeout.
#[test]
fn an_answer_that_never_begins_ends_the_connection() {
    let stop = CancellationToken::new();
    let (spawner, threads) = TaskSpawner::start(1, &stop).expect("a thread");
    for bytes in [
        b"HTTP/1.1 100 Continue\r\n\r\n".as_slice(),
        b"x-more: 0123456789\r\n",
        b"no answer at all",
    ] {
        let (address, written) = endless_server(bytes);
        let error = block_on(async {
            let mut sender = connect(address, &spawner).await.expect("a connection");
            let request = Request::new(Full::new(Bytes::new()));
            sender.send(request, 1_024).await.expect_err("no answer")
        });
        let SendError::Lost(cause) = error else {
            panic!("it may have been received: {error}");
        };
        assert!(!is_connection_lost(&cause), "the bytes show it: {cause}");
        let written = written.load(Ordering::Relaxed);
        assert!(written < SOCKET_BYTES, "{written} bytes");
    }
    stop.cancel();
    for thread in threads {
        thread.join().expect("a thread");
    }
}

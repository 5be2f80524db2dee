//! Tests of connections between daemons whose processes start one after the other.

use async_channel::{Receiver, Sender};
use async_io::{Timer, block_on};
use camphorway_daemon::clock::DaemonClock;
use camphorway_daemon::peer::frame;
use camphorway_daemon::peer::link::{PeerError, PeerLinks};
use camphorway_daemon::peer::pinned::{PinnedKeys, new_identity};
use camphorway_daemon::peer::tls::TlsPair;
use camphorway_daemon::task::TaskSpawner;
use camphorway_model::PeerKey;
use quinn::Connection;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Delay after which the second process starts.
const START_DELAY: Duration = Duration::from_millis(100);
/// Half the deadline of an ordinary request.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(400);
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// The process at one side of a connection.
struct Side {
    key: PeerKey,
    pinned: Arc<PinnedKeys>,
    tls: Option<TlsPair>,
    address: SocketAddr,
    spawner: TaskSpawner,
}

fn new_side(stop: &CancellationToken) -> Side {
    let pinned = Arc::new(PinnedKeys::default());
    let (key, tls) = new_identity(&pinned).expect("a key");
    let (spawner, _threads) = TaskSpawner::start(1, stop).expect("a thread");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    Side {
        key,
        pinned,
        tls: Some(tls),
        address: socket.local_addr().expect("an address"),
        spawner,
    }
}

/// Opens the side's endpoint, which accepts connections and echoes each request.
fn open(side: &mut Side) -> Arc<PeerLinks> {
    let socket = UdpSocket::bind(side.address).expect("a socket");
    let tls = side.tls.take().expect("opened once");
    let (sink, connections): (Sender<Connection>, Receiver<Connection>) =
        async_channel::unbounded();
    let clock = DaemonClock::Real;
    let links = PeerLinks::open(socket, tls, &side.spawner, &clock, sink).expect("an endpoint");
    let links = Arc::new(links);
    let accepting = Arc::clone(&links);
    side.spawner.spawn(async move {
        while let Some(incoming) = accepting.endpoint().accept().await {
            // Fails if the other side dropped its attempt in favour of a connection made here.
            if let Ok(connection) = incoming.await {
                accepting.add_accepted(connection).await;
            }
        }
    });
    let spawner = side.spawner.clone();
    side.spawner.spawn(async move {
        while let Ok(connection) = connections.recv().await {
            spawner.spawn(echo(connection));
        }
    });
    links
}

async fn echo(connection: Connection) {
    while let Ok((mut sender, mut receiver)) = connection.accept_bi().await {
        let text: String = frame::read(&mut receiver).await.expect("a frame");
        frame::write(&mut sender, &text).await.expect("written");
        sender.finish().expect("open");
    }
}

/// Creates two sides that accept each other's keys.
fn new_pair(stop: &CancellationToken) -> (Side, Side) {
    let (first, second) = (new_side(stop), new_side(stop));
    first.pinned.replace([second.key.clone()].into());
    second.pinned.replace([first.key.clone()].into());
    (first, second)
}

async fn send_hello(links: &PeerLinks, peer: SocketAddr) -> Result<String, PeerError> {
    links
        .exchange(peer, &"hello".to_owned(), EXCHANGE_TIMEOUT)
        .await
}

#[test]
fn peer_that_starts_later_is_reached_soon() {
    let stop = CancellationToken::new();
    let (mut first, mut second) = new_pair(&stop);
    let links = open(&mut first);
    let peer = second.address;
    let (reporter, answers) = async_channel::bounded(1);
    first.spawner.spawn(async move {
        let answer = send_hello(&links, peer).await;
        reporter
            .send((answer, Instant::now()))
            .await
            .expect("awaited");
    });
    block_on(async {
        Timer::after(START_DELAY).await;
        let _second = open(&mut second);
        let started_at = Instant::now();
        let (answer, at) = answers.recv().await.expect("an end");
        assert_eq!(answer.expect("an answer"), "hello");
        let took = at.saturating_duration_since(started_at);
        assert!(took < MAX_CONNECT_TIME, "{took:?}");
    });
    stop.cancel();
}

#[test]
fn accepted_connection_serves_requests_that_wait_to_connect() {
    let stop = CancellationToken::new();
    let (mut first, mut second) = new_pair(&stop);
    let links = open(&mut first);
    let peer = second.address;
    // Packets to this port are lost until the second process starts.
    let (reporter, answers) = async_channel::bounded(1);
    let sending = Arc::clone(&links);
    first.spawner.spawn(async move {
        let answer = send_hello(&sending, peer).await;
        reporter
            .send((answer, Instant::now()))
            .await
            .expect("awaited");
    });
    let own = first.address;
    block_on(async {
        // By now the first side repeats its own handshake only at long intervals.
        Timer::after(Duration::from_millis(700)).await;
        let started_at = Instant::now();
        let peers = open(&mut second);
        assert_eq!(send_hello(&peers, own).await.expect("an answer"), "hello");
        let (answer, at) = answers.recv().await.expect("an end");
        assert_eq!(answer.expect("an answer"), "hello");
        let took = at.saturating_duration_since(started_at);
        assert!(took < Duration::from_millis(100), "{took:?}");
    });
    stop.cancel();
}

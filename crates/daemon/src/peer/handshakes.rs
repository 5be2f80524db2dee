//! Accepts connections of peers, within the limits of a [`HandshakeLedger`].

use crate::clock::DaemonClock;
use crate::peer::link::PeerLinks;
use crate::sync::lock;
use camphorway_policy::{HandshakeId, HandshakeLedger, HandshakeLimits, HandshakeVerdict};
use derive_more::Debug;
use futures_lite::FutureExt;
use quinn::{ConnectionError, Incoming};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// The time after which a peer has given up.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections from peers.
#[derive(Clone, Debug)]
pub struct PeerAcceptor {
    links: Arc<PeerLinks>,
    clock: DaemonClock,
    state: Arc<Mutex<AcceptorState>>,
}

#[derive(Debug)]
struct AcceptorState {
    ledger: HandshakeLedger,
    /// Cancelled to end a handshake.
    ending: HashMap<HandshakeId, CancellationToken>,
}

/// A handshake that a peer has begun.
#[derive(Debug)]
pub struct PeerHandshake {
    acceptor: PeerAcceptor,
    #[debug(skip)]
    incoming: Incoming,
    id: HandshakeId,
    ending: CancellationToken,
}

/// Ends a handshake's entry when dropped.
struct HandshakeEntry<'acceptor>(&'acceptor PeerAcceptor, HandshakeId);

impl PeerAcceptor {
    /// Accepts at the endpoint of `links`, within `limits`.
    pub fn new(links: &Arc<PeerLinks>, clock: &DaemonClock, limits: HandshakeLimits) -> Self {
        let state = AcceptorState {
            ledger: HandshakeLedger::new(limits),
            ending: HashMap::new(),
        };
        Self {
            links: Arc::clone(links),
            clock: clock.clone(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a peer that may begin a handshake; none once the endpoint is closed.
    pub async fn accept(&self) -> Option<PeerHandshake> {
        loop {
            let incoming = self.links.endpoint().accept().await?;
            let is_proven = incoming.remote_address_validated();
            let now = self.clock.now();
            let verdict = lock(&self.state).ledger.begin(is_proven, now);
            let id = match verdict {
                HandshakeVerdict::Begin(id) => id,
                HandshakeVerdict::Replace { id, ending } => {
                    self.end(ending);
                    id
                }
                HandshakeVerdict::ProveAddress => {
                    // An address that was proved before gets no such verdict.
                    let _ = incoming.retry();
                    continue;
                }
                HandshakeVerdict::Ignore => {
                    incoming.ignore();
                    continue;
                }
            };
            let ending = CancellationToken::new();
            lock(&self.state).ending.insert(id, ending.clone());
            return Some(PeerHandshake {
                acceptor: self.clone(),
                incoming,
                id,
                ending,
            });
        }
    }

    fn end(&self, id: HandshakeId) {
        let mut state = lock(&self.state);
        state.ledger.end(id);
        if let Some(token) = state.ending.remove(&id) {
            token.cancel();
        }
    }
}

impl PeerHandshake {
    /// The peer's address.
    pub fn peer(&self) -> SocketAddr {
        self.incoming.remote_address()
    }

    /// Completes the handshake and adds the connection to the links.
    ///
    /// # Errors
    /// Returns why there is no connection.
    pub async fn complete(self) -> Result<(), ConnectionError> {
        let acceptor = self.acceptor;
        let entry = HandshakeEntry(&acceptor, self.id);
        let timed_out = async {
            let replaced = self.ending.cancelled();
            acceptor.clock.timeout(TIMEOUT, replaced).await;
            Err(ConnectionError::TimedOut)
        };
        let connection = self.incoming.into_future().or(timed_out).await?;
        drop(entry);
        acceptor.links.add_accepted(connection).await;
        Ok(())
    }
}

impl Drop for HandshakeEntry<'_> {
    fn drop(&mut self) {
        self.0.end(self.1);
    }
}

//! Connection pool of one backend server.
//!
//! The pool never opens more connections than its share of the server's limit. A
//! connection carries one call at a time, so each slot needs one connection; one
//! more serves cancellations and status requests.

use crate::http_client::{ConnectError, RequestSender, connect};
use crate::sync::lock;
use crate::task::TaskSpawner;
use camphorway_model::BackendServer;
use camphorway_policy::invariant;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Connections in addition to one for each slot.
const SPARE_CONNECTIONS: u32 = 1;
/// Connections of a server reserved for the standbys, one each.
const STANDBY_CONNECTIONS: u32 = 2;

/// The idle connections to a server and the number of open ones.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    max_open: usize,
    spawner: TaskSpawner,
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<RequestSender>,
    open: usize,
}

/// A checked-out connection; it is closed when dropped without `put_back`.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<ConnectionPool>,
    sender: Option<RequestSender>,
    /// Whether it counts as one of the pool's open connections.
    counted: bool,
}

/// The reason that a checkout failed.
#[derive(Debug, derive_more::Display)]
pub enum PoolError {
    /// All connections are in use.
    #[display("all {_0} connections are in use")]
    Full(usize),
    /// A new connection failed.
    #[display("{_0}")]
    Connect(ConnectError),
}

impl std::error::Error for PoolError {}

impl ConnectionPool {
    /// Creates a pool for `server`, which up to `seats` daemons hold at once.
    ///
    /// Two holder tables may be in use during a change, so each seat uses half of its
    /// share.
    pub fn new(server: &BackendServer, seats: u32, spawner: &TaskSpawner) -> Arc<Self> {
        let total = server.connections.saturating_sub(STANDBY_CONNECTIONS);
        let share = total / (2 * seats.max(1));
        let max_open = share.clamp(1, server.slots + SPARE_CONNECTIONS);
        Arc::new(Self {
            address: server.address,
            max_open: max_open as usize,
            spawner: spawner.clone(),
            state: Mutex::default(),
        })
    }

    /// Checks out an idle connection, or opens one.
    ///
    /// # Errors
    /// Returns an error if the pool is full or connecting fails; nothing was sent.
    pub async fn checkout(self: &Arc<Self>) -> Result<PooledConnection, PoolError> {
        if let Some(connection) = self.take_idle()? {
            return Ok(connection);
        }
        // Counted as open from here on; dropping it undoes that if connecting fails.
        let mut connection = PooledConnection {
            pool: Arc::clone(self),
            sender: None,
            counted: true,
        };
        let sender = connect(self.address, &self.spawner)
            .await
            .map_err(PoolError::Connect)?;
        connection.sender = Some(sender);
        Ok(connection)
    }

    /// Opens a connection in advance if there is none.
    pub async fn warm(self: &Arc<Self>) {
        if self.counts().0 > 0 {
            return;
        }
        if let Ok(connection) = self.checkout().await {
            connection.put_back();
        }
    }

    /// The numbers of open and of idle connections.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.open, state.idle.len())
    }

    fn take_idle(self: &Arc<Self>) -> Result<Option<PooledConnection>, PoolError> {
        let mut state = self.lock();
        while let Some(sender) = state.idle.pop() {
            if sender.can_take_request() {
                return Ok(Some(PooledConnection {
                    pool: Arc::clone(self),
                    sender: Some(sender),
                    counted: true,
                }));
            }
            state.open -= 1;
        }
        if state.open >= self.max_open {
            return Err(PoolError::Full(self.max_open));
        }
        state.open += 1;
        invariant::check(
            state.open <= self.max_open,
            "connections-within-part",
            || format!("{} of {} to {}", state.open, self.max_open, self.address),
        );
        Ok(None)
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        lock(&self.state)
    }
}

impl PooledConnection {
    /// The sender of the connection's requests.
    ///
    /// # Panics
    /// Panics if the connection was never opened, which the pool rules out.
    pub fn sender(&mut self) -> &mut RequestSender {
        self.sender
            .as_mut()
            .expect("a checked-out connection has a sender")
    }

    /// Returns the connection to the pool.
    pub fn put_back(mut self) {
        if let Some(sender) = self.sender.take()
            && !sender.is_closed()
        {
            sender.end_answer();
            self.counted = false;
            self.pool.lock().idle.push(sender);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.counted {
            self.pool.lock().open -= 1;
        }
    }
}

//! An HTTP/1.1 and HTTP/2 listener with limits, shared by the callers' and the
//! operators' ports.
//!
//! A connection that sends nothing, or only the beginning of a request, is
//! closed after the read timeout; connections beyond the limit are closed at
//! once. So slow callers hold neither memory nor slots for long.

use crate::clock::DaemonClock;
use crate::event;
use crate::settings::LimitSettings;
use crate::task::TaskSpawner;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolExecutor, SmolTimer};
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PEEK_PAUSE: Duration = Duration::from_millis(5);
const MOST_STREAMS: u32 = 256;
/// hyper refuses smaller buffers.
const SMALLEST_HEAD: usize = 8_192;

/// Answers requests; the daemon's two HTTP ports implement it.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// A listener and its limits.
#[derive(Debug)]
pub struct HttpPort {
    /// Where connections arrive.
    pub listener: TcpListener,
    /// Runs the connections.
    pub spawner: TaskSpawner,
    /// Limits for each connection.
    pub limits: LimitSettings,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Cancelled to stop accepting and to let connections end.
    pub stop: CancellationToken,
}

impl HttpPort {
    /// Accepts connections until stopped.
    pub async fn serve<Handler>(self, handler: Arc<Handler>)
    where
        Handler: HttpHandler,
    {
        let open = Arc::new(AtomicUsize::new(0));
        let limits = Arc::new(self.limits);
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let stopped = async {
                self.stop.cancelled().await;
                None
            };
            let stream = match accepted.or(stopped).await {
                None => return,
                Some(Ok((stream, _))) => stream,
                Some(Err(cause)) => {
                    event!(Warn, "accept-failed", cause = cause);
                    // Most often the process is out of file handles; some will be closed soon.
                    self.clock.sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            if open.load(Ordering::Relaxed) >= limits.connections {
                event!(Warn, "connection-refused", cause = "limit");
                continue;
            }
            open.fetch_add(1, Ordering::Relaxed);
            let connection = Connection {
                limits: Arc::clone(&limits),
                clock: self.clock.clone(),
                spawner: self.spawner.clone(),
                stop: self.stop.clone(),
            };
            let handler = Arc::clone(&handler);
            let open = Arc::clone(&open);
            self.spawner.spawn(async move {
                connection.run(stream, handler).await;
                open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }
}

struct Connection {
    limits: Arc<LimitSettings>,
    clock: DaemonClock,
    spawner: TaskSpawner,
    stop: CancellationToken,
}

impl Connection {
    async fn run<Handler>(self, stream: TcpStream, handler: Arc<Handler>)
    where
        Handler: HttpHandler,
    {
        // Without it small answers wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let detect = is_http2(&stream, &self.clock);
        let detected = async { self.clock.timeout(self.limits.read_timeout, detect).await };
        let stopped = async {
            self.stop.cancelled().await;
            None
        };
        let Some(Some(http2)) = detected.or(stopped).await else {
            return;
        };
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(handler.handle(request).await) }
        });
        let io = FuturesIo::new(stream);
        let head = self.limits.header_bytes.max(SMALLEST_HEAD);
        if http2 {
            let executor = SmolExecutor::new(Arc::clone(self.spawner.executor()));
            let connection = http2::Builder::new(executor)
                .timer(SmolTimer::new())
                .max_concurrent_streams(MOST_STREAMS)
                .max_header_list_size(head as u32)
                .keep_alive_interval(self.limits.read_timeout)
                .serve_connection(io, service);
            self.drive(connection, http2::Connection::graceful_shutdown)
                .await;
            return;
        }
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.read_timeout)
            .max_buf_size(head)
            .serve_connection(io, service);
        self.drive(connection, http1::Connection::graceful_shutdown)
            .await;
    }

    /// Runs a connection to its end; when the port stops, `shut_down` has it end
    /// after the requests that it has begun.
    async fn drive<Driver, ShutDown>(&self, connection: Driver, shut_down: ShutDown)
    where
        Driver: Future,
        ShutDown: FnOnce(Pin<&mut Driver>),
    {
        let mut connection = pin!(connection);
        let stopped = async {
            self.stop.cancelled().await;
            true
        };
        let ended = async {
            // Whatever ended it, nobody is left to be told.
            let _ = connection.as_mut().await;
            false
        };
        if ended.or(stopped).await {
            shut_down(connection.as_mut());
            let _ = connection.await;
        }
    }
}

/// Whether the connection begins as HTTP/2; none if it ended before that is clear.
async fn is_http2(stream: &TcpStream, clock: &DaemonClock) -> Option<bool> {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        let count = stream.peek(&mut first).await.ok()?;
        if count == 0 {
            return None;
        }
        if first[..count] != HTTP2_PREFACE[..count] {
            return Some(false);
        }
        if count == HTTP2_PREFACE.len() {
            return Some(true);
        }
        clock.sleep(PEEK_PAUSE).await;
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum BodyError {
    /// Larger than allowed.
    #[display("body is larger than allowed")]
    TooLarge,
    /// It did not arrive in time.
    #[display("body did not arrive in time")]
    TooSlow,
    /// It ended early or was malformed.
    #[display("body ended early")]
    Broken,
}

impl BodyError {
    /// The HTTP status that tells it.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a body of at most `most` bytes within `limit`.
///
/// # Errors
/// Returns why the body was not read.
pub async fn read_body<Body>(body: Body, most: usize, limit: Duration) -> Result<Bytes, BodyError>
where
    Body: hyper::body::Body<Data = Bytes>,
    Body::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = async {
        match Limited::new(body, most).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(cause) if cause.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Err(_) => Err(BodyError::Broken),
        }
    };
    let late = async {
        Timer::after(limit).await;
        Err(BodyError::TooSlow)
    };
    read.or(late).await
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

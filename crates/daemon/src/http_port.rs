//! An HTTP/1.1 and HTTP/2 server with limits, used for the callers' and the
//! operators' ports.
//!
//! A connection that sends nothing, or only the beginning of a request, is
//! closed after the read timeout. When connections hold more memory than the port has,
//! or there are too many, some are closed as [`ConnectionMemory`] says. Slow clients
//! therefore can't occupy memory or slots for long.

use crate::clock::DaemonClock;
use crate::connection_memory::{ConnectionMemory, ConnectionShare};
use crate::event;
use crate::http_client::is_connection_lost;
use crate::http_stream::HttpStream;
use crate::settings::LimitSettings;
use crate::stream_memory::{BodyProgress, StreamMemory};
use crate::task::TaskSpawner;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use camphorway_policy::ConnectionRefused;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::http::Extensions;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use smol_hyper::rt::{SmolExecutor, SmolTimer};
use std::error::Error;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PEEK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_HTTP2_STREAMS: u32 = 256;
/// The smallest window that a connection may have: bytes of bodies that nobody has taken.
const HTTP2_WINDOW_BYTES: u32 = 65_535;
/// Time for a new connection's first bytes once the port stops.
const FIRST_BYTES_TIMEOUT: Duration = Duration::from_millis(100);
/// Minimum that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// The largest head that a port takes, whatever it is set to.
const MAX_HEAD_BYTES: usize = 1_048_576;
/// A field without a value: its name, a colon and the line's end.
const MIN_FIELD_BYTES: usize = 4;
/// The colon and the end of a field's line.
const SEPARATOR_BYTES: usize = 3;

/// A handler of the HTTP requests to one port.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// The largest head of a request, if that is not the port's setting. It applies to
    /// connections from then on.
    fn max_head_bytes(&self) -> Option<usize> {
        None
    }
}

/// A listener and the limits of its connections.
#[derive(Debug)]
pub struct HttpPort {
    /// The listening socket.
    pub listener: TcpListener,
    /// Runs the tasks of connections.
    pub spawner: TaskSpawner,
    /// Limits for each connection.
    pub limits: LimitSettings,
    /// The memory and the number of all connections.
    pub memory: ConnectionMemory,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Cancelled to stop accepting and to shut connections down gracefully.
    pub stop: CancellationToken,
}

impl HttpPort {
    /// Accepts connections until stopped. Those that wait in the listener's queue by
    /// then are still served.
    pub async fn serve<Handler>(self, handler: Arc<Handler>)
    where
        Handler: HttpHandler,
    {
        let limits = Arc::new(self.limits);
        loop {
            let accepted = async { Some(self.listener.accept().await) };
            let stopped = async {
                self.stop.cancelled().await;
                None
            };
            let stream = match accepted.or(stopped).await {
                // The queue is empty: `accepted` is polled first.
                None => return,
                Some(Ok((stream, _))) => stream,
                Some(Err(cause)) => {
                    event!(Warn, "accept-failed", cause = cause);
                    // Usually the process is out of file descriptors; wait for some to be closed.
                    self.clock.sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let Some(share) = self.memory.open() else {
                event!(Warn, "connection-refused", cause = "limit");
                continue;
            };
            let connection = Connection {
                limits: Arc::clone(&limits),
                clock: self.clock.clone(),
                spawner: self.spawner.clone(),
                stop: self.stop.clone(),
            };
            let handler = Arc::clone(&handler);
            self.spawner.spawn(async move {
                let run = connection.run(stream, handler, &share);
                run.or(share.closing()).await;
                share.close();
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
    async fn run<Handler>(
        self,
        stream: TcpStream,
        handler: Arc<Handler>,
        share: &Arc<ConnectionShare>,
    ) where
        Handler: HttpHandler,
    {
        // Without TCP_NODELAY, small responses wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let detect = is_http2(&stream, &self.clock);
        let detected = async { self.clock.timeout(self.limits.read_timeout, detect).await };
        let stopped = async {
            self.stop.cancelled().await;
            // The first request of a connection just accepted may be on its way.
            self.clock.sleep(FIRST_BYTES_TIMEOUT).await;
            None
        };
        let Some(Some(http2)) = detected.or(stopped).await else {
            return;
        };
        let max_head_bytes = handler
            .max_head_bytes()
            .unwrap_or(self.limits.max_header_bytes)
            .clamp(MIN_BUFFER_BYTES, MAX_HEAD_BYTES);
        share.set_max_head(max_head_bytes);
        let io = if http2 {
            HttpStream::of_streams(stream, share)
        } else {
            HttpStream::of_client(stream, share)
        };
        let share = Arc::clone(share);
        let spawner = self.spawner.clone();
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            let share = Arc::clone(&share);
            let spawner = spawner.clone();
            async move { answer_counted(handler.as_ref(), request, &share, &spawner).await }
        });
        if http2 {
            let executor = SmolExecutor::new(Arc::clone(self.spawner.executor()));
            let connection = http2::Builder::new(executor)
                .timer(SmolTimer::new())
                .max_concurrent_streams(MAX_HTTP2_STREAMS)
                .initial_stream_window_size(HTTP2_WINDOW_BYTES)
                .initial_connection_window_size(HTTP2_WINDOW_BYTES)
                .max_header_list_size(max_head_bytes as u32)
                .keep_alive_interval(self.limits.read_timeout)
                .serve_connection(io, service);
            self.drive(connection, http2::Connection::graceful_shutdown)
                .await;
            return;
        }
        let connection = http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(self.limits.read_timeout)
            .max_buf_size(max_head_bytes)
            .max_headers(max_head_bytes / MIN_FIELD_BYTES)
            .serve_connection(io, service);
        self.drive(connection, http1::Connection::graceful_shutdown)
            .await;
    }

    /// Runs a connection to its end; when the port stops, `shut_down` makes it end
    /// after the requests that have started.
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
            // An error is ignored: the connection is closed, so it can't be reported to the peer.
            let _ = connection.as_mut().await;
            false
        };
        if ended.or(stopped).await {
            shut_down(connection.as_mut());
            let _ = connection.await;
        }
    }
}

/// The handler's answer, counted until it is sent.
///
/// # Errors
/// Returns an error if there is no memory for the request; the connection then closes.
async fn answer_counted<Handler>(
    handler: &Handler,
    mut request: Request<Incoming>,
    share: &Arc<ConnectionShare>,
    spawner: &TaskSpawner,
) -> Result<Response<Full<Bytes>>, ConnectionRefused>
where
    Handler: HttpHandler,
{
    if request.version() == Version::HTTP_2 {
        return Ok(answer_stream(handler, request, share, spawner).await);
    }
    if head_bytes(&request) > share.max_head() {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Ok(response);
    }
    let running = share.begin_request(request.headers())?;
    request.extensions_mut().insert(Arc::clone(share));
    let response = handler.handle(request).await;
    let bytes = response.body().size_hint().lower();
    running.answer(bytes as usize);
    Ok(response)
}

/// The least bytes that a request's head may have had. hyper's limit is one of its buffer,
/// which may hold more.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let fields = request.headers().iter();
    let bytes = fields.map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES);
    bytes.sum()
}

/// The same for a request on one of the streams of a connection.
async fn answer_stream<Handler>(
    handler: &Handler,
    mut request: Request<Incoming>,
    share: &Arc<ConnectionShare>,
    spawner: &TaskSpawner,
) -> Response<Full<Bytes>>
where
    Handler: HttpHandler,
{
    let memory = StreamMemory::of_request(share, &mut request);
    let running = share.begin_counted();
    request.extensions_mut().insert(Arc::clone(share));
    let response = handler.handle(request).await;
    running.answer(0);
    memory.keep_answer(response, spawner).await
}

/// Receives a request's body of at most `max_bytes` bytes, counted for its connection
/// until it is dropped.
///
/// # Errors
/// Returns why it was not received; the rest is not read.
pub async fn receive_body(
    extensions: &Extensions,
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let share = extensions.get::<Arc<ConnectionShare>>();
    let share = share.ok_or(BodyError::NoMemory)?;
    let received = share.receive(body, max_bytes).await;
    if let (Ok(_), Some(progress)) = (&received, extensions.get::<BodyProgress>()) {
        progress.set_ended();
    }
    received
}

/// Whether the connection starts with the HTTP/2 preface; none if it ended before
/// that could be decided.
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
        clock.sleep(PEEK_INTERVAL).await;
    }
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum BodyError {
    /// Larger than allowed.
    #[display("body is larger than allowed")]
    TooLarge,
    /// It did not arrive in time.
    #[display("body did not arrive in time")]
    TooSlow,
    /// The connection ended before the body did.
    #[display("body ended early")]
    Incomplete,
    /// The bytes are no body.
    #[display("body is malformed")]
    Malformed,
    /// Too much is being received at the same time.
    #[display("too much is being received")]
    NoMemory,
}

impl BodyError {
    /// What a connection's error shows about the body that was being received.
    pub fn of(cause: &(dyn Error + 'static)) -> Self {
        match cause.downcast_ref() {
            Some(cause) if !is_connection_lost(cause) => Self::Malformed,
            Some(_) | None => Self::Incomplete,
        }
    }

    /// The HTTP status that reports this error.
    pub fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Incomplete | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Reads a body of at most `max_bytes` bytes within `timeout`.
///
/// # Errors
/// Returns why the body could not be read.
pub async fn read_body<Body>(
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError>
where
    Body: hyper::body::Body<Data = Bytes>,
    Body::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let read = async {
        match Limited::new(body, max_bytes).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(cause) if cause.is::<LengthLimitError>() => Err(BodyError::TooLarge),
            Err(cause) => Err(BodyError::of(cause.as_ref())),
        }
    };
    let timed_out = async {
        Timer::after(timeout).await;
        Err(BodyError::TooSlow)
    };
    read.or(timed_out).await
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    response
}

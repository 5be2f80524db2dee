//! HTTP server and client functions for the stand-ins.

use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

/// The executor of a stand-in's tasks.
pub type StandinExecutor = Arc<Executor<'static>>;

/// A reply with its whole body.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpReply {
    /// Parses the body as JSON; null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header's value; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Marks a response whose body never comes to its end.
#[derive(Clone, Copy, Debug)]
pub struct UnfinishedBody;

/// A response's body as it is sent.
struct SentBody {
    full: Full<Bytes>,
    is_unfinished: bool,
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match Pin::new(&mut self.full).poll_frame(context) {
            Poll::Ready(None) if self.is_unfinished => Poll::Pending,
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.is_unfinished && self.full.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.is_unfinished {
            return SizeHint::default();
        }
        self.full.size_hint()
    }
}

fn sent_response(response: Response<Full<Bytes>>) -> Response<SentBody> {
    let is_unfinished = response.extensions().get::<UnfinishedBody>().is_some();
    response.map(|full| SentBody {
        full,
        is_unfinished,
    })
}

/// Serves a connection until it ends; if `handler` returns none, no answer is sent.
pub async fn serve_connection<Handler, Answer>(stream: TcpStream, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Answer,
    Answer: Future<Output = Option<Response<Full<Bytes>>>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let response_future = handler(request);
        async move {
            match response_future.await {
                Some(response) => Ok::<_, Infallible>(sent_response(response)),
                // The caller waits until its own timeout.
                None => std::future::pending().await,
            }
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

/// Accepts and serves connections forever.
pub async fn serve<Handler, Answer>(
    listener: TcpListener,
    executor: StandinExecutor,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_io::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let handler = handler.clone();
        executor.spawn(serve_connection(stream, handler)).detach();
    }
}

/// Creates a response with a text body.
pub fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    text_response(status, body.to_string())
}

/// The parameters of a query string.
pub fn query_parameters(request: &Request<Incoming>) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Opens an HTTP/1.1 connection that is driven on `executor`.
///
/// # Errors
/// Returns the system's or the protocol's error.
pub async fn connect(
    address: SocketAddr,
    executor: &StandinExecutor,
) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    executor
        .spawn(async move {
            let _ = connection.await;
        })
        .detach();
    Ok(sender)
}

/// Sends a request over a new connection and reads the reply.
///
/// # Errors
/// Returns an error if the reply is incomplete.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<HttpReply> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    run_until_reply(connection, sender.send_request(request)).await
}

/// Drives a connection until the reply to the request sent over it is read.
async fn run_until_reply<Driver, Sent>(connection: Driver, sent: Sent) -> io::Result<HttpReply>
where
    Driver: Future,
    Sent: Future<Output = hyper::Result<Response<Incoming>>>,
{
    let driver = async {
        let _ = connection.await;
        std::future::pending().await
    };
    let exchange = async {
        let response = sent.await.map_err(io::Error::other)?;
        read_reply(response).await
    };
    exchange.or(driver).await
}

/// Reads a response with its whole body.
///
/// # Errors
/// Returns an error if the body is incomplete.
pub async fn read_reply(response: Response<Incoming>) -> io::Result<HttpReply> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(HttpReply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Creates a request with these headers and a text body.
///
/// # Panics
/// Panics if a header or the path contains characters that HTTP forbids.
pub fn request(
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Request<Full<Bytes>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, "standin");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder
        .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
        .expect("a valid request")
}

/// Sends a request and blocks until the reply is read, at most `timeout`.
///
/// # Errors
/// Returns an error if there is no complete reply in time.
pub fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> io::Result<HttpReply> {
    let timed_out = async {
        async_io::Timer::after(timeout).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    async_io::block_on(send(address, request).or(timed_out))
}

/// Sends a GET request with a timeout of ten seconds.
///
/// # Errors
/// Returns an error if there is no complete reply in time.
pub fn get(address: SocketAddr, path: &str) -> io::Result<HttpReply> {
    call(
        address,
        request(Method::GET, path, &[], ""),
        Duration::from_secs(10),
    )
}

/// Sends a POST request with a timeout of ten seconds.
///
/// # Errors
/// Returns an error if there is no complete reply in time.
pub fn post(address: SocketAddr, path: &str, body: &str) -> io::Result<HttpReply> {
    call(
        address,
        request(Method::POST, path, &[], body),
        Duration::from_secs(10),
    )
}

/// Sends a request over a new HTTP/2 connection and reads the reply.
///
/// # Errors
/// Returns an error if the reply is incomplete.
pub async fn send_http2(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    executor: &StandinExecutor,
) -> io::Result<HttpReply> {
    let stream = TcpStream::connect(address).await?;
    let http2_executor = SmolExecutor::new(Arc::clone(executor));
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(http2_executor, FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
    executor
        .run(run_until_reply(connection, sender.send_request(request)))
        .await
}

/// Sends requests one by one over a new HTTP/2 connection and reads the replies.
///
/// # Errors
/// Returns an error if a reply is incomplete.
pub async fn send_all_http2(
    address: SocketAddr,
    requests: Vec<Request<Full<Bytes>>>,
    executor: &StandinExecutor,
) -> io::Result<Vec<HttpReply>> {
    let stream = TcpStream::connect(address).await?;
    let http2_executor = SmolExecutor::new(Arc::clone(executor));
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(http2_executor, FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
    let driver = async {
        let _ = connection.await;
        std::future::pending().await
    };
    let exchange = async {
        let mut replies = Vec::new();
        for request in requests {
            let response = sender.send_request(request).await;
            replies.push(read_reply(response.map_err(io::Error::other)?).await?);
        }
        Ok(replies)
    };
    executor.run(exchange.or(driver)).await
}

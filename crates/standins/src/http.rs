//! A small HTTP server and client for the stand-ins.

use async_executor::Executor;
use async_net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use smol_hyper::rt::{FuturesIo, SmolExecutor};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Runs a stand-in's tasks.
pub type StandinExecutor = Arc<Executor<'static>>;

/// A reply that was read whole.
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
    /// The body as JSON; null if it is none.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// A header's text; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default()
    }
}

/// Serves one connection with `handle` until it ends.
pub async fn serve_connection<Handle, Answer>(stream: TcpStream, handle: Handle)
where
    Handle: Fn(Request<Incoming>) -> Answer,
    Answer: Future<Output = Option<Response<Full<Bytes>>>>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let answer = handle(request);
        async move {
            match answer.await {
                Some(response) => Ok::<_, Infallible>(response),
                // No answer: the caller waits until it gives up.
                None => std::future::pending().await,
            }
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(FuturesIo::new(stream), service)
        .await;
}

/// Accepts connections forever.
pub async fn serve<Handle, Answer>(listener: TcpListener, executor: StandinExecutor, handle: Handle)
where
    Handle: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_io::Timer::after(Duration::from_millis(10)).await;
            continue;
        };
        let handle = handle.clone();
        executor.spawn(serve_connection(stream, handle)).detach();
    }
}

/// A response with a status and a text.
pub fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<Full<Bytes>> {
    text_response(status, body.to_string())
}

/// The pairs of a query string.
pub fn query_pairs(request: &Request<Incoming>) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect()
}

/// Opens a connection whose driver runs on `executor`.
///
/// # Errors
/// Returns the system's or the protocol's error.
pub async fn open(
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

/// Sends one request over a connection of its own.
///
/// # Errors
/// Returns an error if there was no whole reply.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<HttpReply> {
    let stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    drive(connection, sender.send_request(request)).await
}

/// Runs a connection until the reply to the request sent over it is read.
async fn drive<Driver, Sent>(connection: Driver, sent: Sent) -> io::Result<HttpReply>
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

/// Reads a response whole.
///
/// # Errors
/// Returns an error if the body broke off.
pub async fn read_reply(response: Response<Incoming>) -> io::Result<HttpReply> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(HttpReply {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// A request with plain headers.
///
/// # Panics
/// Panics if a header or the path holds characters that HTTP forbids.
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

/// Sends one request and waits at most `limit`; for tests and scripts.
///
/// # Errors
/// Returns an error if there was no whole reply in time.
pub fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> io::Result<HttpReply> {
    let late = async {
        async_io::Timer::after(limit).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    async_io::block_on(send(address, request).or(late))
}

/// Reads `path` with a time limit of ten seconds.
///
/// # Errors
/// Returns an error if there was no whole reply in time.
pub fn get(address: SocketAddr, path: &str) -> io::Result<HttpReply> {
    call(
        address,
        request(Method::GET, path, &[], ""),
        Duration::from_secs(10),
    )
}

/// Posts to `path` with a time limit of ten seconds.
///
/// # Errors
/// Returns an error if there was no whole reply in time.
pub fn post(address: SocketAddr, path: &str, body: &str) -> io::Result<HttpReply> {
    call(
        address,
        request(Method::POST, path, &[], body),
        Duration::from_secs(10),
    )
}

/// Sends one request over an HTTP/2 connection of its own.
///
/// # Errors
/// Returns an error if there was no whole reply.
pub async fn send_http2(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    executor: &StandinExecutor,
) -> io::Result<HttpReply> {
    let stream = TcpStream::connect(address).await?;
    let runner = SmolExecutor::new(Arc::clone(executor));
    let (mut sender, connection) =
        hyper::client::conn::http2::handshake(runner, FuturesIo::new(stream))
            .await
            .map_err(io::Error::other)?;
    executor
        .run(drive(connection, sender.send_request(request)))
        .await
}

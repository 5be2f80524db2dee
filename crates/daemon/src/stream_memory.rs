//! The memory of requests on streams of HTTP/2, of which a connection has many at once.
//!
//! It is counted when the request's head arrives, before anything of it is read. A stream
//! that is answered before its body has ended is reset, and kept by the HTTP/2 library for
//! a while.

use crate::connection_memory::{ConnectionShare, HeldBytes};
use crate::task::TaskSpawner;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Time for which the HTTP/2 library keeps a stream that it has reset.
const RESET_TIME: Duration = Duration::from_secs(5);

/// The memory of one request, counted until its answer is sent.
#[derive(Debug)]
pub(crate) struct StreamMemory {
    share: Arc<ConnectionShare>,
    held: HeldBytes,
    body: BodyProgress,
}

/// Whether a request's body has been read to its end.
#[derive(Clone, Debug)]
pub(crate) struct BodyProgress(Arc<AtomicBool>);

impl BodyProgress {
    /// Records that it has.
    pub(crate) fn set_ended(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn has_ended(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An answer that is not sent yet, and the memory counted for it.
struct KeptAnswer {
    bytes: Bytes,
    _request: Option<HeldBytes>,
    _answer: HeldBytes,
}

impl AsRef<[u8]> for KeptAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl StreamMemory {
    /// Takes over the memory that was counted when the request arrived.
    pub(crate) fn of_request(
        share: &Arc<ConnectionShare>,
        request: &mut Request<Incoming>,
    ) -> Self {
        let has_ended = request.body().is_end_stream();
        let body = BodyProgress(Arc::new(AtomicBool::new(has_ended)));
        request.extensions_mut().insert(body.clone());
        Self {
            share: Arc::clone(share),
            held: share.begin_stream(request.headers().len()),
            body,
        }
    }

    /// Releases the memory of a request whose stream is kept for a while.
    fn release_later(self, spawner: &TaskSpawner) {
        spawner.spawn(async move {
            let closed = self.share.closing();
            let clock = self.share.clock();
            clock.timeout(RESET_TIME, closed).await;
            drop(self.held);
        });
    }

    /// The answer, which releases the memory once its body is sent or dropped.
    pub(crate) async fn keep_answer(
        self,
        response: Response<Full<Bytes>>,
        spawner: &TaskSpawner,
    ) -> Response<Full<Bytes>> {
        let (parts, body) = response.into_parts();
        let bytes = match body.collect().await {
            Ok(collected) => collected.to_bytes(),
            Err(never) => match never {},
        };
        let answer = self.share.hold_sending(bytes.len());
        let request = if self.body.has_ended() {
            Some(self.held)
        } else {
            self.release_later(spawner);
            None
        };
        let kept = KeptAnswer {
            bytes,
            _request: request,
            _answer: answer,
        };
        Response::from_parts(parts, Full::new(Bytes::from_owner(kept)))
    }
}

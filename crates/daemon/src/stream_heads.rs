//! The memory of requests whose heads have arrived on the streams of a connection.

use crate::http2_heads::HeadBytes;
use std::collections::VecDeque;

/// A stream of HTTP/2, its task, and the head of its answer.
const STREAM_BYTES: usize = 8 * 1_024;
/// A header field of a request on a stream.
const STREAM_FIELD_BYTES: usize = 128;
/// Each field counts as 32 bytes of the largest head.
const MAX_STREAM_FIELDS: usize = 512;

/// The memory of a request that begins, in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BegunHead {
    /// What it needs from now on.
    pub(crate) needed: usize,
    /// What was counted in case that its head had more fields.
    pub(crate) unneeded: usize,
}

/// Memory of requests on the streams of a connection, from their heads' arrival until
/// they begin.
#[derive(Debug, Default)]
pub(crate) struct StreamHeads {
    /// For each request, in their order.
    reserved: VecDeque<usize>,
    /// What the ledger has not granted yet.
    unreserved: usize,
}

impl StreamHeads {
    /// Adds requests. Their fields are not known yet: each may take a byte.
    pub(crate) fn add(&mut self, heads: &HeadBytes) {
        for bytes in &heads.begun {
            let needed = stream_bytes(*bytes);
            self.reserved.push_back(needed);
            self.unreserved += needed;
        }
        // Once the last request has begun, these are trailers, which nobody would release.
        if heads.continued > 0
            && let Some(last) = self.reserved.back_mut()
        {
            let needed = stream_bytes(heads.continued);
            *last += needed;
            self.unreserved += needed;
        }
    }

    /// What the ledger has not granted yet.
    pub(crate) fn unreserved(&self) -> usize {
        self.unreserved
    }

    /// Records that the ledger has granted all.
    pub(crate) fn set_reserved(&mut self) {
        self.unreserved = 0;
    }

    /// Takes the oldest request, which begins and has so many fields.
    pub(crate) fn begin(&mut self, fields: usize) -> BegunHead {
        let reserved = self.reserved.pop_front().unwrap_or_default();
        let needed = reserved.min(stream_bytes(fields));
        BegunHead {
            needed,
            unneeded: reserved - needed,
        }
    }
}

/// The memory of a stream whose request has at most so many header fields.
fn stream_bytes(fields: usize) -> usize {
    STREAM_BYTES + fields.min(MAX_STREAM_FIELDS) * STREAM_FIELD_BYTES
}

//! Finds the heads of requests in what a client sends over HTTP/2, before they are read:
//! a few bytes may begin a request that takes kilobytes.

const PREFACE_BYTES: usize = 24;
const FRAME_HEAD_BYTES: usize = 9;
const HEADERS: u8 = 1;
const CONTINUATION: u8 = 9;
/// The highest bit of a stream's number is reserved.
const STREAM_MASK: u32 = 0x7fff_ffff;

/// The bytes of header blocks in what was scanned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeadBytes {
    /// For each request that begins, the bytes of its first frame.
    pub begun: Vec<usize>,
    /// The bytes of further frames.
    pub continued: usize,
}

/// Follows the frames of one connection.
#[derive(Debug)]
pub struct HeadScanner {
    /// Bytes to pass over until the next frame.
    skipped: usize,
    frame_head: [u8; FRAME_HEAD_BYTES],
    /// Bytes of `frame_head` that have arrived.
    arrived: usize,
    /// The largest stream so far; a head on an older one is a trailer.
    last_stream: u32,
}

impl HeadScanner {
    /// A scanner of a connection of which nothing was read.
    pub fn new() -> Self {
        Self {
            skipped: PREFACE_BYTES,
            frame_head: [0; FRAME_HEAD_BYTES],
            arrived: 0,
            last_stream: 0,
        }
    }

    /// Scans the next bytes.
    pub fn scan(&mut self, mut bytes: &[u8]) -> HeadBytes {
        let mut found = HeadBytes::default();
        while !bytes.is_empty() {
            if self.skipped > 0 {
                let passed = self.skipped.min(bytes.len());
                self.skipped -= passed;
                bytes = &bytes[passed..];
                continue;
            }
            self.frame_head[self.arrived] = bytes[0];
            self.arrived += 1;
            bytes = &bytes[1..];
            if self.arrived == FRAME_HEAD_BYTES {
                self.arrived = 0;
                self.begin_frame(&mut found);
            }
        }
        found
    }

    fn begin_frame(&mut self, found: &mut HeadBytes) {
        let [high, middle, low, kind, _, stream @ ..] = self.frame_head;
        let length = u32::from_be_bytes([0, high, middle, low]) as usize;
        let stream = u32::from_be_bytes(stream) & STREAM_MASK;
        self.skipped = length;
        match kind {
            HEADERS if stream > self.last_stream => {
                self.last_stream = stream;
                found.begun.push(length);
            }
            HEADERS | CONTINUATION => found.continued += length,
            _ => {}
        }
    }
}

impl Default for HeadScanner {
    fn default() -> Self {
        Self::new()
    }
}

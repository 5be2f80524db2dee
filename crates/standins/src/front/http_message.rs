//! HTTP/1.1 messages read and written by hand, so that a stand-in can also send
//! malformed messages, which libraries refuse to send.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP/1.1 request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// The request line or status line.
    pub start_line: String,
    /// Header values by name in lower case; repeated headers are joined by commas.
    pub headers: BTreeMap<String, String>,
    /// The body, whose length comes from `content-length`.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Reads the next message; none if the connection ended before its first byte.
    ///
    /// # Errors
    /// Returns the system's error, or one for an incomplete message.
    pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if reader.read_line(&mut message.start_line)? == 0 {
            return Ok(None);
        }
        message.start_line = message.start_line.trim_end().to_owned();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let entry = message.headers.entry(name.to_ascii_lowercase());
                let value = value.trim();
                entry
                    .and_modify(|text| *text = format!("{text},{value}"))
                    .or_insert_with(|| value.to_owned());
            }
        }
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// A header's value; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map(String::as_str)
            .unwrap_or_default()
    }

    /// The second word of the start line: a request's target, an answer's status.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// An answer's status; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Formats an answer with a `content-length`.
pub fn response_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        // Writing to memory can't fail.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; none if the connection ended before its first byte. A response
    /// without a length ends with its connection.
    pub fn read(reader: &mut impl BufRead, is_response: bool) -> io::Result<Option<Self>> {
        let mut message = Self::default();
        if read_line(reader, &mut message.start)? == 0 {
            return Ok(None);
        }
        loop {
            let mut line = String::new();
            if read_line(reader, &mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").contains("chunked") {
            message.read_chunks(reader)?;
        } else if !message.header("content-length").is_empty() {
            let length = message.header("content-length").parse().unwrap_or(0);
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)?;
        } else if is_response {
            reader.read_to_end(&mut message.body)?;
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, reader: &mut impl BufRead) -> io::Result<()> {
        loop {
            let mut line = String::new();
            read_line(reader, &mut line)?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = self.body.len();
            self.body.resize(start + length, 0);
            reader.read_exact(&mut self.body[start..])?;
            read_line(reader, &mut line)?;
            if length == 0 {
                return Ok(());
            }
        }
    }

    /// The value of a header; empty without one.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// The words of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead, line: &mut String) -> io::Result<usize> {
    let count = reader.read_line(line)?;
    while line.ends_with(['\r', '\n']) {
        line.pop();
    }
    Ok(count)
}

/// The bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} S\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, text: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    pub fn receive(&mut self) -> io::Result<Message> {
        let message = Message::read(&mut self.reader, true)?;
        message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

/// One request on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> io::Result<Message> {
    let mut connection = Connection::open(address, Duration::from_secs(2))?;
    let head = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    connection.send(&head, &[])?;
    connection.receive()
}

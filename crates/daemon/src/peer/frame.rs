//! Frames on a QUIC stream: a four-byte little-endian length, then a postcard value.

use derive_more::Display;
use quinn::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body of a frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1_048_576;
const LENGTH_BYTES: usize = 4;
const CHUNK_BYTES: usize = 64 * 1_024;

/// Why a frame was not read or written.
#[derive(Debug, Display)]
pub enum FrameError {
    /// The stream ended or was reset.
    #[display("stream closed: {_0}")]
    Closed(String),
    /// The frame is larger than allowed.
    #[display("frame of {_0} bytes is too large")]
    TooLarge(usize),
    /// The bytes are not the expected message.
    #[display("frame is malformed: {_0}")]
    Malformed(postcard::Error),
}

impl std::error::Error for FrameError {}

/// Appends `message` to `buffer` as a frame.
///
/// # Errors
/// Returns an error if the message can't be encoded or is too large.
pub fn encode<Message>(message: &Message, buffer: &mut Vec<u8>) -> Result<(), FrameError>
where
    Message: Serialize,
{
    let start = buffer.len();
    buffer.extend_from_slice(&[0; LENGTH_BYTES]);
    let body = postcard::to_stdvec(message).map_err(FrameError::Malformed)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(body.len()));
    }
    buffer.extend_from_slice(&body);
    let length = (body.len() as u32).to_le_bytes();
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length);
    Ok(())
}

/// Writes one frame.
///
/// # Errors
/// Returns an error if the message can't be encoded or the stream is closed.
pub async fn write<Message>(stream: &mut SendStream, message: &Message) -> Result<(), FrameError>
where
    Message: Serialize,
{
    let mut buffer = Vec::new();
    encode(message, &mut buffer)?;
    write_bytes(stream, &buffer).await
}

/// Writes a buffer of encoded frames.
///
/// # Errors
/// Returns an error if the stream is closed.
pub async fn write_bytes(stream: &mut SendStream, buffer: &[u8]) -> Result<(), FrameError> {
    stream
        .write_all(buffer)
        .await
        .map_err(|cause| FrameError::Closed(cause.to_string()))
}

/// Reads one frame.
///
/// # Errors
/// Returns an error if the stream is closed, the frame is too large, or its bytes
/// are not a `Message`.
pub async fn read<Message>(stream: &mut RecvStream) -> Result<Message, FrameError>
where
    Message: DeserializeOwned,
{
    let body = read_bytes(stream).await?;
    decode(&body)
}

/// Decodes a frame's body.
///
/// # Errors
/// Returns an error if the bytes are not a `Message`.
pub fn decode<Message>(body: &[u8]) -> Result<Message, FrameError>
where
    Message: DeserializeOwned,
{
    postcard::from_bytes(body).map_err(FrameError::Malformed)
}

/// Reads the body of one frame.
///
/// # Errors
/// Returns an error if the stream is closed or the frame is too large.
pub async fn read_bytes(stream: &mut RecvStream) -> Result<Vec<u8>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    let closed = |cause: quinn::ReadExactError| FrameError::Closed(cause.to_string());
    stream.read_exact(&mut length).await.map_err(closed)?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    let mut body = Vec::new();
    // Memory is taken as bytes arrive: a length alone takes none.
    while body.len() < length {
        let start = body.len();
        body.resize(length.min(start + CHUNK_BYTES), 0);
        stream
            .read_exact(&mut body[start..])
            .await
            .map_err(closed)?;
    }
    Ok(body)
}

//! Framing of messages between daemons: a protocol version byte followed by a bincode message. Rows of
//! the store have the same form with a version of their own.
//!
//! One HTTP/2 stream carries one request and its reply. The end of the stream ends the message, so
//! a truncated stream is an HTTP/2 error and never a shorter message.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::{Serialize, de::DeserializeOwned};
use std::{future::poll_fn, ops::RangeInclusive, sync::Arc};

/// Protocol version, the first byte of every frame. Frames of other versions are answered with an
/// error.
pub const PROTOCOL_VERSION: u8 = 8;

/// Largest frame, in bytes: fits a routing table of 256,000 partitions, but not one of a million.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Version of the rows that are written to the store. Rows outlive the daemons, and during an upgrade
/// daemons of both versions read them, so it does not follow the protocol version.
const ROW_VERSION: u8 = 3;
/// Versions of rows that are read. Their layout is the same; up to version 4 they had the protocol
/// version.
const ROW_VERSIONS: RangeInclusive<u8> = ROW_VERSION..=4;

/// Why a frame could not be encoded, decoded or transferred.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The frame has no bytes, not even a version.
    #[error("the message is empty")]
    Empty,
    /// The frame has another protocol version.
    #[error("protocol version {0} is not supported; this daemon uses version {PROTOCOL_VERSION}")]
    Version(u8),
    /// The frame exceeds [`MAX_MESSAGE_BYTES`].
    #[error("the message is too large: {0} bytes, limit {MAX_MESSAGE_BYTES}")]
    TooLarge(usize),
    /// The bytes are not exactly one message of the expected type.
    #[error("the message is malformed: {0}")]
    Malformed(Arc<str>),
    /// The stream was reset, closed early or timed out.
    #[error("the stream failed: {0}")]
    StreamFailed(Arc<str>),
}

impl From<h2::Error> for CodecError {
    fn from(e: h2::Error) -> Self {
        Self::StreamFailed(e.to_string().into())
    }
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes `message` as a frame.
///
/// # Errors
/// [`CodecError::TooLarge`] if the frame exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    encode_frame(PROTOCOL_VERSION, message)
}

/// Encodes a row for the store.
///
/// # Errors
/// [`CodecError::TooLarge`] if the row exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode_row<T: Serialize>(row: &T) -> Result<Bytes, CodecError> {
    encode_frame(ROW_VERSION, row)
}

fn encode_frame<T: Serialize>(version: u8, message: &T) -> Result<Bytes, CodecError> {
    let mut frame = vec![version];
    bincode::serde::encode_into_std_write(message, &mut frame, config())
        .map_err(|e| CodecError::Malformed(e.to_string().into()))?;
    if frame.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(frame.len()));
    }
    Ok(frame.into())
}

/// Decodes a frame.
///
/// # Errors
/// [`CodecError`] unless it is exactly one message of this protocol version.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, CodecError> {
    decode_frame(PROTOCOL_VERSION..=PROTOCOL_VERSION, frame)
}

/// Decodes a row of the store, also one that a daemon of an earlier version has written.
///
/// # Errors
/// [`CodecError`] unless it is exactly one row of a version with the present layout.
pub fn decode_row<T: DeserializeOwned>(row: &[u8]) -> Result<T, CodecError> {
    decode_frame(ROW_VERSIONS, row)
}

fn decode_frame<T: DeserializeOwned>(
    versions: RangeInclusive<u8>,
    frame: &[u8],
) -> Result<T, CodecError> {
    let (&version, body) = frame.split_first().ok_or(CodecError::Empty)?;
    if !versions.contains(&version) {
        return Err(CodecError::Version(version));
    }
    if frame.len() > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLarge(frame.len()));
    }
    let (message, used) = bincode::serde::decode_from_slice(body, config())
        .map_err(|e| CodecError::Malformed(e.to_string().into()))?;
    if used != body.len() {
        return Err(CodecError::Malformed(
            "trailing bytes after the message".into(),
        ));
    }
    Ok(message)
}

/// Reads a whole frame from a stream.
///
/// # Errors
/// [`CodecError::StreamFailed`] if the stream fails, [`CodecError::TooLarge`] beyond
/// [`MAX_MESSAGE_BYTES`].
pub async fn read_frame(stream: &mut RecvStream) -> Result<Bytes, CodecError> {
    let mut frame = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk?;
        stream.flow_control().release_capacity(chunk.len())?;
        if frame.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(CodecError::TooLarge(frame.len() + chunk.len()));
        }
        frame.extend_from_slice(&chunk);
    }
    Ok(frame.freeze())
}

/// Writes a whole frame to a stream and ends the stream, as flow control permits.
///
/// # Errors
/// [`CodecError::StreamFailed`] if the stream fails.
pub async fn write_frame(
    stream: &mut SendStream<Bytes>,
    mut frame: Bytes,
) -> Result<(), CodecError> {
    while !frame.is_empty() {
        stream.reserve_capacity(frame.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx))
            .await
            .ok_or_else(|| CodecError::StreamFailed("the stream was closed".into()))??;
        let part = frame.split_to(capacity.min(frame.len()));
        stream.send_data(part, frame.is_empty())?;
    }
    Ok(())
}

//! Reads bodies completely, within a limit.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tanagergauge_core::body_buffer::BodyBuffer;

/// Why a body was not read completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CollectError {
    /// It exceeds its limit.
    TooLarge,
    /// It broke off.
    Broke,
}

/// Reads a body completely.
///
/// # Errors
/// The body exceeds `limit_bytes` or broke off.
pub async fn collect(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, CollectError> {
    let mut buffer = BodyBuffer::new(limit_bytes);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.map_err(|_| CollectError::Broke)?.into_data() else { continue };
        buffer.push(&piece).map_err(|_| CollectError::TooLarge)?;
    }
    Ok(buffer.into_bytes())
}

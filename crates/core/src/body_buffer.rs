//! Collects a body of bounded size from the pieces in which it arrives.

use bytes::{Bytes, BytesMut};

/// The body is larger than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTooLarge;

/// The part of a body that has arrived.
///
/// Pieces are copied into one buffer: kept one by one, pieces of a few bytes would each hold on to a part
/// of the read buffer that they came in.
#[derive(Clone, Debug)]
pub struct BodyBuffer {
    bytes: BytesMut,
    /// Never less than the length of `bytes`.
    limit_bytes: usize,
}

impl BodyBuffer {
    /// An empty body that may grow to `limit_bytes`.
    pub fn new(limit_bytes: usize) -> BodyBuffer {
        BodyBuffer { bytes: BytesMut::new(), limit_bytes }
    }

    /// Adds a piece.
    ///
    /// # Errors
    /// The body would exceed its limit; it stays as it was.
    pub fn push(&mut self, piece: &[u8]) -> Result<(), BodyTooLarge> {
        if piece.len() > self.limit_bytes - self.bytes.len() {
            return Err(BodyTooLarge);
        }
        self.bytes.extend_from_slice(piece);
        Ok(())
    }

    /// Memory that the body takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// The whole body.
    pub fn into_bytes(self) -> Bytes {
        self.bytes.freeze()
    }
}

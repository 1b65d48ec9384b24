//! Memory for bodies that are read completely before they are passed on.
//!
//! A faulty endpoint or caller may send bytes without end on many connections at once. Each body has its
//! own limit; together they stay within [`MAX_BYTES`].

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tanagergauge_core::body_buffer::BodyBuffer;

/// Memory that all large bodies take at most, in bytes. The smallest machines have 110 MB.
const MAX_BYTES: usize = 24 << 20;
/// Memory of each body that does not count, in bytes: what faulty endpoints take is not missing for usual
/// requests and responses.
const FREE_BYTES: usize = 64 << 10;

/// Memory that large bodies take at present.
#[derive(Debug, Default)]
pub(crate) struct BodyMemory {
    used_bytes: AtomicUsize,
}

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CollectError {
    /// It exceeds its limit.
    TooLarge,
    /// Other large bodies take the memory.
    NoMemory,
    /// It broke off.
    Broke,
}

/// A share of the memory, given back on drop.
#[derive(Debug)]
struct Reservation {
    memory: Arc<BodyMemory>,
    bytes: usize,
}

/// A body and the memory that was reserved for it.
struct ReservedBody {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Reservation {
    /// Raises the reservation to `bytes`.
    fn grow_to(&mut self, bytes: usize) -> Result<(), CollectError> {
        let more = bytes.saturating_sub(self.bytes);
        let used = self.memory.used_bytes.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes += more;
        if used > MAX_BYTES { Err(CollectError::NoMemory) } else { Ok(()) }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body completely. Its memory stays reserved until the last copy of the bytes is dropped. What
/// follows an error stays unread.
///
/// # Errors
/// The body exceeds `limit_bytes`, takes more memory than there is, or broke off.
pub(crate) async fn collect(
    memory: &Arc<BodyMemory>,
    body: &mut Incoming,
    limit_bytes: usize,
) -> Result<Bytes, CollectError> {
    let mut reservation = Reservation { memory: Arc::clone(memory), bytes: 0 };
    let mut buffer = BodyBuffer::new(limit_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Broke)?;
        let Ok(piece) = frame.into_data() else { continue };
        buffer.push(&piece).map_err(|_| CollectError::TooLarge)?;
        reservation.grow_to(buffer.memory_bytes().saturating_sub(FREE_BYTES))?;
    }
    let bytes = buffer.into_bytes();
    if reservation.bytes == 0 {
        return Ok(bytes);
    }
    Ok(Bytes::from_owner(ReservedBody { bytes, _reservation: reservation }))
}

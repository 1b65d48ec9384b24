//! Monotonic and wall-clock time in milliseconds.

use std::{
    sync::OnceLock,
    time::{Duration, SystemTime},
};

use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Monotonic milliseconds since the first call in this process.
pub(crate) fn now_ms() -> u64 {
    elapsed_ms(*START.get_or_init(Instant::now))
}

/// Whole milliseconds elapsed since `since`.
pub(crate) fn elapsed_ms(since: Instant) -> u64 {
    as_ms(since.elapsed())
}

/// A duration in whole milliseconds.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Unix time in milliseconds, for timestamps that instances exchange; it may jump.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, as_ms)
}

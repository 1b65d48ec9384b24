//! The clocks of the process.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts with the process's state.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that reads 0 now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the clock was started; never goes back.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Wall-clock time in milliseconds of Unix time; may go back.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

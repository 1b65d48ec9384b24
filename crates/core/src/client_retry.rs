//! Which callers were refused before.
//!
//! Load pattern: a burst of callers of whom a part was asked to come again. A caller may come
//! back to any instance, so that only the time it has left tells that it waited.

use crate::admission_controller::RETRY_AFTER_RANGE;

/// What the callers of one route had as their time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientRetryDetector {
    /// Longest time left under `limit_ms`, in milliseconds.
    longest_ms: f64,
    /// The route's limit, in milliseconds.
    limit_ms: u64,
}

impl ClientRetryDetector {
    /// Whether a caller with that much time left was refused before: it lacks at least the
    /// shortest wait that the gate asks for. Callers' times differ by less.
    pub fn is_retry(&mut self, left_ms: f64, limit_ms: u64) -> bool {
        if limit_ms != self.limit_ms {
            *self = ClientRetryDetector { longest_ms: 0.0, limit_ms };
        }
        self.longest_ms = self.longest_ms.max(left_ms);
        let (earliest, _) = RETRY_AFTER_RANGE;
        left_ms < (1.0 - earliest) * self.longest_ms
    }
}

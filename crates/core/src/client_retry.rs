//! Detection of callers that retry after a refusal.
//!
//! After a burst some callers are refused and told when to retry. They may retry at any instance,
//! so that only the time left to their deadline shows that they have waited.

use crate::admission_controller::RETRY_AFTER_RANGE;

/// Detects retries on one route by comparing callers' remaining time with the longest seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientRetryDetector {
    /// Longest remaining time seen since `limit_ms` was set, in milliseconds.
    longest_ms: f64,
    /// Timeout of the route, in milliseconds.
    limit_ms: u64,
}

impl ClientRetryDetector {
    /// Whether a caller with `left_ms` until its deadline was probably refused before: it has lost
    /// at least the shortest wait that admission control asks for. The remaining times of first
    /// attempts differ by less. A changed limit starts the detection anew.
    pub fn is_retry(&mut self, left_ms: f64, limit_ms: u64) -> bool {
        if limit_ms != self.limit_ms {
            *self = ClientRetryDetector { longest_ms: 0.0, limit_ms };
        }
        self.longest_ms = self.longest_ms.max(left_ms);
        let (earliest, _) = RETRY_AFTER_RANGE;
        left_ms < (1.0 - earliest) * self.longest_ms
    }
}

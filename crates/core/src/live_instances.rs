//! Number of instances that share what is divided among all.

/// How long a larger number is kept, in milliseconds: as long as lists of instances may differ.
const KEPT_MS: u64 = 20_000;

/// The largest number of instances that reported lately. A hub that has just taken over has not heard
/// of all, and an instance that believed it would take more than its share.
#[derive(Clone, Copy, Debug, Default)]
pub struct LiveInstances {
    count: usize,
    /// When `count` was last reported.
    reported_ms: u64,
}

impl LiveInstances {
    /// Records how many instances a report covers.
    pub fn record(&mut self, count: usize, now_ms: u64) {
        let is_over = now_ms.saturating_sub(self.reported_ms) >= KEPT_MS;
        if count >= self.count || is_over {
            *self = LiveInstances { count, reported_ms: now_ms };
        }
    }

    /// Number of instances; 0 before the first report.
    pub fn count(self) -> usize {
        self.count
    }
}

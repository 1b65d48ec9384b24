//! Pauses after orders that failed.

/// Length of the first pause, in milliseconds; it doubles with each further failure.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Maximum length of a pause, in milliseconds. Servers that cannot be had usually can within seconds, and a
/// call costs little.
const MAX_PAUSE_MS: u64 = 4_000;

/// Pause after failed orders for one zone and kind.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff {
    /// Length of the last pause, in milliseconds; 0 after a success.
    pause_ms: u64,
    until_ms: u64,
}

impl Backoff {
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS);
        self.until_ms = now_ms.saturating_add(self.pause_ms);
    }

    pub(super) fn record_success(&mut self) {
        *self = Backoff::default();
    }

    /// Starts a pause that no failed call caused, unless a later one is in force.
    pub(super) fn pause_until(&mut self, until_ms: u64) {
        self.until_ms = self.until_ms.max(until_ms);
    }

    /// Whether the last order failed.
    pub(super) fn is_failing(&self) -> bool {
        self.pause_ms > 0
    }

    /// Whether an order may be sent.
    pub(super) fn allows(&self, now_ms: u64) -> bool {
        now_ms >= self.until_ms
    }
}

//! How a service's engines are divided between streams with tight pauses and long prompts.
//!
//! Load pattern: a burst of long prompts keeps every engine reading, and each step that reads
//! is several times as long as one that does not, so that all streams with tight pauses are
//! late. Instances tell each other their demand, so that all come to about the same division.

use crate::load_reports::Load;

/// Time over which demand is averaged, in milliseconds.
const AVERAGE_MS: f64 = 2_500.0;
/// Streams that an engine kept for them should carry, as a part of its slots.
const QUIET_FILL: f64 = 0.6;
/// Most such streams, whatever the slots.
const QUIET_STREAMS: f64 = 32.0;
/// Part of its time that an engine kept for reading should read.
const READING_FILL: f64 = 0.75;
/// Least and greatest part of the engines that is kept for streams while there are any.
const QUIET_SHARES: (f64, f64) = (0.12, 0.7);

/// Demand that callers bring to one instance for one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Prompt tokens to read, by the averaging time.
    reading_tokens: f64,
    /// Streams with tight pauses, averaged.
    quiet_streams: f64,
    /// The same, now.
    quiet_now: u32,
    updated_ms: u64,
}

impl Demand {
    /// A prompt came that an engine has to read that much of.
    pub fn reads(&mut self, tokens: u32, now_ms: u64) {
        self.update(now_ms);
        self.reading_tokens += f64::from(tokens);
    }

    /// A stream with tight pauses began or ended.
    pub fn quiet_stream(&mut self, began: bool, now_ms: u64) {
        self.update(now_ms);
        self.quiet_now = if began { self.quiet_now + 1 } else { self.quiet_now.saturating_sub(1) };
    }

    /// Whether there were streams with tight pauses of late.
    pub fn has_quiet_streams(&self) -> bool {
        self.quiet_now > 0 || self.quiet_streams > 0.01
    }

    /// The demand as it is told to other instances.
    pub fn told(&self) -> Load {
        let running = self.quiet_streams.round() as u32;
        Load { running, prefill_tokens: self.reading_tokens as u32 }
    }

    /// Part of the engines that should be kept for streams with tight pauses, by this instance's
    /// demand and that of all others.
    pub fn reserved_share(&self, others: Load, slots: u32, prefill_tokens_per_ms: f64) -> f64 {
        let streams_each = (f64::from(slots) * QUIET_FILL).clamp(1.0, QUIET_STREAMS);
        let quiet = (self.quiet_streams + f64::from(others.running)) / streams_each;
        let reading_tokens = self.reading_tokens + f64::from(others.prefill_tokens);
        let reading = reading_tokens / AVERAGE_MS / (prefill_tokens_per_ms * READING_FILL);
        if quiet + reading <= 0.0 {
            return QUIET_SHARES.0;
        }
        (quiet / (quiet + reading)).clamp(QUIET_SHARES.0, QUIET_SHARES.1)
    }

    fn update(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept = (-passed_ms / AVERAGE_MS).exp();
        self.reading_tokens *= kept;
        self.quiet_streams += (1.0 - kept) * (f64::from(self.quiet_now) - self.quiet_streams);
        self.updated_ms = now_ms;
    }
}

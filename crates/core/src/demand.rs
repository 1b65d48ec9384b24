//! How a service's engines are divided between latency-sensitive streams and long prompts.
//!
//! A burst of long prompts keeps every engine in prefill. An engine step with prefill takes
//! several times as long as one without, so all latency-sensitive streams would miss their event
//! gap goals. Instances exchange their demand, so that all of them arrive at about the same
//! division.

use crate::load_reports::Load;

/// Time constant of the moving averages, in milliseconds.
pub(crate) const AVERAGE_MS: f64 = 2_500.0;
/// Latency-sensitive streams that a reserved engine should carry, as a fraction of its slots.
const STREAM_UTILIZATION: f64 = 0.6;
/// Maximum number of such streams, whatever the slots.
const MAX_STREAMS_PER_ENGINE: f64 = 32.0;
/// Fraction of its time that an engine for long prompts should spend in prefill.
const PREFILL_UTILIZATION: f64 = 0.75;
/// Engines reserved for streams, as a multiple of what their average number needs.
const STREAM_HEADROOM: f64 = 1.05;
/// Bounds of the share of engines that is reserved while there are latency-sensitive streams.
const RESERVED_SHARE_RANGE: (f64, f64) = (0.12, 0.7);

/// Demand for one service at one instance.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Prompt tokens to prefill, as a sum that decays with [`AVERAGE_MS`].
    prefill_tokens: f64,
    /// Latency-sensitive streams, as a moving average.
    average_streams: f64,
    /// Latency-sensitive streams in progress.
    streams: u32,
    updated_ms: u64,
}

impl Demand {
    /// Records a prompt of which an engine has to prefill that many tokens.
    pub fn record_prefill(&mut self, tokens: u32, now_ms: u64) {
        self.update(now_ms);
        self.prefill_tokens += f64::from(tokens);
    }

    /// Records that a latency-sensitive stream began.
    pub fn record_stream_start(&mut self, now_ms: u64) {
        self.update(now_ms);
        self.streams += 1;
    }

    /// Records that a latency-sensitive stream ended.
    pub fn record_stream_end(&mut self, now_ms: u64) {
        self.update(now_ms);
        self.streams = self.streams.saturating_sub(1);
    }

    /// Whether there are latency-sensitive streams, or were until recently.
    pub fn has_latency_sensitive_streams(&self) -> bool {
        self.streams > 0 || self.average_streams > 0.01
    }

    /// The demand as it is reported to peers: `running` holds the average number of
    /// latency-sensitive streams.
    pub fn as_load(&self) -> Load {
        let running = self.average_streams.round() as u32;
        Load { running, prefill_tokens: self.prefill_tokens as u32 }
    }

    /// Share of the engines that should be reserved for latency-sensitive streams, from the
    /// demand at this instance and the sum of that at its peers; `slots` are those of an engine.
    pub fn reserved_share(&self, peers: Load, slots: u32, prefill_tokens_per_ms: f64) -> f64 {
        let stream_engines = self.stream_engines(peers, slots);
        let prefill_tokens = self.prefill_tokens + f64::from(peers.prefill_tokens);
        let prefill_engines =
            prefill_tokens / AVERAGE_MS / (prefill_tokens_per_ms * PREFILL_UTILIZATION);
        if stream_engines + prefill_engines <= 0.0 {
            return RESERVED_SHARE_RANGE.0;
        }
        (stream_engines / (stream_engines + prefill_engines))
            .clamp(RESERVED_SHARE_RANGE.0, RESERVED_SHARE_RANGE.1)
    }

    /// Share of `engines` engines that latency-sensitive streams need, whatever remains for prompts: these
    /// are less urgent, and their wait grows with the utilization of their engines, while streams do not
    /// slow each other down.
    pub fn needed_share(&self, peers: Load, slots: u32, engines: usize) -> f64 {
        let needed = self.stream_engines(peers, slots) * STREAM_HEADROOM;
        let (least, most) = RESERVED_SHARE_RANGE;
        (needed / (engines as f64).max(1.0)).clamp(least, most)
    }

    /// Engines that the latency-sensitive streams of this instance and its peers fill.
    fn stream_engines(&self, peers: Load, slots: u32) -> f64 {
        let streams_per_engine =
            (f64::from(slots) * STREAM_UTILIZATION).clamp(1.0, MAX_STREAMS_PER_ENGINE);
        (self.average_streams + f64::from(peers.running)) / streams_per_engine
    }

    /// Lets the averages follow the time that has passed.
    pub(crate) fn update(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let decay = (-elapsed_ms / AVERAGE_MS).exp();
        self.prefill_tokens *= decay;
        self.average_streams += (1.0 - decay) * (f64::from(self.streams) - self.average_streams);
        self.updated_ms = now_ms;
    }
}

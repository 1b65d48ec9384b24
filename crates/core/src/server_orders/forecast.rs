//! How many servers the demand for a service needs, with room for a burst.
//!
//! New servers serve only after their boot time, so a burst has to be carried by what is there. The forecast
//! is therefore what a burst on top of the usual demand needs, or what the demand needs now if that is more.

use std::collections::VecDeque;

/// Interval between samples, in milliseconds.
const SAMPLE_INTERVAL_MS: u64 = 1_000;
/// Samples of which the usual demand is the median. A burst of 9 s does not move the median, and neither does
/// an oscillation with a period of 11 s, of which the samples cover three whole periods.
const USUAL_SAMPLES: usize = 33;
/// Samples from which on the usual demand is known. With fewer, prompts that no server has cached yet are
/// most of the demand.
const LEAST_SAMPLES: usize = 12;
/// Prompts in a burst, as a multiple of the usual rate.
const BURST_FACTOR: f64 = 2.7;
/// Fraction of its time that an engine spends in prefill at the peak of a burst. Beyond it, the wait for
/// prefill grows out of proportion.
const PREFILL_UTILIZATION: f64 = 0.85;
/// Fraction of the slots in use at the peak of a burst, in the mean over all engines.
const SLOT_UTILIZATION: f64 = 0.6;

/// Demand for a service at one moment, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandSample {
    /// Prompt tokens that engines have to prefill, for each millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Latency-sensitive streams in progress.
    pub latency_sensitive_streams: f64,
    /// Requests in progress, these streams included.
    pub running: f64,
}

/// What one engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineCapacity {
    /// Prompt tokens that it prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// Forecast for one service.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    /// One for each second, oldest first, from the first one with demand on.
    samples: VecDeque<DemandSample>,
    sampled_ms: Option<u64>,
}

impl Forecast {
    /// Records the demand as it is now. Samples that come sooner than a second after the last one replace it.
    pub fn record(&mut self, sample: DemandSample, now_ms: u64) {
        let sample = sample.bounded();
        if self.samples.is_empty() && sample == DemandSample::default() {
            return;
        }
        let is_due =
            self.sampled_ms.is_none_or(|it| now_ms.saturating_sub(it) >= SAMPLE_INTERVAL_MS);
        if is_due {
            self.sampled_ms = Some(now_ms);
            self.samples.push_back(sample);
            if self.samples.len() > USUAL_SAMPLES {
                self.samples.pop_front();
            }
        } else if let Some(newest) = self.samples.back_mut() {
            *newest = sample;
        }
    }

    /// Whether there was any demand.
    pub fn has_demand(&self) -> bool {
        !self.samples.is_empty()
    }

    /// The usual demand; `None` before it is known.
    pub fn usual(&self) -> Option<DemandSample> {
        (self.samples.len() >= LEAST_SAMPLES).then(|| DemandSample {
            prefill_tokens_per_ms: self.median(|it| it.prefill_tokens_per_ms),
            latency_sensitive_streams: self.median(|it| it.latency_sensitive_streams),
            running: self.median(|it| it.running),
        })
    }

    /// The demand that servers have to carry: that at the peak of a burst or that of now, whichever is more.
    /// `None` before any demand.
    pub fn peak(&self) -> Option<DemandSample> {
        let now = *self.samples.back()?;
        Some(self.usual().map_or(now, |usual| usual.in_burst().max(now)))
    }

    /// Number of engines that the demand needs; `None` before any demand.
    pub fn servers_needed(&self, engine: EngineCapacity) -> Option<u32> {
        let peak = self.peak()?;
        let prefill_rate = engine.prefill_tokens_per_ms.max(f64::MIN_POSITIVE);
        let slots = f64::from(engine.slots.max(1)) * SLOT_UTILIZATION;
        // Streams and long prompts are kept on different engines, so that their needs add up.
        let for_prefill = peak.prefill_tokens_per_ms / (prefill_rate * PREFILL_UTILIZATION);
        let for_streams = peak.latency_sensitive_streams / slots;
        let for_slots = peak.running / slots;
        Some((for_prefill + for_streams).max(for_slots).ceil() as u32)
    }

    fn median(&self, value: impl Fn(&DemandSample) -> f64) -> f64 {
        let mut values: Vec<f64> = self.samples.iter().map(value).collect();
        values.sort_unstable_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }
}

impl DemandSample {
    /// Bursts are of prompts, whose requests are those that are no latency-sensitive streams.
    fn in_burst(self) -> DemandSample {
        let prompts = (self.running - self.latency_sensitive_streams).max(0.0);
        DemandSample {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms * BURST_FACTOR,
            latency_sensitive_streams: self.latency_sensitive_streams,
            running: self.running + prompts * (BURST_FACTOR - 1.0),
        }
    }

    fn max(self, other: DemandSample) -> DemandSample {
        DemandSample {
            prefill_tokens_per_ms: self.prefill_tokens_per_ms.max(other.prefill_tokens_per_ms),
            latency_sensitive_streams: self
                .latency_sensitive_streams
                .max(other.latency_sensitive_streams),
            running: self.running.max(other.running),
        }
    }

    /// Without values that are not finite or negative.
    fn bounded(self) -> DemandSample {
        let bounded = |it: f64| if it.is_finite() { it.clamp(0.0, MAX_DEMAND) } else { 0.0 };
        DemandSample {
            prefill_tokens_per_ms: bounded(self.prefill_tokens_per_ms),
            latency_sensitive_streams: bounded(self.latency_sensitive_streams),
            running: bounded(self.running),
        }
    }
}

/// Bound of each value of a sample, far beyond any fleet.
const MAX_DEMAND: f64 = 1e9;

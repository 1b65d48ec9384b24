//! Request rates of shared prompt parts.
//!
//! Needed for hot parts: when one part gets, say, a quarter of the traffic, a single engine cannot
//! prefill it all, so the part must be spread over several engines.

use std::collections::HashMap;

/// Half-life of a request's weight, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;

/// Number of parts above which those with a negligible count are dropped.
const MAX_PARTS: usize = 1_024;

/// Decaying request counts of the shared parts of one service.
#[derive(Clone, Debug, Default)]
pub struct PartPopularity {
    total: DecayingCount,
    by_part: HashMap<u64, DecayingCount>,
}

/// A count with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCount {
    value: f64,
    /// Time at which `value` holds.
    at_ms: u64,
}

impl PartPopularity {
    /// Records a request that contains the part.
    pub fn record_request(&mut self, part: u64, now_ms: u64) {
        self.total.add(now_ms);
        self.by_part.entry(part).or_default().add(now_ms);
        if self.by_part.len() > MAX_PARTS {
            self.by_part.retain(|_, it| it.decayed(now_ms) > 0.1);
        }
    }

    /// Fraction of recent requests that contain the part; 0 if it was requested at most once.
    pub fn request_share(&self, part: u64, now_ms: u64) -> f64 {
        let requests = self.by_part.get(&part).map_or(0.0, |it| it.decayed(now_ms));
        // A rate cannot be inferred from a single request.
        (requests - 1.0).max(0.0) / self.total.decayed(now_ms).max(1.0)
    }
}

impl DecayingCount {
    fn decayed(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-passed_ms / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now_ms: u64) {
        self.value = self.decayed(now_ms) + 1.0;
        self.at_ms = now_ms;
    }
}

//! How much slower or faster one engine is than those of its service together.

use super::{gossip::SpeedGossip, peer_readings::Sum, reading::Reading};

/// Greatest factor between the times of an engine and those of its service.
const MAX_FACTOR: f64 = 16.0;
/// Greatest factor of one sample: a longer time was caused by something else.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// Most samples that the value stands for, so that a lasting change shows soon.
const MAX_WEIGHT: f64 = 48.0;
/// Half-life of the samples' weight, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;
/// Number of samples of the service's value that are taken together with those of the engine.
const PRIOR_WEIGHT: f64 = 8.0;

/// Samples of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSpeed {
    /// Mean logarithm of the engine's times as multiples of its service's.
    ln: f64,
    /// Number of samples; older ones count less.
    weight: f64,
    updated_ms: u64,
    /// What peers learned.
    peers: Sum,
    /// Factor by which its times are longer than its service's, kept for decisions.
    factor: f64,
}

impl Default for EndpointSpeed {
    fn default() -> EndpointSpeed {
        EndpointSpeed { ln: 0.0, weight: 0.0, updated_ms: 0, peers: Sum::default(), factor: 1.0 }
    }
}

impl EndpointSpeed {
    /// Records a time as a multiple of what its service's speeds give.
    pub fn record(&mut self, multiple: f64, weight: f64, now_ms: u64) {
        if !(multiple.is_finite() && multiple > 0.0) {
            return;
        }
        let most_ln = MAX_SAMPLE_FACTOR.ln();
        let sample_ln = multiple.ln().clamp(-most_ln, most_ln);
        self.weight = (self.weight(now_ms) + weight).min(MAX_WEIGHT);
        self.ln += weight / self.weight * (sample_ln - self.ln);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.update_factor(now_ms);
    }

    /// Replaces what peers learned and tell by `key`.
    pub(crate) fn set_peers(&mut self, key: u32, gossip: &SpeedGossip, now_ms: u64) {
        self.peers = gossip.sum(key);
        self.update_factor(now_ms);
    }

    /// Factor by which the engine's times are longer than its service's. Without samples it is 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// What this instance learned, as it is told to peers; `None` if it learned nothing.
    pub fn reading(&self, key: u32, now_ms: u64) -> Option<Reading> {
        self.local(now_ms).reading(key)
    }

    /// What this instance learned.
    fn local(&self, now_ms: u64) -> Sum {
        Sum::of(self.ln, self.weight(now_ms))
    }

    /// Lets the factor approach 1 as its samples age.
    pub(crate) fn update_factor(&mut self, now_ms: u64) {
        let most_ln = MAX_FACTOR.ln();
        let mean_ln = self.local(now_ms).and(self.peers).mean_ln(PRIOR_WEIGHT);
        self.factor = mean_ln.clamp(-most_ln, most_ln).exp();
    }

    fn weight(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-elapsed_ms / HALF_LIFE_MS).exp2()
    }
}

//! Prediction of response lengths, learned by service class, client account and model.

use indexmap::IndexMap;

use crate::{Name, sheet::OutputPrior};

/// Histogram buckets per doubling of the length.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of histogram buckets; the last holds all lengths above 2^15.75 tokens.
const BUCKETS: usize = 64;

/// Factor by which all counts decay at each observation.
const DECAY: f32 = 0.995;

/// Weight of a prior, in observations.
const PRIOR_WEIGHT: f32 = 5.0;

/// Factor by which all counts decay when a change of the distribution is detected.
const DECAY_ON_CHANGE: f32 = 0.05;

/// Deviation of an observation's quantile from 0.5 that the change detector ignores (the slack of
/// its CUSUM test).
const CHANGE_SLACK: f32 = 0.15;

/// Cumulative deviation at which a change is detected (the threshold of the CUSUM test).
const CHANGE_THRESHOLD: f32 = 3.0;

/// Standard normal quantiles at the midpoints of the ten deciles.
const DECILE_MIDPOINTS: [f64; 10] =
    [-1.645, -1.036, -0.674, -0.385, -0.126, 0.126, 0.385, 0.674, 1.036, 1.645];

/// Standard normal quantile of the 95th percentile.
const NORMAL_P95: f64 = 1.645;

/// Maximum number of keys with a histogram of their own.
const MAX_KEYS: usize = 4096;

/// Keys examined to evict the least recently observed of them.
const EVICTION_SAMPLE: usize = 16;

/// Requests whose response lengths are learned together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// Service class.
    pub class: Name,
    /// Client account.
    pub account: Name,
    /// Model, with or without an adapter.
    pub model: Name,
}

/// Predicts response lengths from a histogram for each key. A key without one uses its class's
/// histogram, and a class without one the prior.
#[derive(Clone, Debug, Default)]
pub struct LengthPredictor {
    /// At most [`MAX_KEYS`].
    keys: IndexMap<LengthKey, KeyEntry>,
    classes: IndexMap<Name, LengthHistogram>,
    observations: u64,
    /// Position at which the next eviction starts.
    cursor: usize,
}

#[derive(Clone, Debug)]
struct KeyEntry {
    lengths: LengthHistogram,
    /// Sequence number of the key's last observation.
    last_observation: u64,
}

impl LengthPredictor {
    /// Returns the given quantile (0 to 1) of the response length, in tokens.
    pub fn predict(&self, key: &LengthKey, prior: &OutputPrior, quantile: f32) -> u32 {
        let own = self.keys.get(key).map(|it| &it.lengths);
        match own.or_else(|| self.classes.get(&key.class)) {
            Some(it) => it.quantile(quantile),
            None => LengthHistogram::from_prior(prior).quantile(quantile),
        }
    }

    /// Records the length of a complete response. Returns whether the key's lengths were detected
    /// to have changed.
    pub fn observe(&mut self, key: &LengthKey, prior: &OutputPrior, tokens: u32) -> bool {
        self.observations += 1;
        let class = self
            .classes
            .entry(key.class.clone())
            .or_insert_with(|| LengthHistogram::from_prior(prior));
        if !self.keys.contains_key(key) {
            let lengths = class.scaled_to_prior();
            self.evict_if_full();
            self.keys.insert(key.clone(), KeyEntry { lengths, last_observation: 0 });
        }
        if let Some(class) = self.classes.get_mut(&key.class) {
            class.observe(tokens);
        }
        let Some(entry) = self.keys.get_mut(key) else { return false };
        entry.last_observation = self.observations;
        entry.lengths.observe(tokens)
    }

    /// Number of keys with a histogram of their own.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing was observed yet.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn evict_if_full(&mut self) {
        if self.keys.len() < MAX_KEYS {
            return;
        }
        self.cursor = (self.cursor + EVICTION_SAMPLE) % self.keys.len();
        let sample = (0..EVICTION_SAMPLE).map(|it| (self.cursor + it) % self.keys.len());
        if let Some(at) = sample.min_by_key(|&at| self.keys[at].last_observation) {
            self.keys.swap_remove_index(at);
        }
    }
}

/// Histogram of lengths with logarithmic buckets and decaying counts.
#[derive(Clone, Debug)]
struct LengthHistogram {
    counts: [f32; BUCKETS],
    /// Sum of `counts`.
    weight: f32,
    /// Cumulative deviation of the observations' quantiles above 0.5.
    upward_deviation: f32,
    /// Cumulative deviation of the observations' quantiles below 0.5.
    downward_deviation: f32,
}

impl LengthHistogram {
    /// Log-normal distribution with the median and 95th percentile of the prior.
    fn from_prior(prior: &OutputPrior) -> LengthHistogram {
        let mut lengths = LengthHistogram {
            counts: [0.0; BUCKETS],
            weight: 0.0,
            upward_deviation: 0.0,
            downward_deviation: 0.0,
        };
        let median = f64::from(prior.p50_tokens.max(1));
        let spread = (f64::from(prior.p95_tokens.max(1)) / median).max(1.0).ln() / NORMAL_P95;
        for quantile in DECILE_MIDPOINTS {
            let tokens = median * (spread * quantile).exp();
            lengths.counts[bucket(tokens)] += PRIOR_WEIGHT / DECILE_MIDPOINTS.len() as f32;
        }
        lengths.weight = PRIOR_WEIGHT;
        lengths
    }

    /// A copy scaled down to the weight of a prior.
    fn scaled_to_prior(&self) -> LengthHistogram {
        let factor = PRIOR_WEIGHT / self.weight.max(PRIOR_WEIGHT);
        let counts = self.counts.map(|it| it * factor);
        LengthHistogram {
            counts,
            weight: self.weight * factor,
            upward_deviation: 0.0,
            downward_deviation: 0.0,
        }
    }

    /// Records a length. Returns whether a change of the distribution is detected, in which case
    /// the earlier counts lose most of their weight.
    fn observe(&mut self, tokens: u32) -> bool {
        let at = bucket(f64::from(tokens));
        let changed = self.detect_change(at);
        let decay = if changed { DECAY_ON_CHANGE } else { DECAY };
        for it in &mut self.counts {
            *it *= decay;
        }
        self.counts[at] += 1.0;
        self.weight = self.weight * decay + 1.0;
        changed
    }

    /// Two-sided CUSUM test on the quantile of an observation in bucket `at`. Returns whether a
    /// change is detected, and then starts anew.
    fn detect_change(&mut self, at: usize) -> bool {
        let below: f32 = self.counts[..at].iter().sum();
        let quantile = (below + self.counts[at] / 2.0) / self.weight.max(f32::MIN_POSITIVE);
        self.upward_deviation = (self.upward_deviation + quantile - 0.5 - CHANGE_SLACK).max(0.0);
        self.downward_deviation =
            (self.downward_deviation + 0.5 - quantile - CHANGE_SLACK).max(0.0);
        let changed = self.upward_deviation.max(self.downward_deviation) > CHANGE_THRESHOLD;
        if changed {
            self.upward_deviation = 0.0;
            self.downward_deviation = 0.0;
        }
        changed
    }

    fn quantile(&self, quantile: f32) -> u32 {
        let target = self.weight * quantile;
        let mut sum = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= target && *count > 0.0 {
                return upper_edge(at);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn bucket(tokens: f64) -> usize {
    ((tokens.max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> u32 {
    ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2().floor() as u32
}

//! Output lengths, learned by class, account and model.

use indexmap::IndexMap;

use crate::{Name, sheet::OutputPrior};

/// Buckets for each doubling of the length.
const BUCKETS_A_DOUBLING: f64 = 4.0;

/// Number of buckets; the last holds all lengths above 2^15.75 tokens.
const BUCKETS: usize = 64;

/// What is left of a count at the next observation.
const MEMORY: f32 = 0.995;

/// Observations that a prior counts for.
const PRIOR_WEIGHT: f32 = 5.0;

/// What is left of the counts when a change was found.
const LEFT_AFTER_CHANGE: f32 = 0.05;

/// Deviation of an observation's rank from the middle that counts as none.
const CHANGE_SLACK: f32 = 0.15;

/// Sum of deviations at which a change is found.
const CHANGE_LIMIT: f32 = 3.0;

/// Normal deviates at the middles of ten equal parts of probability.
const DECILES: [f64; 10] =
    [-1.645, -1.036, -0.674, -0.385, -0.126, 0.126, 0.385, 0.674, 1.036, 1.645];

/// Normal deviate of the 95th percentile.
const DEVIATE_P95: f64 = 1.645;

/// Most combinations of class, account and model that are kept apart.
const KEY_LIMIT: usize = 4096;

/// Combinations looked at to find one to forget.
const FORGET_SAMPLE: usize = 16;

/// What lengths are learned by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// The class.
    pub class: Name,
    /// The client account.
    pub account: Name,
    /// The model.
    pub model: Name,
}

/// Predicts output lengths.
#[derive(Clone, Debug, Default)]
pub struct LengthPredictor {
    /// At most [`KEY_LIMIT`].
    keys: IndexMap<LengthKey, Learned>,
    classes: IndexMap<Name, Lengths>,
    observations: u64,
    cursor: usize,
}

#[derive(Clone, Debug)]
struct Learned {
    lengths: Lengths,
    /// Number of the observation that touched it last.
    touched: u64,
}

impl LengthPredictor {
    /// The length that a part `quantile` (0 to 1) of the answers stays below, in tokens.
    pub fn predict(&self, key: &LengthKey, prior: &OutputPrior, quantile: f32) -> u32 {
        let learned = self.keys.get(key).map(|it| &it.lengths);
        match learned.or_else(|| self.classes.get(&key.class)) {
            Some(it) => it.quantile(quantile),
            None => Lengths::expected(prior).quantile(quantile),
        }
    }

    /// Learns from a whole answer. Returns whether lengths were found to have changed.
    pub fn observe(&mut self, key: &LengthKey, prior: &OutputPrior, tokens: u32) -> bool {
        self.observations += 1;
        let class =
            self.classes.entry(key.class.clone()).or_insert_with(|| Lengths::expected(prior));
        if !self.keys.contains_key(key) {
            let lengths = class.as_prior();
            self.forget_one();
            self.keys.insert(key.clone(), Learned { lengths, touched: 0 });
        }
        if let Some(class) = self.classes.get_mut(&key.class) {
            class.observe(tokens);
        }
        let Some(learned) = self.keys.get_mut(key) else { return false };
        learned.touched = self.observations;
        learned.lengths.observe(tokens)
    }

    /// Number of combinations kept apart.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether nothing was learned yet.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn forget_one(&mut self) {
        if self.keys.len() < KEY_LIMIT {
            return;
        }
        self.cursor = (self.cursor + FORGET_SAMPLE) % self.keys.len();
        let sample = (0..FORGET_SAMPLE).map(|it| (self.cursor + it) % self.keys.len());
        if let Some(at) = sample.min_by_key(|&at| self.keys[at].touched) {
            self.keys.swap_remove_index(at);
        }
    }
}

/// Decaying counts of lengths in logarithmic buckets.
#[derive(Clone, Debug)]
struct Lengths {
    counts: [f32; BUCKETS],
    /// Sum of [`Lengths::counts`].
    weight: f32,
    /// Sum of upward deviations from the expected ranks.
    longer: f32,
    /// Sum of downward deviations from the expected ranks.
    shorter: f32,
}

impl Lengths {
    fn expected(prior: &OutputPrior) -> Lengths {
        let mut lengths =
            Lengths { counts: [0.0; BUCKETS], weight: 0.0, longer: 0.0, shorter: 0.0 };
        let median = f64::from(prior.p50_tokens.max(1));
        let spread = (f64::from(prior.p95_tokens.max(1)) / median).max(1.0).ln() / DEVIATE_P95;
        for deviate in DECILES {
            let tokens = median * (spread * deviate).exp();
            lengths.counts[bucket(tokens)] += PRIOR_WEIGHT / DECILES.len() as f32;
        }
        lengths.weight = PRIOR_WEIGHT;
        lengths
    }

    fn as_prior(&self) -> Lengths {
        let factor = PRIOR_WEIGHT / self.weight.max(PRIOR_WEIGHT);
        let counts = self.counts.map(|it| it * factor);
        Lengths { counts, weight: self.weight * factor, longer: 0.0, shorter: 0.0 }
    }

    fn observe(&mut self, tokens: u32) -> bool {
        let at = bucket(f64::from(tokens));
        let changed = self.deviates(at);
        let left = if changed { LEFT_AFTER_CHANGE } else { MEMORY };
        for it in &mut self.counts {
            *it *= left;
        }
        self.counts[at] += 1.0;
        self.weight = self.weight * left + 1.0;
        changed
    }

    /// Cumulative sums of the observations' ranks, upward and downward.
    fn deviates(&mut self, at: usize) -> bool {
        let below: f32 = self.counts[..at].iter().sum();
        let rank = (below + self.counts[at] / 2.0) / self.weight.max(f32::MIN_POSITIVE);
        self.longer = (self.longer + rank - 0.5 - CHANGE_SLACK).max(0.0);
        self.shorter = (self.shorter + 0.5 - rank - CHANGE_SLACK).max(0.0);
        let changed = self.longer.max(self.shorter) > CHANGE_LIMIT;
        if changed {
            self.longer = 0.0;
            self.shorter = 0.0;
        }
        changed
    }

    fn quantile(&self, quantile: f32) -> u32 {
        let wanted = self.weight * quantile;
        let mut sum = 0.0;
        for (at, count) in self.counts.iter().enumerate() {
            sum += count;
            if sum >= wanted && *count > 0.0 {
                return upper_edge(at);
            }
        }
        upper_edge(BUCKETS - 1)
    }
}

fn bucket(tokens: f64) -> usize {
    ((tokens.max(1.0).log2() * BUCKETS_A_DOUBLING) as usize).min(BUCKETS - 1)
}

fn upper_edge(bucket: usize) -> u32 {
    ((bucket + 1) as f64 / BUCKETS_A_DOUBLING).exp2().floor() as u32
}

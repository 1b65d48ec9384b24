//! What peers told of learned values.

use std::collections::HashMap;

use super::reading::{MOMENTARY, Reading};
use crate::Name;

/// Readings that were not told again for this long are dropped, in milliseconds.
const MAX_AGE_MS: u64 = 60_000;
/// How long a momentary reading holds, in milliseconds.
const MOMENTARY_MAX_AGE_MS: u64 = 300;
/// Time after which sums are computed anew, in milliseconds.
const EXPIRE_INTERVAL_MS: u64 = 5_000;
/// Most senders, and most readings of each. 300 instances and 2,100 endpoints stay below both.
const MAX_SENDERS: usize = 128;
const MAX_READINGS: usize = 8_192;

/// Readings by sender, and their sums.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerReadings {
    by_sender: HashMap<Name, HashMap<u32, Received>>,
    sums: HashMap<u32, Sum>,
    /// Latest momentary reading of each key, and who sent it.
    momentary: HashMap<u32, (Name, Received)>,
    expired_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    reading: Reading,
    received_ms: u64,
}

/// Sum over several readings of the same key.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Sum {
    /// Sum of the logarithms, each times its weight.
    ln: f64,
    /// Sum of the weights.
    pub(super) weight: f64,
}

impl PeerReadings {
    /// Takes over readings of a peer.
    pub(super) fn put(&mut self, sender: &Name, readings: &[Reading], now_ms: u64) {
        if self.by_sender.len() >= MAX_SENDERS && !self.by_sender.contains_key(sender) {
            return;
        }
        let known = self.by_sender.entry(sender.clone()).or_default();
        for reading in readings {
            let received = Received { reading: *reading, received_ms: now_ms };
            if reading.weight == MOMENTARY {
                if self.momentary.len() < MAX_READINGS || self.momentary.contains_key(&reading.key)
                {
                    self.momentary.insert(reading.key, (sender.clone(), received));
                }
                continue;
            }
            if known.len() >= MAX_READINGS && !known.contains_key(&reading.key) {
                continue;
            }
            let replaced = known.insert(reading.key, received);
            let sum = self.sums.entry(reading.key).or_default();
            if let Some(it) = replaced {
                sum.add(it.reading, -1.0);
            }
            sum.add(*reading, 1.0);
        }
    }

    /// Drops readings that were not told again for long.
    pub(super) fn expire(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.expired_ms) < EXPIRE_INTERVAL_MS {
            return;
        }
        self.expired_ms = now_ms;
        self.sums.clear();
        self.momentary.retain(|_, (_, it)| !it.is_older_than(MOMENTARY_MAX_AGE_MS, now_ms));
        for readings in self.by_sender.values_mut() {
            readings.retain(|_, it| !it.is_older_than(MAX_AGE_MS, now_ms));
            for (key, it) in readings {
                self.sums.entry(*key).or_default().add(it.reading, 1.0);
            }
        }
        self.by_sender.retain(|_, it| !it.is_empty());
    }

    /// Sum of the readings of a key that all peers told.
    pub(super) fn sum(&self, key: u32) -> Sum {
        self.sums.get(&key).copied().unwrap_or_default()
    }

    /// Sum without the readings of one peer.
    pub(super) fn sum_excluding(&self, key: u32, sender: &str) -> Sum {
        let mut sum = self.sum(key);
        if let Some(it) = self.by_sender.get(sender).and_then(|it| it.get(&key)) {
            sum.add(it.reading, -1.0);
        }
        sum
    }

    /// Latest momentary value of a key, except that of `excluded`.
    pub(super) fn momentary(&self, key: u32, excluded: &str, now_ms: u64) -> Option<f64> {
        let (sender, it) = self.momentary.get(&key)?;
        let is_current = **sender != *excluded && !it.is_older_than(MOMENTARY_MAX_AGE_MS, now_ms);
        is_current.then(|| it.reading.ln().exp())
    }

    /// Keys of all readings that stand for samples.
    pub(super) fn keys(&self) -> impl Iterator<Item = u32> {
        self.sums.keys().copied()
    }

    /// Keys of all momentary readings.
    pub(super) fn momentary_keys(&self) -> impl Iterator<Item = u32> {
        self.momentary.keys().copied()
    }

    /// Number of readings of all peers.
    pub(super) fn len(&self) -> usize {
        self.by_sender.values().map(HashMap::len).sum()
    }
}

impl Received {
    fn is_older_than(&self, age_ms: u64, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_ms) >= age_ms
    }
}

impl Sum {
    /// The reading that stands for all; `None` if there is none.
    pub(super) fn reading(self, key: u32) -> Option<Reading> {
        if self.weight < 0.5 {
            return None;
        }
        Reading::new(key, self.mean_ln(0.0).exp(), self.weight)
    }

    /// Sum of one value that stands for some samples.
    pub(super) fn of(ln: f64, weight: f64) -> Sum {
        Sum { ln: ln * weight, weight }
    }

    /// Adds a reading, or takes it away with the sign -1.
    pub(super) fn add(&mut self, reading: Reading, sign: f64) {
        let weight = f64::from(reading.weight) * sign;
        self.ln += reading.ln() * weight;
        self.weight = (self.weight + weight).max(0.0);
    }

    /// The sum of both.
    pub(super) fn and(self, other: Sum) -> Sum {
        Sum { ln: self.ln + other.ln, weight: self.weight + other.weight }
    }

    /// Average of the logarithms, taken together with `prior_weight` samples of 0.
    pub(super) fn mean_ln(self, prior_weight: f64) -> f64 {
        let weight = self.weight + prior_weight;
        if weight < 0.5 { 0.0 } else { self.ln / weight }
    }
}

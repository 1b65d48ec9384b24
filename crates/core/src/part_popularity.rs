//! Which shared parts are asked for most.
//!
//! Load pattern: one part gets a quarter of the traffic, more than one engine can read.

use std::collections::HashMap;

/// Time in which a request is forgotten by half, in milliseconds.
const HALF_LIFE_MS: f64 = 2_500.0;
/// Most parts that are counted; beyond it those asked for least are dropped.
const PART_LIMIT: usize = 1_024;

/// How often shared parts were asked for of late.
#[derive(Clone, Debug, Default)]
pub struct PartPopularity {
    total: Count,
    by_part: HashMap<u64, Count>,
}

/// A count that decays.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    value: f64,
    at_ms: u64,
}

impl PartPopularity {
    /// A part was asked for.
    pub fn record_request(&mut self, part: u64, now_ms: u64) {
        self.total.add(now_ms);
        self.by_part.entry(part).or_default().add(now_ms);
        if self.by_part.len() > PART_LIMIT {
            self.by_part.retain(|_, it| it.now(now_ms) > 0.1);
        }
    }

    /// Share of all requests that ask for a part; 0 for one that was asked for once or never.
    pub fn request_share(&self, part: u64, now_ms: u64) -> f64 {
        let requests = self.by_part.get(&part).map_or(0.0, |it| it.now(now_ms));
        // One request says nothing of the rate of others.
        (requests - 1.0).max(0.0) / self.total.now(now_ms).max(1.0)
    }
}

impl Count {
    fn now(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.value * (-passed_ms / HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now_ms: u64) {
        self.value = self.now(now_ms) + 1.0;
        self.at_ms = now_ms;
    }
}

//! Load reports of an engine, which may lag.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use serde::Serialize;
use tokio::time::Instant;

use crate::{
    engine::{Leaving, Shared, lock},
    platform::unix_ms,
};

/// Period of the load samples, in milliseconds.
const SAMPLE_MS: u64 = 50;

/// Window over which the pace in a load report is taken, in milliseconds.
const PACE_WINDOW_MS: u64 = 1_000;

/// A load report.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Runs with a slot.
    pub running: usize,
    /// Runs without.
    pub waiting: usize,
    /// Slots.
    pub slots: usize,
    /// Tokens generated in the last second.
    pub tokens_per_s: f64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The moment it speaks of.
    pub as_of_unix_ms: u64,
}

/// The load of the last seconds.
#[derive(Default)]
pub(crate) struct LoadHistory {
    /// Oldest first.
    samples: VecDeque<Sample>,
}

struct Sample {
    at: Instant,
    generated_tokens: u64,
    load: Load,
}

impl LoadHistory {
    fn push(&mut self, sample: Sample, keep: Duration) {
        let now = sample.at;
        self.samples.push_back(sample);
        while self.samples.front().is_some_and(|it| now - it.at > keep) {
            self.samples.pop_front();
        }
    }

    fn tokens_per_s(&self, generated_tokens: u64, now: Instant) -> f64 {
        let window = Duration::from_millis(PACE_WINDOW_MS);
        let Some(start) = self.samples.iter().find(|it| now - it.at <= window) else {
            return 0.0;
        };
        let seconds = (now - start.at).as_secs_f64().max(0.001);
        (generated_tokens - start.generated_tokens) as f64 / seconds
    }

    fn before(&self, lag: Duration) -> Option<Load> {
        let now = Instant::now();
        let late = self.samples.iter().rev().find(|it| now - it.at >= lag);
        late.or(self.samples.front()).map(|it| it.load)
    }
}

/// The load at this moment.
pub(crate) fn now(shared: &Shared) -> Load {
    let (running, waiting, generated_tokens) = {
        let batch = shared.batch();
        (batch.running.len(), batch.waiting.len(), batch.generated_tokens)
    };
    Load {
        running,
        waiting,
        slots: shared.settings.slots,
        tokens_per_s: lock(&shared.history).tokens_per_s(generated_tokens, Instant::now()),
        leaving: shared.faults.borrow().leaving != Leaving::No,
        as_of_unix_ms: unix_ms(),
    }
}

/// The load as a report tells it, late by the lag.
pub(crate) fn reported(shared: &Shared) -> Load {
    let lag_ms = shared.settings.load_lag_ms;
    if lag_ms == 0 {
        return now(shared);
    }
    lock(&shared.history).before(Duration::from_millis(lag_ms)).unwrap_or_else(|| now(shared))
}

/// Takes samples until the engine is dropped.
pub(crate) async fn sample(shared: Arc<Shared>) {
    let keep = Duration::from_millis(PACE_WINDOW_MS + 2 * shared.settings.load_lag_ms);
    loop {
        let load = now(&shared);
        let generated_tokens = shared.batch().generated_tokens;
        let sample = Sample { at: Instant::now(), generated_tokens, load };
        lock(&shared.history).push(sample, keep);
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
    }
}

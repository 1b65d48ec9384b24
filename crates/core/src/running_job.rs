//! Jobs that were sent and have not ended.

use indexmap::IndexMap;

use crate::{Name, endpoint_pool::EndpointIndex, job::Job};

/// A job that was sent.
#[derive(Clone, Debug)]
pub(crate) struct RunningJob {
    pub(crate) job: Job,
    pub(crate) endpoint: EndpointIndex,
    pub(crate) sent_ms: u64,
    pub(crate) charged_tokens: u64,
    pub(crate) tokens: u32,
    /// When tokens last came.
    pub(crate) heard_ms: u64,
}

/// Sums over the running jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningTotals {
    /// Running jobs by target, and in that by rank.
    pub(crate) counts: IndexMap<Name, Vec<u32>>,
    /// Sum of the times at which they were sent.
    pub(crate) sent_ms: u64,
}

impl RunningTotals {
    pub(crate) fn add(&mut self, running: &RunningJob) {
        self.sent_ms += running.sent_ms;
        let rank = running.job.tier_rank;
        let counts = self.counts.entry(running.job.target.clone()).or_default();
        if counts.len() <= rank {
            counts.resize(rank + 1, 0);
        }
        counts[rank] += 1;
    }

    pub(crate) fn remove(&mut self, running: &RunningJob) {
        self.sent_ms -= running.sent_ms;
        if let Some(counts) = self.counts.get_mut(&running.job.target) {
            counts[running.job.tier_rank] -= 1;
        }
    }

    /// Jobs of a tier and those above it that run for a target.
    pub(crate) fn count_up_to_rank(&self, target: &Name, rank: usize) -> u32 {
        let counts = self.counts.get(target);
        counts.map_or(0, |it| it.iter().take(rank + 1).sum())
    }
}

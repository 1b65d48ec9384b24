//! Jobs that were dispatched and have not ended.

use indexmap::IndexMap;

use crate::{Name, endpoint_pool::EndpointIndex, job::Job};

/// A job that runs at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct RunningJob {
    pub(crate) job: Job,
    pub(crate) endpoint: EndpointIndex,
    pub(crate) sent_ms: u64,
    /// Expected output tokens, charged to the client account at dispatch together with the cost of
    /// the prompt; corrected to the actual number at the end.
    pub(crate) charged_tokens: u64,
    /// Tokens received from this attempt so far.
    pub(crate) tokens: u32,
    /// When tokens were last received; before the first, when the job was sent.
    pub(crate) last_token_ms: u64,
}

/// Totals over all running jobs, updated as jobs start and end.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunningTotals {
    /// Number of running jobs by target and tier rank.
    pub(crate) counts: IndexMap<Name, Vec<u32>>,
    /// Sum of the dispatch times, in milliseconds, from which the mean age is computed.
    pub(crate) sent_ms_sum: u64,
}

impl RunningTotals {
    pub(crate) fn add(&mut self, running: &RunningJob) {
        self.sent_ms_sum += running.sent_ms;
        let rank = running.job.tier_rank;
        let counts = self.counts.entry(running.job.target.clone()).or_default();
        if counts.len() <= rank {
            counts.resize(rank + 1, 0);
        }
        counts[rank] += 1;
    }

    pub(crate) fn remove(&mut self, running: &RunningJob) {
        self.sent_ms_sum -= running.sent_ms;
        if let Some(counts) = self.counts.get_mut(&running.job.target) {
            counts[running.job.tier_rank] -= 1;
        }
    }

    /// Number of running jobs for a target in the tier of that rank and in higher tiers.
    pub(crate) fn count_up_to_rank(&self, target: &Name, rank: usize) -> u32 {
        let counts = self.counts.get(target);
        counts.map_or(0, |it| it.iter().take(rank + 1).sum())
    }
}

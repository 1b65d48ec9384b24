//! Quarantine and admission of submitted jobs, up to their place in the queue.

use super::{Scheduler, dispatch::tokens_left};
use crate::{
    Reason,
    admission::{Admission, Capacity, RequestDemand, admit, service_ms},
    crash_attribution::blamed_part,
    job::Job,
    quarantine::QuarantineVerdict,
    queue::{Entry, PushOutcome},
    request_fingerprints::RequestFingerprints,
};

/// Number of prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// Assumed bytes of a prompt per token.
const PROMPT_TOKEN_BYTES: usize = 4;

impl Scheduler {
    pub(super) fn verdict(
        &mut self,
        fingerprints: &RequestFingerprints,
        now_ms: u64,
    ) -> QuarantineVerdict {
        if !self.settings.switches.quarantine {
            return QuarantineVerdict::Run;
        }
        match blamed_part(&self.quarantine, fingerprints, now_ms) {
            Some(index) => self.quarantine.part_verdict(fingerprints.parts[index], now_ms),
            None => self.quarantine.check(fingerprints.request, now_ms),
        }
    }

    /// Starts trials of suspect jobs that are due, unless their verdict has changed.
    pub(super) fn start_pending_trials(&mut self, now_ms: u64, random: u64) {
        while let Some(at) = self.pending_trials.iter().position(|it| it.0 <= now_ms) {
            let (_, id) = self.pending_trials.swap_remove(at);
            let Some(job) = self.waiting.swap_remove(&id) else { continue };
            match self.verdict(&job.fingerprints, now_ms) {
                QuarantineVerdict::Run => self.enqueue(job, now_ms, random),
                QuarantineVerdict::Trial { from_ms } if from_ms <= now_ms => {
                    self.quarantine.trial_began(job.fingerprints.request);
                    self.enqueue(Job { is_suspect: true, ..job }, now_ms, random);
                }
                QuarantineVerdict::Trial { from_ms } => {
                    self.pending_trials.push((from_ms, id));
                    self.waiting.insert(id, job);
                }
                QuarantineVerdict::Wait { .. } | QuarantineVerdict::Quarantined { .. } => {
                    self.refuse(&job, Reason::Quarantined, 0, now_ms, random);
                }
            }
        }
    }

    pub(super) fn enqueue(&mut self, job: Job, now_ms: u64, random: u64) {
        let tokens = tokens_left(&self.predictor, &job);
        let capacity = self.capacity(&job, now_ms);
        let service_ms = match self.admission(&job, tokens, &capacity, now_ms) {
            Admission::Admit { service_ms } => service_ms,
            Admission::Refuse { late_ms } => {
                self.refuse(&job, Reason::Infeasible, late_ms, now_ms, random);
                return;
            }
        };
        let prompt_tokens = job.bytes.div_ceil(PROMPT_TOKEN_BYTES) as u64;
        let entry = Entry {
            id: job.id,
            class: job.class.clone(),
            tier_rank: job.tier_rank,
            floor_percent: job.floor_percent,
            account: job.account.clone(),
            target: job.target.clone(),
            bytes: job.bytes,
            arrived_ms: job.arrived_ms,
            start_by_ms: job.deadline_ms.saturating_sub(service_ms),
            first_token_start_by_ms: job.first_token_start_by_ms(&capacity),
            cost_tokens: u64::from(tokens) + prompt_tokens / PROMPT_TOKENS_PER_OUTPUT_TOKEN,
            is_resumption: job.delivered_tokens > 0,
        };
        match self.queue.push(entry, &self.shares, now_ms) {
            PushOutcome::Queued => drop(self.waiting.insert(job.id, job)),
            PushOutcome::QueuedWithEvictions(evicted) => {
                self.waiting.insert(job.id, job);
                evicted.iter().for_each(|it| self.refuse_evicted(it, now_ms, random));
            }
            PushOutcome::Refused(reason) => self.refuse(&job, reason, 0, now_ms, random),
        }
    }

    pub(super) fn admission(
        &self,
        job: &Job,
        tokens: u32,
        capacity: &Capacity,
        now_ms: u64,
    ) -> Admission {
        let left_ms = job.deadline_ms.saturating_sub(now_ms);
        if job.delivered_tokens > 0 {
            return Admission::Admit { service_ms: 0 };
        }
        if !self.settings.switches.admission || capacity.slots == 0 {
            return Admission::Admit { service_ms: service_ms(tokens, capacity).min(left_ms) };
        }
        let demand = RequestDemand {
            left_ms,
            output_tokens: tokens,
            ahead_tokens: self.queue.ahead_tokens(job.tier_rank, &job.target),
            mean_output_tokens: tokens,
        };
        admit(&demand, capacity)
    }

    /// Capacity for a job. Other instances are assumed to hold as many slots as this one.
    pub(super) fn capacity(&self, job: &Job, now_ms: u64) -> Capacity {
        let busy_slots = self.running_totals.count_up_to_rank(&job.target, job.tier_rank);
        self.endpoints.capacity(&job.target, busy_slots * self.instances, self.instances, now_ms)
    }
}

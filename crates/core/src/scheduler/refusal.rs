//! Refusals of jobs, with the time after which a client may retry.

use super::{Scheduler, dispatch::tokens_left};
use crate::{
    Reason,
    action::{Action, Refused},
    admission::slot_interval_ms,
    job::Job,
    queue::Entry,
};

impl Scheduler {
    pub(super) fn expire(&mut self, entry: &Entry, now_ms: u64, random: u64) -> Action {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::DeadlinePassed, 0, now_ms, random);
        }
        self.next_refusal(now_ms)
    }

    pub(super) fn refuse_evicted(&mut self, entry: &Entry, now_ms: u64, random: u64) {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::QueueFull, 0, now_ms, random);
        }
    }

    pub(super) fn next_refusal(&mut self, now_ms: u64) -> Action {
        match self.refusals.pop() {
            Some((id, refused)) => Action::Refuse(id, refused),
            None => Action::Wait { until_ms: now_ms },
        }
    }

    pub(super) fn refuse(
        &mut self,
        job: &Job,
        reason: Reason,
        late_ms: u64,
        now_ms: u64,
        random: u64,
    ) {
        let capacity = self.capacity(job, now_ms);
        let tokens = tokens_left(&self.predictor, job);
        let interval_ms = slot_interval_ms(tokens, &capacity);
        let pacer = &mut self.retry_after;
        let retry_after_ms =
            pacer.retry_after_ms(&job.target, late_ms, interval_ms, now_ms, random);
        let refused = Refused { reason, retry_after_ms: Some(retry_after_ms) };
        self.refusals.push((job.id, refused));
    }
}

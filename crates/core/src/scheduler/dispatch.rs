//! Choice of the endpoint for a job from the queue, and start of its attempt.

use std::borrow::Cow;

use super::Scheduler;
use crate::{
    action::{Action, Refused},
    choice::{Choice, Request},
    endpoint_pool::EndpointIndex,
    job::Job,
    length_predictor::LengthPredictor,
    queue::{DispatchRule, Entry},
    running_job::RunningJob,
    sheet::TargetKind,
};

/// Assumed bytes of a response per token, including the overhead of stream events.
const RESPONSE_TOKEN_BYTES: usize = 200;

/// How long an endpoint that was sent a suspect request gets no other suspect, in milliseconds, so
/// that a crash can be attributed to one request.
const TRIAL_EXCLUSIVE_MS: u64 = 1_000;

/// A request that was queued longer than this counts as having waited for a slot, in milliseconds.
const SLOT_WAIT_MS: u64 = 30;

impl Scheduler {
    pub(super) fn dispatch(
        &mut self,
        entry: &Entry,
        rule: DispatchRule,
        now_ms: u64,
        random: u64,
    ) -> Action {
        let Some(job) = self.waiting.swap_remove(&entry.id) else {
            return Action::Wait { until_ms: now_ms };
        };
        let tokens = tokens_left(&self.predictor, &job);
        let cached = if self.settings.switches.prefixes {
            self.prefixes.lookup(&job.prefix)
        } else {
            Vec::new()
        };
        let avoid = excluded_endpoints(&job, &self.trial_endpoints);
        let request = Request { cached: &cached, ..request(&job, rule, tokens, &avoid, now_ms) };
        let endpoint = match self.endpoints.choose(&request, now_ms, random) {
            Choice::Send(endpoint) => endpoint,
            Choice::Wait => {
                self.enqueue(job, now_ms, random);
                return Action::Wait { until_ms: now_ms + 1 };
            }
            Choice::Refuse(reason) => {
                return Action::Refuse(job.id, Refused { reason, retry_after_ms: None });
            }
        };
        let waited = now_ms.saturating_sub(job.arrived_ms) > SLOT_WAIT_MS;
        self.endpoints.record_wait(&job.target, job.tier_rank, waited);
        self.endpoints.record_sent(endpoint, now_ms);
        if job.is_suspect {
            self.trial_endpoints.push((endpoint, now_ms + TRIAL_EXCLUSIVE_MS));
        }
        self.prefixes.insert(endpoint, &job.prefix);
        self.shares.charge(&job.account, entry.cost_tokens as f64, now_ms);
        let charged_tokens = u64::from(tokens);
        let id = job.id;
        let running = RunningJob {
            job,
            endpoint,
            sent_ms: now_ms,
            charged_tokens,
            tokens: 0,
            last_token_ms: now_ms,
        };
        self.running_totals.add(&running);
        self.running.insert(id, running);
        Action::Send(id, endpoint)
    }

    /// Estimated mean time from one freed slot to the next over all running jobs, in milliseconds;
    /// at least 1.
    pub(super) fn slot_interval_ms(&self, now_ms: u64) -> u64 {
        let total_age_ms =
            (self.running.len() as u64 * now_ms).saturating_sub(self.running_totals.sent_ms_sum);
        let count = self.running.len().max(1) as u64;
        // On average, jobs are halfway through at any moment, so they last twice their mean age.
        (2 * total_age_ms / count / count).max(1)
    }
}

/// Expected number of tokens that a job still has to generate.
pub(super) fn tokens_left(predictor: &LengthPredictor, job: &Job) -> u32 {
    if job.kind == TargetKind::Service {
        return 0;
    }
    let expected = predictor.predict(&job.length_key(), &job.prior, 0.5);
    let tokens = job.limit_tokens.map_or(expected, |limit| limit.min(expected));
    tokens.saturating_sub(job.delivered_tokens).max(1)
}

/// Endpoints that a job must not be sent to: those where it failed and, for a suspect, those that
/// have just been sent another suspect.
pub(super) fn excluded_endpoints<'a>(
    job: &'a Job,
    trial_endpoints: &[(EndpointIndex, u64)],
) -> Cow<'a, [EndpointIndex]> {
    if !job.is_suspect || trial_endpoints.is_empty() {
        return Cow::Borrowed(&job.avoid);
    }
    let on_trial = trial_endpoints.iter().map(|it| it.0);
    Cow::Owned(job.avoid.iter().copied().chain(on_trial).collect())
}

pub(super) fn request<'a>(
    job: &'a Job,
    rule: DispatchRule,
    output_tokens: u32,
    avoid: &'a [EndpointIndex],
    now_ms: u64,
) -> Request<'a> {
    Request {
        target: &job.target,
        tier_rank: job.tier_rank,
        rule,
        output_tokens,
        request_bytes: job.bytes,
        answer_bytes: output_tokens as usize * RESPONSE_TOKEN_BYTES,
        waited_ms: now_ms.saturating_sub(job.arrived_ms),
        first_token_ms: job.first_token_ms,
        cached: &[],
        avoid,
    }
}

//! Scheduler of one instance: combines admission, queue, endpoint choice, retries and quarantine.

use std::borrow::Cow;

use indexmap::IndexMap;

use crate::{
    Name, Reason,
    account_shares::AccountShares,
    action::{Action, Refused},
    admission::{
        Admission, Capacity, RequestDemand, RetryAfterPacer, admit, service_ms, slot_interval_ms,
    },
    choice::{Choice, Request},
    crash_attribution::blamed_part,
    endpoint_pool::{EndpointIndex, EndpointPool, EndpointPoolSettings},
    job::{AttemptEnd, Job},
    length_predictor::LengthPredictor,
    prefix_index::PrefixIndex,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, QuarantineVerdict},
    queue::{
        DispatchContext, DispatchRule, Entry, NextEntry, PushOutcome, Queue, QueueSettings,
        RoomQuery,
    },
    request_fingerprints::RequestFingerprints,
    retry_budget::{RetryBudget, RetryBudgetSettings},
    running_job::{RunningJob, RunningTotals},
    sheet::{Sheet, TargetKind},
};

/// Number of prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// Assumed bytes of a prompt per token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// Assumed bytes of a response per token, including the overhead of stream events.
const RESPONSE_TOKEN_BYTES: usize = 200;

/// Minimum gap in a running stream that is recorded as one slow token, in milliseconds.
const STALL_MS: u64 = 1_000;

/// Half-life of the accounts' token usage, in milliseconds.
const USAGE_HALF_LIFE_MS: u64 = 20_000;

/// Interval between outlier checks, in milliseconds.
const OUTLIER_CHECK_INTERVAL_MS: u64 = 250;

/// How long an endpoint that was sent a suspect request gets no other suspect, in milliseconds, so
/// that a crash can be attributed to one request.
const TRIAL_EXCLUSIVE_MS: u64 = 1_000;

/// A request that was queued longer than this counts as having waited for a slot, in milliseconds.
const SLOT_WAIT_MS: u64 = 30;

/// Maximum number of prompt blocks in the prefix index, about 100 bytes each.
const MAX_PREFIX_BLOCKS: usize = 40_000;

/// Settings of a [`Scheduler`].
#[derive(Clone, Debug, Default)]
pub struct SchedulerSettings {
    /// Limits and mechanisms of the queue.
    pub queue: QueueSettings,
    /// Choice of endpoints.
    pub endpoints: EndpointPoolSettings,
    /// Retry budget.
    pub retry: RetryBudgetSettings,
    /// Quarantine of requests that crash endpoints.
    pub quarantine: QuarantineSettings,
    /// Optional mechanisms.
    pub switches: Switches,
}

/// Mechanisms that can be switched off to measure the effect of each.
#[derive(Clone, Copy, Debug)]
pub struct Switches {
    /// Refuse requests that cannot meet their deadline.
    pub admission: bool,
    /// Prefer endpoints that have a prompt's prefix cached.
    pub prefixes: bool,
    /// Limit retries by a budget.
    pub retry_budget: bool,
    /// Quarantine requests that crash endpoints.
    pub quarantine: bool,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches { admission: true, prefixes: true, retry_budget: true, quarantine: true }
    }
}

/// Scheduler of one instance. It holds all state, performs no I/O and is driven by its caller.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    /// Endpoints known to this instance.
    pub endpoints: EndpointPool,
    /// Usage of the client accounts.
    pub shares: AccountShares,
    /// Requests suspected of crashing endpoints, and those quarantined for it.
    pub quarantine: Quarantine,
    queue: Queue,
    predictor: LengthPredictor,
    prefixes: PrefixIndex,
    retry_after: RetryAfterPacer,
    retry_budget: RetryBudget,
    /// Jobs that are queued or whose trial is pending, by job id.
    waiting: IndexMap<u64, Job>,
    /// Suspect jobs that wait to be run again on trial, as (earliest start, job id).
    pending_trials: Vec<(u64, u64)>,
    /// By job id.
    running: IndexMap<u64, RunningJob>,
    running_totals: RunningTotals,
    /// Endpoints that were sent a suspect job, and until when they get no other.
    trial_endpoints: Vec<(EndpointIndex, u64)>,
    /// Refusals not yet returned by [`Scheduler::next_action`], by job id.
    refusals: Vec<(u64, Refused)>,
    /// Number of instances that share the endpoints; at least 1.
    instances: u32,
    /// Time of the last outlier check.
    last_outlier_check_ms: u64,
}

impl Scheduler {
    /// Creates the scheduler of an instance in the given availability zone.
    pub fn new(
        settings: SchedulerSettings,
        sheet: &Sheet,
        instance: &Name,
        availability_zone: &str,
        now_ms: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            endpoints: EndpointPool::new(sheet, availability_zone, settings.endpoints.clone()),
            shares: AccountShares::new(USAGE_HALF_LIFE_MS),
            quarantine: Quarantine::new(instance.clone(), settings.quarantine),
            queue: Queue::new(settings.queue.clone()),
            predictor: LengthPredictor::default(),
            prefixes: PrefixIndex::new(MAX_PREFIX_BLOCKS),
            retry_after: RetryAfterPacer::default(),
            retry_budget: RetryBudget::new(settings.retry, now_ms),
            waiting: IndexMap::new(),
            pending_trials: Vec::new(),
            running: IndexMap::new(),
            running_totals: RunningTotals::default(),
            trial_endpoints: Vec::new(),
            refusals: Vec::new(),
            instances: 1,
            last_outlier_check_ms: now_ms,
            settings,
        };
        scheduler.update(sheet);
        scheduler
    }

    /// Applies a new sheet.
    pub fn update(&mut self, sheet: &Sheet) {
        self.endpoints.update(sheet);
        for it in &sheet.client_accounts {
            self.shares.set_share(&it.name, it.share_percent);
        }
    }

    /// Sets the number of instances that share the endpoints.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// Number of requests that this instance has at each endpoint.
    pub fn own_requests(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.endpoints.endpoints().map(|(_, it)| (&it.name, it.load.local()))
    }

    /// Number of jobs that are queued or whose trial is pending.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Number of jobs that run at an endpoint.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Submits a job. [`Scheduler::next_action`] later returns where to send it or why it is
    /// refused.
    pub fn submit(&mut self, job: Job, now_ms: u64, random: u64) {
        self.endpoints.record_demand(&job.target, job.tier_rank, now_ms);
        if job.attempt == 1 {
            self.retry_budget.record_first_attempt();
        } else if self.settings.switches.retry_budget
            && !self.retry_budget.try_acquire(job.tier_rank, now_ms)
        {
            self.refuse(&job, Reason::RetryBudget, 0, now_ms, random);
            return;
        }
        if !self.endpoints.has_endpoint_for(&job.target, &job.avoid) {
            let refused = Refused { reason: Reason::NoEndpoint, retry_after_ms: None };
            self.refusals.push((job.id, refused));
            return;
        }
        match self.verdict(&job.fingerprints, now_ms) {
            QuarantineVerdict::Run => self.enqueue(job, now_ms, random),
            QuarantineVerdict::Trial { from_ms } => {
                self.pending_trials.push((from_ms, job.id));
                self.waiting.insert(job.id, job);
            }
            QuarantineVerdict::Wait { until_ms }
            | QuarantineVerdict::Quarantined { until_ms, .. } => {
                let retry_after_ms = Some(until_ms.saturating_sub(now_ms));
                let refused = Refused { reason: Reason::Quarantined, retry_after_ms };
                self.refusals.push((job.id, refused));
            }
        }
    }

    /// Returns what to do next; to be called until it returns [`Action::Wait`].
    pub fn next_action(&mut self, now_ms: u64, random: u64) -> Action {
        if let Some((id, refused)) = self.refusals.pop() {
            return Action::Refuse(id, refused);
        }
        self.check_outliers(now_ms);
        self.start_pending_trials(now_ms, random);
        if let Some((id, refused)) = self.refusals.pop() {
            return Action::Refuse(id, refused);
        }
        self.trial_endpoints.retain(|it| it.1 > now_ms);
        let context = DispatchContext { now_ms, slot_interval_ms: self.slot_interval_ms(now_ms) };
        let Scheduler { queue, endpoints, shares, waiting, predictor, trial_endpoints, .. } = self;
        let next = queue.next(context, shares, |query, rule| match query {
            RoomQuery::AnyOfTier { target, tier_rank } => {
                !endpoints.is_known_full(target, tier_rank, rule, now_ms)
            }
            RoomQuery::Entry(entry) => {
                let job = &waiting[&entry.id];
                let tokens = tokens_left(predictor, job);
                let avoid = excluded_endpoints(job, trial_endpoints);
                endpoints.has_room(&request(job, rule, tokens, &avoid, now_ms), now_ms, random)
            }
        });
        match next {
            NextEntry::Dispatch(entry, rule) => self.dispatch(&entry, rule, now_ms, random),
            NextEntry::Expired(entry) => self.expire(&entry, now_ms, random),
            NextEntry::Wait { until_ms } => {
                let trial_ms = self.pending_trials.iter().map(|it| it.0).min().unwrap_or(u64::MAX);
                Action::Wait { until_ms: until_ms.min(trial_ms) }
            }
        }
    }

    /// Removes a job that is not running yet, because its client has disconnected.
    pub fn cancel(&mut self, id: u64) {
        self.queue.remove(id);
        self.pending_trials.retain(|it| it.1 != id);
        self.waiting.swap_remove(&id);
    }

    /// Records that tokens of a running job arrived, `total_tokens` of this attempt so far.
    pub fn record_progress(&mut self, id: u64, total_tokens: u32, now_ms: u64) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let elapsed_ms = now_ms.saturating_sub(running.last_token_ms) as f64;
        if running.tokens == 0 {
            self.endpoints.record_first_token(running.endpoint, elapsed_ms);
        } else {
            let tokens = total_tokens.saturating_sub(running.tokens);
            self.endpoints.record_tokens(running.endpoint, tokens, elapsed_ms);
        }
        running.tokens = total_tokens;
        running.last_token_ms = now_ms;
    }

    /// Records the end of a running job, whose attempt produced `tokens` tokens. Returns the
    /// earliest time at which its client may be informed: after the loss of an endpoint, peers must
    /// learn of the suspect before the client can retry through them.
    pub fn record_end(&mut self, id: u64, end: AttemptEnd, tokens: u32, now_ms: u64) -> u64 {
        let Some(running) = self.running.swap_remove(&id) else { return now_ms };
        self.running_totals.remove(&running);
        self.quarantine.trial_ended(running.job.fingerprints.request);
        let used = f64::from(tokens) - running.charged_tokens as f64;
        self.shares.charge(&running.job.account, used, now_ms);
        match end {
            AttemptEnd::Answered => self.record_response(&running, tokens, now_ms),
            AttemptEnd::NotAccepted | AttemptEnd::TooSlow | AttemptEnd::Interrupted => {
                self.endpoints.record_failure(running.endpoint, now_ms);
            }
            AttemptEnd::EndpointLost => return self.record_endpoint_down(&running, now_ms),
            AttemptEnd::Released => self.endpoints.record_release(running.endpoint, now_ms),
        }
        now_ms
    }

    fn record_response(&mut self, running: &RunningJob, tokens: u32, now_ms: u64) {
        self.endpoints.record_success(running.endpoint, now_ms);
        for fingerprint in running.job.fingerprints.iter() {
            self.quarantine.record_completed(fingerprint, now_ms);
        }
        let elapsed_ms = now_ms.saturating_sub(running.sent_ms) as f64;
        if running.job.kind == TargetKind::Service {
            self.endpoints.record_first_token(running.endpoint, elapsed_ms);
            return;
        }
        if !running.job.is_stream {
            let waited_ms = self.endpoints.endpoint(running.endpoint).performance.first_token_ms();
            self.endpoints.record_tokens(
                running.endpoint,
                tokens,
                (elapsed_ms - waited_ms).max(1.0),
            );
        }
        let total_tokens = running.job.delivered_tokens + tokens;
        let key = running.job.length_key();
        self.predictor.observe(&key, &running.job.prior, total_tokens);
    }

    fn record_endpoint_down(&mut self, running: &RunningJob, now_ms: u64) -> u64 {
        let was_running_there =
            self.endpoints.record_down(running.endpoint, running.sent_ms, now_ms);
        self.prefixes.invalidate_endpoint(running.endpoint);
        if !was_running_there || !self.settings.switches.quarantine {
            return now_ms;
        }
        let endpoint = self.endpoints.endpoint(running.endpoint).name.clone();
        let suspects: Vec<Fingerprint> = running.job.fingerprints.iter().collect();
        self.quarantine.record_endpoint_loss(&endpoint, &suspects, now_ms)
    }

    fn verdict(&mut self, fingerprints: &RequestFingerprints, now_ms: u64) -> QuarantineVerdict {
        if !self.settings.switches.quarantine {
            return QuarantineVerdict::Run;
        }
        match blamed_part(&self.quarantine, fingerprints, now_ms) {
            Some(index) => self.quarantine.part_verdict(fingerprints.parts[index], now_ms),
            None => self.quarantine.check(fingerprints.request, now_ms),
        }
    }

    /// Starts trials of suspect jobs that are due, unless their verdict has changed.
    fn start_pending_trials(&mut self, now_ms: u64, random: u64) {
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

    fn enqueue(&mut self, job: Job, now_ms: u64, random: u64) {
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

    fn admission(&self, job: &Job, tokens: u32, capacity: &Capacity, now_ms: u64) -> Admission {
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
    fn capacity(&self, job: &Job, now_ms: u64) -> Capacity {
        let busy_slots = self.running_totals.count_up_to_rank(&job.target, job.tier_rank);
        self.endpoints.capacity(&job.target, busy_slots * self.instances, self.instances, now_ms)
    }

    fn dispatch(&mut self, entry: &Entry, rule: DispatchRule, now_ms: u64, random: u64) -> Action {
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

    fn expire(&mut self, entry: &Entry, now_ms: u64, random: u64) -> Action {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::DeadlinePassed, 0, now_ms, random);
        }
        self.next_refusal(now_ms)
    }

    fn refuse_evicted(&mut self, entry: &Entry, now_ms: u64, random: u64) {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::QueueFull, 0, now_ms, random);
        }
    }

    fn next_refusal(&mut self, now_ms: u64) -> Action {
        match self.refusals.pop() {
            Some((id, refused)) => Action::Refuse(id, refused),
            None => Action::Wait { until_ms: now_ms },
        }
    }

    fn refuse(&mut self, job: &Job, reason: Reason, late_ms: u64, now_ms: u64, random: u64) {
        let capacity = self.capacity(job, now_ms);
        let tokens = tokens_left(&self.predictor, job);
        let interval_ms = slot_interval_ms(tokens, &capacity);
        let pacer = &mut self.retry_after;
        let retry_after_ms =
            pacer.retry_after_ms(&job.target, late_ms, interval_ms, now_ms, random);
        let refused = Refused { reason, retry_after_ms: Some(retry_after_ms) };
        self.refusals.push((job.id, refused));
    }

    /// Ejects slow endpoints at intervals. Stalled streams count as slow tokens, so that an
    /// endpoint is noticed even if it sends nothing.
    fn check_outliers(&mut self, now_ms: u64) {
        if now_ms < self.last_outlier_check_ms + OUTLIER_CHECK_INTERVAL_MS {
            return;
        }
        self.last_outlier_check_ms = now_ms;
        for it in self.running.values_mut() {
            let stalled_ms = now_ms.saturating_sub(it.last_token_ms);
            if it.job.is_stream && it.tokens > 0 && stalled_ms >= STALL_MS {
                self.endpoints.record_tokens(it.endpoint, 1, stalled_ms as f64);
            }
        }
        self.endpoints.eject_outliers(now_ms);
        self.quarantine.expire(now_ms);
    }

    /// Estimated mean time from one freed slot to the next over all running jobs, in milliseconds;
    /// at least 1.
    fn slot_interval_ms(&self, now_ms: u64) -> u64 {
        let total_age_ms =
            (self.running.len() as u64 * now_ms).saturating_sub(self.running_totals.sent_ms_sum);
        let count = self.running.len().max(1) as u64;
        // On average, jobs are halfway through at any moment, so they last twice their mean age.
        (2 * total_age_ms / count / count).max(1)
    }
}

/// Expected number of tokens that a job still has to generate.
fn tokens_left(predictor: &LengthPredictor, job: &Job) -> u32 {
    if job.kind == TargetKind::Service {
        return 0;
    }
    let expected = predictor.predict(&job.length_key(), &job.prior, 0.5);
    let tokens = job.limit_tokens.map_or(expected, |limit| limit.min(expected));
    tokens.saturating_sub(job.delivered_tokens).max(1)
}

/// Endpoints that a job must not be sent to: those where it failed and, for a suspect, those that
/// have just been sent another suspect.
fn excluded_endpoints<'a>(
    job: &'a Job,
    trial_endpoints: &[(EndpointIndex, u64)],
) -> Cow<'a, [EndpointIndex]> {
    if !job.is_suspect || trial_endpoints.is_empty() {
        return Cow::Borrowed(&job.avoid);
    }
    let on_trial = trial_endpoints.iter().map(|it| it.0);
    Cow::Owned(job.avoid.iter().copied().chain(on_trial).collect())
}

fn request<'a>(
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

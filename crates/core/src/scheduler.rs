//! The policy of one instance as a whole: what to do with each request, and when.

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
    endpoint_pool::{EndpointIndex, EndpointPool, EndpointPoolSettings},
    job::{AttemptEnd, Job},
    length_predictor::LengthPredictor,
    prefix_index::PrefixIndex,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, QuarantineVerdict},
    queue::{
        DispatchContext, DispatchRule, Entry, NextEntry, PushOutcome, Queue, QueueSettings,
        RoomQuery,
    },
    retry_budget::{RetryBudget, RetryBudgetSettings},
    running_job::{RunningJob, RunningTotals},
    sheet::{Sheet, TargetKind},
};

/// Tokens of a prompt that cost as much as one token of an answer.
const PROMPT_TOKENS_A_TOKEN: u64 = 16;

/// Bytes taken for one token.
const TOKEN_BYTES: usize = 4;

/// Bytes of an answer for each of its tokens, with what a stream's events add.
const ANSWER_TOKEN_BYTES: usize = 200;

/// Silence of a running stream that counts as slowness, in milliseconds.
const SILENCE_MS: u64 = 1_000;

/// Time after which an account's use counts half, in milliseconds.
const USE_HALF_LIFE_MS: u64 = 20_000;

/// Time between two looks at the fleet's pace, in milliseconds.
const JUDGE_INTERVAL_MS: u64 = 250;

/// How long an endpoint that was sent a suspect gets no other, in milliseconds.
const TRIAL_ALONE_MS: u64 = 1_000;

/// A request that waited longer lacked a slot, in milliseconds.
const LACK_MS: u64 = 30;

/// Blocks of prompts kept, about 100 bytes each.
const PREFIX_BLOCKS: usize = 40_000;

/// Settings of an instance's policy.
#[derive(Clone, Debug, Default)]
pub struct SchedulerSettings {
    /// The queue.
    pub queue: QueueSettings,
    /// The choice of endpoints.
    pub endpoints: EndpointPoolSettings,
    /// Retries.
    pub retry: RetryBudgetSettings,
    /// Quarantine.
    pub quarantine: QuarantineSettings,
    /// The mechanisms that are switched on.
    pub switches: Switches,
}

/// Mechanisms that can be switched off, to measure what each is worth.
#[derive(Clone, Copy, Debug)]
pub struct Switches {
    /// Refuse what cannot be in time.
    pub admission: bool,
    /// Follow prompts' prefixes.
    pub prefixes: bool,
    /// Bound the retries.
    pub retry_budget: bool,
    /// Quarantine what crashes endpoints.
    pub quarantine: bool,
}

impl Default for Switches {
    fn default() -> Switches {
        Switches { admission: true, prefixes: true, retry_budget: true, quarantine: true }
    }
}

/// The policy of one instance.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    /// The endpoints.
    pub endpoints: EndpointPool,
    /// Accounts' use.
    pub shares: AccountShares,
    /// Suspects and quarantined requests.
    pub quarantine: Quarantine,
    queue: Queue,
    predictor: LengthPredictor,
    prefixes: PrefixIndex,
    returns: RetryAfterPacer,
    retries: RetryBudget,
    /// Jobs that wait in the queue or are held.
    waiting: IndexMap<u64, Job>,
    /// Suspects that wait for their trial, and since when it may begin.
    held: Vec<(u64, u64)>,
    running: IndexMap<u64, RunningJob>,
    busy: RunningTotals,
    /// Endpoints that were sent a suspect, and until when they get no other.
    trials: Vec<(EndpointIndex, u64)>,
    /// Refusals not yet given out.
    refused: Vec<(u64, Refused)>,
    /// Instances that share the endpoints; at least 1.
    instances: u32,
    judged_ms: u64,
}

impl Scheduler {
    /// The policy of an instance in an availability zone.
    pub fn new(
        settings: SchedulerSettings,
        sheet: &Sheet,
        instance: &Name,
        availability_zone: &str,
        now_ms: u64,
    ) -> Scheduler {
        let mut scheduler = Scheduler {
            endpoints: EndpointPool::new(sheet, availability_zone, settings.endpoints.clone()),
            shares: AccountShares::new(USE_HALF_LIFE_MS),
            quarantine: Quarantine::new(instance.clone(), settings.quarantine),
            queue: Queue::new(settings.queue.clone()),
            predictor: LengthPredictor::default(),
            prefixes: PrefixIndex::new(PREFIX_BLOCKS),
            returns: RetryAfterPacer::default(),
            retries: RetryBudget::new(settings.retry, now_ms),
            waiting: IndexMap::new(),
            held: Vec::new(),
            running: IndexMap::new(),
            busy: RunningTotals::default(),
            trials: Vec::new(),
            refused: Vec::new(),
            instances: 1,
            judged_ms: now_ms,
            settings,
        };
        scheduler.update(sheet);
        scheduler
    }

    /// Takes over another sheet.
    pub fn update(&mut self, sheet: &Sheet) {
        self.endpoints.update(sheet);
        for it in &sheet.client_accounts {
            self.shares.set_share(&it.name, it.share_percent);
        }
    }

    /// How many instances share the endpoints.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    /// How many requests each endpoint has from this instance.
    pub fn own_requests(&self) -> impl Iterator<Item = (&Name, u32)> {
        self.endpoints.endpoints().map(|(_, it)| (&it.name, it.load.local()))
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Jobs that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// A job asks for an endpoint. What becomes of it, [`Scheduler::next_action`] tells.
    pub fn submit(&mut self, job: Job, now_ms: u64, random: u64) {
        self.endpoints.record_demand(&job.target, job.tier_rank, now_ms);
        if job.attempt == 1 {
            self.retries.record_first_attempt();
        } else if self.settings.switches.retry_budget
            && !self.retries.try_acquire(job.tier_rank, now_ms)
        {
            self.refuse(&job, Reason::RetryBudget, 0, now_ms, random);
            return;
        }
        if !self.endpoints.has_endpoint_for(&job.target, &job.avoid) {
            let refused = Refused { reason: Reason::NoEndpoint, retry_after_ms: None };
            self.refused.push((job.id, refused));
            return;
        }
        match self.verdict(job.fingerprint, now_ms) {
            QuarantineVerdict::Run => self.enqueue(job, now_ms, random),
            QuarantineVerdict::Trial { from_ms } => {
                self.held.push((from_ms, job.id));
                self.waiting.insert(job.id, job);
            }
            QuarantineVerdict::Wait { until_ms }
            | QuarantineVerdict::Quarantined { until_ms, .. } => {
                let retry_after_ms = Some(until_ms.saturating_sub(now_ms));
                let refused = Refused { reason: Reason::Quarantined, retry_after_ms };
                self.refused.push((job.id, refused));
            }
        }
    }

    /// Tells what to do next.
    pub fn next_action(&mut self, now_ms: u64, random: u64) -> Action {
        if let Some((id, refused)) = self.refused.pop() {
            return Action::Refuse(id, refused);
        }
        self.judge(now_ms);
        self.release_held(now_ms, random);
        if let Some((id, refused)) = self.refused.pop() {
            return Action::Refuse(id, refused);
        }
        self.trials.retain(|it| it.1 > now_ms);
        let supply = DispatchContext { now_ms, slot_interval_ms: self.slot_interval_ms(now_ms) };
        let Scheduler { queue, endpoints, shares, waiting, predictor, trials, .. } = self;
        let next = queue.next(supply, shares, |offer, rule| match offer {
            RoomQuery::AnyOfTier { target, tier_rank } => {
                !endpoints.is_known_full(target, tier_rank, rule, now_ms)
            }
            RoomQuery::Entry(entry) => {
                let job = &waiting[&entry.id];
                let tokens = tokens_left(predictor, job);
                let avoid = avoided(job, trials);
                endpoints.has_room(&request(job, rule, tokens, &avoid, now_ms), now_ms, random)
            }
        });
        match next {
            NextEntry::Dispatch(entry, rule) => self.dispatch(&entry, rule, now_ms, random),
            NextEntry::Expired(entry) => self.expire(&entry, now_ms, random),
            NextEntry::Wait { until_ms } => {
                let held_ms = self.held.iter().map(|it| it.0).min().unwrap_or(u64::MAX);
                Action::Wait { until_ms: until_ms.min(held_ms) }
            }
        }
    }

    /// A job that waits or runs is given up by its caller.
    pub fn cancel(&mut self, id: u64) {
        self.queue.remove(id);
        self.held.retain(|it| it.1 != id);
        self.waiting.swap_remove(&id);
    }

    /// Tokens of a running job came, `total` of this attempt so far.
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

    /// A running job ended, with so many tokens of this attempt. Returns when its caller may be
    /// told.
    pub fn record_end(&mut self, id: u64, end: AttemptEnd, tokens: u32, now_ms: u64) -> u64 {
        let Some(running) = self.running.swap_remove(&id) else { return now_ms };
        self.busy.remove(&running);
        self.quarantine.trial_ended(running.job.fingerprint);
        let used = f64::from(tokens) - running.charged_tokens as f64;
        self.shares.charge(&running.job.account, used, now_ms);
        match end {
            AttemptEnd::Answered => self.answered(&running, tokens, now_ms),
            AttemptEnd::NotAccepted | AttemptEnd::TooSlow | AttemptEnd::Interrupted => {
                self.endpoints.record_failure(running.endpoint, now_ms);
            }
            AttemptEnd::EndpointLost => return self.lost(&running, now_ms),
            AttemptEnd::Released => self.endpoints.record_release(running.endpoint, now_ms),
        }
        now_ms
    }

    fn answered(&mut self, running: &RunningJob, tokens: u32, now_ms: u64) {
        self.endpoints.record_success(running.endpoint, now_ms);
        self.quarantine.record_completed(running.job.fingerprint, now_ms);
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

    fn lost(&mut self, running: &RunningJob, now_ms: u64) -> u64 {
        let was_there = self.endpoints.record_down(running.endpoint, running.sent_ms, now_ms);
        self.prefixes.invalidate_endpoint(running.endpoint);
        if !was_there || !self.settings.switches.quarantine {
            return now_ms;
        }
        let endpoint = self.endpoints.endpoint(running.endpoint).name.clone();
        self.quarantine.record_endpoint_loss(&endpoint, &[running.job.fingerprint], now_ms)
    }

    fn verdict(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineVerdict {
        if self.settings.switches.quarantine {
            self.quarantine.check(fingerprint, now_ms)
        } else {
            QuarantineVerdict::Run
        }
    }

    fn release_held(&mut self, now_ms: u64, random: u64) {
        while let Some(at) = self.held.iter().position(|it| it.0 <= now_ms) {
            let (_, id) = self.held.swap_remove(at);
            let Some(job) = self.waiting.swap_remove(&id) else { continue };
            match self.verdict(job.fingerprint, now_ms) {
                QuarantineVerdict::Run => self.enqueue(job, now_ms, random),
                QuarantineVerdict::Trial { from_ms } if from_ms <= now_ms => {
                    self.quarantine.trial_began(job.fingerprint);
                    self.enqueue(Job { is_suspect: true, ..job }, now_ms, random);
                }
                QuarantineVerdict::Trial { from_ms } => {
                    self.held.push((from_ms, id));
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
        let prompt_tokens = job.bytes.div_ceil(TOKEN_BYTES) as u64;
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
            cost_tokens: u64::from(tokens) + prompt_tokens / PROMPT_TOKENS_A_TOKEN,
            is_resumption: job.delivered_tokens > 0,
        };
        match self.queue.push(entry, &self.shares, now_ms) {
            PushOutcome::Queued => drop(self.waiting.insert(job.id, job)),
            PushOutcome::QueuedWithEvictions(out) => {
                self.waiting.insert(job.id, job);
                out.iter().for_each(|it| self.push_out(it, now_ms, random));
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

    fn capacity(&self, job: &Job, now_ms: u64) -> Capacity {
        let own = self.busy.count_up_to_rank(&job.target, job.tier_rank);
        self.endpoints.capacity(&job.target, own * self.instances, self.instances, now_ms)
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
        let avoid = avoided(&job, &self.trials);
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
        let lacked = now_ms.saturating_sub(job.arrived_ms) > LACK_MS;
        self.endpoints.record_wait(&job.target, job.tier_rank, lacked);
        self.endpoints.record_sent(endpoint, now_ms);
        if job.is_suspect {
            self.trials.push((endpoint, now_ms + TRIAL_ALONE_MS));
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
        self.busy.add(&running);
        self.running.insert(id, running);
        Action::Send(id, endpoint)
    }

    fn expire(&mut self, entry: &Entry, now_ms: u64, random: u64) -> Action {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::DeadlinePassed, 0, now_ms, random);
        }
        self.next_refusal(now_ms)
    }

    fn push_out(&mut self, entry: &Entry, now_ms: u64, random: u64) {
        if let Some(job) = self.waiting.swap_remove(&entry.id) {
            self.refuse(&job, Reason::QueueFull, 0, now_ms, random);
        }
    }

    fn next_refusal(&mut self, now_ms: u64) -> Action {
        match self.refused.pop() {
            Some((id, refused)) => Action::Refuse(id, refused),
            None => Action::Wait { until_ms: now_ms },
        }
    }

    fn refuse(&mut self, job: &Job, reason: Reason, late_ms: u64, now_ms: u64, random: u64) {
        let capacity = self.capacity(job, now_ms);
        let tokens = tokens_left(&self.predictor, job);
        let interval_ms = slot_interval_ms(tokens, &capacity);
        let returns = &mut self.returns;
        let hint_ms = returns.retry_after_ms(&job.target, late_ms, interval_ms, now_ms, random);
        let refused = Refused { reason, retry_after_ms: Some(hint_ms) };
        self.refused.push((job.id, refused));
    }

    fn judge(&mut self, now_ms: u64) {
        if now_ms < self.judged_ms + JUDGE_INTERVAL_MS {
            return;
        }
        self.judged_ms = now_ms;
        for it in self.running.values_mut() {
            let silent_ms = now_ms.saturating_sub(it.last_token_ms);
            if it.job.is_stream && it.tokens > 0 && silent_ms >= SILENCE_MS {
                self.endpoints.record_tokens(it.endpoint, 1, silent_ms as f64);
            }
        }
        self.endpoints.eject_outliers(now_ms);
        self.quarantine.expire(now_ms);
    }

    /// Mean time from one freed slot to the next, over all that this instance runs.
    fn slot_interval_ms(&self, now_ms: u64) -> u64 {
        let ages_ms = (self.running.len() as u64 * now_ms).saturating_sub(self.busy.sent_ms_sum);
        let count = self.running.len().max(1) as u64;
        // Runs are half over when they are seen.
        (2 * ages_ms / count / count).max(1)
    }
}

fn tokens_left(predictor: &LengthPredictor, job: &Job) -> u32 {
    if job.kind == TargetKind::Service {
        return 0;
    }
    let expected = predictor.predict(&job.length_key(), &job.prior, 0.5);
    let tokens = job.limit_tokens.map_or(expected, |limit| limit.min(expected));
    tokens.saturating_sub(job.delivered_tokens).max(1)
}

/// Endpoints that a job must not go to: those that failed it, and for a suspect those that have
/// just been sent another.
fn avoided<'a>(job: &'a Job, trials: &[(EndpointIndex, u64)]) -> Cow<'a, [EndpointIndex]> {
    if !job.is_suspect || trials.is_empty() {
        return Cow::Borrowed(&job.avoid);
    }
    let trials = trials.iter().map(|it| it.0);
    Cow::Owned(job.avoid.iter().copied().chain(trials).collect())
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
        answer_bytes: output_tokens as usize * ANSWER_TOKEN_BYTES,
        waited_ms: now_ms.saturating_sub(job.arrived_ms),
        first_token_ms: job.first_token_ms,
        cached: &[],
        avoid,
    }
}

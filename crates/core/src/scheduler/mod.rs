//! Scheduler of one instance: combines admission, queue, endpoint choice, retries and quarantine.

mod attempt_record;
mod dispatch;
mod enqueue;
mod refusal;
mod settings;

use indexmap::IndexMap;

pub use self::settings::{SchedulerSettings, Switches};

use self::dispatch::{excluded_endpoints, request, tokens_left};
use crate::{
    Name, Reason,
    account_shares::AccountShares,
    action::{Action, Refused},
    admission::RetryAfterPacer,
    endpoint_pool::{EndpointIndex, EndpointPool},
    job::Job,
    length_predictor::LengthPredictor,
    prefix_index::PrefixIndex,
    quarantine::{Quarantine, QuarantineVerdict},
    queue::{DispatchContext, NextEntry, Queue, RoomQuery},
    retry_budget::RetryBudget,
    running_job::{RunningJob, RunningTotals},
    sheet::Sheet,
};

/// Half-life of the accounts' token usage, in milliseconds.
const USAGE_HALF_LIFE_MS: u64 = 20_000;

/// Maximum number of prompt blocks in the prefix index, about 100 bytes each.
const MAX_PREFIX_BLOCKS: usize = 40_000;

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
}

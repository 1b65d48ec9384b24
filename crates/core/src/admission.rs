//! Deadline-based admission, and the `Retry-After` times of refused requests.

use indexmap::IndexMap;

use crate::Name;

/// Shortest `Retry-After`, in milliseconds, before random spreading.
const MIN_RETRY_AFTER_MS: u64 = 200;

/// Longest `Retry-After`, in milliseconds, before random spreading.
const MAX_RETRY_AFTER_MS: u64 = 600_000;

/// Retries are spread at random over this many slot intervals.
const SPREAD_INTERVALS: u64 = 8;

/// Capacity available to a request of one tier. Requests of lower tiers are not counted, so a
/// request is never refused because of less urgent work.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Usable slots of all endpoints that serve the target.
    pub slots: u32,
    /// Slots held by requests of this tier or a higher one.
    pub busy_slots: u32,
    /// Mean time between output tokens at those endpoints, in milliseconds.
    pub token_ms: f64,
    /// Mean time to the first token at those endpoints, in milliseconds.
    pub first_token_ms: f64,
    /// Upper estimate of the time to the first token, in milliseconds: the mean plus two mean
    /// absolute deviations.
    pub first_token_upper_ms: f64,
    /// Router instances that share these endpoints.
    pub instances: u32,
}

/// The time that a request has and the work that it and the queue ahead of it need.
#[derive(Clone, Copy, Debug)]
pub struct RequestDemand {
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u64,
    /// Expected length of the response, in tokens.
    pub output_tokens: u32,
    /// Expected tokens of requests of this tier or a higher one that are queued at this instance
    /// for the same target.
    pub ahead_tokens: u64,
    /// Mean length of the target's responses, in tokens.
    pub mean_output_tokens: u32,
}

/// Result of the admission check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request can meet its deadline.
    Admit {
        /// Expected time from dispatch to the end of the response, in milliseconds.
        service_ms: u64,
    },
    /// The request cannot meet its deadline.
    Refuse {
        /// By how much it would miss the deadline, in milliseconds.
        late_ms: u64,
    },
}

/// Checks whether a request can meet its deadline after queueing and running.
pub fn admit(demand: &RequestDemand, capacity: &Capacity) -> Admission {
    let service_ms = service_ms(demand.output_tokens, capacity);
    let total_ms = wait_ms(demand, capacity).saturating_add(service_ms);
    if total_ms <= demand.left_ms {
        Admission::Admit { service_ms }
    } else {
        Admission::Refuse { late_ms: total_ms - demand.left_ms }
    }
}

/// Expected time from dispatch to the end of the response, in milliseconds.
pub fn service_ms(output_tokens: u32, capacity: &Capacity) -> u64 {
    (capacity.first_token_ms + f64::from(output_tokens) * capacity.token_ms) as u64
}

/// Mean time between two slots of the target becoming free for this instance, in milliseconds;
/// at least 1. Instances are taken to get equal parts of the slots.
pub fn slot_interval_ms(mean_output_tokens: u32, capacity: &Capacity) -> u64 {
    let slots = capacity.slots.max(1);
    let service_ms = service_ms(mean_output_tokens, capacity);
    (service_ms * u64::from(capacity.instances.max(1)) / u64::from(slots)).max(1)
}

fn wait_ms(demand: &RequestDemand, capacity: &Capacity) -> u64 {
    if demand.ahead_tokens == 0 && capacity.busy_slots < capacity.slots {
        return 0;
    }
    let instances = f64::from(capacity.instances.max(1));
    let slots = f64::from(capacity.slots.max(1)) / instances;
    let ahead_ms = demand.ahead_tokens as f64 * capacity.token_ms / slots;
    ahead_ms as u64 + slot_interval_ms(demand.mean_output_tokens, capacity)
}

/// Assigns `Retry-After` times so that refused callers return no faster than the target can
/// serve them.
#[derive(Clone, Debug, Default)]
pub struct RetryAfterPacer {
    /// Latest return time handed out, by target.
    latest_ms: IndexMap<Name, u64>,
}

impl RetryAfterPacer {
    /// Returns the `Retry-After` time of a request that is refused now, in milliseconds.
    /// `late_ms` is by how much it would have missed its deadline, `interval_ms` the time
    /// between two requests that the target can serve, and `random` a random number.
    pub fn retry_after_ms(
        &mut self,
        target: &Name,
        late_ms: u64,
        interval_ms: u64,
        now_ms: u64,
        random: u64,
    ) -> u64 {
        let earliest_ms = now_ms + late_ms.max(MIN_RETRY_AFTER_MS);
        let latest_ms = self.latest_ms.entry(target.clone()).or_insert(0);
        let limit_ms = now_ms + MAX_RETRY_AFTER_MS;
        *latest_ms = (*latest_ms + interval_ms).max(earliest_ms).min(limit_ms);
        let spread_ms = (interval_ms * SPREAD_INTERVALS).max(MIN_RETRY_AFTER_MS);
        *latest_ms - now_ms + random % spread_ms
    }
}

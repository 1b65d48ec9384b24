//! Whether a request can still meet its deadline, and when to come again if not.

use indexmap::IndexMap;

use crate::Name;

/// Shortest time after which a refused caller is asked to come again, in milliseconds.
const LEAST_RETRY_MS: u64 = 200;

/// Longest time after which a refused caller is asked to come again, in milliseconds.
const LONGEST_RETRY_MS: u64 = 600_000;

/// Returns are spread over this many times the interval between two of them.
const SPREAD_INTERVALS: u64 = 8;

/// What there is for a request of some tier to run on, with all lower tiers' work taken away:
/// a request is refused only if it would be refused without them.
#[derive(Clone, Copy, Debug)]
pub struct Capacity {
    /// Slots of the endpoints that serve its target.
    pub slots: u32,
    /// Requests of its tier and above that hold such a slot.
    pub busy_slots: u32,
    /// Time between tokens at those endpoints.
    pub token_ms: f64,
    /// Time to the first token at those endpoints.
    pub first_token_ms: f64,
    /// Time within which most first tokens come there.
    pub first_token_upper_ms: f64,
    /// Instances that share them.
    pub instances: u32,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestDemand {
    /// Time left until its deadline.
    pub left_ms: u64,
    /// Expected length of its answer.
    pub output_tokens: u32,
    /// Output tokens that wait at this instance for the same target in its tier and above.
    pub ahead_tokens: u64,
    /// Mean answer of the target, in tokens.
    pub mean_output_tokens: u32,
}

/// Whether a request is let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It can be in time.
    Admit {
        /// Time from dispatch to the whole answer.
        service_ms: u64,
    },
    /// It cannot be in time.
    Refuse {
        /// How much too late it would be.
        late_ms: u64,
    },
}

/// Tells whether a request can be in time.
pub fn admit(demand: &RequestDemand, capacity: &Capacity) -> Admission {
    let service_ms = service_ms(demand.output_tokens, capacity);
    let total_ms = wait_ms(demand, capacity).saturating_add(service_ms);
    if total_ms <= demand.left_ms {
        Admission::Admit { service_ms }
    } else {
        Admission::Refuse { late_ms: total_ms - demand.left_ms }
    }
}

/// Time from dispatch to the whole answer.
pub fn service_ms(output_tokens: u32, capacity: &Capacity) -> u64 {
    (capacity.first_token_ms + f64::from(output_tokens) * capacity.token_ms) as u64
}

/// Mean time between two slots of the target that become free to one instance.
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

/// Gives refused callers times to come again, no more of them than can be served.
#[derive(Clone, Debug, Default)]
pub struct RetryAfterPacer {
    /// When the last caller asked to come again is expected, by target.
    last_ms: IndexMap<Name, u64>,
}

impl RetryAfterPacer {
    /// How long a caller refused now is to stay away. `late_ms` is how much too late it would
    /// have been, `interval_ms` the time between two requests that can be served, and `random`
    /// any number.
    pub fn retry_after_ms(
        &mut self,
        target: &Name,
        late_ms: u64,
        interval_ms: u64,
        now_ms: u64,
        random: u64,
    ) -> u64 {
        let earliest_ms = now_ms + late_ms.max(LEAST_RETRY_MS);
        let last_ms = self.last_ms.entry(target.clone()).or_insert(0);
        let limit_ms = now_ms + LONGEST_RETRY_MS;
        *last_ms = (*last_ms + interval_ms).max(earliest_ms).min(limit_ms);
        let spread_ms = (interval_ms * SPREAD_INTERVALS).max(LEAST_RETRY_MS);
        *last_ms - now_ms + random % spread_ms
    }
}

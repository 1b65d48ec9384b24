//! Settings of a scheduler, and its mechanisms that can be switched off.

use crate::{
    endpoint_pool::EndpointPoolSettings, quarantine::QuarantineSettings, queue::QueueSettings,
    retry_budget::RetryBudgetSettings,
};

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

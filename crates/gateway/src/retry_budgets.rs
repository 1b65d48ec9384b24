//! Retry budgets of all services.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    windowed_retry_budget::{RetryWindowSettings, WindowedRetryBudget},
};

/// Retry budget of each service, as this instance's share of the common budget.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    settings: RetryWindowSettings,
    by_service: HashMap<Name, WindowedRetryBudget>,
    started_ms: u64,
    /// Upper bound of the number of instances that share the budgets.
    instances: usize,
}

impl RetryBudgets {
    /// Unspent budgets.
    pub(crate) fn new(
        settings: RetryWindowSettings,
        instances: usize,
        now_ms: u64,
    ) -> RetryBudgets {
        RetryBudgets { settings, by_service: HashMap::new(), started_ms: now_ms, instances }
    }

    /// Sets the number of instances that share the budgets. Returns whether it changed.
    pub(crate) fn set_instances(&mut self, instances: usize) -> bool {
        let before = std::mem::replace(&mut self.instances, instances.max(1));
        before != self.instances
    }

    /// Counts a request for a service, which adds to its budget.
    pub(crate) fn record_request(&mut self, service: &Name, now_ms: u64) {
        self.budget(service).record_request(now_ms);
    }

    /// Takes one retry from a service's budget. Returns whether one was available.
    pub(crate) fn try_acquire(&mut self, service: &Name, now_ms: u64) -> bool {
        let instances = self.instances;
        self.budget(service).try_acquire(instances, now_ms)
    }

    /// Whether a service's budget allows another retry.
    pub(crate) fn is_available(&mut self, service: &Name, now_ms: u64) -> bool {
        let instances = self.instances;
        self.budget(service).is_available(instances, now_ms)
    }

    fn budget(&mut self, service: &Name) -> &mut WindowedRetryBudget {
        let (settings, started_ms) = (self.settings, self.started_ms);
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| WindowedRetryBudget::new(settings, started_ms))
    }
}

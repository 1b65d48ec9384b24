//! The budgets of repeats of all services.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    windowed_retry_budget::{RetryWindowSettings, WindowedRetryBudget},
};

/// A budget for each service.
#[derive(Debug)]
pub(crate) struct Budgets {
    settings: RetryWindowSettings,
    by_service: HashMap<Name, WindowedRetryBudget>,
    started_ms: u64,
    /// Instances that spend from the same budget; an upper bound.
    instances: usize,
}

impl Budgets {
    /// Nothing was spent.
    pub(crate) fn new(settings: RetryWindowSettings, instances: usize, now_ms: u64) -> Budgets {
        Budgets { settings, by_service: HashMap::new(), started_ms: now_ms, instances }
    }

    /// Tells how many instances spend from the same budget. Returns whether that is new.
    pub(crate) fn set_instances(&mut self, instances: usize) -> bool {
        let before = std::mem::replace(&mut self.instances, instances.max(1));
        before != self.instances
    }

    /// A request for the service arrived.
    pub(crate) fn request(&mut self, service: &Name, now_ms: u64) {
        self.of(service).record_request(now_ms);
    }

    /// Takes one repeat at a service, if there is one.
    pub(crate) fn take(&mut self, service: &Name, now_ms: u64) -> bool {
        let instances = self.instances;
        self.of(service).try_acquire(instances, now_ms)
    }

    /// Whether there is a repeat left at a service.
    pub(crate) fn has_one(&mut self, service: &Name, now_ms: u64) -> bool {
        let instances = self.instances;
        self.of(service).is_available(instances, now_ms)
    }

    fn of(&mut self, service: &Name) -> &mut WindowedRetryBudget {
        let (settings, started_ms) = (self.settings, self.started_ms);
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| WindowedRetryBudget::new(settings, started_ms))
    }
}

//! Duties that one instance at a time performs for all: the lease, and the reports of usage.
//!
//! A call to the control service needs a [`CallPermit`](tanagergauge_core::duties::CallPermit) of the
//! [`Holder`]. When a part of this fails, calls stay out; callers' requests are not affected.

mod exchange;
mod holder;
mod lease_log;
mod lease_task;
mod report_task;
mod topic;
mod usage;
mod usage_logs;

use std::{
    process,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tanagergauge_core::{Name, duties::Duty, owner::Owner, usage::UsageSource};

pub(crate) use exchange::{apply, is_usage_told, report, response};
pub(crate) use holder::Holder;
pub(crate) use usage::record_begun;

use crate::{
    boot_clock, clock, control_service::ControlService, duty_settings::DutySettings,
    gateway::Gateway, server_orders, store::Store,
};
use usage::Usage;

/// State of the duties.
pub(crate) struct Duties {
    pub(crate) settings: DutySettings,
    pub(crate) holder: Holder,
    usage: Mutex<Usage>,
}

impl Duties {
    pub(crate) fn new(instance: &Name, settings: DutySettings) -> Duties {
        let incarnation = draw_incarnation(instance);
        let owner = Owner { instance: instance.clone(), incarnation };
        let source = UsageSource { instance: instance.clone(), incarnation };
        let usage = Usage::new(source, settings.windows());
        let holder = Holder::new(owner, settings.lease_ms, settings.calls_per_s);
        Duties { settings, holder, usage: Mutex::new(usage) }
    }

    fn usage(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A number that no other run of an instance has.
fn draw_incarnation(instance: &Name) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(instance.as_bytes());
    let numbers = [clock::unix_ms(), boot_clock::now_ms(), u64::from(process::id())];
    for it in numbers {
        hasher.update(&it.to_le_bytes());
    }
    // Addresses in memory are random.
    hasher.update(&(&raw const numbers as usize).to_le_bytes());
    let hash = hasher.finalize();
    hash.as_bytes()[..8].iter().fold(0, |number, byte| number << 8 | u64::from(*byte))
}

/// Performs the duties until the process ends, if the settings name a control service.
pub(crate) fn spawn<S: Store, C: ControlService>(
    gateway: &Arc<Gateway>,
    store: &Arc<S>,
    connect: fn(&DutySettings) -> C,
) {
    let Some(duties) = &gateway.duties else { return };
    let service = Arc::new(connect(&duties.settings));
    let task =
        lease_task::LeaseTask::new(Arc::clone(gateway), Arc::clone(duties), Arc::clone(store));
    tokio::spawn(task.run());
    let task = report_task::ReportTask::new(
        Arc::clone(gateway),
        Arc::clone(duties),
        Arc::clone(store),
        service,
    );
    tokio::spawn(task.run());
    if duties.settings.has(Duty::ServerOrders) {
        let service = connect(&duties.settings);
        tokio::spawn(server_orders::run(Arc::clone(gateway), Arc::clone(duties), service));
    }
}

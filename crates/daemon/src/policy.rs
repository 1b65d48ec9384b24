//! Settings of the policy: what is weighed, and which mechanisms are switched on.

use serde::Deserialize;
use tanagergauge_core::{
    endpoint_pool::{EndpointPoolSettings, RoutingPolicy},
    queue::QueueSettings,
    scheduler::{SchedulerSettings, Switches},
    sheet::Goal,
};

/// Part of the first-token target that a request waits for its own region, in percent, where
/// attainment goes first.
const ATTAINMENT_PATIENCE_PERCENT: u64 = 20;

/// The same where goodput and paid traffic go first.
const GOODPUT_PATIENCE_PERCENT: u64 = 60;

/// In which order what waits is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Queueing {
    /// By tier, floor, share and arrival.
    #[default]
    Full,
    /// By tier and arrival.
    Tiers,
    /// By arrival.
    Fifo,
}

/// Settings of the policy. All mechanisms are on unless switched off to measure them.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// How endpoints are chosen.
    pub routing: RoutingPolicy,
    /// In which order what waits is sent.
    pub queueing: Queueing,
    /// Refuse what cannot be in time.
    pub admission: bool,
    /// Follow prompts' prefixes.
    pub prefixes: bool,
    /// Bound the retries.
    pub retry_budget: bool,
    /// Quarantine what crashes endpoints.
    pub quarantine: bool,
    /// Within a tier, those that can still meet their first target before those that cannot.
    pub late_last: bool,
    /// Most bytes of bodies that wait.
    pub queue_bytes: usize,
    /// Most requests that wait.
    pub queue_entries: usize,
    /// A class that waits this long without a dispatch gets one out of turn, in milliseconds.
    pub floor_window_ms: u64,
    /// Part of an endpoint's slots kept free of lower tiers while a higher has demand, in percent.
    pub reserve_percent: u32,
    /// Requests the most urgent tier may send beyond an endpoint's slots, in percent of them.
    pub overcommit_percent: u32,
}

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        let queue = QueueSettings::default();
        PolicySettings {
            routing: RoutingPolicy::Full,
            queueing: Queueing::Full,
            admission: true,
            prefixes: true,
            retry_budget: true,
            quarantine: true,
            late_last: true,
            queue_bytes: queue.max_bytes,
            queue_entries: queue.max_entries,
            floor_window_ms: queue.floor_window_ms,
            reserve_percent: EndpointPoolSettings::default().reserve_percent,
            overcommit_percent: EndpointPoolSettings::default().overcommit_percent,
        }
    }
}

impl PolicySettings {
    /// The same for the core, for a deployment with that goal.
    pub fn scheduler(&self, goal: Goal) -> SchedulerSettings {
        let queue = QueueSettings {
            max_bytes: self.queue_bytes,
            max_entries: self.queue_entries,
            floor_window_ms: self.floor_window_ms,
            tiers: self.queueing != Queueing::Fifo,
            shares: self.queueing == Queueing::Full,
            floors: self.queueing == Queueing::Full,
            late_last: self.queueing == Queueing::Full && self.late_last,
        };
        let remote_wait_percent = match goal {
            Goal::Attainment => ATTAINMENT_PATIENCE_PERCENT,
            Goal::Goodput => GOODPUT_PATIENCE_PERCENT,
        };
        let endpoints = EndpointPoolSettings {
            routing: self.routing,
            reserve_percent: self.reserve_percent,
            overcommit_percent: self.overcommit_percent,
            remote_wait_percent,
            ..EndpointPoolSettings::default()
        };
        let switches = Switches {
            admission: self.admission,
            prefixes: self.prefixes,
            retry_budget: self.retry_budget,
            quarantine: self.quarantine,
        };
        SchedulerSettings { queue, endpoints, switches, ..SchedulerSettings::default() }
    }
}

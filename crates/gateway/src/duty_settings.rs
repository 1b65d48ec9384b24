//! Settings of the duties that one instance at a time performs.

use std::net::SocketAddr;

use serde::Deserialize;
use tanagergauge_core::{
    Name,
    duties::Duty,
    finding::{Findings, Path},
    usage::WindowTiming,
};

/// Least duration of a lease, in milliseconds. Renewals take two calls to the store.
const MIN_LEASE_MS: u64 = 1_500;

/// Settings of the duties that one instance at a time performs.
#[derive(Clone, Debug, Deserialize)]
pub struct DutySettings {
    /// Address of the deployment's control service.
    pub service: SocketAddr,
    /// Duties to perform. Names that are not known are ignored.
    pub names: Vec<Name>,
    /// Whether servers are ordered or orders only logged.
    #[serde(default)]
    pub server_orders: OrderMode,
    /// Calls that the service accepts each second from all instances together.
    pub calls_per_s: f64,
    /// The service refuses stale fencing tokens itself. Instances don't rely on it.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Duration of the lease, in milliseconds.
    pub lease_ms: u64,
    /// Length of a usage window, in seconds.
    pub usage_window_s: f64,
    /// Time from a window's end until its report is due, in seconds.
    pub usage_due_s: f64,
    /// Accepted relative error of a report. Reports are as accurate as the counts allow in any case.
    #[serde(default)]
    pub usage_tolerance: f64,
}

/// What is done with orders of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderMode {
    /// They are sent.
    #[default]
    Live,
    /// They are only logged.
    Shadow,
}

impl DutySettings {
    /// Whether a duty is to be performed.
    pub(crate) fn has(&self, duty: Duty) -> bool {
        let name: &str = duty.into();
        self.names.iter().any(|it| **it == *name)
    }

    /// Lengths of windows.
    pub(crate) fn windows(&self) -> WindowTiming {
        let as_ms = |seconds: f64| (seconds * 1000.0).round() as u64;
        WindowTiming {
            window_ms: as_ms(self.usage_window_s).max(1),
            due_ms: as_ms(self.usage_due_s),
        }
    }

    pub(crate) fn check(&self, findings: &mut Findings, path: &Path) {
        if self.lease_ms < MIN_LEASE_MS {
            let expected = format!("at least {MIN_LEASE_MS}");
            findings.error(path.field("lease_ms"), self.lease_ms.to_string(), expected);
        }
        let minimums = [
            ("calls_per_s", self.calls_per_s, 1.0),
            ("usage_window_s", self.usage_window_s, 1.0),
            ("usage_due_s", self.usage_due_s, 1.0),
        ];
        for (field, value, least) in minimums {
            if !(value >= least && value.is_finite()) {
                findings.error(path.field(field), value.to_string(), format!("at least {least}"));
            }
        }
    }
}

//! The newest report of each endpoint about itself, also of those that are gone.
//!
//! A store that comes back from an older copy lists endpoints as they were: one that has left since
//! looks ready, and one that moved has its old address. Reports have numbers, so that an old one is
//! recognized.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// How long reports of endpoints that are gone are kept, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Number of a report; later reports of an endpoint have greater ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReportNumber {
    /// When the endpoint's process started, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Number of the report since then.
    pub sequence: u64,
}

/// An endpoint that is gone, as it is told to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneEndpoint {
    /// The endpoint.
    pub endpoint: Name,
    /// Number of its last report; one with a greater number has started again.
    pub last_report: ReportNumber,
}

/// Newest reports by endpoint.
#[derive(Clone, Debug, Default)]
pub struct EndpointReports {
    newest: HashMap<Name, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    number: ReportNumber,
    value: Bytes,
    /// When the endpoint was found to be gone; `None` if it is not.
    gone_ms: Option<u64>,
}

/// What is known of an endpoint in place of a report that is not newer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownReport {
    /// The endpoint wrote this.
    Live(Bytes),
    /// The endpoint is gone.
    Gone,
}

impl EndpointReports {
    /// Records a report, which is the newest of its endpoint.
    pub fn record(&mut self, endpoint: &Name, number: ReportNumber, value: &Bytes) {
        let report = Report { number, value: value.clone(), gone_ms: None };
        self.newest.insert(endpoint.clone(), report);
    }

    /// Records that an endpoint is gone, and forgets those that have been for long.
    pub fn record_gone(&mut self, endpoint: &str, now_ms: u64) {
        if let Some(report) = self.newest.get_mut(endpoint) {
            report.gone_ms = Some(now_ms);
        }
        self.newest.retain(|_, it| {
            it.gone_ms.is_none_or(|gone_ms| now_ms.saturating_sub(gone_ms) < RETENTION_MS)
        });
    }

    /// Records that a peer knows an endpoint to be gone. Returns false if a newer report is known.
    pub fn record_gone_at_peer(&mut self, gone: &GoneEndpoint, now_ms: u64) -> bool {
        let number = gone.last_report;
        match self.newest.get_mut(&gone.endpoint) {
            Some(known) if known.number > number => return false,
            Some(known) => *known = Report { number, gone_ms: Some(now_ms), ..known.clone() },
            None => {
                let report = Report { number, value: Bytes::new(), gone_ms: Some(now_ms) };
                self.newest.insert(gone.endpoint.clone(), report);
            }
        }
        true
    }

    /// What to tell peers of an endpoint that is gone; `None` if it is not.
    pub fn gone(&self, endpoint: &Name) -> Option<GoneEndpoint> {
        let report = self.newest.get(endpoint).filter(|it| it.gone_ms.is_some())?;
        Some(GoneEndpoint { endpoint: endpoint.clone(), last_report: report.number })
    }

    /// What is known of an endpoint, unless the report with this number is newer.
    pub fn known(&self, endpoint: &str, number: ReportNumber) -> Option<KnownReport> {
        let report = self.newest.get(endpoint).filter(|it| it.number >= number)?;
        Some(match report.gone_ms {
            Some(_) => KnownReport::Gone,
            None => KnownReport::Live(report.value.clone()),
        })
    }
}

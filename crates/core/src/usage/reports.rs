//! Reports whose content is committed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::KEPT_WINDOWS;
use crate::{Name, duties::UsageReport};

/// Format version, the first byte of every record.
const FORMAT: u8 = 1;

/// A report whose content no instance may change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommittedReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by client account.
    pub counts: BTreeMap<Name, u64>,
}

impl CommittedReport {
    /// Encodes the report as a record of the log.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("reports are always encodable")
    }

    /// Decodes a record; `None` if it is no report of this format version.
    pub fn decode(bytes: &[u8]) -> Option<CommittedReport> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (report, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(report)
    }

    /// The report as it is sent.
    pub fn report(&self) -> UsageReport {
        UsageReport { window: self.window, counts: self.counts.clone() }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    report: CommittedReport,
    /// Position among all that this instance learned.
    sequence: u64,
    /// This instance committed it.
    is_own: bool,
    /// The control service accepted it from this instance.
    is_sent: bool,
}

/// Committed reports of the last windows.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    entries: BTreeMap<u64, Entry>,
    sequence: u64,
}

impl Reports {
    /// Takes a committed report. The first one of a window counts: a store that was restored from a copy
    /// may hold another one, but this one may have been sent.
    pub fn insert(&mut self, report: CommittedReport, is_own: bool) {
        if self.entries.contains_key(&report.window) {
            return;
        }
        self.sequence += 1;
        let window = report.window;
        let entry = Entry { report, sequence: self.sequence, is_own, is_sent: false };
        self.entries.insert(window, entry);
    }

    /// The committed report of a window.
    pub fn get(&self, window: u64) -> Option<&CommittedReport> {
        self.entries.get(&window).map(|it| &it.report)
    }

    /// The first window with a committed report.
    pub fn first(&self) -> Option<u64> {
        self.entries.keys().next().copied()
    }

    /// Committed reports that this instance has not sent, oldest first.
    pub fn unsent(&self) -> impl Iterator<Item = &CommittedReport> {
        self.entries.values().filter(|it| !it.is_sent).map(|it| &it.report)
    }

    /// Records that the control service accepted a report.
    pub fn set_sent(&mut self, window: u64) {
        if let Some(it) = self.entries.get_mut(&window) {
            it.is_sent = true;
        }
    }

    /// Number of reports that were learned.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Reports that were learned after others; `own_only` leaves out those that other instances committed.
    pub fn since(&self, sequence: u64, own_only: bool) -> Vec<CommittedReport> {
        let entries = self.entries.values().filter(|it| it.sequence > sequence);
        entries.filter(|it| it.is_own || !own_only).map(|it| it.report.clone()).collect()
    }

    /// Drops reports of windows that are no longer kept while `current` is the current one.
    pub fn expire(&mut self, current: u64) {
        let oldest = (current + 1).saturating_sub(KEPT_WINDOWS);
        self.entries = self.entries.split_off(&oldest);
    }
}

//! Estimates how many requests an endpoint has from load reports that lag behind.

use std::collections::VecDeque;

/// Maximum number of changes kept since the last report; beyond it the two oldest are merged.
const MAX_CHANGES: usize = 64;

/// Requests at one endpoint: its last report, and what was sent and finished since.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// Requests running and waiting at the time of the last report.
    reported: u32,
    /// The time that the last report describes.
    as_of_ms: u64,
    /// Changes by this instance and its peers after the report, by time; at most
    /// [`MAX_CHANGES`].
    changes: VecDeque<Change>,
    /// Sum of the changes.
    net_change: i32,
    /// Requests that this instance has at the endpoint.
    local: u32,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at_ms: u64,
    by: i32,
}

impl LoadEstimate {
    /// Estimated number of requests at the endpoint; at least those of this instance.
    pub fn estimate(&self) -> u32 {
        self.reported.saturating_add_signed(self.net_change).max(self.local)
    }

    /// Requests at the endpoint according to the last report alone; 0 before the first report.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// The time that the last report describes; 0 before the first report.
    pub fn as_of_ms(&self) -> u64 {
        self.as_of_ms
    }

    /// Requests that this instance has at the endpoint.
    pub fn local(&self) -> u32 {
        self.local
    }

    /// Records that this instance sent a request to the endpoint.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.local += 1;
        self.record_change(now_ms, 1);
    }

    /// Records that a request of this instance ended at the endpoint.
    pub fn record_finished(&mut self, now_ms: u64) {
        self.local = self.local.saturating_sub(1);
        self.record_change(now_ms, -1);
    }

    /// Records that this instance or its peers changed the number of requests by `by` at about
    /// `at_ms`: positive for requests sent, negative for finished ones. Changes that the last
    /// report already includes are ignored.
    pub fn record_change(&mut self, at_ms: u64, by: i32) {
        if at_ms <= self.as_of_ms || by == 0 {
            return;
        }
        self.net_change += by;
        let after = self.changes.iter().rev().take_while(|it| it.at_ms > at_ms).count();
        self.changes.insert(self.changes.len() - after, Change { at_ms, by });
        if self.changes.len() > MAX_CHANGES
            && let Some(oldest) = self.changes.pop_front()
            && let Some(next) = self.changes.front_mut()
        {
            next.by += oldest.by;
        }
    }

    /// Applies a report unless it is no newer than the last one. Returns whether it was applied.
    pub fn apply_report(&mut self, requests: u32, as_of_ms: u64) -> bool {
        if as_of_ms <= self.as_of_ms {
            return false;
        }
        self.reported = requests;
        self.as_of_ms = as_of_ms;
        while let Some(it) = self.changes.pop_front_if(|it| it.at_ms <= as_of_ms) {
            self.net_change -= it.by;
        }
        true
    }
}

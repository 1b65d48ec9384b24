//! How many requests an endpoint has, worked out from a report that lags.

use std::collections::VecDeque;

/// Most changes kept since the last report; older ones are joined.
const CHANGE_LIMIT: usize = 64;

/// Requests at one endpoint: its last report, and what was sent and finished since.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// Running and waiting at the moment of the last report.
    reported: u32,
    /// The moment the last report describes.
    as_of_ms: u64,
    /// Changes by this instance and its peers after the report, by time; at most
    /// [`CHANGE_LIMIT`].
    changes: VecDeque<Change>,
    /// Sum of the changes.
    changed: i32,
    /// Requests that this instance has there now.
    own: u32,
}

#[derive(Clone, Copy, Debug)]
struct Change {
    at_ms: u64,
    by: i32,
}

impl LoadEstimate {
    /// Requests there, by the best knowledge; never fewer than this instance's own.
    pub fn estimate(&self) -> u32 {
        self.reported.saturating_add_signed(self.changed).max(self.own)
    }

    /// Requests there by the last report alone.
    pub fn reported(&self) -> u32 {
        self.reported
    }

    /// The moment the last report describes.
    pub fn as_of_ms(&self) -> u64 {
        self.as_of_ms
    }

    /// Requests that this instance has there.
    pub fn local(&self) -> u32 {
        self.own
    }

    /// This instance has sent a request.
    pub fn record_sent(&mut self, now_ms: u64) {
        self.own += 1;
        self.record_peer_change(now_ms, 1);
    }

    /// A request of this instance is no longer there.
    pub fn record_finished(&mut self, now_ms: u64) {
        self.own = self.own.saturating_sub(1);
        self.record_peer_change(now_ms, -1);
    }

    /// Peers have sent (or, if negative, finished) so many requests at about that time.
    pub fn record_peer_change(&mut self, at_ms: u64, by: i32) {
        if at_ms <= self.as_of_ms || by == 0 {
            return;
        }
        self.changed += by;
        let after = self.changes.iter().rev().take_while(|it| it.at_ms > at_ms).count();
        self.changes.insert(self.changes.len() - after, Change { at_ms, by });
        if self.changes.len() > CHANGE_LIMIT
            && let Some(oldest) = self.changes.pop_front()
            && let Some(next) = self.changes.front_mut()
        {
            next.by += oldest.by;
        }
    }

    /// Takes in a report, unless a newer one is known. Returns whether it was taken.
    pub fn apply_report(&mut self, requests: u32, as_of_ms: u64) -> bool {
        if as_of_ms <= self.as_of_ms {
            return false;
        }
        self.reported = requests;
        self.as_of_ms = as_of_ms;
        while let Some(it) = self.changes.pop_front_if(|it| it.at_ms <= as_of_ms) {
            self.changed -= it.by;
        }
        true
    }
}

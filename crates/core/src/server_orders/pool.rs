//! What is known of the servers of one zone and kind.

use super::{backoff::Backoff, fleet::PoolCount};

/// Pause after a notice before servers of the kind are ordered there again, in milliseconds. They cannot be had
/// for some time, and orders before that only fail.
const RECLAIM_PAUSE_MS: u64 = 4_000;

/// Servers of one zone and kind: what was ordered, and whether that is there.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    /// Number that was ordered last, or the most that were there before the first order.
    pub(super) desired: u32,
    /// Whether `desired` was ordered in this term.
    is_ordered: bool,
    /// Since when the list has another number than `desired`.
    differs_since_ms: Option<u64>,
    /// When a notice was seen that all servers are taken away, until servers are ordered again.
    pub(super) reclaimed_ms: Option<u64>,
    /// Since when the plan wants fewer.
    pub(super) surplus_since_ms: Option<u64>,
    pub(super) backoff: Backoff,
    pub(super) count: PoolCount,
}

impl Pool {
    /// Takes what the list has.
    pub(super) fn observe(&mut self, count: PoolCount, is_spot: bool, now_ms: u64) {
        self.count = count;
        if !self.is_ordered {
            self.desired = self.desired.max(count.serving);
        }
        if count.serving == self.desired {
            self.differs_since_ms = None;
        } else {
            self.differs_since_ms.get_or_insert(now_ms);
        }
        // A release leaves as many as were ordered; only a notice drains below that.
        let is_reclaimed =
            is_spot && count.serving < self.desired && count.draining * 2 >= self.desired.max(1);
        if is_reclaimed && self.reclaimed_ms.is_none() {
            self.reclaimed_ms = Some(now_ms);
            self.backoff.pause_until(now_ms.saturating_add(RECLAIM_PAUSE_MS));
        }
    }

    /// Whether the list has had another number than was ordered for `settle_ms`, which includes the boot time.
    pub(super) fn is_off(&self, settle_ms: u64, now_ms: u64) -> bool {
        self.differs_since_ms.is_some_and(|it| now_ms.saturating_sub(it) >= settle_ms)
    }

    /// Servers that serve or are expected to within `settle_ms`. Crashed servers are expected back.
    pub(super) fn expected(&self, settle_ms: u64, now_ms: u64) -> u32 {
        let is_short = self.reclaimed_ms.is_some() || self.is_off(settle_ms, now_ms);
        if is_short { self.count.serving } else { self.desired }
    }

    /// Servers that were released and are not draining yet.
    pub(super) fn pending_release(&self) -> u32 {
        self.count.serving.saturating_sub(self.desired)
    }

    /// Records that an order was accepted. One that only repeats the number does not make up for servers that
    /// do not come: the next repetition is due after `settle_ms`.
    pub(super) fn record_accepted(&mut self, desired: u32, settle_ms: u64, now_ms: u64) {
        self.backoff.record_success();
        if desired == self.desired && self.reclaimed_ms.is_none() && self.is_ordered {
            self.backoff.pause_until(now_ms.saturating_add(settle_ms));
            return;
        }
        self.desired = desired;
        self.is_ordered = true;
        self.reclaimed_ms = None;
        self.surplus_since_ms = None;
        self.differs_since_ms = (self.count.serving != desired).then_some(now_ms);
    }
}

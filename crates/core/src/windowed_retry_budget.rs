//! Retry budget over a sliding window, divided between instances without communication.
//!
//! Guards against retry storms: when endpoints fail many requests at once under high load,
//! unlimited retries would multiply the load on the remaining endpoints.

use std::collections::VecDeque;

/// Part of the window's allowance that may be spent. The rest is a margin for retries that arrive
/// late and count in a later window.
const SAFETY_FACTOR: f64 = 0.8;

/// Part of its slack that an instance may spend in its first window. With [`SAFETY_FACTOR`] all
/// instances together stay within the slack even if all of them restart in one window.
const FIRST_WINDOW_FACTOR: f64 = 0.25;

/// Limits on the retries of all instances together.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindowSettings {
    /// Retries allowed for each client request.
    pub ratio: f64,
    /// Retries that all instances together may add to that in one window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// Retry budget of this instance for one service.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    settings: RetryWindowSettings,
    /// Start of the instance. The process that it replaces may have spent its slack just before.
    started_ms: u64,
    /// Arrival times of client requests in the window, oldest first.
    requests: VecDeque<u64>,
    /// Send times of retries in the window, oldest first.
    retries: VecDeque<u64>,
}

impl WindowedRetryBudget {
    /// Creates the budget of an instance that starts now.
    pub fn new(settings: RetryWindowSettings, now_ms: u64) -> WindowedRetryBudget {
        let (requests, retries) = Default::default();
        WindowedRetryBudget { settings, started_ms: now_ms, requests, retries }
    }

    /// Records the arrival of a client request for the service.
    pub fn record_request(&mut self, now_ms: u64) {
        self.drop_expired(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Consumes one retry if this instance's share of a budget shared by `instances` allows it.
    /// Returns whether it did.
    pub fn try_acquire(&mut self, instances: usize, now_ms: u64) -> bool {
        if !self.is_available(instances, now_ms) {
            return false;
        }
        self.retries.push_back(now_ms);
        true
    }

    /// Returns whether one more retry is allowed, without consuming it.
    pub fn is_available(&mut self, instances: usize, now_ms: u64) -> bool {
        self.drop_expired(now_ms);
        let earned = self.settings.ratio * self.requests.len() as f64;
        let is_past_first_window = now_ms >= self.started_ms + self.settings.window_ms;
        let factor = if is_past_first_window { 1.0 } else { FIRST_WINDOW_FACTOR };
        let slack = factor * self.settings.slack / instances.max(1) as f64;
        (self.retries.len() + 1) as f64 <= SAFETY_FACTOR * (earned + slack)
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.settings.window_ms);
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|it| *it < since_ms) {
                times.pop_front();
            }
        }
    }
}

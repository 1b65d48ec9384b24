//! The share of the fleet's repeats that one instance may spend without asking others.
//!
//! Load pattern: endpoints fail many requests at once while clients press, so that repeats
//! would multiply the load on what is left.

use std::collections::VecDeque;

/// Part of the window's allowance that is left unspent, so that late arrivals cannot break it.
const SAFETY: f64 = 0.8;

/// Part of the slack that an instance spends in its first window. With [`SAFETY`] the fleet stays
/// within the slack even if all instances start anew in one window.
const FIRST_WINDOW: f64 = 0.25;

/// Bounds of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryWindowSettings {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats the whole fleet may add in a window.
    pub slack: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

/// What this instance may repeat at one service.
#[derive(Clone, Debug)]
pub struct WindowedRetryBudget {
    settings: RetryWindowSettings,
    /// When it began; an earlier incarnation may have spent its slack just before.
    started_ms: u64,
    /// When requests came, oldest first; within the window.
    requests: VecDeque<u64>,
    /// When repeats were sent, oldest first; within the window.
    repeats: VecDeque<u64>,
}

impl WindowedRetryBudget {
    /// A budget of an instance that starts now.
    pub fn new(settings: RetryWindowSettings, now_ms: u64) -> WindowedRetryBudget {
        let (requests, repeats) = Default::default();
        WindowedRetryBudget { settings, started_ms: now_ms, requests, repeats }
    }

    /// A client's request for the service arrived.
    pub fn record_request(&mut self, now_ms: u64) {
        self.forget(now_ms);
        self.requests.push_back(now_ms);
    }

    /// Takes one repeat if the share of an instance among `instances` allows it.
    pub fn try_acquire(&mut self, instances: usize, now_ms: u64) -> bool {
        if !self.is_available(instances, now_ms) {
            return false;
        }
        self.repeats.push_back(now_ms);
        true
    }

    /// Whether one more repeat is allowed.
    pub fn is_available(&mut self, instances: usize, now_ms: u64) -> bool {
        self.forget(now_ms);
        let earned = self.settings.ratio * self.requests.len() as f64;
        let settled = now_ms >= self.started_ms + self.settings.window_ms;
        let part = if settled { 1.0 } else { FIRST_WINDOW };
        let slack = part * self.settings.slack / instances.max(1) as f64;
        (self.repeats.len() + 1) as f64 <= SAFETY * (earned + slack)
    }

    fn forget(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.settings.window_ms);
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|it| *it < since_ms) {
                times.pop_front();
            }
        }
    }
}

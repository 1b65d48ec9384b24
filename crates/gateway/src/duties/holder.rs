//! The right of this instance to call the control service.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tanagergauge_core::{
    Name,
    duties::{CallError, CallPermit},
    lease::{HeardRecord, Lease, LeaseTiming},
    owner::Owner,
};

use crate::boot_clock;

/// How long before the end of the lease a call has to be over, in milliseconds.
const LEASE_MARGIN_MS: u64 = 250;
/// Longest time of a call, in milliseconds.
const MAX_CALL_MS: u64 = 1_200;
/// Least time that a call is begun with, in milliseconds.
const MIN_CALL_MS: u64 = 100;
/// By how much longer than its duration others wait for the end of a lease, in milliseconds.
const LEASE_WAIT_MARGIN_MS: u64 = 500;
/// Interval of renewals, in milliseconds.
const RENEW_INTERVAL_MS: u64 = 1_000;
/// Time after which a holder whose calls all fail gives the lease up, in milliseconds.
const FAILING_RELEASE_MS: u64 = 3_000;
/// Time for which such a holder doesn't claim again, in milliseconds.
const FAILED_PAUSE_MS: u64 = 10_000;
/// Part of the calls that the service accepts which is used; the rest allows for uneven delays.
const CALL_RATE_USED: f64 = 0.9;

/// The right of this instance to call the control service, while it holds the lease of the duties.
pub(crate) struct Holder {
    name: Name,
    /// Time between the beginnings of two calls, in milliseconds.
    call_interval_ms: u64,
    state: Mutex<State>,
}

struct State {
    lease: Lease,
    /// The lease is being given up.
    is_releasing: bool,
    calls_in_progress: u32,
    /// Latest deadline of all calls.
    calls_until_ms: u64,
    next_call_ms: u64,
    /// A peer has read that the lease was given up; this instance has not.
    has_heard_release: bool,
    /// Since when every call has failed.
    failing_since_ms: Option<u64>,
}

impl Holder {
    pub(super) fn new(owner: Owner, lease_ms: u64, calls_per_s: f64) -> Holder {
        let timing = LeaseTiming {
            duration_ms: lease_ms,
            margin_ms: LEASE_WAIT_MARGIN_MS,
            renew_before_ms: lease_ms.saturating_sub(RENEW_INTERVAL_MS),
        };
        let name = owner.instance.clone();
        let state = State {
            lease: Lease::new(owner, timing, boot_clock::now_ms()),
            is_releasing: false,
            calls_in_progress: 0,
            calls_until_ms: 0,
            next_call_ms: 0,
            has_heard_release: false,
            failing_since_ms: None,
        };
        let call_interval_ms = (1000.0 / (calls_per_s * CALL_RATE_USED)).ceil() as u64;
        Holder { name, call_interval_ms, state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The right to make one call now; `None` while this instance doesn't hold the lease, its rest is too
    /// short, or a call was begun only just now. [`Holder::record_call`] has to follow.
    pub(crate) fn permit(&self) -> Option<CallPermit> {
        let mut state = self.lock();
        let now_ms = boot_clock::now_ms();
        if state.is_releasing || now_ms < state.next_call_ms {
            return None;
        }
        let (fencing_token, until_ms) = state.lease.token(now_ms)?;
        let deadline_ms = until_ms.saturating_sub(LEASE_MARGIN_MS).min(now_ms + MAX_CALL_MS);
        if deadline_ms < now_ms + MIN_CALL_MS {
            return None;
        }
        state.next_call_ms = now_ms + self.call_interval_ms;
        state.calls_in_progress += 1;
        state.calls_until_ms = state.calls_until_ms.max(deadline_ms);
        state.lease.record_call(deadline_ms);
        Some(CallPermit { holder: self.name.clone(), fencing_token, deadline_ms })
    }

    /// Records how the call of a permit ended.
    pub(crate) fn record_call(&self, result: &Result<(), CallError>) {
        let mut state = self.lock();
        state.calls_in_progress = state.calls_in_progress.saturating_sub(1);
        let now_ms = boot_clock::now_ms();
        match result {
            Err(CallError::Unreachable | CallError::Silent | CallError::Failed) => {
                state.failing_since_ms.get_or_insert(now_ms);
            }
            Err(CallError::Fenced) => {
                // The service has seen a later term.
                let _ = state.lease.release(now_ms);
            }
            Ok(()) | Err(CallError::RateLimited | CallError::Unavailable | CallError::Rejected) => {
                state.failing_since_ms = None;
            }
        }
    }

    /// The fencing token while this instance holds the lease.
    pub(crate) fn token(&self) -> Option<u64> {
        self.lock().lease.token(boot_clock::now_ms()).map(|(token, _)| token)
    }

    /// Whether the calls have failed for so long that another instance should try.
    pub(super) fn is_cut_off(&self) -> bool {
        let now_ms = boot_clock::now_ms();
        let since_ms = self.lock().failing_since_ms;
        since_ms.is_some_and(|it| now_ms >= it + FAILING_RELEASE_MS)
    }

    /// Stops making calls. Returns whether none is under way any more.
    pub(super) fn begin_release(&self) -> bool {
        let mut state = self.lock();
        state.is_releasing = true;
        state.calls_in_progress == 0 || boot_clock::now_ms() > state.calls_until_ms
    }

    /// Allows calls in a new term.
    pub(super) fn begin_term(&self) {
        let mut state = self.lock();
        state.is_releasing = false;
        state.calls_in_progress = 0;
        state.failing_since_ms = None;
    }

    /// Calls may be made again, once the lease was granted anew.
    pub(super) fn end_release(&self) {
        let mut state = self.lock();
        state.is_releasing = false;
        state.calls_in_progress = 0;
        if state.failing_since_ms.take().is_some() {
            let now_ms = boot_clock::now_ms();
            state.lease.record_call(now_ms + FAILED_PAUSE_MS);
        }
    }

    /// Takes note of a record of the lease that a peer has read, `age_ms` ago or less. One that gives the
    /// lease up has to be read at once, if it is news.
    pub(super) fn hear(&self, era: u64, offset: u64, age_ms: u64, is_released: bool) {
        let mut state = self.lock();
        let now_ms = boot_clock::now_ms();
        state.lease.set_era(era, now_ms);
        let at_ms = now_ms.saturating_sub(age_ms);
        state.has_heard_release |=
            is_released && era == state.lease.era() && offset >= state.lease.next_offset();
        state.lease.hear(HeardRecord { era, offset, at_ms });
    }

    /// Whether a peer has read that the lease was given up since the last call of this function.
    pub(super) fn take_heard_release(&self) -> bool {
        std::mem::take(&mut self.lock().has_heard_release)
    }

    /// Applies a change to the lease.
    pub(super) fn with_lease<T>(&self, change: impl FnOnce(&mut Lease, u64) -> T) -> T {
        change(&mut self.lock().lease, boot_clock::now_ms())
    }
}

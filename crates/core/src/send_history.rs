//! Decides whether a request is sent again after a send that failed.

use crate::routing::RetrySafety;

/// How a send ended without a response that can be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The endpoint responded that it did not run the request.
    Refused,
    /// Another endpoint has taken over the address; the request did not run.
    Replaced,
    /// The connection broke after a part of the request was sent.
    Broke,
    /// No response arrived in time.
    Silent,
    /// The response belongs to another request or cannot be parsed.
    BadAnswer,
    /// The endpoint responded with a server error.
    Failed,
    /// The response may be whole or not, and only another endpoint can tell.
    EndUnknown,
    /// The endpoint is about to be taken away, so that its stream is moved.
    Leaving,
    /// Another endpoint went on with the request first.
    Superseded,
    /// Another process may have taken the place of the endpoint, so that nothing was sent.
    Unproven,
}

impl Failure {
    /// Whether the endpoint may have run the request.
    pub fn may_have_run(self) -> bool {
        match self {
            Failure::Unreachable | Failure::Refused | Failure::Replaced | Failure::Unproven => {
                false
            }
            Failure::Broke
            | Failure::Silent
            | Failure::BadAnswer
            | Failure::Failed
            | Failure::EndUnknown
            | Failure::Leaving
            | Failure::Superseded => true,
        }
    }

    /// Whether the request reached an endpoint, so that another send counts as a retry.
    pub fn reached_endpoint(self) -> bool {
        !matches!(self, Failure::Unreachable | Failure::Unproven)
    }
}

/// Counts of a request's failed sends.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendHistory {
    /// Sends after which the endpoint may have run the request.
    pub may_have_run: u32,
    /// Sends that reached an endpoint.
    pub reached: u32,
    /// Sends for which no connection could be opened, or none that could be used.
    pub unreachable: u32,
}

/// Maximum number of sends of one request, however they fail.
pub const MAX_SENDS: u32 = 6;

/// Minimum time left for a send, as a fraction of the goal. With less, no endpoint can respond in
/// time, and the request would only occupy a slot.
const MIN_TIME_FRACTION: f64 = 0.1;

/// Whether the time left suffices for an endpoint to respond. On a route without a goal, any time
/// does.
pub fn has_time_to_send(left_ms: f64, goal_ms: u64) -> bool {
    left_ms > 0.0 && left_ms >= MIN_TIME_FRACTION * goal_ms as f64
}

/// What to do after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another endpoint.
    Resend {
        /// The send is a retry, which the retry budget must allow first.
        uses_retry_budget: bool,
    },
    /// Tell the caller that the request did not run.
    NotRun,
    /// Tell the caller that the request may have run.
    Unknown,
}

impl SendHistory {
    /// Counts a failed send.
    pub fn record_failure(&mut self, failure: Failure) {
        self.may_have_run += u32::from(failure.may_have_run());
        self.reached += u32::from(failure.reached_endpoint());
        self.unreachable += u32::from(!failure.reached_endpoint());
    }

    /// Takes back a failure that was counted: the request goes on where it was sent.
    pub fn retract_failure(&mut self, failure: Failure) {
        self.may_have_run -= u32::from(failure.may_have_run());
        self.reached -= u32::from(failure.reached_endpoint());
        self.unreachable -= u32::from(!failure.reached_endpoint());
    }

    /// What to do after the last failure. `attempts` is the route's maximum number of endpoints
    /// that may have run the request; sends that certainly did not run are bounded only by
    /// [`MAX_SENDS`].
    pub fn next_step(&self, retry_safety: RetrySafety, attempts: u32) -> NextStep {
        let may_have_run = self.may_have_run > 0;
        let exhausted = self.reached + self.unreachable >= MAX_SENDS;
        let may_run_again =
            !may_have_run || (retry_safety.allows_resend() && self.may_have_run < attempts);
        if may_run_again && !exhausted {
            return NextStep::Resend { uses_retry_budget: self.reached > 0 };
        }
        if may_have_run { NextStep::Unknown } else { NextStep::NotRun }
    }
}

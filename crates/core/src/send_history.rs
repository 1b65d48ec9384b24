//! What to do after a sending that brought no answer.

use crate::routing::RetrySafety;

/// How one sending ended without an answer that can be delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// No connection: nothing was written.
    Unreachable,
    /// The endpoint said that it did not run the request.
    Refused,
    /// Another endpoint has the address; the request did not run.
    Replaced,
    /// The connection broke after something was written.
    Broke,
    /// No answer in time.
    Silent,
    /// The answer is not one to this request, or cannot be read.
    BadAnswer,
    /// The endpoint answered that it failed.
    Failed,
}

impl Failure {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Failure::Broke | Failure::Silent | Failure::BadAnswer | Failure::Failed)
    }

    /// Whether it reached an endpoint, so that another sending counts as a retry.
    pub fn reached_endpoint(self) -> bool {
        self != Failure::Unreachable
    }
}

/// What a request has behind it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendHistory {
    /// Endpoints that may have run it.
    pub may_have_run: u32,
    /// Endpoints that it reached.
    pub reached: u32,
    /// Endpoints that could not be reached.
    pub unreachable: u32,
}

/// Most endpoints tried for one request, whatever they answer.
pub const MAX_SENDS: u32 = 6;

/// Part of its goal that a request must have left to be sent; with less no endpoint can answer,
/// and it would only take a place.
const LEAST_TIME: f64 = 0.1;

/// Whether an endpoint could do anything in the time that is left.
pub fn has_time_to_send(left_ms: f64, goal_ms: u64) -> bool {
    left_ms > 0.0 && left_ms >= LEAST_TIME * goal_ms as f64
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another endpoint.
    Resend {
        /// It must be taken from the budget of repeats first.
        uses_retry_budget: bool,
    },
    /// Tell the caller that it did not run.
    NotRun,
    /// Tell the caller that nobody knows.
    Unknown,
}

impl SendHistory {
    /// Notes a sending that failed.
    pub fn record_failure(&mut self, failure: Failure) {
        self.may_have_run += u32::from(failure.may_have_run());
        self.reached += u32::from(failure.reached_endpoint());
        self.unreachable += u32::from(!failure.reached_endpoint());
    }

    /// What comes next for a request of that kind on a route with that many attempts.
    pub fn next_step(&self, retry_safety: RetrySafety, attempts: u32) -> NextStep {
        let ran = self.may_have_run > 0;
        let over = self.reached + self.unreachable >= MAX_SENDS;
        let may_run_again = !ran || (retry_safety.allows_resend() && self.may_have_run < attempts);
        if may_run_again && !over {
            return NextStep::Resend { uses_retry_budget: self.reached > 0 };
        }
        if ran { NextStep::Unknown } else { NextStep::NotRun }
    }
}

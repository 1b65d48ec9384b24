//! What the scheduler asks its caller to do next.

use crate::{Reason, endpoint_pool::EndpointIndex};

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the job with this id to this endpoint.
    Send(u64, EndpointIndex),
    /// Tell the client of the job with this id that this attempt was not run.
    Refuse(u64, Refused),
    /// Nothing to do for now. Ask again at `until_ms`, or earlier if the state changes.
    Wait {
        /// Time of the next call, in milliseconds of the scheduler's clock.
        until_ms: u64,
    },
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason reported to the client.
    pub reason: Reason,
    /// Delay before the client should retry, in milliseconds. Absent if there is no estimate.
    pub retry_after_ms: Option<u64>,
}

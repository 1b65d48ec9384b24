//! What the policy says to do next.

use crate::{Reason, endpoint_pool::EndpointIndex};

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the job there.
    Send(u64, EndpointIndex),
    /// Tell its caller that it did not run (this time).
    Refuse(u64, Refused),
    /// Nothing until then, unless something happens.
    Wait {
        /// When to ask again.
        until_ms: u64,
    },
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// When the caller may come again.
    pub retry_after_ms: Option<u64>,
}

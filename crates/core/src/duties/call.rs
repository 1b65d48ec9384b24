//! Calls to the control service.

use std::collections::BTreeMap;

use crate::Name;

/// The right to make one call, checked immediately before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallPermit {
    /// Name of this instance, which holds the duties.
    pub holder: Name,
    /// Fencing token of the term; never lower than that of an earlier call of any holder.
    pub fencing_token: u64,
    /// When the call must not be under way any more, in milliseconds of the clock that also runs while the
    /// machine is suspended. It is a point in time, so that a process that was frozen after the check makes
    /// no call.
    pub deadline_ms: u64,
}

/// How many requests of each client account began to run in a window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by client account.
    pub counts: BTreeMap<Name, u64>,
}

/// An order for the number of servers of one kind that a service has in an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOrder {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub availability_zone: Name,
    /// Number of servers, those that are there included.
    pub desired: u32,
    /// Whether spot servers are ordered; these are counted apart from on-demand servers.
    pub is_spot: bool,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CallError {
    /// No connection could be opened; nothing was sent.
    Unreachable,
    /// No complete response arrived in time; the call may have taken effect.
    Silent,
    /// More calls were made than the service takes (429).
    RateLimited,
    /// The service refused a stale fencing token.
    Fenced,
    /// The order cannot be met now (409).
    Unavailable,
    /// The service failed (5xx).
    Failed,
    /// The service rejected the call as invalid (another 4xx).
    Rejected,
}

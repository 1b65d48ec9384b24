//! A queued request.

use crate::Name;

/// A queued request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Unique in the queue.
    pub id: u64,
    /// Service class.
    pub class: Name,
    /// Rank of the class's tier; 0 is the most urgent.
    pub tier_rank: usize,
    /// The class's floor: the share of dispatches it gets under any load, in percent.
    pub floor_percent: u32,
    /// Client account.
    pub account: Name,
    /// Model or service requested.
    pub target: Name,
    /// Memory held by the request, in bytes.
    pub bytes: usize,
    /// Time of arrival, in milliseconds.
    pub arrived_ms: u64,
    /// Latest dispatch that can still meet the deadline, in milliseconds.
    pub start_by_ms: u64,
    /// Latest dispatch that can still meet the first-token target, in milliseconds.
    pub first_token_start_by_ms: u64,
    /// Expected cost of prompt and output, in output tokens.
    pub cost_tokens: u64,
    /// Whether an earlier attempt has delivered tokens; such an entry is never evicted.
    pub is_resumption: bool,
}

//! Batches idempotency-key claims, so that one append to the log carries many of them.

use std::collections::VecDeque;

use crate::{
    claim::{Claim, ClaimRecord},
    owner::Owner,
};

/// Maximum number of claims in one record.
pub const MAX_CLAIMS: usize = 512;

/// When the next append is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// No claims are pending.
    Never,
    /// Append at once.
    Now,
    /// Append at this time, in milliseconds.
    At(u64),
}

/// Claims that are pending for the next append to a partition.
///
/// The first claim after an idle period is due at once, so that a single claim is not delayed;
/// later ones are due when the spacing has passed since the last append, whether or not that
/// append succeeded.
#[derive(Clone, Debug)]
pub struct ClaimBatch {
    owner: Owner,
    spacing_ms: u64,
    appended_ms: Option<u64>,
    pending: VecDeque<Claim>,
}

impl ClaimBatch {
    /// Creates an empty batch for `owner` whose appends are at least `spacing_ms` apart.
    pub fn new(owner: Owner, spacing_ms: u64) -> ClaimBatch {
        ClaimBatch { owner, spacing_ms, appended_ms: None, pending: VecDeque::new() }
    }

    /// Adds a claim unless it is pending already.
    pub fn push(&mut self, claim: Claim) {
        if !self.pending.contains(&claim) {
            self.pending.push_back(claim);
        }
    }

    /// When to append next.
    pub fn due(&self, now_ms: u64) -> Due {
        if self.pending.is_empty() {
            return Due::Never;
        }
        match self.appended_ms.map(|it| it + self.spacing_ms) {
            Some(at_ms) if at_ms > now_ms => Due::At(at_ms),
            _ => Due::Now,
        }
    }

    /// Removes up to [`MAX_CLAIMS`] pending claims, oldest first, as the record to append now.
    pub fn take(&mut self, now_ms: u64) -> ClaimRecord {
        self.appended_ms = Some(now_ms);
        let count = self.pending.len().min(MAX_CLAIMS);
        ClaimRecord { owner: self.owner.clone(), claims: self.pending.drain(..count).collect() }
    }
}

//! Many claims in one append.

use std::collections::VecDeque;

use crate::{
    claim::{Claim, ClaimRecord},
    owner::Owner,
};

/// Claims in one record at most.
pub const MAX_CLAIMS: usize = 512;

/// What to do about the claims that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// Nothing waits.
    Never,
    /// Append at once.
    Now,
    /// Append at this time, in milliseconds.
    At(u64),
}

/// Claims that wait for the next append of a partition.
///
/// The first one after a pause goes at once, so that a lone claim waits for nothing;
/// the next ones wait until the spacing has passed, whatever became of earlier appends.
#[derive(Clone, Debug)]
pub struct ClaimBatch {
    owner: Owner,
    spacing_ms: u64,
    appended_ms: Option<u64>,
    waiting: VecDeque<Claim>,
}

impl ClaimBatch {
    /// An empty batch of that owner, with appends at least that far apart.
    pub fn new(owner: Owner, spacing_ms: u64) -> ClaimBatch {
        ClaimBatch { owner, spacing_ms, appended_ms: None, waiting: VecDeque::new() }
    }

    /// Adds a claim, if it does not wait already.
    pub fn push(&mut self, claim: Claim) {
        if !self.waiting.contains(&claim) {
            self.waiting.push_back(claim);
        }
    }

    /// When to append next.
    pub fn due(&self, now_ms: u64) -> Due {
        if self.waiting.is_empty() {
            return Due::Never;
        }
        match self.appended_ms.map(|it| it + self.spacing_ms) {
            Some(at_ms) if at_ms > now_ms => Due::At(at_ms),
            _ => Due::Now,
        }
    }

    /// Takes the record to append now.
    pub fn take(&mut self, now_ms: u64) -> ClaimRecord {
        self.appended_ms = Some(now_ms);
        let count = self.waiting.len().min(MAX_CLAIMS);
        ClaimRecord { owner: self.owner.clone(), claims: self.waiting.drain(..count).collect() }
    }
}

//! Endpoints that said in a response that they are about to stop.
//!
//! Their entries in the list may say so later or not at all, and an entry may lapse and come back, so
//! this is kept beside the list. It holds for one start of an endpoint's process.

use std::collections::HashMap;

use crate::Name;

/// Time since the last such response after which an endpoint that is not listed is forgotten, in
/// milliseconds.
const UNLISTED_MAX_AGE_MS: u64 = 600_000;

/// The endpoints that told this instance that they leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    by_endpoint: HashMap<Name, Entry>,
}

/// What an endpoint told.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start of the process that leaves, in milliseconds of Unix time; 0 if it is not known.
    incarnation: u64,
    /// Monotonic time of its last response that said so.
    told_ms: u64,
}

impl LeavingEndpoints {
    /// Records that a process of an endpoint said that it leaves. `now_ms` is monotonic. Returns
    /// whether that is new.
    pub fn record(&mut self, endpoint: &Name, incarnation: u64, now_ms: u64) -> bool {
        let known = self.by_endpoint.get(endpoint).map(|it| it.incarnation);
        if known.is_some_and(|it| it > incarnation) {
            // The response is one of an earlier process.
            return false;
        }
        self.by_endpoint.insert(endpoint.clone(), Entry { incarnation, told_ms: now_ms });
        known != Some(incarnation)
    }

    /// Whether a process of an endpoint said that it leaves.
    pub fn contains(&self, endpoint: &str, incarnation: u64) -> bool {
        self.by_endpoint.get(endpoint).is_some_and(|it| it.incarnation == incarnation)
    }

    /// Forgets processes that have been gone for long. `listed` is the start of an endpoint's process
    /// according to the list; `None` if it is not listed. Where the start is unknown, a process counts
    /// as gone once it has long not said that it leaves, since a new one cannot be recognized.
    pub fn expire(&mut self, listed: impl Fn(&Name) -> Option<u64>, now_ms: u64) {
        self.by_endpoint.retain(|endpoint, it| {
            let is_listed = it.incarnation != 0 && listed(endpoint) == Some(it.incarnation);
            is_listed || now_ms.saturating_sub(it.told_ms) < UNLISTED_MAX_AGE_MS
        });
    }
}

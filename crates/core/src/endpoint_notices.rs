//! What endpoints told this instance in responses about requests to come: that they are about to
//! stop, or that they want none for a time.
//!
//! An endpoint's entry in the list may tell neither, and may lapse and come back, so this is kept
//! beside the list. It holds for one start of an endpoint's process, and for this instance only.

use std::collections::HashMap;

use crate::Name;

/// Time since the last such response after which an endpoint that is not listed is forgotten, in
/// milliseconds.
const UNLISTED_MAX_AGE_MS: u64 = 600_000;

/// The endpoints that told something, and what.
#[derive(Clone, Debug, Default)]
pub struct EndpointNotices {
    by_endpoint: HashMap<Name, Entry>,
}

/// What one process of an endpoint told.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Start of the process, in milliseconds of Unix time; 0 if it is not known.
    incarnation: u64,
    /// Monotonic time of the last response that told something.
    told_ms: u64,
    is_leaving: bool,
    /// Monotonic time until which it wants no requests; never earlier than it asked for before.
    backoff_until_ms: u64,
}

impl EndpointNotices {
    /// Records that a process of an endpoint said that it leaves. `now_ms` is monotonic. Returns
    /// whether that is new.
    pub fn record_leaving(&mut self, endpoint: &Name, incarnation: u64, now_ms: u64) -> bool {
        let Some(entry) = self.entry(endpoint, incarnation, now_ms) else { return false };
        !std::mem::replace(&mut entry.is_leaving, true)
    }

    /// Records that a process of an endpoint wants no requests before `until_ms`. Both times are
    /// monotonic. Returns whether it had not asked for that before.
    pub fn record_backoff(
        &mut self,
        endpoint: &Name,
        incarnation: u64,
        until_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(entry) = self.entry(endpoint, incarnation, now_ms) else { return false };
        let is_new = entry.backoff_until_ms <= now_ms;
        entry.backoff_until_ms = entry.backoff_until_ms.max(until_ms);
        is_new
    }

    /// The entry of a process; `None` if a later process of the endpoint is known.
    fn entry(&mut self, endpoint: &Name, incarnation: u64, now_ms: u64) -> Option<&mut Entry> {
        let new = Entry { incarnation, told_ms: now_ms, is_leaving: false, backoff_until_ms: 0 };
        let entry = self.by_endpoint.entry(endpoint.clone()).or_insert(new);
        if entry.incarnation > incarnation {
            return None;
        }
        if entry.incarnation < incarnation {
            *entry = new;
        }
        entry.told_ms = now_ms;
        Some(entry)
    }

    /// Whether a process of an endpoint said that it leaves.
    pub fn is_leaving(&self, endpoint: &str, incarnation: u64) -> bool {
        self.of_process(endpoint, incarnation).is_some_and(|it| it.is_leaving)
    }

    /// Milliseconds for which a process of an endpoint wants no requests; 0 if it takes them.
    pub fn backoff_ms(&self, endpoint: &str, incarnation: u64, now_ms: u64) -> u64 {
        let entry = self.of_process(endpoint, incarnation);
        entry.map_or(0, |it| it.backoff_until_ms.saturating_sub(now_ms))
    }

    fn of_process(&self, endpoint: &str, incarnation: u64) -> Option<&Entry> {
        self.by_endpoint.get(endpoint).filter(|it| it.incarnation == incarnation)
    }

    /// Forgets processes that have been gone for long. `listed` is the start of an endpoint's process
    /// according to the list; `None` if it is not listed. Where the start is unknown, a process counts
    /// as gone once it has long told nothing, since a new one cannot be recognized.
    pub fn expire(&mut self, listed: impl Fn(&Name) -> Option<u64>, now_ms: u64) {
        self.by_endpoint.retain(|endpoint, it| {
            let is_listed = it.incarnation != 0 && listed(endpoint) == Some(it.incarnation);
            let is_in_force = it.is_leaving || it.backoff_until_ms > now_ms;
            let is_recent = now_ms.saturating_sub(it.told_ms) < UNLISTED_MAX_AGE_MS;
            is_in_force && (is_listed || is_recent)
        });
    }
}

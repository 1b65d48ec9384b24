//! Requests that crash the endpoints that run them, over all instances.
//!
//! Load pattern: a request that crashes whatever runs it comes again and again, each time at
//! another instance. One instance sees too few crashes to tell it from a bystander, so they tell
//! each other.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    news::News,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, Suspicion},
};

/// How long after a request broke off the loss of its endpoint is put down to it, in
/// milliseconds. The list of endpoints drops one that crashed within this time.
const BROKEN_MEMORY_MS: u64 = 6_000;
/// Requests that broke off of late; beyond it the oldest are forgotten.
const BROKEN_LIMIT: usize = 1_024;
/// Changes that are remembered for peers; one that is further behind misses the older.
const NEWS_LIMIT: usize = 512;

/// What is known of requests that crash endpoints.
#[derive(Clone, Debug)]
pub struct Suspects {
    quarantine: Quarantine,
    /// Oldest first; at most [`BROKEN_LIMIT`].
    broken: VecDeque<Broken>,
    /// Requests of which something new became known.
    news: News<Fingerprint>,
}

/// A request that broke off at an endpoint.
#[derive(Clone, Debug)]
struct Broken {
    endpoint: Name,
    fingerprint: Fingerprint,
    at_ms: u64,
}

/// What is known against one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Which request.
    pub fingerprint: Fingerprint,
    /// What is known against it.
    pub suspicion: Suspicion,
}

/// What a peer has not heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdates {
    /// Requests of which something new is known.
    pub suspects: Vec<Suspect>,
    /// Where to go on hearing.
    pub next: u64,
}

impl Suspects {
    /// Nothing is known.
    pub fn new(instance: Name, settings: QuarantineSettings) -> Suspects {
        Suspects {
            quarantine: Quarantine::new(instance, settings),
            broken: VecDeque::new(),
            news: News::new(NEWS_LIMIT),
        }
    }

    /// Requests that something is known against.
    pub fn len(&self) -> usize {
        self.quarantine.len()
    }

    /// Whether anything is known against any request.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Whether a request may not run.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.quarantine.is_quarantined(fingerprint, now_ms)
    }

    /// A request broke off at an endpoint, which may have crashed.
    pub fn record_interrupted(&mut self, endpoint: &Name, fingerprint: Fingerprint, now_ms: u64) {
        if self.broken.len() >= BROKEN_LIMIT {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken { endpoint: endpoint.clone(), fingerprint, at_ms: now_ms });
    }

    /// An endpoint crashed: it takes no connections, or left the list. Returns how many requests
    /// that is put down to.
    pub fn record_endpoint_loss(&mut self, endpoint: &Name, now_ms: u64) -> usize {
        let since_ms = now_ms.saturating_sub(BROKEN_MEMORY_MS);
        self.broken.retain(|it| it.at_ms >= since_ms);
        let there = self.broken.iter().filter(|it| it.endpoint == *endpoint);
        let running: Vec<Fingerprint> = there.map(|it| it.fingerprint).collect();
        self.broken.retain(|it| it.endpoint != *endpoint);
        if !running.is_empty() {
            self.quarantine.lost(endpoint, &running, now_ms);
            self.note_news();
        }
        running.len()
    }

    /// A request ran whole, so that earlier crashes were another's doing.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.quarantine.ran(fingerprint, now_ms);
        self.note_news();
    }

    /// What a peer has not heard that heard everything up to a place.
    pub fn updates_since(&self, heard: u64) -> SuspectUpdates {
        let mut unheard: Vec<Fingerprint> = self.news.since(heard).copied().collect();
        unheard.sort_unstable();
        unheard.dedup();
        let suspect = |fingerprint: Fingerprint| {
            let suspicion = self.quarantine.suspicion_of(fingerprint)?.clone();
            Some(Suspect { fingerprint, suspicion })
        };
        let suspects = unheard.into_iter().filter_map(suspect).collect();
        SuspectUpdates { suspects, next: self.news.next() }
    }

    /// Takes in what a peer knows; what is new is passed on.
    pub fn merge(&mut self, suspects: Vec<Suspect>) {
        if suspects.is_empty() {
            return;
        }
        let known: Vec<(Fingerprint, Suspicion)> =
            suspects.into_iter().map(|it| (it.fingerprint, it.suspicion)).collect();
        self.quarantine.merge(&known);
        self.note_news();
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
    }

    fn note_news(&mut self) {
        self.news.add(self.quarantine.changes().into_iter().map(|(fingerprint, _)| fingerprint));
    }
}

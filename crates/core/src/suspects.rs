//! Finds requests that crash the endpoints that run them, across all instances.
//!
//! Such a request is retried again and again, each time through another instance. A single
//! instance sees too few crashes to tell it from the requests that happened to run beside it, so
//! instances exchange what they saw.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{
    Name,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, Suspicion},
    update_log::UpdateLog,
};

/// How long after an interruption the loss of the endpoint is attributed to the request, in
/// milliseconds. An endpoint that crashed leaves the list of endpoints within this time.
const INTERRUPTION_MAX_AGE_MS: u64 = 6_000;
/// Maximum number of interruptions kept; beyond it the oldest are dropped.
const MAX_INTERRUPTIONS: usize = 1_024;
/// Maximum number of updates kept for peers; a peer that is further behind misses older ones.
const MAX_UPDATES: usize = 512;

/// The suspected requests, and the interruptions that may add to them.
#[derive(Clone, Debug)]
pub struct Suspects {
    quarantine: Quarantine,
    /// Oldest first; at most [`MAX_INTERRUPTIONS`].
    interruptions: VecDeque<Interruption>,
    /// Requests whose suspicion changed, for peers.
    updates: UpdateLog<Fingerprint>,
}

/// What the loss of an endpoint means for the requests that were interrupted there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossReport {
    /// Number of requests that were interrupted there recently.
    pub interrupted: usize,
    /// Largest number of losses that count against one of them.
    pub most_losses: usize,
}

/// A request whose connection to an endpoint broke.
#[derive(Clone, Debug)]
struct Interruption {
    endpoint: Name,
    fingerprint: Fingerprint,
    at_ms: u64,
}

/// A suspected request, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// The crashes that it may have caused.
    pub suspicion: Suspicion,
}

/// Updates that a peer has not received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdates {
    /// Requests whose suspicion changed.
    pub suspects: Vec<Suspect>,
    /// Position from which to ask for further updates.
    pub next: u64,
}

impl Suspects {
    /// Starts without suspects.
    pub fn new(instance: Name, settings: QuarantineSettings) -> Suspects {
        Suspects {
            quarantine: Quarantine::new(instance, settings),
            interruptions: VecDeque::new(),
            updates: UpdateLog::new(MAX_UPDATES),
        }
    }

    /// Number of suspected requests.
    pub fn len(&self) -> usize {
        self.quarantine.len()
    }

    /// Whether no request is suspected.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Whether a request crashed so many endpoints that it must not run again.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.quarantine.is_quarantined(fingerprint, now_ms)
    }

    /// Records that a request's connection to an endpoint broke; the endpoint may have crashed.
    pub fn record_interrupted(&mut self, endpoint: &Name, fingerprint: Fingerprint, now_ms: u64) {
        if self.interruptions.len() >= MAX_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
        let endpoint = endpoint.clone();
        self.interruptions.push_back(Interruption { endpoint, fingerprint, at_ms: now_ms });
    }

    /// Records that an endpoint is gone: it accepts no connections, or left the list. If requests
    /// were interrupted there recently, the loss is taken for a crash that one of them caused.
    pub fn record_endpoint_loss(&mut self, endpoint: &Name, now_ms: u64) -> LossReport {
        let since_ms = now_ms.saturating_sub(INTERRUPTION_MAX_AGE_MS);
        self.interruptions.retain(|it| it.at_ms >= since_ms);
        let there = self.interruptions.iter().filter(|it| it.endpoint == *endpoint);
        let interrupted: Vec<Fingerprint> = there.map(|it| it.fingerprint).collect();
        self.interruptions.retain(|it| it.endpoint != *endpoint);
        if !interrupted.is_empty() {
            self.quarantine.record_endpoint_loss(endpoint, &interrupted, now_ms);
            self.record_updates();
        }
        let losses = |it: &Fingerprint| self.quarantine.loss_count(*it, now_ms);
        let most_losses = interrupted.iter().map(losses).max().unwrap_or(0);
        LossReport { interrupted: interrupted.len(), most_losses }
    }

    /// Records that a request completed, which clears it: another request caused the crashes.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        self.quarantine.record_completed(fingerprint, now_ms);
        self.record_updates();
    }

    /// The updates from `position` on, for a peer that received those before it.
    pub fn updates_since(&self, position: u64) -> SuspectUpdates {
        let mut changed: Vec<Fingerprint> = self.updates.since(position).copied().collect();
        changed.sort_unstable();
        changed.dedup();
        let suspect = |fingerprint: Fingerprint| {
            let suspicion = self.quarantine.suspicion_of(fingerprint)?.clone();
            Some(Suspect { fingerprint, suspicion })
        };
        let suspects = changed.into_iter().filter_map(suspect).collect();
        SuspectUpdates { suspects, next: self.updates.end() }
    }

    /// Merges the suspects of a peer. What was not known becomes an update for other peers.
    pub fn merge(&mut self, suspects: Vec<Suspect>) {
        if suspects.is_empty() {
            return;
        }
        let known: Vec<(Fingerprint, Suspicion)> =
            suspects.into_iter().map(|it| (it.fingerprint, it.suspicion)).collect();
        self.quarantine.merge(&known);
        self.record_updates();
    }

    /// Drops suspicions that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.quarantine.expire(now_ms);
    }

    fn record_updates(&mut self) {
        self.updates
            .extend(self.quarantine.take_changes().into_iter().map(|(fingerprint, _)| fingerprint));
    }
}

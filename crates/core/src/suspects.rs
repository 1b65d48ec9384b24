//! Finds what crashes the endpoints that run it, across all instances: a request that is sent again
//! and again, or a part of a prompt in ever new requests.
//!
//! They come through all instances. A single instance sees too few crashes to tell them from the
//! requests that happened to run beside them, so instances exchange what they saw.

use std::collections::VecDeque;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{
    Name,
    crash_attribution::blamed_part,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, Suspicion},
    request_fingerprints::RequestFingerprints,
    update_log::{LogPosition, UpdateLog},
};

/// How long after an interruption the loss of the endpoint is attributed to the request, in
/// milliseconds. An endpoint that crashed leaves the list of endpoints within this time.
const INTERRUPTION_MAX_AGE_MS: u64 = 6_000;
/// Maximum number of interruptions kept; beyond it the oldest are dropped.
const MAX_INTERRUPTIONS: usize = 1_024;
/// Maximum number of updates kept for peers.
const MAX_UPDATES: usize = 1_024;
/// Maximum number of suspects in one message. When many endpoints fail at once, messages with all
/// suspects would delay the load reports that are needed then.
const MAX_MESSAGE_SUSPECTS: usize = 32;
/// Size of a suspect with a few losses in a message, in bytes.
pub const SUSPECT_BYTES: usize = 96;

/// The suspected requests and prompt parts, and the interruptions that may add to them.
#[derive(Clone, Debug)]
pub struct Suspects {
    quarantine: Quarantine,
    /// Oldest first; at most [`MAX_INTERRUPTIONS`].
    interruptions: VecDeque<Interruption>,
    /// Suspects whose suspicion changed, for peers.
    updates: UpdateLog<Fingerprint>,
}

/// What the loss of an endpoint means for the requests that were interrupted there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossReport {
    /// Number of requests that were interrupted there recently.
    pub interrupted: usize,
    /// Largest number of losses that count against one of them or a part of its prompt.
    pub most_losses: usize,
}

/// A request whose connection to an endpoint broke.
#[derive(Clone, Debug)]
struct Interruption {
    endpoint: Name,
    request: RequestFingerprints,
    /// Monotonic time.
    at_ms: u64,
    /// The same moment as Unix time, which instances can compare.
    at_unix_ms: u64,
}

/// Why a request must not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineCause {
    /// The same request crashed several endpoints.
    Request,
    /// Requests with this part of the prompt did; parts are counted from 0.
    Part(usize),
}

/// A suspected request or prompt part, as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Identifies the request or part.
    pub fingerprint: Fingerprint,
    /// The crashes that it may have caused.
    pub suspicion: Suspicion,
}

/// Updates that a peer has not received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdates {
    /// Suspects whose suspicion changed.
    pub suspects: Vec<Suspect>,
    /// Position from which to ask for further updates.
    pub next: LogPosition,
}

impl Suspects {
    /// Starts without suspects. `log` identifies this process's updates and is not 0.
    pub fn new(instance: Name, settings: QuarantineSettings, log: u64) -> Suspects {
        Suspects {
            quarantine: Quarantine::new(instance, settings),
            interruptions: VecDeque::new(),
            updates: UpdateLog::new(log, MAX_UPDATES),
        }
    }

    /// Number of suspected requests and prompt parts.
    pub fn len(&self) -> usize {
        self.quarantine.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.quarantine.is_empty()
    }

    /// Why a request must not run, because it or a part of its prompt crashed so many endpoints;
    /// `None` if it may run.
    pub fn quarantine_cause(
        &self,
        request: &RequestFingerprints,
        unix_ms: u64,
    ) -> Option<QuarantineCause> {
        if self.quarantine.is_quarantined(request.request, unix_ms) {
            return Some(QuarantineCause::Request);
        }
        blamed_part(&self.quarantine, request, unix_ms).map(QuarantineCause::Part)
    }

    /// Records that a request's connection to an endpoint broke; the endpoint may have crashed.
    /// `now_ms` is monotonic, `unix_ms` the same moment as Unix time.
    pub fn record_interrupted(
        &mut self,
        endpoint: &Name,
        request: RequestFingerprints,
        now_ms: u64,
        unix_ms: u64,
    ) {
        if self.interruptions.len() >= MAX_INTERRUPTIONS {
            self.interruptions.pop_front();
        }
        let (endpoint, at_ms, at_unix_ms) = (endpoint.clone(), now_ms, unix_ms);
        self.interruptions.push_back(Interruption { endpoint, request, at_ms, at_unix_ms });
    }

    /// Records that an endpoint is gone: it accepts no connections, or left the list. If requests
    /// were interrupted there recently, the loss is taken for a crash that one of them caused, at
    /// the time of the interruption. `now_ms` is monotonic.
    pub fn record_endpoint_loss(&mut self, endpoint: &Name, now_ms: u64) -> LossReport {
        let since_ms = now_ms.saturating_sub(INTERRUPTION_MAX_AGE_MS);
        self.interruptions.retain(|it| it.at_ms >= since_ms);
        let (interrupted, others): (VecDeque<Interruption>, _) =
            self.interruptions.drain(..).partition(|it| it.endpoint == *endpoint);
        self.interruptions = others;
        let mut most_losses = 0;
        for it in &interrupted {
            let suspects: Vec<Fingerprint> = it.request.iter().collect();
            self.quarantine.record_endpoint_loss(endpoint, &suspects, it.at_unix_ms);
            let count = |suspect: &Fingerprint| self.quarantine.loss_count(*suspect, it.at_unix_ms);
            let losses = suspects.iter().map(count);
            most_losses = losses.max().unwrap_or(0).max(most_losses);
        }
        self.record_updates();
        LossReport { interrupted: interrupted.len(), most_losses }
    }

    /// Records that a request completed, which clears it and the parts of its prompt: something
    /// else caused the crashes.
    pub fn record_completed(&mut self, request: &RequestFingerprints, unix_ms: u64) {
        for fingerprint in request.iter() {
            self.quarantine.record_completed(fingerprint, unix_ms);
        }
        self.record_updates();
    }

    /// The updates from `position` on, as many as a message may have, for a peer that received those
    /// before it. A peer that is too far behind gets the most suspected instead.
    pub fn updates_since(&self, position: LogPosition) -> SuspectUpdates {
        let (changed, next) = self.changes_since(position);
        let suspect = |fingerprint: Fingerprint| {
            let suspicion = self.quarantine.suspicion_of(fingerprint)?.clone();
            Some(Suspect { fingerprint, suspicion })
        };
        let suspects = changed.into_iter().filter_map(suspect).collect();
        SuspectUpdates { suspects, next }
    }

    /// What changed from `position` on, as far as a message can hold, and the position after it.
    fn changes_since(&self, position: LogPosition) -> (IndexSet<Fingerprint>, LogPosition) {
        let Some(updates) = self.updates.since(position) else {
            let most_suspected = self.quarantine.most_suspected(MAX_MESSAGE_SUSPECTS);
            return (most_suspected.into_iter().collect(), self.updates.end());
        };
        let (mut changed, mut next) = (IndexSet::new(), updates.begin);
        for fingerprint in updates.entries {
            if changed.len() == MAX_MESSAGE_SUSPECTS && !changed.contains(fingerprint) {
                break;
            }
            changed.insert(*fingerprint);
            next.offset += 1;
        }
        (changed, next)
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

//! Quarantine of requests that crash the endpoints that run them.
//!
//! When an endpoint goes down, all requests that were running there become suspects. A suspect is
//! tried again by one instance at a time; if it completes it is cleared, and once it has taken down
//! enough endpoints it is quarantined. Instances exchange what they find.

use std::{cmp::Reverse, collections::BTreeMap};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::Name;

/// Most fingerprints to track.
const FINGERPRINT_LIMIT: usize = 1024;

/// Most losses kept for a suspect, the newest; more than any limit, and few enough that what is
/// known of a part that is in use everywhere stays small when many endpoints fail at once.
const MAX_LOSSES: usize = 8;

/// Fingerprints that are dropped together when there are too many.
const EVICTION_COUNT: usize = 128;

/// Time after which an announced trial no longer blocks another, in milliseconds.
const TRIAL_LIMIT_MS: u64 = 60_000;

/// First word of a finding: an endpoint went down while it ran the request.
const LOSS: &str = "loss";

/// First word of a finding: the request completed.
const CLEARED: &str = "ran";

/// First word of a finding: an instance announced a trial.
const TRIAL: &str = "trial";

/// Stands for the account in the fingerprints of prompt parts. No account's name
/// contains a NUL, so that they differ from those of requests.
const PART_ACCOUNT: &str = "\0part";

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long the loss of an endpoint counts against a request, in milliseconds.
    pub retention_ms: u64,
    /// Delay between the announcement of a trial and its start, in milliseconds, so that peers
    /// learn of it first.
    pub announce_ms: u64,
    /// Number of distinct endpoints lost at which a request is quarantined.
    pub loss_limit: usize,
    /// Number of crashes at which requests with a part of a prompt are quarantined. They have more
    /// in common than one part, so it takes more to tell which one is to blame.
    pub part_loss_limit: usize,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings {
            retention_ms: 600_000,
            announce_ms: 200,
            loss_limit: 2,
            part_loss_limit: 3,
        }
    }
}

/// Identifies a request by its account, target and content, so that a resent request is
/// recognized although its ids differ; or a part of a prompt, in all requests that have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Restores a fingerprint from its bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Fingerprint {
        Fingerprint(bytes)
    }

    /// The bytes of the fingerprint.
    pub fn bytes(&self) -> [u8; 16] {
        self.0
    }

    /// Hashes an account's request to a target. `content` must not include ids and times.
    pub fn new(account: &str, target: &str, content: &[u8]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for part in [account.as_bytes(), target.as_bytes(), content] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut first = [0; 16];
        first.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(first)
    }

    /// Hashes a part of the prompts that a model or service runs.
    pub fn of_part(service: &str, content: &[u8]) -> Fingerprint {
        Fingerprint::new(PART_ACCOUNT, service, content)
    }
}

/// Findings about a suspect. Merging takes the maximum of each time, so that its order does not
/// matter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Time of the latest loss of each endpoint that went down while it ran the request.
    losses: BTreeMap<Name, u64>,
    /// When the request last completed; losses up to then do not count. 0 if it never did.
    cleared_ms: u64,
    /// Time of the latest trial that each instance announced.
    trials: BTreeMap<Name, u64>,
}

/// Whether a request may run, as [`Quarantine::check`] decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// It is not a suspect.
    Run,
    /// It is a suspect, and this instance may try it, at an endpoint that runs no other suspect.
    Trial {
        /// When the trial may begin, if the verdict is still the same then.
        from_ms: u64,
    },
    /// A trial of it is in progress, here or at another instance.
    Wait {
        /// When to check again.
        until_ms: u64,
    },
    /// It has taken down too many endpoints.
    Quarantined {
        /// The endpoints that it took down.
        endpoints: Vec<Name>,
        /// When the quarantine ends.
        until_ms: u64,
    },
}

/// The suspects that an instance knows.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// Name of this instance.
    instance: Name,
    /// At most [`FINGERPRINT_LIMIT`].
    suspicions: IndexMap<Fingerprint, Suspicion>,
    /// Suspects whose trials are in progress at this instance.
    running_trials: IndexSet<Fingerprint>,
    /// Suspects whose findings changed since [`Quarantine::take_changes`] was last called.
    changed: Vec<Fingerprint>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(instance: Name, settings: QuarantineSettings) -> Quarantine {
        let suspicions = IndexMap::new();
        let running_trials = IndexSet::new();
        Quarantine { settings, instance, suspicions, running_trials, changed: Vec::new() }
    }

    /// Decides whether a request may run. If it may be tried, announces a trial by this instance.
    pub fn check(&mut self, fingerprint: Fingerprint, now_ms: u64) -> QuarantineVerdict {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        let Some(suspicion) = self.suspicions.get_mut(&fingerprint) else {
            return QuarantineVerdict::Run;
        };
        let losses = suspicion.counted_losses(since_ms);
        if losses.is_empty() {
            return QuarantineVerdict::Run;
        }
        if losses.len() >= self.settings.loss_limit {
            let last_ms = suspicion.deciding_loss_ms(since_ms, self.settings.loss_limit);
            let until_ms = last_ms + self.settings.retention_ms;
            return QuarantineVerdict::Quarantined { endpoints: losses, until_ms };
        }
        if self.running_trials.contains(&fingerprint) {
            return QuarantineVerdict::Wait { until_ms: now_ms + self.settings.announce_ms };
        }
        let trial = suspicion.current_trial(now_ms);
        match trial {
            Some((at_ms, instance)) if instance == self.instance => {
                QuarantineVerdict::Trial { from_ms: at_ms + self.settings.announce_ms }
            }
            Some((at_ms, _)) => QuarantineVerdict::Wait { until_ms: at_ms + TRIAL_LIMIT_MS },
            None => {
                suspicion.trials.insert(self.instance.clone(), now_ms);
                self.changed.push(fingerprint);
                QuarantineVerdict::Trial { from_ms: now_ms + self.settings.announce_ms }
            }
        }
    }

    /// The verdict on a request because of a part that is to blame for crashes.
    pub fn part_verdict(&self, part: Fingerprint, now_ms: u64) -> QuarantineVerdict {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        let Some(suspicion) = self.suspicions.get(&part) else { return QuarantineVerdict::Run };
        let last_ms = suspicion.deciding_loss_ms(since_ms, self.settings.part_loss_limit);
        QuarantineVerdict::Quarantined {
            endpoints: suspicion.counted_losses(since_ms),
            until_ms: last_ms + self.settings.retention_ms,
        }
    }

    /// Records that a trial began. Until it ends, no other request with the same fingerprint may
    /// run at this instance.
    pub fn trial_began(&mut self, fingerprint: Fingerprint) {
        self.running_trials.insert(fingerprint);
    }

    /// Records that a trial ended, whatever its result.
    pub fn trial_ended(&mut self, fingerprint: Fingerprint) {
        self.running_trials.swap_remove(&fingerprint);
    }

    /// Records that an endpoint went down while it ran these requests. Returns when their callers
    /// may be told: by then the peers know, so that a retry at any of them meets the quarantine.
    pub fn record_endpoint_loss(
        &mut self,
        endpoint: &Name,
        running: &[Fingerprint],
        now_ms: u64,
    ) -> u64 {
        for &it in running {
            let suspicion = self.entry(it);
            raise_to(suspicion.losses.entry(endpoint.clone()).or_insert(0), now_ms);
            suspicion.drop_surplus_losses();
            self.changed.push(it);
        }
        now_ms + self.settings.announce_ms
    }

    /// Records that a request completed, so that another request must have caused earlier losses.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        if !self.is_suspect(fingerprint, now_ms) {
            return;
        }
        if let Some(suspicion) = self.suspicions.get_mut(&fingerprint) {
            suspicion.cleared_ms = suspicion.cleared_ms.max(now_ms);
            suspicion.drop_cleared_losses();
            self.changed.push(fingerprint);
        }
    }

    /// Whether a request is quarantined. Unlike [`Quarantine::check`] it announces no trial.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.loss_count(fingerprint, now_ms) >= self.settings.loss_limit
    }

    /// Number of endpoints whose loss counts against a request.
    pub fn loss_count(&self, fingerprint: Fingerprint, now_ms: u64) -> usize {
        self.losses_of(fingerprint, now_ms).map_or(0, |losses| losses.count())
    }

    /// Endpoints whose loss counts against a request, and when each was lost; `None` if it is not
    /// suspected.
    pub fn losses_of(
        &self,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) -> Option<impl Iterator<Item = (&Name, u64)> + Clone> {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        Some(self.suspicions.get(&fingerprint)?.losses_after(since_ms))
    }

    /// Everything that is suspected.
    pub fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.suspicions.keys().copied()
    }

    /// The suspects with the most losses, at most `limit`.
    pub fn most_suspected(&self, limit: usize) -> Vec<Fingerprint> {
        let mut suspects: Vec<(&Fingerprint, &Suspicion)> = self.suspicions.iter().collect();
        suspects.sort_by_cached_key(|(_, it)| Reverse(it.evidence()));
        suspects.into_iter().take(limit).map(|(key, _)| *key).collect()
    }

    /// Number of crashes at which requests with a part of a prompt are quarantined.
    pub fn part_loss_limit(&self) -> usize {
        self.settings.part_loss_limit
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// Findings about a request; `None` if there are none.
    pub fn suspicion_of(&self, fingerprint: Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(&fingerprint)
    }

    /// Whether a loss counts against a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        self.suspicions
            .get(&fingerprint)
            .is_some_and(|it| it.losses_after(since_ms).next().is_some())
    }

    /// Returns the findings that changed since the last call, to send to peers.
    pub fn take_changes(&mut self) -> Vec<(Fingerprint, Suspicion)> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let known = |it: Fingerprint| Some((it, self.suspicions.get(&it)?.clone()));
        changed.into_iter().filter_map(known).collect()
    }

    /// How long the loss of an endpoint counts, in milliseconds.
    pub fn retention_ms(&self) -> u64 {
        self.settings.retention_ms
    }

    /// All findings, for a new peer.
    pub fn snapshot(&self) -> Vec<(Fingerprint, Suspicion)> {
        self.suspicions.iter().map(|(key, it)| (*key, it.clone())).collect()
    }

    /// Merges a peer's findings. [`Quarantine::take_changes`] returns those that were new.
    pub fn merge(&mut self, known: &[(Fingerprint, Suspicion)]) {
        for (fingerprint, theirs) in known {
            let ours = self.entry(*fingerprint);
            let before = ours.clone();
            ours.merge(theirs);
            if *ours != before {
                self.changed.push(*fingerprint);
            }
        }
    }

    /// Removes suspects without a loss that still counts.
    pub fn expire(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        self.suspicions.retain(|_, it| it.losses_after(since_ms).next().is_some());
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Suspicion {
        if self.suspicions.len() >= FINGERPRINT_LIMIT && !self.suspicions.contains_key(&fingerprint)
        {
            self.evict_least_suspected(EVICTION_COUNT);
        }
        self.suspicions.entry(fingerprint).or_default()
    }

    fn evict_least_suspected(&mut self, count: usize) {
        let kept = self.most_suspected(self.suspicions.len().saturating_sub(count));
        let kept: IndexSet<Fingerprint> = kept.into_iter().collect();
        self.suspicions.retain(|fingerprint, _| kept.contains(fingerprint));
    }
}

impl Suspicion {
    /// Formats each finding as the text that instances exchange: its kind, name and time.
    pub fn findings(&self) -> Vec<Name> {
        let losses = self.losses.iter().map(|(name, at_ms)| format!("{LOSS} {name} {at_ms}"));
        let trials = self.trials.iter().map(|(name, at_ms)| format!("{TRIAL} {name} {at_ms}"));
        let cleared = (self.cleared_ms > 0).then(|| format!("{CLEARED} - {}", self.cleared_ms));
        losses.chain(cleared).chain(trials).map(Name::from).collect()
    }

    /// Parses findings, in any order; skips those that cannot be parsed.
    pub fn from_findings(findings: &[Name]) -> Suspicion {
        let mut suspicion = Suspicion::default();
        for finding in findings {
            let mut words = finding.split(' ');
            let (Some(what), Some(name), Some(at_ms)) = (words.next(), words.next(), words.next())
            else {
                continue;
            };
            let (Ok(at_ms), name) = (at_ms.parse(), Name::from(name)) else { continue };
            match what {
                LOSS => raise_to(suspicion.losses.entry(name).or_insert(0), at_ms),
                TRIAL => raise_to(suspicion.trials.entry(name).or_insert(0), at_ms),
                CLEARED => raise_to(&mut suspicion.cleared_ms, at_ms),
                _ => {}
            }
        }
        suspicion
    }

    /// Endpoints whose loss after `since_ms` counts, and when each was lost.
    fn losses_after(&self, since_ms: u64) -> impl Iterator<Item = (&Name, u64)> + Clone {
        let since_ms = since_ms.max(self.cleared_ms);
        let losses = self.losses.iter().map(|(endpoint, at_ms)| (endpoint, *at_ms));
        losses.filter(move |(_, at_ms)| *at_ms > since_ms)
    }

    /// Number of losses that were not cleared, and the time of the latest; more is stronger.
    fn evidence(&self) -> (usize, Option<u64>) {
        (self.losses_after(0).count(), self.losses.values().max().copied())
    }

    /// Endpoints whose loss after `since_ms` counts.
    fn counted_losses(&self, since_ms: u64) -> Vec<Name> {
        self.losses_after(since_ms).map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// Time of the loss whose expiry ends the quarantine, because too few losses remain.
    fn deciding_loss_ms(&self, since_ms: u64, loss_limit: usize) -> u64 {
        let since_ms = since_ms.max(self.cleared_ms);
        let mut counted: Vec<u64> =
            self.losses.values().copied().filter(|at_ms| *at_ms > since_ms).collect();
        counted.sort_unstable();
        counted.iter().rev().nth(loss_limit.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// Time and instance of the trial that takes precedence: the earliest since the last loss, with
    /// ties resolved by the name of the instance.
    fn current_trial(&self, now_ms: u64) -> Option<(u64, Name)> {
        let last_loss_ms = self.losses.values().max().copied().unwrap_or(0);
        let since_ms = last_loss_ms.max(self.cleared_ms).max(now_ms.saturating_sub(TRIAL_LIMIT_MS));
        let running = self.trials.iter().filter(|(_, at_ms)| **at_ms >= since_ms);
        running.map(|(instance, at_ms)| (*at_ms, instance.clone())).min()
    }

    fn merge(&mut self, theirs: &Suspicion) {
        for (endpoint, at_ms) in &theirs.losses {
            raise_to(self.losses.entry(endpoint.clone()).or_insert(0), *at_ms);
        }
        for (instance, at_ms) in &theirs.trials {
            raise_to(self.trials.entry(instance.clone()).or_insert(0), *at_ms);
        }
        raise_to(&mut self.cleared_ms, theirs.cleared_ms);
        self.drop_cleared_losses();
        self.drop_surplus_losses();
    }

    /// Drops the oldest losses beyond [`MAX_LOSSES`].
    fn drop_surplus_losses(&mut self) {
        while self.losses.len() > MAX_LOSSES {
            let oldest = self.losses.iter().min_by_key(|(_, at_ms)| **at_ms);
            let Some(endpoint) = oldest.map(|(endpoint, _)| endpoint.clone()) else { return };
            self.losses.remove(&endpoint);
        }
    }

    /// Drops losses that will never count again, so that the findings stay small.
    fn drop_cleared_losses(&mut self) {
        self.losses.retain(|_, at_ms| *at_ms > self.cleared_ms);
    }
}

fn raise_to(ours: &mut u64, theirs: u64) {
    *ours = theirs.max(*ours);
}

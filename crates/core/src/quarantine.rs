//! Requests that crash the endpoints that run them.

use std::collections::BTreeMap;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::Name;

/// Most fingerprints kept.
const FINGERPRINT_LIMIT: usize = 1024;

/// How long a trial is waited for before another may begin, in milliseconds.
const TRIAL_LIMIT_MS: u64 = 60_000;

/// First word of the finding of a lost endpoint.
const LOSS: &str = "loss";

/// First word of the finding of a whole run.
const CLEARED: &str = "ran";

/// First word of the finding of a trial.
const TRIAL: &str = "trial";

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a lost endpoint counts against a request.
    pub retention_ms: u64,
    /// How long a trial is announced before it begins, so that peers learn of it.
    pub announce_ms: u64,
    /// Distinct endpoints lost with a request in them at which it is quarantined.
    pub loss_limit: usize,
}

impl Default for QuarantineSettings {
    fn default() -> QuarantineSettings {
        QuarantineSettings { retention_ms: 600_000, announce_ms: 200, loss_limit: 2 }
    }
}

/// Names a request by its account and content, whatever its ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// The fingerprint of those bytes.
    pub fn from_bytes(bytes: [u8; 16]) -> Fingerprint {
        Fingerprint(bytes)
    }

    /// Its bytes.
    pub fn bytes(&self) -> [u8; 16] {
        self.0
    }

    /// Fingerprint of what an account asks of a target. `content` leaves out ids and times.
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
}

/// What is known against a request. Two instances' knowledge merges by maxima, in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Endpoints lost while it ran there, and when; the latest loss of each.
    losses: BTreeMap<Name, u64>,
    /// When it last ran whole; losses up to then do not count.
    cleared_ms: u64,
    /// When each instance last announced a trial.
    trials: BTreeMap<Name, u64>,
}

/// Whether a request may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    /// Nothing is known against it.
    Run,
    /// An endpoint was lost with it: it may be tried, alone among suspects at its endpoint.
    Trial {
        /// From then on, if the verdict is still the same.
        from_ms: u64,
    },
    /// Another instance is trying it.
    Wait {
        /// When to ask again.
        until_ms: u64,
    },
    /// It lost too many endpoints.
    Quarantined {
        /// The endpoints it lost.
        endpoints: Vec<Name>,
        /// When it ends.
        until_ms: u64,
    },
}

/// Fingerprints that endpoints were lost with.
#[derive(Clone, Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    /// This instance.
    instance: Name,
    /// At most [`FINGERPRINT_LIMIT`].
    suspicions: IndexMap<Fingerprint, Suspicion>,
    /// Suspects that this instance is running now.
    trying: IndexSet<Fingerprint>,
    /// Changed since peers were last told.
    changed: Vec<Fingerprint>,
}

impl Quarantine {
    /// Nothing known yet.
    pub fn new(instance: Name, settings: QuarantineSettings) -> Quarantine {
        let suspicions = IndexMap::new();
        let trying = IndexSet::new();
        Quarantine { settings, instance, suspicions, trying, changed: Vec::new() }
    }

    /// Tells whether a request may run; announces a trial if it may be tried.
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
        if self.trying.contains(&fingerprint) {
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

    /// A trial begins; until it has ended no other of the same fingerprint may run here.
    pub fn trial_began(&mut self, fingerprint: Fingerprint) {
        self.trying.insert(fingerprint);
    }

    /// A trial has ended, in whatever way.
    pub fn trial_ended(&mut self, fingerprint: Fingerprint) {
        self.trying.swap_remove(&fingerprint);
    }

    /// An endpoint was lost while these requests ran there. Returns when their callers may be
    /// told: by then peers know, wherever a caller sends it next.
    pub fn record_endpoint_loss(
        &mut self,
        endpoint: &Name,
        running: &[Fingerprint],
        now_ms: u64,
    ) -> u64 {
        for &it in running {
            let suspicion = self.entry(it);
            raise_to(suspicion.losses.entry(endpoint.clone()).or_insert(0), now_ms);
            self.changed.push(it);
        }
        now_ms + self.settings.announce_ms
    }

    /// A request ran whole, so earlier losses were another's doing.
    pub fn record_completed(&mut self, fingerprint: Fingerprint, now_ms: u64) {
        if !self.is_suspect(fingerprint, now_ms) {
            return;
        }
        if let Some(suspicion) = self.suspicions.get_mut(&fingerprint) {
            suspicion.cleared_ms = suspicion.cleared_ms.max(now_ms);
            self.changed.push(fingerprint);
        }
    }

    /// Whether a request is quarantined, however it would be tried.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        let losses =
            self.suspicions.get(&fingerprint).map_or(0, |it| it.counted_losses(since_ms).len());
        losses >= self.settings.loss_limit
    }

    /// Requests that something is known against.
    pub fn len(&self) -> usize {
        self.suspicions.len()
    }

    /// Whether anything is known against any request.
    pub fn is_empty(&self) -> bool {
        self.suspicions.is_empty()
    }

    /// What is known against a request.
    pub fn suspicion_of(&self, fingerprint: Fingerprint) -> Option<&Suspicion> {
        self.suspicions.get(&fingerprint)
    }

    /// Whether anything is known against a request.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        self.suspicions.get(&fingerprint).is_some_and(|it| !it.counted_losses(since_ms).is_empty())
    }

    /// What changed since the last call, for peers.
    pub fn take_changes(&mut self) -> Vec<(Fingerprint, Suspicion)> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        let known = |it: Fingerprint| Some((it, self.suspicions.get(&it)?.clone()));
        changed.into_iter().filter_map(known).collect()
    }

    /// How long a lost endpoint counts.
    pub fn retention_ms(&self) -> u64 {
        self.settings.retention_ms
    }

    /// All that is known, for a peer that is new.
    pub fn snapshot(&self) -> Vec<(Fingerprint, Suspicion)> {
        self.suspicions.iter().map(|(key, it)| (*key, it.clone())).collect()
    }

    /// Takes in what a peer knows. What was new is passed on by [`Quarantine::take_changes`].
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

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        let since_ms = now_ms.saturating_sub(self.settings.retention_ms);
        self.suspicions.retain(|_, it| !it.counted_losses(since_ms).is_empty());
    }

    fn entry(&mut self, fingerprint: Fingerprint) -> &mut Suspicion {
        if self.suspicions.len() >= FINGERPRINT_LIMIT && !self.suspicions.contains_key(&fingerprint)
        {
            self.evict_least_suspected();
        }
        self.suspicions.entry(fingerprint).or_default()
    }

    fn evict_least_suspected(&mut self) {
        let age = |it: &Suspicion| (it.counted_losses(0).len(), it.losses.values().max().copied());
        let oldest = self.suspicions.iter().min_by_key(|(_, it)| age(it)).map(|(key, _)| *key);
        if let Some(key) = oldest {
            self.suspicions.swap_remove(&key);
        }
    }
}

impl Suspicion {
    /// What is known, a text for each finding, as instances pass it on.
    pub fn findings(&self) -> Vec<Name> {
        let losses = self.losses.iter().map(|(name, at_ms)| format!("{LOSS} {name} {at_ms}"));
        let trials = self.trials.iter().map(|(name, at_ms)| format!("{TRIAL} {name} {at_ms}"));
        let cleared = (self.cleared_ms > 0).then(|| format!("{CLEARED} - {}", self.cleared_ms));
        losses.chain(cleared).chain(trials).map(Name::from).collect()
    }

    /// Reads findings, in any order; what cannot be read is passed over.
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

    /// Endpoints whose loss counts.
    fn counted_losses(&self, since_ms: u64) -> Vec<Name> {
        let since_ms = since_ms.max(self.cleared_ms);
        let counted = self.losses.iter().filter(|(_, at_ms)| **at_ms > since_ms);
        counted.map(|(endpoint, _)| endpoint.clone()).collect()
    }

    /// The loss at whose end of memory too few are left.
    fn deciding_loss_ms(&self, since_ms: u64, loss_limit: usize) -> u64 {
        let since_ms = since_ms.max(self.cleared_ms);
        let mut counted: Vec<u64> =
            self.losses.values().copied().filter(|at_ms| *at_ms > since_ms).collect();
        counted.sort_unstable();
        counted.iter().rev().nth(loss_limit.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// The trial that goes on: the earliest since the last loss, the instance's name deciding
    /// between equals.
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
    }
}

fn raise_to(ours: &mut u64, theirs: u64) {
    *ours = theirs.max(*ours);
}

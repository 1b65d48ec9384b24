//! Which software versions of a service may have begun the streams that callers take up.
//!
//! Where nobody knows at which version a stream began, it may still be clear: one version alone was in
//! service for as long as such a stream can be old. An instance that has just started cannot have seen
//! that. It goes by what its peers saw, and by the record in the store, which is written whenever the
//! listed versions of a service change.

use std::collections::{BTreeMap, HashMap};

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::{
    Name,
    store_era::FIRST_ERA,
    update_log::{LogPosition, UpdateLog},
};

/// How long a version counts after its last endpoint left the list, in milliseconds: for callers that
/// return within a minute, and the time that instances take to start again.
pub const VERSION_RETENTION_MS: u64 = 65_000;
/// Largest age of the list of endpoints at which it tells which versions are in service, in
/// milliseconds. A hub reads the list every 700 ms.
const MAX_LIST_AGE_MS: u64 = 1_500;
/// Longest time between observations of the list, in milliseconds. After a longer one this process was
/// stopped meanwhile.
const MAX_OBSERVATION_GAP_MS: u64 = 1_000;
/// Time after such a stop within which answers arrive that were given before its end, in milliseconds.
const STALE_ANSWERS_MS: u64 = 300;
/// Time within which answers arrive that were given before a question came, in milliseconds, if this
/// process was not stopped for longer than [`MAX_OBSERVATION_GAP_MS`].
const LATE_ANSWERS_MS: u64 = 100;
/// How much the Unix times of instances may differ, in milliseconds.
pub const UNIX_TIME_MARGIN_MS: u64 = 5_000;
/// Time after a start within which servers that run write their entries again into a store that came back
/// from a copy, in milliseconds: three of their heartbeats, which are 1.2 s apart, and a margin.
pub const ENTRIES_WRITTEN_AGAIN_MS: u64 = 4_000;
/// Least gain, in milliseconds, for which a peer's completeness is taken over. What two instances make
/// of the same message differs by its time of travel.
const MIN_COMPLETENESS_GAIN_MS: u64 = 500;
/// Maximum number of updates kept for peers. A peer that lacks earlier ones gets all services.
const MAX_UPDATES: usize = 256;

/// Whether a service had one software version in service recently.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SoleVersion {
    /// This one alone.
    One(Name),
    /// At least two.
    Several,
    /// This instance has not known the service for long enough, or its list of endpoints is old.
    Unknown,
}

/// The versions of a service, as they are sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: Name,
    /// Versions that count.
    pub versions: Vec<SeenVersion>,
    /// Time until no other version can count than `versions` and later ones, in milliseconds.
    pub complete_in_ms: u64,
    /// Listed versions that the store's record names; `None` if there is no record.
    pub stored: Option<Vec<Name>>,
}

/// A version that a peer saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersion {
    /// The software version.
    pub version: Name,
    /// Time since one of its endpoints was listed, in milliseconds.
    pub age_ms: u64,
}

/// Versions that a peer has not received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionUpdates {
    /// Services whose versions changed.
    pub services: Vec<ServiceVersions>,
    /// Position from which to ask for further updates.
    pub next: LogPosition,
}

/// The store's record of the versions of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Versions that counted when the record was written.
    pub versions: Vec<RecordedVersion>,
    /// Unix time in milliseconds from which no other version can count than `versions` and later
    /// ones; 0 if that was so when the record was written.
    pub complete_at_unix_ms: u64,
    /// Era of the store for which it was written; 0 if that is not known. A store of a later era may have
    /// lost records that were written after this one, and entries of servers.
    #[serde(default)]
    pub era: u64,
}

/// A version in the store's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedVersion {
    /// The software version.
    pub version: Name,
    /// Unix time in milliseconds at which its last endpoint left the list; `None` if it was listed
    /// when the record was written.
    pub until_unix_ms: Option<u64>,
}

/// The software versions that were in service recently, by service.
#[derive(Clone, Debug)]
pub struct VersionHistory {
    services: HashMap<Name, ServiceHistory>,
    /// From then on no version counts that this instance did not see itself; monotonic time.
    complete_at_ms: u64,
    /// Services whose versions changed, for peers.
    updates: UpdateLog<Name>,
    /// The store's records were read.
    are_records_read: bool,
    /// The list of endpoints was read.
    is_list_read: bool,
    /// When the list was last observed, or this process started; monotonic time.
    observed_ms: u64,
    /// When this process went on after it had been stopped; 0 if it never was.
    went_on_ms: u64,
    /// Era of the store; 0 if it tells none. `stored` of all services is of this era.
    era: u64,
}

#[derive(Clone, Debug)]
struct ServiceHistory {
    versions: BTreeMap<Name, SeenUntil>,
    /// From then on no version counts that is not in `versions`; monotonic time.
    complete_at_ms: u64,
    /// Listed versions that the store's record names, sorted; `None` if there is no record.
    stored: Option<Vec<Name>>,
    /// The same by what a peer told last. It may know of a newer record, or of an older one.
    stored_by_peer: Option<Vec<Name>>,
}

#[derive(Clone, Copy, Debug)]
struct SeenUntil {
    /// An endpoint of the version is listed.
    is_listed: bool,
    /// The version counts before this time; monotonic.
    counts_until_ms: u64,
}

impl VersionHistory {
    /// Starts without versions. `log` identifies this process's updates and is not 0; `now_ms` is
    /// monotonic, as in all methods.
    pub fn new(log: u64, now_ms: u64) -> VersionHistory {
        VersionHistory {
            services: HashMap::new(),
            complete_at_ms: now_ms + VERSION_RETENTION_MS,
            updates: UpdateLog::new(log, MAX_UPDATES),
            are_records_read: false,
            is_list_read: false,
            observed_ms: now_ms,
            went_on_ms: 0,
            era: 0,
        }
    }

    /// Records the era of the store. In a later one the records have to be written again, as the store
    /// has come back from a copy.
    pub fn record_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        for history in self.services.values_mut() {
            (history.stored, history.stored_by_peer) = (None, None);
        }
    }

    /// Whether one version alone of a service can have begun streams that callers may take up.
    /// `list_age_ms` is the age of the list of endpoints; `None` before it was read.
    pub fn sole_version(
        &self,
        service: &str,
        list_age_ms: Option<u64>,
        now_ms: u64,
    ) -> SoleVersion {
        let Some(history) = self.services.get(service) else { return SoleVersion::Unknown };
        let mut counting = history.counting(now_ms);
        let Some((version, _)) = counting.next() else { return SoleVersion::Unknown };
        if counting.next().is_some() {
            return SoleVersion::Several;
        }
        if self.is_list_current(list_age_ms, now_ms) && history.complete_at_ms <= now_ms {
            SoleVersion::One(version.clone())
        } else {
            SoleVersion::Unknown
        }
    }

    /// Whether the list of endpoints was confirmed after a question came. An older one may lack a version at
    /// which the stream that is asked for began, at another instance.
    pub fn is_confirmed_since(list_age_ms: Option<u64>, asked_ms: u64, now_ms: u64) -> bool {
        let confirmed_ms = list_age_ms.and_then(|age_ms| now_ms.checked_sub(age_ms));
        confirmed_ms.is_some_and(|it| it >= asked_ms + LATE_ANSWERS_MS)
    }

    /// Whether what tells of versions in service has not been read yet.
    pub fn is_loading(&self) -> bool {
        !self.are_records_read || !self.is_list_read
    }

    /// Whether the list of endpoints has the versions that others know. That of a process that was
    /// stopped may be old although it was confirmed just now, by an answer that waited for the process.
    fn is_list_current(&self, list_age_ms: Option<u64>, now_ms: u64) -> bool {
        let was_stopped = now_ms.saturating_sub(self.observed_ms) > MAX_OBSERVATION_GAP_MS;
        let is_young = |age_ms: u64| {
            let confirmed_ms = now_ms.saturating_sub(age_ms);
            let is_after_stop =
                self.went_on_ms == 0 || confirmed_ms >= self.went_on_ms + STALE_ANSWERS_MS;
            age_ms <= MAX_LIST_AGE_MS && is_after_stop
        };
        !was_stopped && list_age_ms.is_some_and(is_young)
    }

    /// Records that an endpoint of a version is listed.
    pub fn record_listed(&mut self, service: &Name, version: &Name, now_ms: u64) {
        let history = self.service_mut(service);
        let seen = SeenUntil { is_listed: true, counts_until_ms: now_ms + VERSION_RETENTION_MS };
        let before = history.versions.insert(version.clone(), seen);
        if before.is_none_or(|it| !it.is_listed) {
            self.updates.extend([service.clone()]);
        }
    }

    /// Records all versions that are listed. Others are not listed any more.
    pub fn observe<'a>(
        &mut self,
        listed: impl IntoIterator<Item = (&'a Name, &'a Name)>,
        now_ms: u64,
    ) {
        self.is_list_read = true;
        if now_ms.saturating_sub(self.observed_ms) > MAX_OBSERVATION_GAP_MS {
            self.went_on_ms = now_ms;
        }
        self.observed_ms = now_ms;
        let listed: IndexSet<(&Name, &Name)> = listed.into_iter().collect();
        for (service, version) in &listed {
            self.record_listed(service, version, now_ms);
        }
        for (service, history) in &mut self.services {
            for (version, seen) in &mut history.versions {
                if seen.is_listed && !listed.contains(&(service, version)) {
                    seen.is_listed = false;
                    self.updates.extend([service.clone()]);
                }
            }
            history.versions.retain(|_, it| it.counts(now_ms));
        }
        self.services.retain(|_, it| !it.versions.is_empty() || it.stored.is_some());
    }

    /// Records that no stream can have begun before this process started: it is among the first
    /// instances of the deployment.
    pub fn record_first_start(&mut self) {
        self.complete_at_ms = 0;
        for (service, history) in &mut self.services {
            history.complete_at_ms = 0;
            self.updates.extend([service.clone()]);
        }
    }

    /// The services that a peer lacks that received those before `position`.
    pub fn updates_since(&self, position: LogPosition, now_ms: u64) -> VersionUpdates {
        let changed: IndexSet<&Name> = match self.updates.since(position) {
            Some(updates) => updates.entries.collect(),
            None => self.services.keys().collect(),
        };
        let services = changed.into_iter().filter_map(|it| self.service_versions(it, now_ms));
        VersionUpdates { services: services.collect(), next: self.updates.end() }
    }

    fn service_versions(&self, service: &Name, now_ms: u64) -> Option<ServiceVersions> {
        let history = self.services.get(service)?;
        let seen = |(version, seen): (&Name, &SeenUntil)| SeenVersion {
            version: version.clone(),
            age_ms: seen.age_ms(now_ms),
        };
        Some(ServiceVersions {
            service: service.clone(),
            versions: history.counting(now_ms).map(seen).collect(),
            complete_in_ms: history.complete_at_ms.saturating_sub(now_ms),
            stored: history.stored.clone(),
        })
    }

    /// Merges what a peer told. What was not known becomes an update for other peers.
    pub fn merge(&mut self, services: Vec<ServiceVersions>, now_ms: u64) {
        for it in services {
            let history = self.service_mut(&it.service);
            let mut is_news = false;
            for SeenVersion { version, age_ms } in it.versions {
                is_news |= history.add_version(version, age_ms, now_ms);
            }
            is_news |= history.merge_completeness(it.complete_in_ms, now_ms);
            if it.stored.is_some() {
                history.stored_by_peer = it.stored;
            }
            if is_news {
                self.updates.extend([it.service]);
            }
        }
    }

    /// Applies the store's records, which are all that it has. `unix_ms` is `now_ms` as Unix time.
    /// Only the first ones tell of versions that this instance may not know; a version that they
    /// still list counts as listed until now. One of an earlier era than the store's is not complete
    /// until servers have had time to write their entries again.
    pub fn apply_records(
        &mut self,
        records: Vec<(Name, VersionRecord)>,
        unix_ms: u64,
        now_ms: u64,
    ) {
        let are_first = !std::mem::replace(&mut self.are_records_read, true);
        let store_era = self.era;
        for history in self.services.values_mut() {
            (history.stored, history.stored_by_peer) = (None, None);
        }
        for (service, record) in records {
            let history = self.service_mut(&service);
            let is_lossy = record.is_before_copy(store_era);
            history.stored = (!is_lossy).then(|| record.listed());
            if are_first {
                let least_ms = if is_lossy { ENTRIES_WRITTEN_AGAIN_MS } else { 0 };
                history.apply_record(record, least_ms, unix_ms, now_ms);
                self.updates.extend([service]);
            }
        }
    }

    /// Records to write into the store: of the services whose listed versions differ from those in
    /// the store. None before its records and the list of endpoints were read.
    pub fn records_to_store(&self, unix_ms: u64, now_ms: u64) -> Vec<(Name, VersionRecord)> {
        if !self.are_records_read || !self.is_list_read {
            return Vec::new();
        }
        let to_store = self.services.iter().filter(|(_, it)| !it.is_stored());
        let record = |it: &ServiceHistory| it.record(self.era, unix_ms, now_ms);
        to_store.map(|(service, it)| (service.clone(), record(it))).collect()
    }

    /// Records that a record was written.
    pub fn record_stored(&mut self, service: &Name, record: &VersionRecord) {
        let history = self.service_mut(service);
        (history.stored, history.stored_by_peer) = (Some(record.listed()), None);
        self.updates.extend([service.clone()]);
    }

    fn service_mut(&mut self, service: &Name) -> &mut ServiceHistory {
        let complete_at_ms = self.complete_at_ms;
        self.services.entry(service.clone()).or_insert_with(|| ServiceHistory {
            versions: BTreeMap::new(),
            complete_at_ms,
            stored: None,
            stored_by_peer: None,
        })
    }
}

impl ServiceHistory {
    fn counting(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &SeenUntil)> {
        self.versions.iter().filter(move |(_, it)| it.counts(now_ms))
    }

    fn listed(&self) -> Vec<Name> {
        let listed = self.versions.iter().filter(|(_, it)| it.is_listed);
        listed.map(|(version, _)| version.clone()).collect()
    }

    /// Adds a version that was listed `age_ms` ago. Returns whether it did not count before.
    fn add_version(&mut self, version: Name, age_ms: u64, now_ms: u64) -> bool {
        if age_ms >= VERSION_RETENTION_MS {
            return false;
        }
        let counts_until_ms = now_ms + VERSION_RETENTION_MS - age_ms;
        let unseen = SeenUntil { is_listed: false, counts_until_ms: 0 };
        let seen = self.versions.entry(version).or_insert(unseen);
        let is_new = !seen.counts(now_ms);
        seen.counts_until_ms = seen.counts_until_ms.max(counts_until_ms);
        is_new
    }

    /// Returns whether it is complete earlier than was known.
    fn merge_completeness(&mut self, complete_in_ms: u64, now_ms: u64) -> bool {
        let known_in_ms = self.complete_at_ms.saturating_sub(now_ms);
        let is_news = known_in_ms.saturating_sub(complete_in_ms) >= MIN_COMPLETENESS_GAIN_MS;
        if is_news {
            self.complete_at_ms = now_ms + complete_in_ms;
        }
        is_news
    }

    /// Whether the store's record names the versions that are listed.
    fn is_stored(&self) -> bool {
        let listed = Some(self.listed());
        self.stored == listed || self.stored_by_peer == listed
    }

    /// Applies a record, which is complete after `least_ms` at the earliest.
    fn apply_record(&mut self, record: VersionRecord, least_ms: u64, unix_ms: u64, now_ms: u64) {
        for RecordedVersion { version, until_unix_ms } in record.versions {
            let until_unix_ms = until_unix_ms.map_or(unix_ms, with_margin);
            self.add_version(version, unix_ms.saturating_sub(until_unix_ms), now_ms);
        }
        let complete_in_ms = match record.complete_at_unix_ms {
            0 => 0,
            at_unix_ms => with_margin(at_unix_ms).saturating_sub(unix_ms),
        };
        self.merge_completeness(complete_in_ms.max(least_ms), now_ms);
    }

    fn record(&self, era: u64, unix_ms: u64, now_ms: u64) -> VersionRecord {
        let recorded = |(version, seen): (&Name, &SeenUntil)| RecordedVersion {
            version: version.clone(),
            until_unix_ms: (!seen.is_listed).then(|| unix_ms.saturating_sub(seen.age_ms(now_ms))),
        };
        let complete_in_ms = self.complete_at_ms.saturating_sub(now_ms);
        VersionRecord {
            versions: self.counting(now_ms).map(recorded).collect(),
            complete_at_unix_ms: if complete_in_ms == 0 { 0 } else { unix_ms + complete_in_ms },
            era,
        }
    }
}

/// The latest that another instance's Unix time may be in this one's.
fn with_margin(unix_ms: u64) -> u64 {
    unix_ms.saturating_add(UNIX_TIME_MARGIN_MS)
}

impl SeenUntil {
    fn counts(&self, now_ms: u64) -> bool {
        self.is_listed || now_ms < self.counts_until_ms
    }

    /// Time since an endpoint of the version was listed, as far as it is known.
    fn age_ms(&self, now_ms: u64) -> u64 {
        if self.is_listed {
            return 0;
        }
        (now_ms + VERSION_RETENTION_MS).saturating_sub(self.counts_until_ms)
    }
}

impl VersionRecord {
    /// Whether the store has come back from a copy since the record was written.
    fn is_before_copy(&self, store_era: u64) -> bool {
        self.era.max(FIRST_ERA) < store_era
    }

    /// Versions that were listed when the record was written, sorted.
    pub fn listed(&self) -> Vec<Name> {
        let listed = self.versions.iter().filter(|it| it.until_unix_ms.is_none());
        let mut listed: Vec<Name> = listed.map(|it| it.version.clone()).collect();
        listed.sort_unstable();
        listed
    }
}

//! Local copy of the configuration and endpoints topics, updated from the store or from peers.

use std::{cmp::Ordering, collections::HashMap, sync::Arc};

use bytes::Bytes;
use tanagergauge_core::{
    Name,
    compacted_log::{CatchUp, CatchUpPlan, CompactedLog, Record},
    endpoint::{Distance, EndpointInfo},
    endpoint_reports::{EndpointReports, KnownReport, ReportNumber},
    store_era::EraChange,
};

use crate::{
    clock,
    gateway::Gateway,
    meters,
    peers::Position,
    store::{Changes, Decoders, EndpointEntry, Snapshot, Topic},
    suspects,
};

/// How long an endpoint is still used after its entry went missing during a store outage, in
/// milliseconds. It may be alive and could not renew its entry.
pub(crate) const MISSING_ENTRY_GRACE_MS: u64 = 2_000;

/// How long an endpoint that is gone, and that a store lists again after it came back from a copy, is
/// not used, in milliseconds. Unless it reports, its entry lapses before: after three of its reports
/// were missed, 1.2 s apart.
const LISTED_AGAIN_WAIT_MS: u64 = 6_000;

/// How changes of endpoints are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeReport {
    /// A line each.
    Each,
    /// One line for all: the first list of an instance has hundreds.
    Batch,
}

/// The newest records of the configuration and endpoints topics.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    configuration: CompactedLog,
    endpoints: CompactedLog,
    /// The configuration in force, which a store that came back from a copy may have lost.
    in_force: Option<InForce>,
    /// Newest reports of endpoints, to recognize older ones in such a copy.
    reports: EndpointReports,
    /// Endpoints whose entries went missing during a store outage, and when they are removed.
    missing_until: HashMap<Name, u64>,
    /// Endpoints that were gone and that the store's copy lists, and when they are used if it still
    /// does.
    listed_again_until: HashMap<Name, u64>,
    /// Entries that disappear before this time are taken to have lapsed during a store outage.
    recovery_grace_until_ms: u64,
}

/// The configuration in force.
#[derive(Clone, Debug)]
struct InForce {
    version: u64,
    record: Record,
}

impl StoreView {
    /// Up to where the topics are known.
    pub(crate) fn position(&self) -> Position {
        Position {
            configuration_end: self.configuration.end().unwrap_or(0),
            endpoints_end: self.endpoints.end().unwrap_or(0),
            configuration_era: self.configuration.era(),
            endpoints_era: self.endpoints.era(),
            configuration_version: self.in_force.as_ref().map_or(0, |it| it.version),
        }
    }

    /// Record of the configuration in force, if its version is higher than a peer's. Versions count
    /// in any era: the store may have lost the record.
    pub(crate) fn configuration_newer_than(&self, version: u64) -> Vec<Record> {
        let in_force = self.in_force.iter().filter(|it| it.version > version);
        in_force.map(|it| it.record.clone()).collect()
    }

    /// What a peer needs that knows the endpoints topic up to a position.
    pub(crate) fn plan_endpoint_catch_up(&self, known: Position, has_store: bool) -> CatchUpPlan {
        match known.endpoints_era.cmp(&self.endpoints.era()) {
            Ordering::Less => self.endpoints.plan_complete(has_store),
            Ordering::Equal => self.endpoints.plan_catch_up(known.endpoints_end, has_store),
            Ordering::Greater => CatchUpPlan::Records(CatchUp::default()),
        }
    }

    /// Era of the history that a topic's offset belongs to.
    pub(crate) fn era(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Configuration => self.configuration.era(),
            Topic::Endpoints | Topic::Instances => self.endpoints.era(),
        }
    }

    /// Offset at which to continue reading a topic; `None` before the first read. The instances
    /// topic is not followed, only read as a whole.
    pub(crate) fn end(&self, topic: Topic) -> Option<u64> {
        match topic {
            Topic::Configuration => self.configuration.end(),
            Topic::Endpoints | Topic::Instances => self.endpoints.end(),
        }
    }

    fn log_mut(&mut self, topic: Topic) -> &mut CompactedLog {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Endpoints | Topic::Instances => &mut self.endpoints,
        }
    }

    /// Starts the grace period for missing entries after a store outage.
    pub(crate) fn store_recovered(&mut self) {
        self.recovery_grace_until_ms = clock::now_ms() + MISSING_ENTRY_GRACE_MS;
    }

    /// Applies a snapshot. Keys that are missing from it are removed, unless it is older than what
    /// is known. Returns false if it is of an earlier era, and then has no effect.
    pub(crate) fn apply_snapshot(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        snapshot: Snapshot,
    ) -> bool {
        let (known_era, known_end) = (self.era(topic), self.end(topic));
        let (count, end) = (snapshot.records.len(), snapshot.end);
        let era = snapshot.era.unwrap_or(known_era);
        match EraChange::of(known_era, snapshot.era) {
            EraChange::Outdated => return false,
            // A history may be known that has no records.
            EraChange::Began if known_era > 0 || known_end.is_some() => {
                tracing::warn!(%topic, era, known_era, end, known_end, records = count, "store came back from a copy");
                meters::store_restored(topic);
                self.apply_restored(gateway, decoders, topic, snapshot);
                gateway.set_store_era(era);
                return true;
            }
            EraChange::Began => self.log_mut(topic).begin_era(era, 0),
            EraChange::None => {}
        }
        let report = match known_end {
            None => ChangeReport::Batch,
            Some(_) => ChangeReport::Each,
        };
        self.apply_newest(gateway, decoders, topic, snapshot, report);
        if known_end.is_none() && topic == Topic::Endpoints {
            tracing::info!(endpoints = count, end, era, "list of endpoints read");
        } else {
            tracing::info!(%topic, records = count, end, known_end, era, "snapshot read");
        }
        gateway.set_store_era(era);
        true
    }

    /// Applies a snapshot of the known history.
    fn apply_newest(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        snapshot: Snapshot,
        report: ChangeReport,
    ) {
        let Snapshot { records, end, .. } = snapshot;
        let known = self.log_mut(topic);
        let missing = if end >= known.end().unwrap_or(0) {
            known.keys_not_in(&keys(&records))
        } else {
            Vec::new()
        };
        // The record at `end` is later than the snapshot.
        let offset = end.saturating_sub(1);
        let deletions = missing.into_iter().map(|key| Record { key, value: None, offset });
        for record in records.into_iter().chain(deletions) {
            self.apply(gateway, decoders, topic, record, report);
        }
        self.log_mut(topic).advance_to(end);
    }

    /// Applies what the store holds after it came back from a copy. Newer versions and reports than
    /// the copy's stay in force. Endpoints whose entries it lacks have some time to write them again.
    fn apply_restored(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        snapshot: Snapshot,
    ) {
        let Snapshot { records, end, era } = snapshot;
        let missing = self.log_mut(topic).keys_not_in(&keys(&records));
        self.log_mut(topic).begin_era(era.unwrap_or(0), end);
        self.store_recovered();
        for record in records {
            match self.known_report(decoders, topic, &record) {
                None => self.apply(gateway, decoders, topic, record, ChangeReport::Each),
                Some(KnownReport::Live(value)) => {
                    self.missing_until.remove(&record.key);
                    self.endpoints.put(Record { value: Some(value), ..record }, true);
                }
                Some(KnownReport::Gone) => {
                    tracing::info!(endpoint = %record.key, "an endpoint that is gone is listed again");
                    let until_ms = clock::now_ms() + LISTED_AGAIN_WAIT_MS;
                    self.listed_again_until.insert(record.key.clone(), until_ms);
                    self.endpoints.put(record, true);
                }
            }
        }
        if topic == Topic::Endpoints {
            for key in missing {
                self.endpoint_removed(gateway, &key);
            }
        }
    }

    /// What is known of an endpoint in place of a copy's record, unless that is newer.
    fn known_report(
        &self,
        decoders: &Decoders,
        topic: Topic,
        record: &Record,
    ) -> Option<KnownReport> {
        if topic != Topic::Endpoints {
            return None;
        }
        let entry = (decoders.endpoint)(record.value.as_ref()?).ok()?;
        self.reports.known(&record.key, report_number(&entry))
    }

    /// Applies records that follow those that are known. Returns false if they are of another era,
    /// and then has no effect.
    pub(crate) fn apply_changes(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        changes: Changes,
    ) -> bool {
        if EraChange::of(self.era(topic), changes.era) != EraChange::None {
            return false;
        }
        for record in changes.records {
            self.apply(gateway, decoders, topic, record, ChangeReport::Each);
        }
        self.log_mut(topic).advance_to(changes.next);
        true
    }

    /// Applies the configuration that a peer has in force, and up to where it knows the topic.
    pub(crate) fn apply_peer_configuration(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        records: Vec<Record>,
        known: Position,
    ) {
        for record in &records {
            self.apply_configuration(gateway, decoders, record);
        }
        if known.configuration_end == 0 {
            return;
        }
        match known.configuration_era.cmp(&self.configuration.era()) {
            Ordering::Less => {}
            Ordering::Equal => self.configuration.advance_to(known.configuration_end),
            Ordering::Greater => {
                self.configuration.begin_era(known.configuration_era, known.configuration_end);
            }
        }
    }

    /// Applies a record unless a newer one of its key is known.
    fn apply(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        record: Record,
        report: ChangeReport,
    ) {
        let Record { key, value, offset } = &record;
        if !self.log_mut(topic).is_newer(key, *offset) {
            return;
        }
        let is_change = match topic {
            Topic::Configuration => {
                self.apply_configuration(gateway, decoders, &record);
                true
            }
            Topic::Endpoints => self.apply_endpoint(gateway, decoders, key, value.as_ref(), report),
            Topic::Instances => return,
        };
        self.log_mut(topic).put(record, is_change);
    }

    /// Puts a configuration in force if its version is higher than the current one's.
    fn apply_configuration(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        record: &Record,
    ) {
        let Some(value) = &record.value else { return };
        match (decoders.configuration)(&record.key, value) {
            None => {}
            Some(Ok(configuration)) => {
                let version = configuration.version;
                let newer = gateway.put_configuration(configuration);
                if newer {
                    self.in_force = Some(InForce { version, record: record.clone() });
                }
                tracing::info!(version, newer, "configuration read");
            }
            Some(Err(error)) => {
                tracing::error!(%error, "configuration cannot be read; keeping the current one");
            }
        }
    }

    /// Applies an endpoint's record. Returns whether it says more than that the endpoint is alive.
    fn apply_endpoint(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        key: &Name,
        value: Option<&Bytes>,
        report: ChangeReport,
    ) -> bool {
        self.listed_again_until.remove(key);
        let Some(value) = value else {
            self.endpoint_removed(gateway, key);
            return true;
        };
        self.missing_until.remove(key);
        match (decoders.endpoint)(value) {
            Ok(entry) => {
                self.reports.record(key, report_number(&entry), value);
                let info = endpoint_info(gateway, key, entry);
                let (leaving, service) = (info.leaving, info.service.clone());
                if has_restarted(gateway, &info) {
                    suspects::record_endpoint_lost(gateway, key);
                }
                let changed = gateway.balancer().upsert(info);
                match report {
                    ChangeReport::Each if changed => {
                        tracing::info!(endpoint = %key, %service, leaving, "endpoint changed");
                    }
                    ChangeReport::Batch => {
                        tracing::debug!(endpoint = %key, %service, leaving, "endpoint listed");
                    }
                    ChangeReport::Each => {}
                }
                changed
            }
            Err(error) => {
                // An endpoint whose entry cannot be decoded is not used.
                let known = gateway.balancer().remove(key);
                tracing::warn!(endpoint = %key, %error, known, "entry of an endpoint is passed over");
                true
            }
        }
    }

    /// Handles a deleted entry. In the grace period after a store outage the endpoint is kept until
    /// the period ends.
    fn endpoint_removed(&mut self, gateway: &Arc<Gateway>, key: &Name) {
        let now_ms = clock::now_ms();
        if now_ms < self.recovery_grace_until_ms {
            self.missing_until.insert(key.clone(), self.recovery_grace_until_ms);
            tracing::info!(endpoint = %key, "entry lapsed while the store was away");
            return;
        }
        self.remove_endpoint(gateway, key);
    }

    fn remove_endpoint(&mut self, gateway: &Arc<Gateway>, key: &Name) {
        self.reports.record_gone(key, clock::now_ms());
        suspects::record_endpoint_lost(gateway, key);
        if gateway.balancer().remove(key) {
            tracing::info!(endpoint = %key, "endpoint gone");
        }
        gateway.pool.close_endpoint(key);
    }

    /// Removes endpoints whose entries went missing and did not reappear within the grace period, and
    /// uses those again that stayed listed after the store came back from a copy.
    pub(crate) fn end_waits(&mut self, gateway: &Arc<Gateway>, decoders: &Decoders) {
        let now_ms = clock::now_ms();
        for key in take_ended(&mut self.missing_until, now_ms) {
            self.remove_endpoint(gateway, &key);
        }
        for key in take_ended(&mut self.listed_again_until, now_ms) {
            if let Some(value) = self.endpoints.value(&key).cloned() {
                self.apply_endpoint(gateway, decoders, &key, Some(&value), ChangeReport::Each);
            }
        }
    }
}

/// Whether the process that an endpoint announces is another one than before.
fn has_restarted(gateway: &Gateway, info: &EndpointInfo) -> bool {
    gateway.balancer().info(&info.id).is_some_and(|it| it.incarnation != info.incarnation)
}

/// Removes the endpoints whose wait has ended.
fn take_ended(waits: &mut HashMap<Name, u64>, now_ms: u64) -> Vec<Name> {
    waits.extract_if(|_, until_ms| now_ms >= *until_ms).map(|(key, _)| key).collect()
}

fn keys(records: &[Record]) -> Vec<Name> {
    records.iter().map(|it| it.key.clone()).collect()
}

fn report_number(entry: &EndpointEntry) -> ReportNumber {
    ReportNumber { incarnation: entry.incarnation, sequence: entry.report_sequence }
}

/// Combines an endpoint's entry with its distance from this instance.
fn endpoint_info(gateway: &Gateway, key: &Name, entry: EndpointEntry) -> EndpointInfo {
    let region = gateway.region(&entry.availability_zone);
    let distance = if entry.availability_zone == gateway.settings.availability_zone {
        Distance::SameZone
    } else if region == gateway.settings.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    };
    EndpointInfo {
        id: key.clone(),
        service: entry.service,
        address: entry.address,
        region,
        distance,
        slots: entry.slots,
        leaving: entry.leaving,
        incarnation: entry.incarnation,
    }
}

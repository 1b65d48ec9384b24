//! Local copy of the configuration and endpoints topics, updated from the store or from peers.

mod endpoint;
mod restored;

use std::{cmp::Ordering, collections::HashMap, sync::Arc};

use bytes::Bytes;
use tanagergauge_core::{
    Name,
    compacted_log::{CatchUp, CatchUpPlan, CompactedLog, Record},
    endpoint_reports::EndpointReports,
    store_era::EraChange,
};

use crate::{
    clock,
    gateway::Gateway,
    line_limit::LineLimit,
    meters,
    peers::Position,
    store::{Changes, Decoders, Snapshot, Topic},
};

/// Log target that deployed log filters select; it is independent of the module path.
const LOG_TARGET: &str = "tanagergauge_gateway::view";
/// How long an endpoint is still used after its entry went missing during a store outage, in
/// milliseconds. It may be alive and could not renew its entry.
pub(crate) const MISSING_ENTRY_GRACE_MS: u64 = 2_000;

/// How changes of endpoints are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeReport {
    /// A line each.
    Each,
    /// One line for all: the first list of an instance has hundreds.
    Batch,
}

/// What a record means to those that are told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordEffect {
    /// It says something new.
    Change,
    /// It only says that an endpoint is alive.
    Heartbeat,
    /// It cannot be decoded, so that its value is of no use.
    Undecodable,
}

/// From where a configuration was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConfigurationSource<'a> {
    Store,
    /// An instance that had it in force.
    Peer(&'a Name),
}

impl<'a> ConfigurationSource<'a> {
    fn kind(self) -> &'static str {
        match self {
            ConfigurationSource::Store => "store",
            ConfigurationSource::Peer(_) => "peer",
        }
    }

    fn peer(self) -> Option<&'a str> {
        match self {
            ConfigurationSource::Store => None,
            ConfigurationSource::Peer(name) => Some(name),
        }
    }
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
    line_limit: LineLimit,
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
            gone_but_listed: self.listed_again_until.len() as u32,
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
                self.end_lines();
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
        self.end_lines();
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
        self.log_mut(topic).mark_complete_to(end);
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
        self.end_lines();
        self.log_mut(topic).advance_to(changes.next);
        true
    }

    /// Applies the configuration that a peer has in force, and up to where it knows the topic.
    pub(crate) fn apply_peer_configuration(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        peer: &Name,
        records: Vec<Record>,
        known: Position,
    ) {
        for record in &records {
            self.apply_configuration(gateway, decoders, record, ConfigurationSource::Peer(peer));
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
        let effect = match topic {
            Topic::Configuration => {
                let source = ConfigurationSource::Store;
                self.apply_configuration(gateway, decoders, &record, source);
                RecordEffect::Change
            }
            Topic::Endpoints => self.apply_endpoint(gateway, decoders, key, value.as_ref(), report),
            Topic::Instances => return,
        };
        let is_repeated = self.is_undecodable(&record.key);
        let log = self.log_mut(topic);
        match effect {
            RecordEffect::Change => log.put(record, true),
            RecordEffect::Heartbeat => log.put(record, false),
            RecordEffect::Undecodable => {
                log.put(Record { value: Some(Bytes::new()), ..record }, !is_repeated);
            }
        }
    }

    /// Puts a configuration in force if its version is higher than the current one's.
    fn apply_configuration(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        record: &Record,
        source: ConfigurationSource<'_>,
    ) {
        let Some(value) = &record.value else { return };
        match (decoders.configuration)(&record.key, value) {
            None => {}
            Some(Ok(configuration)) => {
                let version = configuration.version;
                let keys = configuration.key_count();
                let newer = gateway.put_configuration(configuration);
                if newer {
                    self.in_force = Some(InForce { version, record: record.clone() });
                    meters::configuration_read(source.kind());
                }
                let (source, peer) = (source.kind(), source.peer());
                tracing::info!(version, newer, keys, source, peer, "configuration read");
                if newer && keys == Some(0) {
                    tracing::warn!(
                        version,
                        "no client account has a key; requests are refused except on public routes"
                    );
                }
            }
            Some(Err(error)) => {
                tracing::error!(%error, "configuration cannot be read; keeping the current one");
            }
        }
    }
}

fn keys(records: &[Record]) -> Vec<Name> {
    records.iter().map(|it| it.key.clone()).collect()
}

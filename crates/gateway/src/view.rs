//! Local copy of the configuration and endpoints topics, updated from the store or from peers.

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use tanagergauge_core::{
    Name,
    compacted_log::{CatchUpPlan, CompactedLog, Record},
    endpoint::{Distance, EndpointInfo},
};

use crate::{
    clock,
    gateway::Gateway,
    peers::Position,
    store::{Decoders, EndpointEntry, Snapshot, Topic},
    suspects,
};

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

/// The newest records of the configuration and endpoints topics.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    configuration: CompactedLog,
    endpoints: CompactedLog,
    /// Endpoints whose entries went missing during a store outage, and when they are removed.
    missing_until: HashMap<Name, u64>,
    /// Entries that disappear before this time are taken to have lapsed during a store outage.
    recovery_grace_until_ms: u64,
}

impl StoreView {
    /// Offsets up to which the topics are known.
    pub(crate) fn position(&self) -> Position {
        Position {
            configuration_end: self.configuration.end().unwrap_or(0),
            endpoints_end: self.endpoints.end().unwrap_or(0),
        }
    }

    /// Configuration records that changed at or after an offset.
    pub(crate) fn configuration_since(&self, end: u64) -> Vec<Record> {
        self.configuration.changed_since(end)
    }

    /// What a peer needs that knows the endpoints topic up to an offset.
    pub(crate) fn plan_endpoint_catch_up(&self, end: u64, has_store: bool) -> CatchUpPlan {
        self.endpoints.plan_catch_up(end, has_store)
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
    /// is known.
    pub(crate) fn apply_snapshot(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        snapshot: Snapshot,
    ) {
        let Snapshot { records, end, era } = snapshot;
        let known = self.log_mut(topic);
        let is_first = known.end().is_none();
        let missing = if end >= known.end().unwrap_or(0) {
            let listed: Vec<Name> = records.iter().map(|it| it.key.clone()).collect();
            known.keys_not_in(&listed)
        } else {
            Vec::new()
        };
        let deletions = missing.into_iter().map(|key| Record { key, value: None, offset: end });
        let count = records.len();
        let report = if is_first { ChangeReport::Batch } else { ChangeReport::Each };
        for record in records.into_iter().chain(deletions) {
            self.apply(gateway, decoders, topic, record, report);
        }
        if is_first && topic == Topic::Endpoints {
            tracing::info!(endpoints = count, end, era, "list of endpoints read");
        } else {
            let known_end = self.end(topic);
            tracing::info!(%topic, records = count, end, known_end, era, "snapshot read");
        }
        self.log_mut(topic).advance_to(end);
    }

    /// Applies records that follow those that are known.
    pub(crate) fn apply_changes(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        topic: Topic,
        records: Vec<Record>,
        next: u64,
    ) {
        for record in records {
            self.apply(gateway, decoders, topic, record, ChangeReport::Each);
        }
        self.log_mut(topic).advance_to(next);
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
                if let Some(value) = value {
                    apply_configuration(gateway, decoders, key, value);
                }
                true
            }
            Topic::Endpoints => self.apply_endpoint(gateway, decoders, key, value.as_ref(), report),
            Topic::Instances => return,
        };
        self.log_mut(topic).put(record, is_change);
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
        let Some(value) = value else {
            self.endpoint_removed(gateway, key);
            return true;
        };
        self.missing_until.remove(key);
        match (decoders.endpoint)(value) {
            Ok(entry) => {
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
        remove_endpoint(gateway, key);
    }

    /// Removes endpoints whose entries went missing and did not reappear within the grace period.
    pub(crate) fn expire_missing(&mut self, gateway: &Arc<Gateway>) {
        if self.missing_until.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        self.missing_until.retain(|key, until_ms| {
            let keep = now_ms < *until_ms;
            if !keep {
                remove_endpoint(gateway, key);
            }
            keep
        });
    }
}

/// Whether the process that an endpoint announces is another one than before.
fn has_restarted(gateway: &Gateway, info: &EndpointInfo) -> bool {
    gateway.balancer().info(&info.id).is_some_and(|it| it.incarnation != info.incarnation)
}

fn remove_endpoint(gateway: &Arc<Gateway>, key: &Name) {
    suspects::record_endpoint_lost(gateway, key);
    if gateway.balancer().remove(key) {
        tracing::info!(endpoint = %key, "endpoint gone");
    }
    gateway.pool.close_endpoint(key);
}

fn apply_configuration(gateway: &Arc<Gateway>, decoders: &Decoders, key: &Name, value: &Bytes) {
    match (decoders.configuration)(key, value) {
        None => {}
        Some(Ok(configuration)) => {
            let version = configuration.version;
            let newer = gateway.put_configuration(configuration);
            tracing::info!(version, newer, "configuration read");
        }
        Some(Err(error)) => {
            tracing::error!(%error, "configuration cannot be read; keeping the current one");
        }
    }
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

//! The newest records of configuration and endpoints, as they came from the store or a peer.

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
    store::{Decode, EndpointEntry, Snapshot, Topic},
    suspects,
};

/// How long an entry that went missing while the store was away is still believed in, in
/// milliseconds.
pub(crate) const LAPSED_BELIEF_MS: u64 = 2_000;

/// Both topics that decide about requests.
#[derive(Debug, Default)]
pub(crate) struct Views {
    configuration: CompactedLog,
    endpoints: CompactedLog,
    /// Endpoints whose entries went missing while the store was away, and until when they are
    /// still believed in.
    lapsed: HashMap<Name, u64>,
    /// Entries that vanish before then did so while the store was away.
    lapses_until_ms: u64,
}

impl Views {
    /// Where what is known ends.
    pub(crate) fn position(&self) -> Position {
        Position {
            configuration_end: self.configuration.end().unwrap_or(0),
            endpoints_end: self.endpoints.end().unwrap_or(0),
        }
    }

    /// Records of the configuration that say something new from an offset on.
    pub(crate) fn configuration_since(&self, end: u64) -> Vec<Record> {
        self.configuration.changed_since(end)
    }

    /// What to do for a peer whose knowledge of the endpoints ends there.
    pub(crate) fn hand_on_endpoints(&self, end: u64, has_store: bool) -> CatchUpPlan {
        self.endpoints.plan_catch_up(end, has_store)
    }

    /// Where reading of a topic goes on; `None` before anything was read.
    pub(crate) fn end(&self, topic: Topic) -> Option<u64> {
        match topic {
            Topic::Configuration => self.configuration.end(),
            Topic::Endpoints | Topic::Instances => self.endpoints.end(),
        }
    }

    fn of(&mut self, topic: Topic) -> &mut CompactedLog {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Endpoints | Topic::Instances => &mut self.endpoints,
        }
    }

    /// The store answers again after an outage.
    pub(crate) fn store_returned(&mut self) {
        self.lapses_until_ms = clock::now_ms() + LAPSED_BELIEF_MS;
    }

    /// Takes in all newest records. A snapshot that is older than what is known drops nothing.
    pub(crate) fn take_snapshot(
        &mut self,
        gateway: &Arc<Gateway>,
        decode: &Decode,
        topic: Topic,
        snapshot: Snapshot,
    ) {
        let Snapshot { records, end } = snapshot;
        let known = self.of(topic);
        let missing = if end >= known.end().unwrap_or(0) {
            let listed: Vec<Name> = records.iter().map(|it| it.key.clone()).collect();
            known.keys_not_in(&listed)
        } else {
            Vec::new()
        };
        let dropped = missing.into_iter().map(|key| Record { key, value: None, offset: end });
        for record in records.into_iter().chain(dropped) {
            self.take(gateway, decode, topic, record);
        }
        self.of(topic).advance_to(end);
    }

    /// Takes in records that follow what is known.
    pub(crate) fn take_changes(
        &mut self,
        gateway: &Arc<Gateway>,
        decode: &Decode,
        topic: Topic,
        records: Vec<Record>,
        next: u64,
    ) {
        for record in records {
            self.take(gateway, decode, topic, record);
        }
        self.of(topic).advance_to(next);
    }

    /// Takes in one record unless a newer one of its key is known.
    fn take(&mut self, gateway: &Arc<Gateway>, decode: &Decode, topic: Topic, record: Record) {
        let Record { key, value, offset } = &record;
        if !self.of(topic).is_newer(key, *offset) {
            return;
        }
        let is_news = match topic {
            Topic::Configuration => {
                if let Some(value) = value {
                    take_configuration(gateway, decode, key, value);
                }
                true
            }
            Topic::Endpoints => self.take_endpoint(gateway, decode, key, value.as_ref()),
            Topic::Instances => return,
        };
        self.of(topic).put(record, is_news);
    }

    fn take_endpoint(
        &mut self,
        gateway: &Arc<Gateway>,
        decode: &Decode,
        key: &Name,
        value: Option<&Bytes>,
    ) -> bool {
        let Some(value) = value else {
            self.endpoint_missing(gateway, key);
            return true;
        };
        self.lapsed.remove(key);
        match (decode.endpoint)(value) {
            Ok(entry) => {
                let facts = facts(gateway, key, entry);
                let (leaving, service) = (facts.leaving, facts.service.clone());
                let changed = gateway.balancer().upsert(facts);
                if changed {
                    tracing::info!(endpoint = %key, %service, leaving, "endpoint changed");
                }
                changed
            }
            Err(error) => {
                // Such an entry names no endpoint to use.
                let known = gateway.balancer().remove(key);
                tracing::warn!(endpoint = %key, %error, known, "entry of an endpoint is passed over");
                true
            }
        }
    }

    fn endpoint_missing(&mut self, gateway: &Arc<Gateway>, key: &Name) {
        let now_ms = clock::now_ms();
        if now_ms < self.lapses_until_ms {
            self.lapsed.insert(key.clone(), self.lapses_until_ms);
            tracing::info!(endpoint = %key, "entry lapsed while the store was away");
            return;
        }
        remove(gateway, key);
    }

    /// Removes endpoints whose entries lapsed and did not come back.
    pub(crate) fn expire_lapsed(&mut self, gateway: &Arc<Gateway>) {
        if self.lapsed.is_empty() {
            return;
        }
        let now_ms = clock::now_ms();
        self.lapsed.retain(|key, until_ms| {
            let stays = now_ms < *until_ms;
            if !stays {
                remove(gateway, key);
            }
            stays
        });
    }
}

fn remove(gateway: &Arc<Gateway>, key: &Name) {
    if gateway.balancer().remove(key) {
        tracing::info!(endpoint = %key, "endpoint gone");
    }
    gateway.pool.forget(key);
    suspects::lost(gateway, key);
}

fn take_configuration(gateway: &Arc<Gateway>, decode: &Decode, key: &Name, value: &Bytes) {
    match (decode.configuration)(key, value) {
        None => {}
        Some(Ok(configuration)) => {
            let version = configuration.version;
            let newer = gateway.put_configuration(configuration);
            tracing::info!(version, newer, "configuration read");
        }
        Some(Err(error)) => {
            tracing::error!(%error, "configuration cannot be read; the earlier one stays");
        }
    }
}

fn facts(gateway: &Gateway, key: &Name, entry: EndpointEntry) -> EndpointInfo {
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

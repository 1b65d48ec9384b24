//! What changes when the store comes back from an older copy.

use std::{collections::HashMap, sync::Arc};

use tanagergauge_core::{
    Name,
    compacted_log::Record,
    endpoint_reports::{GoneEndpoint, KnownReport},
};

use super::{ChangeReport, LOG_TARGET, StoreView, endpoint::report_number, keys};
use crate::{
    clock,
    gateway::Gateway,
    peers::Position,
    store::{Decoders, Snapshot, Topic},
};

/// How long an endpoint that is gone, and that a store lists again after it came back from a copy, is
/// not used, in milliseconds. Unless it reports, its entry lapses before: after three of its reports
/// were missed, 1.2 s apart.
const LISTED_AGAIN_WAIT_MS: u64 = 6_000;

impl StoreView {
    /// Applies what the store holds after it came back from a copy. Newer versions and reports than
    /// the copy's stay in force. Endpoints whose entries it lacks have some time to write them again.
    pub(super) fn apply_restored(
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
                    let record = Record { value: Some(value), ..record };
                    self.apply(gateway, decoders, topic, record, ChangeReport::Each);
                }
                Some(KnownReport::Gone) => {
                    self.wait_for_report(&record.key);
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

    /// Does not use an endpoint that is gone and listed again until it reports, or for some time.
    fn wait_for_report(&mut self, endpoint: &Name) {
        tracing::info!(target: LOG_TARGET, %endpoint, "an endpoint that is gone is listed again");
        let until_ms = clock::now_ms() + LISTED_AGAIN_WAIT_MS;
        self.listed_again_until.insert(endpoint.clone(), until_ms);
    }

    /// Endpoints that are gone although the store lists them, if a peer at a position knows fewer.
    pub(crate) fn gone_but_listed(&self, peer: Position) -> Vec<GoneEndpoint> {
        if !peer.lacks_gone_endpoints(self.position()) {
            return Vec::new();
        }
        self.listed_again_until.keys().filter_map(|it| self.reports.gone(it)).collect()
    }

    /// Applies what a peer knows of endpoints that are gone although the store lists them.
    pub(crate) fn apply_gone(
        &mut self,
        gateway: &Arc<Gateway>,
        decoders: &Decoders,
        gone: &[GoneEndpoint],
    ) {
        for it in gone {
            let key = &it.endpoint;
            let value = self.endpoints.value(key).cloned();
            let entry = value.and_then(|it| (decoders.endpoint)(&it).ok());
            let is_old = entry.is_some_and(|entry| report_number(&entry) <= it.last_report);
            if is_old
                && !self.listed_again_until.contains_key(key)
                && self.reports.record_gone_at_peer(it, clock::now_ms())
            {
                self.remove_endpoint(gateway, key);
                self.wait_for_report(key);
            }
        }
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

/// Removes the endpoints whose wait has ended.
fn take_ended(waits: &mut HashMap<Name, u64>, now_ms: u64) -> Vec<Name> {
    waits.extract_if(|_, until_ms| now_ms >= *until_ms).map(|(key, _)| key).collect()
}

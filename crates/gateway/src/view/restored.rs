//! What changes when the store comes back from an older copy.

use std::{collections::HashMap, sync::Arc};

use tanagergauge_core::{Name, compacted_log::Record, endpoint_reports::KnownReport};

use super::{ChangeReport, LOG_TARGET, StoreView, endpoint::report_number, keys};
use crate::{
    clock,
    gateway::Gateway,
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
                    self.missing_until.remove(&record.key);
                    self.endpoints.put(Record { value: Some(value), ..record }, true);
                }
                Some(KnownReport::Gone) => {
                    tracing::info!(target: LOG_TARGET, endpoint = %record.key, "an endpoint that is gone is listed again");
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

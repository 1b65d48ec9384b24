//! Observes which software versions of each service are listed, and keeps a record of them in the store
//! for instances that start.

use std::{sync::Arc, time::Duration};

use tanagergauge_core::{Name, compacted_log::Record, version_history::VersionRecord};
use tokio::time::{Instant, sleep};

use crate::{
    backoff::Backoff,
    clock,
    gateway::Gateway,
    store::{Store, StoreError, Topic},
};

/// Keys of these records are this and the name of a service. They share a topic with the entries of
/// instances, which each instance reads at its start.
const KEY_PREFIX: &str = "versions-";
/// Interval at which the listed versions are observed.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(250);
/// How much later than the hub of one zone that of the next one writes a record, unless it hears that it
/// is written.
const ZONE_STAGGER: Duration = Duration::from_millis(500);
/// Delay after the first failed write of a record; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest such delay.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Decodes a record of the topic; `None` if it is of another kind.
pub(super) fn decode(record: &Record) -> Option<(Name, VersionRecord)> {
    let service = record.key.strip_prefix(KEY_PREFIX)?;
    let versions = serde_json::from_slice(record.value.as_ref()?).ok()?;
    Some((Name::from(service), versions))
}

/// Observes the listed versions until the process ends and, as the hub of this zone, writes the records
/// of those that changed.
pub(super) async fn run<S: Store>(gateway: Arc<Gateway>, store: Arc<S>) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut differing_since = None;
    loop {
        sleep(OBSERVE_INTERVAL).await;
        observe(&gateway);
        let records = records_to_write(&gateway);
        if records.is_empty() {
            differing_since = None;
            continue;
        }
        let since: Instant = *differing_since.get_or_insert_with(Instant::now);
        if write_delay(&gateway).is_none_or(|it| since.elapsed() < it) {
            continue;
        }
        match write(&gateway, &*store, records).await {
            Ok(()) => backoff.reset(),
            Err(error) => {
                tracing::info!(%error, "cannot write which software versions are in service; retrying");
                sleep(backoff.failed()).await;
            }
        }
    }
}

/// Records that an endpoint of a version is listed, if streams of its service may be resumed.
pub(crate) fn record_listed(gateway: &Gateway, service: &Name, version: &Name) {
    let configuration = gateway.configuration();
    if configuration.is_some_and(|it| it.has_resumable_streams(service)) {
        gateway.version_history().record_listed(service, version, clock::now_ms());
    }
}

/// Records which versions are listed of the services whose streams may be resumed.
fn observe(gateway: &Gateway) {
    if !gateway.is_initialized() {
        return;
    }
    let Some(configuration) = gateway.configuration() else { return };
    let balancer = gateway.balancer();
    let listed = balancer.software_versions();
    let listed = listed.into_iter().filter(|(it, _)| configuration.has_resumable_streams(it));
    let mut history = gateway.version_history();
    history.record_era(gateway.store_era());
    history.observe(listed, clock::now_ms());
}

fn records_to_write(gateway: &Gateway) -> Vec<(Name, VersionRecord)> {
    gateway.version_history().records_to_store(clock::unix_ms(), clock::now_ms())
}

/// How long a change is left to the hubs of other zones; `None` if this instance is no hub.
fn write_delay(gateway: &Gateway) -> Option<Duration> {
    let (own, zone) = (&gateway.settings.instance, &gateway.settings.availability_zone);
    let roster = gateway.peers.roster();
    let hub = roster.hub(zone, own, clock::now_ms());
    if hub.is_some_and(|it| it.name != *own) {
        return None;
    }
    let zones_before = roster.zones().iter().filter(|it| *it < zone).count();
    Some(ZONE_STAGGER * u32::try_from(zones_before).unwrap_or(u32::MAX))
}

async fn write<S: Store>(
    gateway: &Gateway,
    store: &S,
    records: Vec<(Name, VersionRecord)>,
) -> Result<(), StoreError> {
    for (service, record) in records {
        let value = serde_json::to_vec(&record).map_err(|_| StoreError::Unreadable)?;
        store.put(Topic::Instances, &format!("{KEY_PREFIX}{service}"), &value).await?;
        let listed = record.listed().join(",");
        tracing::info!(%service, listed, "software versions in service changed");
        gateway.version_history().record_stored(&service, &record);
    }
    Ok(())
}

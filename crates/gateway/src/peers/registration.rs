//! This instance's entry in the store, and the list of all instances that comes from such entries.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tanagergauge_core::{Name, roster::Peer};
use tokio::time::{sleep, timeout};

use crate::{
    backoff::Backoff,
    clock,
    gateway::Gateway,
    line_limit::LineLimit,
    meters,
    request::{fraction, uniform_hash},
    store::{DecodeError, Snapshot, Store, Topic, result_label},
};

/// Log target that deployed log filters select; it is independent of the module path.
const LOG_TARGET: &str = "tanagergauge_gateway::peers::sync";
/// Interval at which the list of instances is read from the store.
const ROSTER_INTERVAL: Duration = Duration::from_secs(20);
/// Time within which all instances read the list after the store came back from a copy.
const RESTORED_READ_SPREAD: Duration = Duration::from_secs(4);
/// Delay after the first failed read or write of the list; doubles with each further failure.
const INITIAL_ROSTER_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such delay. An instance without the list knows no hub, and reads the store by itself.
const MAX_ROSTER_BACKOFF: Duration = Duration::from_secs(2);
/// Added to the number of listed instances that share the retry budget, for one that has started
/// but is not in the list yet.
const UNLISTED_INSTANCES: usize = 1;

/// An instance's entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    availability_zone: Name,
    #[serde(rename = "control")]
    control_address: SocketAddr,
}

/// Entries that cannot be decoded. They are read again with each list, and logged once.
#[derive(Debug, Default)]
struct PassedOver {
    /// Instance and offset of those in the list before.
    logged: HashSet<(Name, u64)>,
    /// The same of the list that is being read.
    read: HashSet<(Name, u64)>,
    line_limit: LineLimit,
}

impl PassedOver {
    fn record(&mut self, instance: Name, offset: u64, error: &DecodeError) {
        let entry = (instance, offset);
        if !self.logged.contains(&entry) && self.line_limit.admit() {
            let (instance, _) = &entry;
            tracing::warn!(target: LOG_TARGET, %instance, %error, "skipping the entry of an instance");
        }
        self.read.insert(entry);
    }

    fn end_read(&mut self) {
        self.logged = std::mem::take(&mut self.read);
        if let Some(entries) = self.line_limit.end_read() {
            tracing::warn!(target: LOG_TARGET, entries, "skipping more entries of instances");
        }
    }
}

/// Writes this instance's entry into the store and keeps the list of instances up to date.
pub(super) async fn run<S: Store>(gateway: Arc<Gateway>, store: Arc<S>) {
    let settings = &gateway.settings;
    let registration = Registration {
        availability_zone: settings.availability_zone.clone(),
        control_address: settings.control_listen,
    };
    let value = match serde_json::to_vec(&registration) {
        Ok(value) => value,
        Err(error) => {
            tracing::error!(target: LOG_TARGET, %error, "cannot encode the entry of this instance");
            return;
        }
    };
    register(&gateway, &*store, &value).await;
    let mut passed_over = PassedOver::default();
    let mut backoff = Backoff::new(INITIAL_ROSTER_BACKOFF, MAX_ROSTER_BACKOFF);
    loop {
        gateway.suspects().expire(clock::unix_ms());
        let era = gateway.store_era();
        let result = store.snapshot(Topic::Instances).await;
        meters::store_call(Topic::Instances, result_label(&result));
        match result {
            Ok(snapshot) => {
                let is_listed = snapshot.records.iter().any(|it| it.key == settings.instance);
                update_roster(&gateway, snapshot, &mut passed_over);
                backoff.reset();
                if !is_listed {
                    tracing::info!(target: LOG_TARGET, era, "the entry of this instance is missing; writing it again");
                    register(&gateway, &*store, &value).await;
                }
                wait_for_next_read(&gateway, era).await;
            }
            Err(error) => {
                tracing::debug!(target: LOG_TARGET, %error, "cannot read the list of instances; retrying");
                sleep(backoff.failed()).await;
            }
        }
    }
}

/// Waits until the list of instances is due, or some time after the store came back from a copy, which
/// may lack this instance.
async fn wait_for_next_read(gateway: &Gateway, known_era: u64) {
    let came_back = timeout(ROSTER_INTERVAL, gateway.wait_for_era_after(known_era)).await;
    if came_back.is_ok() {
        let spread = fraction(uniform_hash(&gateway.settings.instance));
        sleep(RESTORED_READ_SPREAD.mul_f64(spread)).await;
    }
}

async fn register<S: Store>(gateway: &Gateway, store: &S, value: &[u8]) {
    let mut backoff = Backoff::new(INITIAL_ROSTER_BACKOFF, MAX_ROSTER_BACKOFF);
    loop {
        let result = store.put(Topic::Instances, &gateway.settings.instance, value).await;
        meters::store_call(Topic::Instances, result_label(&result));
        let Err(error) = result else { return };
        tracing::info!(target: LOG_TARGET, %error, "cannot write the entry of this instance; retrying");
        sleep(backoff.failed()).await;
    }
}

fn update_roster(gateway: &Gateway, snapshot: Snapshot, passed_over: &mut PassedOver) {
    let mut records = snapshot.records;
    // Of two entries with the same address, the later one belongs to the running instance.
    records.sort_by_key(|it| it.offset);
    let mut roster = gateway.peers.roster();
    for record in records {
        let Some(value) = record.value else { continue };
        match serde_json::from_slice::<Registration>(&value) {
            Ok(it) => roster.put(Peer {
                name: record.key,
                zone: it.availability_zone,
                control: it.control_address,
            }),
            Err(error) => passed_over.record(record.key, record.offset, &DecodeError::new(error)),
        }
    }
    passed_over.end_read();
    let known = roster.len();
    drop(roster);
    gateway.peers.set_list_read();
    share_budgets(gateway, known);
}

/// Divides the retry budgets among the known instances.
pub(super) fn share_budgets(gateway: &Gateway, known: usize) {
    let instances = known + UNLISTED_INSTANCES;
    if gateway.budgets().set_instances(instances) {
        tracing::info!(target: LOG_TARGET, instances, "instances that share the budget of repeats");
    }
}

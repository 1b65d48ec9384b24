//! This instance's entry in the store, and the list of all instances that comes from such entries.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tanagergauge_core::{Name, roster::Peer, store_era::FIRST_ERA, version_history::VersionRecord};
use tokio::time::{sleep, timeout};

use crate::{
    backoff::Backoff,
    clock,
    gateway::Gateway,
    line_limit::LineLimit,
    meters,
    peers::version_records,
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
/// The first instances of a deployment start within this time, in milliseconds.
const FIRST_START_SPAN_MS: u64 = 10_000;
/// Added to the number of listed instances that share the retry budget, for one that has started
/// but is not in the list yet.
const UNLISTED_INSTANCES: usize = 1;

/// An instance's entry in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    availability_zone: Name,
    #[serde(rename = "control")]
    control_address: SocketAddr,
    /// Start of the process as Unix milliseconds; 0 if the entry does not tell.
    #[serde(default)]
    started_unix_ms: u64,
}

/// What the store's topic of instances holds.
#[derive(Debug)]
struct InstanceList {
    instances: Vec<(Peer, Registration)>,
    versions: Vec<(Name, VersionRecord)>,
    /// Era of the store's history, if the store told it.
    era: Option<u64>,
    /// Each key was written once, and the store never came back from a copy.
    is_unchanged: bool,
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
        started_unix_ms: clock::unix_ms(),
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
                apply(&gateway, decode(snapshot, &mut passed_over));
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

/// Decodes the entries of instances, and the records of software versions beside them.
fn decode(snapshot: Snapshot, passed_over: &mut PassedOver) -> InstanceList {
    let is_first_era = snapshot.era.is_none_or(|it| it <= FIRST_ERA);
    let is_unchanged = is_first_era && snapshot.records.len() as u64 == snapshot.end;
    let (instances, versions, era) = (Vec::new(), Vec::new(), snapshot.era);
    let mut list = InstanceList { instances, versions, era, is_unchanged };
    let mut records = snapshot.records;
    // Of two entries with the same address, the later one belongs to the running instance.
    records.sort_by_key(|it| it.offset);
    for record in records {
        if let Some(versions) = version_records::decode(&record) {
            list.versions.push(versions);
            continue;
        }
        let Some(value) = record.value else { continue };
        match serde_json::from_slice::<Registration>(&value) {
            Ok(it) => {
                let (zone, control) = (it.availability_zone.clone(), it.control_address);
                list.instances.push((Peer { name: record.key, zone, control }, it));
            }
            Err(error) => passed_over.record(record.key, record.offset, &DecodeError::new(error)),
        }
    }
    passed_over.end_read();
    list
}

fn apply(gateway: &Gateway, list: InstanceList) {
    let (unix_ms, now_ms) = (clock::unix_ms(), clock::now_ms());
    let is_first_start = !gateway.peers.is_list_read() && list.is_first_start(unix_ms);
    let mut history = gateway.version_history();
    if is_first_start {
        tracing::info!(target: LOG_TARGET, "first start of the deployment: no stream began before");
        history.record_first_start();
    }
    history.record_era(list.era.unwrap_or(0));
    history.apply_records(list.versions, unix_ms, now_ms);
    drop(history);
    let mut roster = gateway.peers.roster();
    for (peer, _) in list.instances {
        roster.put(peer);
    }
    let known = roster.len();
    drop(roster);
    gateway.peers.set_list_read();
    share_budgets(gateway, known);
}

impl InstanceList {
    /// Whether no instance can have run before those that start now: nobody wrote a record of software
    /// versions, and each instance has registered once, just now.
    fn is_first_start(&self, unix_ms: u64) -> bool {
        let is_young =
            |it: &Registration| unix_ms.abs_diff(it.started_unix_ms) <= FIRST_START_SPAN_MS;
        self.is_unchanged
            && self.versions.is_empty()
            && self.instances.iter().all(|(_, it)| is_young(it))
    }
}

/// Divides the retry budgets among the known instances.
pub(super) fn share_budgets(gateway: &Gateway, known: usize) {
    let instances = known + UNLISTED_INSTANCES;
    if gateway.budgets().set_instances(instances) {
        tracing::info!(target: LOG_TARGET, instances, "instances that share the budget of repeats");
    }
}

//! Finds out whether the process that answers at an endpoint's address is the one of its entry, before a
//! stream goes on there: another process may run another software version.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tanagergauge_core::{
    Name, endpoint::EndpointInfo, selection::SelectedEndpoint, version_selection::ProcessDoubt,
};
use tokio::time::{Instant, sleep};

use crate::{
    clock,
    connection::Connection,
    gateway::Gateway,
    process_report::{self, ProcessReport},
    request::Request,
};

/// Longest wait of a request for proof of an endpoint.
const MAX_PROOF_WAIT: Duration = Duration::from_millis(800);
/// Interval at which it is looked for.
const PROOF_INTERVAL: Duration = Duration::from_millis(20);
/// Age of the list of endpoints from which the store counts as away, in milliseconds.
const MAX_LIST_AGE_MS: u64 = 1_500;
/// How long a connection is held open for proof. Without the store there is none.
const MAX_HOLD_TIME: Duration = Duration::from_secs(3);
/// Time after a failed attempt within which no other one begins.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The same once another process has reported: it has still to write its entry.
const REPLACED_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Endpoints for which proof is being looked for.
#[derive(Debug, Default)]
pub(crate) struct ProofSearches {
    running: Mutex<HashSet<Name>>,
}

impl ProofSearches {
    fn lock(&self) -> MutexGuard<'_, HashSet<Name>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records that a connection to an endpoint was refused or ended, or that an answer did not come, and
/// begins to look for proof that its process is still the same.
pub(crate) fn record_disconnect(gateway: &Arc<Gateway>, endpoint: &Name) {
    if !matters(gateway, endpoint) {
        return;
    }
    if gateway.balancer().record_disconnect(endpoint, clock::now_ms()) {
        tracing::info!(%endpoint, "another process may have taken the place of an endpoint");
        search_unless_asked(gateway, endpoint);
    }
}

/// Whether it matters which process an endpoint has: streams of its service may be resumed.
fn matters(gateway: &Gateway, endpoint: &Name) -> bool {
    let Some(configuration) = gateway.configuration() else { return true };
    let balancer = gateway.balancer();
    let info = balancer.info(endpoint);
    info.is_none_or(|it| configuration.has_resumable_streams(&it.service))
}

/// Records what a peer told of endpoints whose processes may have been replaced.
pub(crate) fn merge(gateway: &Arc<Gateway>, mut doubts: Vec<ProcessDoubt>) {
    doubts.retain(|it| matters(gateway, &it.endpoint));
    if doubts.is_empty() {
        return;
    }
    let new = gateway.balancer().merge_process_doubts(doubts, clock::now_ms());
    for endpoint in new {
        tracing::info!(%endpoint, "a peer tells that another process may have taken the place of an endpoint");
        search_unless_asked(gateway, &endpoint);
    }
}

/// Waits until the process of an endpoint is not in doubt, or another one has taken its place, or for too long.
/// One that reports is asked on the connection that is used.
pub(crate) async fn wait_without_doubt(
    gateway: &Arc<Gateway>,
    request: &Request,
    endpoint: &SelectedEndpoint,
) {
    if gateway.balancer().reports(&endpoint.id) {
        return;
    }
    let wait_end = wait_end(request);
    while gateway.balancer().proven_version(endpoint).is_none() && Instant::now() < wait_end {
        search_at_once(gateway, [endpoint.id.clone()]).await;
    }
}

/// Software version of the process that began a stream, on a connection that was opened at `opened_ms`, once it
/// is shown. `None` if that takes too long, or another process has taken its place.
pub(crate) async fn wait_for_version(
    gateway: &Arc<Gateway>,
    request: &Request,
    endpoint: &SelectedEndpoint,
    opened_ms: u64,
) -> Option<Name> {
    let wait_end = wait_end(request);
    loop {
        let version = version_on(gateway, &request.service, endpoint, opened_ms);
        if version.is_some() || Instant::now() >= wait_end {
            return version;
        }
        search_at_once(gateway, [endpoint.id.clone()]).await;
    }
}

/// Software version of the process that a connection leads to, which was opened at `opened_ms`; `None` while it
/// is not shown. Without the store, what does not report is taken for the process of its entry unless something
/// hints at another one.
pub(crate) fn version_on(
    gateway: &Gateway,
    service: &Name,
    endpoint: &SelectedEndpoint,
    opened_ms: u64,
) -> Option<Name> {
    let list = gateway.list_currency();
    if let Some(version) = gateway.balancer().shown_version(endpoint, opened_ms, list) {
        return Some(version.clone());
    }
    if !is_list_old(gateway) || process_report::can_ask(gateway, endpoint, service) {
        return None;
    }
    gateway.balancer().assumed_version(endpoint, opened_ms).cloned()
}

/// Software version at which a stream has begun, by the endpoint's entry alone; `None` if its process is in doubt,
/// or will tell at once: it is asked where no list will show it, as the store is away.
pub(crate) fn assume_begun(
    gateway: &Arc<Gateway>,
    service: &Name,
    endpoint: &SelectedEndpoint,
) -> Option<Name> {
    let is_doubted = gateway.balancer().doubted_ms(&endpoint.id).is_some();
    let is_asked = is_list_old(gateway) && process_report::can_ask(gateway, endpoint, service);
    if is_doubted || is_asked {
        begin_search(gateway, &endpoint.id);
        return None;
    }
    gateway.balancer().proven_version(endpoint).cloned()
}

/// Whether the list of endpoints is so old that the store counts as away.
fn is_list_old(gateway: &Gateway) -> bool {
    clock::now_ms() > gateway.list_currency().confirmed_ms + MAX_LIST_AGE_MS
}

/// When a request stops waiting for proof.
pub(crate) fn wait_end(request: &Request) -> Instant {
    request.deadline.min(Instant::now() + MAX_PROOF_WAIT)
}

/// Looks for proof of endpoints that a request waits for, and returns soon.
pub(crate) async fn search_at_once(
    gateway: &Arc<Gateway>,
    endpoints: impl IntoIterator<Item = Name>,
) {
    for it in endpoints {
        begin_search(gateway, &it);
    }
    gateway.list_wanted.notify_one();
    sleep(PROOF_INTERVAL).await;
}

/// Looks for proof of an endpoint, unless its process reports: that is asked when something depends on it.
fn search_unless_asked(gateway: &Arc<Gateway>, endpoint: &Name) {
    let reports = gateway.balancer().reports(endpoint);
    if !reports {
        begin_search(gateway, endpoint);
    }
}

/// Looks for proof of an endpoint in the background, unless that is being done.
fn begin_search(gateway: &Arc<Gateway>, endpoint: &Name) {
    if gateway.proof_searches.lock().insert(endpoint.clone()) {
        let (gateway, endpoint) = (Arc::clone(gateway), endpoint.clone());
        tokio::spawn(async move {
            match search(&gateway, &endpoint).await {
                Proof::Found => {}
                Proof::Missing => sleep(RETRY_INTERVAL).await,
                Proof::OfAnother => sleep(REPLACED_RETRY_INTERVAL).await,
            }
            gateway.proof_searches.lock().remove(&endpoint);
        });
    }
}

/// What a search brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    /// The endpoint's process is that of its entry.
    Found,
    /// Nothing.
    Missing,
    /// The endpoint's process is another one.
    OfAnother,
}

/// Looks for proof that an endpoint's process is that of its entry.
async fn search(gateway: &Gateway, endpoint: &Name) -> Proof {
    let Some(info) = gateway.balancer().info(endpoint).cloned() else { return Proof::Missing };
    let is_doubted = gateway.balancer().doubted_ms(endpoint).is_some();
    // Without a doubt, a current list shows the process at no cost.
    if !is_doubted && !is_list_old(gateway) {
        return Proof::Missing;
    }
    if process_report::can_ask(gateway, &info, &info.service)
        && let Some(proof) = ask(gateway, endpoint, &info).await
    {
        return proof;
    }
    if !is_doubted {
        return Proof::Missing;
    }
    let accepted_ms = clock::now_ms();
    let Ok(connection) = gateway.pool.connect(info.address).await else {
        gateway.balancer().record_disconnect(endpoint, clock::now_ms());
        return Proof::Missing;
    };
    if !hold(gateway, endpoint, &connection, accepted_ms).await {
        return Proof::Missing;
    }
    let held_ms = clock::now_ms().saturating_sub(accepted_ms);
    tracing::info!(%endpoint, evidence = "entry", held_ms, "the endpoint's process is that of its entry");
    gateway.pool.put(endpoint, connection, None);
    Proof::Found
}

/// Asks an endpoint's process whether it is that of its entry; `None` if it does not tell.
async fn ask(gateway: &Gateway, endpoint: &Name, info: &EndpointInfo) -> Option<Proof> {
    let Ok(connection) = gateway.pool.connect(info.address).await else {
        gateway.balancer().record_disconnect(endpoint, clock::now_ms());
        return Some(Proof::Missing);
    };
    match process_report::ask(gateway, info, connection).await {
        ProcessReport::Same(connection) => {
            tracing::info!(%endpoint, evidence = "report", "the endpoint's process is that of its entry");
            if let Some(connection) = connection {
                gateway.pool.put(endpoint, *connection, None);
            }
            Some(Proof::Found)
        }
        ProcessReport::Replaced(_) => {
            gateway.balancer().record_disconnect(endpoint, clock::now_ms());
            Some(Proof::OfAnother)
        }
        ProcessReport::Misdirected | ProcessReport::Failed => Some(Proof::Missing),
        ProcessReport::Untold => None,
    }
}

/// Holds a connection open until the process that accepted it must have written its entry.
async fn hold(
    gateway: &Gateway,
    endpoint: &Name,
    connection: &Connection,
    accepted_ms: u64,
) -> bool {
    let hold_end = Instant::now() + MAX_HOLD_TIME;
    while Instant::now() < hold_end {
        sleep(PROOF_INTERVAL).await;
        if connection.sender.is_closed() {
            gateway.balancer().record_disconnect(endpoint, clock::now_ms());
            return false;
        }
        // Another connection ended meanwhile, so that this one has to be opened again.
        if gateway.balancer().doubted_ms(endpoint).is_some_and(|it| it > accepted_ms) {
            return false;
        }
        let list = gateway.list_currency();
        let now_ms = clock::now_ms();
        if gateway.balancer().record_unchanged_entry(endpoint, accepted_ms, list, now_ms) {
            return true;
        }
    }
    false
}

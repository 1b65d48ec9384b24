//! Reports to this zone's hub, and between hubs.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, header::HOST};
use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name,
    load_reports::{self, EndpointLoad},
    roster::Peer,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout_at},
};

use super::{
    PATH,
    message::{Sender, Sync, SyncReply},
};
use crate::{
    clock,
    follow::Following,
    gateway::Gateway,
    send::read_whole,
    store::{Snapshot, Store, Topic},
};

/// Longest wait for the hub of this zone.
const ZONE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for the hub of another zone.
const AWAY_TIMEOUT: Duration = Duration::from_millis(400);
/// How often the list of instances is read from the store.
const ROSTER_EVERY: Duration = Duration::from_secs(20);
/// Pause after the list could not be read or written.
const ROSTER_PAUSE: Duration = Duration::from_millis(500);
/// Instances that are not known yet but may spend from the fleet's budget.
const UNKNOWN_INSTANCES: usize = 1;

/// A report, and up to where its receiver then knows this instance's suspects.
struct Report {
    sync: Sync,
    suspects_told: u64,
}

/// A peer's answer to a report.
struct Answer {
    reply: SyncReply,
    /// What report and answer took.
    bytes: usize,
}

/// What an instance writes of itself into the store.
#[derive(Debug, Serialize, Deserialize)]
struct Registration {
    availability_zone: Name,
    control: SocketAddr,
}

/// Tells peers of this instance and hears of them, until the process ends.
pub(crate) async fn run<S: Store>(following: Arc<Following>, store: Arc<S>) {
    let gateway = Arc::clone(following.gateway());
    let own = own_peer(&gateway);
    gateway.peers.roster().put(own.clone());
    tokio::spawn(keep_roster(Arc::clone(&gateway), store));
    loop {
        let begin = Instant::now();
        let pause_ms = report(&following, &own).await;
        if !gateway.is_informed() {
            ask_seeds(&following).await;
        }
        sleep_until(begin + Duration::from_millis(pause_ms)).await;
    }
}

/// Reports to the hub of this zone, or as the hub to those of others. Returns the time until the
/// next report, in milliseconds.
async fn report(following: &Arc<Following>, own: &Peer) -> u64 {
    let gateway = following.gateway();
    let (hub, members, zones) = {
        let roster = gateway.peers.roster();
        let hub = roster.hub(&own.zone, &own.name, clock::now_ms()).cloned();
        (hub, roster.member_count(&own.zone), roster.zones().len())
    };
    match hub {
        Some(hub) if hub.name != own.name => {
            let bytes = report_to_hub(following, &hub).await;
            load_reports::interval_ms(bytes, members)
        }
        _ => {
            gateway.peers.no_hub();
            take_own_sum(gateway);
            let bytes = report_to_zones(following, own).await;
            load_reports::interval_ms(bytes, zones)
        }
    }
}

fn own_peer(gateway: &Gateway) -> Peer {
    let settings = &gateway.settings;
    Peer {
        name: settings.instance.clone(),
        zone: settings.availability_zone.clone(),
        control: settings.control_listen,
    }
}

/// Writes this instance into the store's list, and reads the list now and then.
async fn keep_roster<S: Store>(gateway: Arc<Gateway>, store: Arc<S>) {
    let settings = &gateway.settings;
    let registration = Registration {
        availability_zone: settings.availability_zone.clone(),
        control: settings.control_listen,
    };
    match serde_json::to_vec(&registration) {
        Ok(value) => register(&gateway, &*store, &value).await,
        Err(error) => tracing::error!(%error, "entry of this instance cannot be written"),
    }
    loop {
        gateway.suspects().expire(clock::unix_ms());
        match store.snapshot(Topic::Instances).await {
            Ok(snapshot) => {
                take_roster(&gateway, snapshot);
                sleep(ROSTER_EVERY).await;
            }
            Err(error) => {
                tracing::debug!(%error, "list of instances is not read");
                sleep(ROSTER_PAUSE).await;
            }
        }
    }
}

async fn register<S: Store>(gateway: &Gateway, store: &S, value: &[u8]) {
    while let Err(error) = store.put(Topic::Instances, &gateway.settings.instance, value).await {
        tracing::info!(%error, "this instance is not yet in the store's list");
        sleep(ROSTER_PAUSE).await;
    }
}

fn take_roster(gateway: &Gateway, snapshot: Snapshot) {
    let mut records = snapshot.records;
    // Of two instances at one address the later one lives.
    records.sort_by_key(|it| it.offset);
    let mut roster = gateway.peers.roster();
    for record in records {
        let Some(value) = record.value else { continue };
        match serde_json::from_slice::<Registration>(&value) {
            Ok(it) => roster.put(Peer {
                name: record.key,
                zone: it.availability_zone,
                control: it.control,
            }),
            Err(error) => {
                tracing::warn!(instance = %record.key, %error, "entry of an instance is passed over");
            }
        }
    }
    let instances = roster.len() + UNKNOWN_INSTANCES;
    drop(roster);
    if gateway.budgets().set_instances(instances) {
        tracing::info!(instances, "instances that share the budget of repeats");
    }
}

/// Returns how many bytes the report and its answer took.
async fn report_to_hub(following: &Following, hub: &Peer) -> usize {
    let gateway = following.gateway();
    let (loads, instances) = (gateway.balancer().local_loads(), 1);
    let report = message(following, &hub.name, Sender::Member, loads, instances);
    match call(gateway, &hub.name, hub.control, &report.sync, ZONE_TIMEOUT).await {
        Some(Answer { mut reply, bytes }) => {
            hear(gateway, &hub.name, &report, &mut reply);
            gateway.peers.roster().record_success(&hub.name);
            gateway.peers.hub_answered(reply.age_ms);
            gateway.balancer().set_peer_loads(&reply.loads, clock::now_ms());
            take_knowledge(following, reply);
            bytes
        }
        None => {
            tracing::info!(hub = %hub.name, "hub does not answer");
            gateway.peers.no_hub();
            gateway.peers.roster().record_failure(&hub.name, clock::now_ms());
            0
        }
    }
}

/// A hub hears of others by their reports.
fn take_own_sum(gateway: &Gateway) {
    let now_ms = clock::now_ms();
    let (loads, _) = gateway.peers.reports().others_of_hub(now_ms);
    gateway.balancer().set_peer_loads(&loads, now_ms);
}

/// Reports to the hubs of those zones whose hubs do not report here. Returns how many bytes the
/// longest report and its answer took.
async fn report_to_zones(following: &Arc<Following>, own: &Peer) -> usize {
    let gateway = following.gateway();
    let now_ms = clock::now_ms();
    let hubs: Vec<Peer> = {
        let roster = gateway.peers.roster();
        let later = roster.zones().into_iter().filter(|it| *it > own.zone);
        later.filter_map(|it| roster.hub(&it, &own.name, now_ms).cloned()).collect()
    };
    let mut calls = JoinSet::new();
    for hub in hubs {
        calls.spawn(report_to_zone(Arc::clone(following), hub));
    }
    let mut longest = 0;
    while let Some(ended) = calls.join_next().await {
        match ended {
            Ok(bytes) => longest = longest.max(bytes),
            Err(error) => tracing::error!(%error, "a report to another zone was not finished"),
        }
    }
    longest
}

async fn report_to_zone(following: Arc<Following>, hub: Peer) -> usize {
    let gateway = following.gateway();
    let own = gateway.balancer().local_loads();
    let (loads, instances) = gateway.peers.reports().whole_zone(own, clock::now_ms());
    let report = message(&following, &hub.name, Sender::Hub, loads, instances);
    let now_ms = clock::now_ms;
    match call(gateway, &hub.name, hub.control, &report.sync, AWAY_TIMEOUT).await {
        Some(Answer { mut reply, bytes }) => {
            hear(gateway, &hub.name, &report, &mut reply);
            gateway.peers.roster().record_success(&hub.name);
            let loads = std::mem::take(&mut reply.loads);
            let mut tables = gateway.peers.reports();
            tables.zones.put(&hub.zone, loads, reply.instances, now_ms());
            drop(tables);
            take_knowledge(&following, reply);
            bytes
        }
        None => {
            tracing::info!(hub = %hub.name, zone = %hub.zone, "hub of another zone does not answer");
            gateway.peers.roster().record_failure(&hub.name, now_ms());
            0
        }
    }
}

/// An instance that knows nothing asks the peers that its settings name.
async fn ask_seeds(following: &Arc<Following>) {
    let gateway = following.gateway();
    for &seed in &gateway.settings.seeds {
        if seed == gateway.settings.control_listen {
            continue;
        }
        let name = Name::from(seed.to_string());
        let report = message(following, &name, Sender::Member, Vec::new(), 1);
        let answer = call(gateway, &name, seed, &report.sync, ZONE_TIMEOUT).await;
        if let Some(Answer { mut reply, .. }) = answer {
            hear(gateway, &name, &report, &mut reply);
            take_knowledge(following, reply);
        }
        if gateway.is_informed() {
            return;
        }
    }
}

/// A report for a peer.
fn message(
    following: &Following,
    peer: &str,
    sender: Sender,
    loads: Vec<EndpointLoad>,
    instances: u32,
) -> Report {
    let gateway = following.gateway();
    let Peer { name, zone, control } = own_peer(gateway);
    let known = following.views().position();
    let heard = gateway.peers.heard(peer);
    let suspects = gateway.suspects().updates_since(heard.by_peer);
    let sync = Sync {
        sender,
        instance: name,
        zone,
        control,
        loads,
        instances,
        known,
        has_store: !following.is_store_lost(),
        suspects: suspects.suspects,
        suspects_heard: heard.from_peer,
    };
    Report { sync, suspects_told: suspects.next }
}

/// Takes in a peer's news, and notes how far both have heard each other.
fn hear(gateway: &Gateway, peer: &Name, report: &Report, reply: &mut SyncReply) {
    let news = std::mem::take(&mut reply.suspects);
    let heard = gateway.peers.heard(peer).after(report.suspects_told, news.next);
    gateway.peers.set_heard(peer, heard);
    gateway.suspects().merge(news.suspects);
}

/// Takes in what a peer read from the store.
fn take_knowledge(following: &Following, reply: SyncReply) {
    let (gateway, decode) = (following.gateway(), following.decode());
    let mut views = following.views();
    let known = reply.known;
    if known.configuration_end > 0 {
        let (records, next) = (reply.configuration, known.configuration_end);
        views.take_changes(gateway, decode, Topic::Configuration, records, next);
    }
    if known.endpoints_end == 0 {
        return;
    }
    let records = reply.endpoints;
    if reply.endpoints_are_all {
        let snapshot = Snapshot { records, end: known.endpoints_end };
        views.take_snapshot(gateway, decode, Topic::Endpoints, snapshot);
    } else {
        views.take_changes(gateway, decode, Topic::Endpoints, records, known.endpoints_end);
    }
    drop(views);
    gateway.confirm_endpoints(reply.age_ms);
}

/// Sends a report; `None` if there is no usable answer in time.
async fn call(
    gateway: &Gateway,
    name: &Name,
    control: SocketAddr,
    sync: &Sync,
    limit: Duration,
) -> Option<Answer> {
    let until = Instant::now() + limit;
    let body = match postcard::to_stdvec(sync) {
        Ok(body) => Bytes::from(body),
        Err(error) => {
            tracing::error!(%error, "report to a peer cannot be written");
            return None;
        }
    };
    let mut connection = match gateway.pool.take(name, control, false) {
        Some(connection) => connection,
        None => timeout_at(until, gateway.pool.connect(control)).await.ok()?.ok()?,
    };
    let sent_bytes = body.len();
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(HOST, control.to_string())
        .body(Full::new(body))
        .ok()?;
    let response = timeout_at(until, connection.sender.send_request(request)).await.ok()?.ok()?;
    let bytes = read_whole(response.into_body(), until).await.ok()?;
    gateway.pool.put(name, connection, None);
    match postcard::from_bytes(&bytes) {
        Ok(reply) => Some(Answer { reply, bytes: sent_bytes + bytes.len() }),
        Err(error) => {
            tracing::warn!(%error, peer = %name, "answer of a peer cannot be read");
            None
        }
    }
}

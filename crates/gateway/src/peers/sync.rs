//! Sends reports to this zone's hub and, as the hub, to the hubs of other zones.

use std::{sync::Arc, time::Duration};

use tanagergauge_core::{
    Name,
    endpoint_limits::FleetPosition,
    load_reports::{self, EndpointLoad},
    roster::Peer,
    store_reads::reports_to_zone,
    update_log::LogPosition,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep_until},
};

use super::{
    announce,
    exchange::{self, Exchange},
    message::{SenderRole, SyncRequest},
    news, registration, supplement, version_records,
    versions::{self, OutgoingVersions},
};
use crate::{clock, follow::StoreFollower, gateway::Gateway, process_proof, store::Store};

/// Time-out for a response of this zone's hub.
pub(super) const ZONE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time-out for a response of another zone's hub.
const CROSS_ZONE_TIMEOUT: Duration = Duration::from_millis(400);

/// A report to a peer.
pub(super) struct Report {
    pub(super) request: SyncRequest,
    pub(super) versions: OutgoingVersions,
    /// Up to where the receiver has this instance's suspects once it gets the report.
    suspects_sent: LogPosition,
}

/// Exchanges reports with peers until the process ends.
pub(crate) async fn run<S: Store>(follower: Arc<StoreFollower>, store: Arc<S>) {
    let gateway = Arc::clone(follower.gateway());
    let local = local_peer(&gateway);
    gateway.peers.roster().put(local.clone());
    tokio::spawn(registration::run(Arc::clone(&gateway), Arc::clone(&store)));
    tokio::spawn(version_records::run(Arc::clone(&gateway), store));
    let mut is_announced = false;
    loop {
        let begin = Instant::now();
        let interval_ms = send_reports(&follower, &local).await;
        if !is_announced && gateway.peers.is_list_read() {
            announce::hub(&follower, &local).await;
            is_announced = true;
        }
        if !gateway.is_initialized() {
            ask_seeds(&follower).await;
        }
        sleep_until(begin + Duration::from_millis(interval_ms)).await;
    }
}

/// Reports to the hub of this zone or, as the hub, to the hubs of other zones. Returns the time
/// until the next report, in milliseconds.
async fn send_reports(follower: &Arc<StoreFollower>, local: &Peer) -> u64 {
    let gateway = follower.gateway();
    gateway.begun_streams().expire(clock::now_ms());
    let (hub, members, zones) = {
        let roster = gateway.peers.roster();
        let now_ms = clock::now_ms();
        let hub = roster.hub(&local.zone, &local.name, now_ms).cloned();
        let (live, is_list_read) = (gateway.peers.live_instances(), gateway.peers.is_list_read());
        update_limits(gateway, roster.position(&local.name, live, is_list_read), now_ms);
        if is_list_read {
            registration::share_budgets(gateway, roster.len());
        }
        (hub, roster.members(&local.zone).count(), roster.zones().len())
    };
    match hub {
        Some(hub) if hub.name != local.name => {
            let bytes = report_to_hub(follower, &hub, members).await;
            load_reports::interval_ms(bytes, members)
        }
        _ => {
            gateway.peers.clear_hub();
            apply_received_loads(gateway);
            let bytes = report_to_zones(follower, local).await;
            load_reports::interval_ms(bytes, zones)
        }
    }
}

/// Updates by whom limits of endpoints are shared, and drops what endpoints said long ago.
fn update_limits(gateway: &Gateway, position: FleetPosition, now_ms: u64) {
    let mut balancer = gateway.balancer();
    let limits = balancer.limits_mut();
    if limits.set_position(position) {
        let FleetPosition { rank, instances } = position;
        tracing::info!(rank, instances, "share of limits changed");
    }
    balancer.expire(now_ms);
}

fn local_peer(gateway: &Gateway) -> Peer {
    let settings = &gateway.settings;
    Peer {
        name: settings.instance.clone(),
        zone: settings.availability_zone.clone(),
        control: settings.control_listen,
    }
}

/// Reports to the hub of this zone, which has `members` instances. Returns the size of report and
/// response in bytes.
async fn report_to_hub(follower: &StoreFollower, hub: &Peer, members: usize) -> usize {
    let gateway = follower.gateway();
    let (loads, instances) = (gateway.balancer().local_loads(), 1);
    let mut report = build_report(follower, &hub.name, SenderRole::Member, loads, instances);
    if let Some(known) = gateway.peers.hub_lacks() {
        report.request.store = Some(news::collect(follower, known, false));
    }
    match exchange::send(gateway, &hub.name, hub.control, &report, ZONE_TIMEOUT).await {
        Some(mut exchange) => {
            apply_findings(gateway, &hub.name, &report, &mut exchange);
            let Exchange { response, load_bytes, .. } = exchange;
            gateway.peers.roster().record_success(&hub.name);
            gateway.peers.record_hub_response(&response.store, members);
            gateway.peers.set_other_instances(response.instances);
            gateway.balancer().set_peer_loads(&response.loads, clock::now_ms());
            news::apply(follower, &hub.name, response.store);
            load_bytes
        }
        None => {
            tracing::info!(hub = %hub.name, "hub does not answer");
            gateway.peers.roster().record_failure(&hub.name, clock::now_ms());
            0
        }
    }
}

/// Updates the hub's own view of other instances' loads, which it gets from their reports.
fn apply_received_loads(gateway: &Gateway) {
    let now_ms = clock::now_ms();
    let (loads, others) = gateway.peers.reports().loads_for_hub(now_ms);
    gateway.peers.set_other_instances(others);
    gateway.balancer().set_peer_loads(&loads, now_ms);
}

/// Reports to the hubs of other zones, as far as they do not report to this instance. Returns the
/// size in bytes of the largest report with its response.
async fn report_to_zones(follower: &Arc<StoreFollower>, local: &Peer) -> usize {
    let gateway = follower.gateway();
    let now_ms = clock::now_ms();
    let hubs: Vec<Peer> = {
        let roster = gateway.peers.roster();
        let data_age_ms = gateway.endpoints_age_ms();
        let zones = roster.zones().into_iter();
        let zones = zones.filter(|it| reports_to_zone(&local.zone, it, data_age_ms));
        zones.filter_map(|it| roster.hub(&it, &local.name, now_ms).cloned()).collect()
    };
    let mut exchanges = JoinSet::new();
    for hub in hubs {
        exchanges.spawn(report_to_zone(Arc::clone(follower), hub));
    }
    let mut largest = 0;
    while let Some(ended) = exchanges.join_next().await {
        match ended {
            Ok(bytes) => largest = largest.max(bytes),
            Err(error) => tracing::error!(%error, "task that reports to another zone failed"),
        }
    }
    largest
}

pub(super) async fn report_to_zone(follower: Arc<StoreFollower>, hub: Peer) -> usize {
    let gateway = follower.gateway();
    let local = gateway.balancer().local_loads();
    let (loads, instances) = gateway.peers.reports().loads_of_zone(local, clock::now_ms());
    let report = build_report(&follower, &hub.name, SenderRole::Hub, loads, instances);
    match exchange::send(gateway, &hub.name, hub.control, &report, CROSS_ZONE_TIMEOUT).await {
        Some(mut exchange) => {
            apply_findings(gateway, &hub.name, &report, &mut exchange);
            let Exchange { response, load_bytes, .. } = exchange;
            gateway.peers.roster().record_success(&hub.name);
            let mut reports = gateway.peers.reports();
            reports.zones.put(&hub.zone, response.loads, response.instances, clock::now_ms());
            drop(reports);
            news::apply(&follower, &hub.name, response.store);
            load_bytes
        }
        None => {
            tracing::info!(hub = %hub.name, zone = %hub.zone, "hub of another zone does not answer");
            gateway.peers.roster().record_failure(&hub.name, clock::now_ms());
            0
        }
    }
}

/// Asks the peers named in the settings for configuration and endpoints until both are known.
async fn ask_seeds(follower: &Arc<StoreFollower>) {
    let gateway = follower.gateway();
    for &seed in &gateway.settings.seeds {
        if seed == gateway.settings.control_listen {
            continue;
        }
        let name = Name::from(seed.to_string());
        let report = build_report(follower, &name, SenderRole::Member, Vec::new(), 1);
        let exchanged = exchange::send(gateway, &name, seed, &report, ZONE_TIMEOUT).await;
        if let Some(mut exchange) = exchanged {
            apply_findings(gateway, &name, &report, &mut exchange);
            news::apply(follower, &name, exchange.response.store);
        }
        if gateway.is_initialized() {
            return;
        }
    }
}

/// Builds a report for a peer.
pub(super) fn build_report(
    follower: &StoreFollower,
    peer: &str,
    sender: SenderRole,
    loads: Vec<EndpointLoad>,
    instances: u32,
) -> Report {
    let gateway = follower.gateway();
    let Peer { name, zone, control } = local_peer(gateway);
    let known = follower.view().position();
    let lacks = gateway.peers.lacks_gone_endpoints(peer, known);
    let cursors = gateway.peers.suspect_cursors(peer);
    let suspects = gateway.suspects().updates_since(cursors.acked_by_peer);
    let request = SyncRequest {
        sender,
        instance: name,
        zone,
        control,
        loads,
        instances,
        known,
        has_store: !follower.is_store_lost(),
        suspects: suspects.suspects,
        suspects_received: cursors.received_from_peer,
        roster: gateway.peers.roster_news_for(peer),
        limits: gateway.balancer().limits().updates(clock::now_ms()),
        store: lacks.map(|it| news::collect(follower, it, true)),
    };
    let versions = versions::outgoing(gateway, peer, sender);
    Report { request, versions, suspects_sent: suspects.next }
}

/// Applies the limits, suspects, versions and instances in a peer's response, records what it knows, and
/// updates the cursors of the exchange.
pub(super) fn apply_findings(
    gateway: &Arc<Gateway>,
    peer: &Name,
    report: &Report,
    exchange: &mut Exchange,
) {
    let versions = std::mem::take(&mut exchange.versions);
    versions::apply_response(gateway, peer, &report.versions, versions);
    process_proof::merge(gateway, std::mem::take(&mut exchange.doubts));
    let supplements = std::mem::take(&mut exchange.supplements);
    supplement::apply(gateway, peer, report.request.sender, supplements);
    let response = &mut exchange.response;
    let limits = std::mem::take(&mut response.limits);
    gateway.balancer().limits_mut().merge(limits, clock::now_ms());
    let updates = std::mem::take(&mut response.suspects);
    let cursors = gateway.peers.suspect_cursors(peer).advance(report.suspects_sent, updates.next);
    gateway.peers.set_suspect_cursors(peer, cursors);
    gateway.suspects().merge(updates.suspects);
    let roster = std::mem::take(&mut response.roster);
    gateway.peers.record_peer_knowledge(peer, roster, response.store.known);
}

//! Handles peers' reports.

use bytes::Bytes;
use tanagergauge_core::roster::Peer;

use super::{
    message::{self, Decoded, SenderRole, SyncRequest, SyncResponse, VersionReport},
    news, supplement, versions,
};
use crate::{clock, follow::StoreFollower, meters, process_proof};

/// Applies a report and returns the encoded response; `None` if the report cannot be decoded.
pub(crate) fn handle(follower: &StoreFollower, body: &[u8]) -> Option<Bytes> {
    let report: Decoded<SyncRequest, VersionReport> = match message::decode(body) {
        Ok(report) => report,
        Err(error) => {
            tracing::warn!(%error, "cannot decode a peer's report");
            return None;
        }
    };
    let sender = report.message.sender;
    let peer = report.message.instance.clone();
    let response = apply(follower, report.message);
    let versions = versions::apply_report(follower.gateway(), sender, report.versions);
    let gateway = follower.gateway();
    process_proof::merge(gateway, report.doubts);
    supplement::apply(gateway, &peer, sender, report.supplements);
    let doubts = gateway.balancer().process_doubts(clock::now_ms());
    let supplements = supplement::response(gateway, &peer, sender);
    match message::encode(&response, &versions, &doubts, &supplements) {
        Ok(encoded) => {
            meters::peer_bytes("received", body.len());
            meters::peer_bytes("sent", encoded.bytes.len());
            Some(Bytes::from(encoded.bytes))
        }
        Err(error) => {
            tracing::error!(%error, "cannot encode the response to a peer");
            None
        }
    }
}

fn apply(follower: &StoreFollower, report: SyncRequest) -> SyncResponse {
    let gateway = follower.gateway();
    let now_ms = clock::now_ms();
    let peers = &gateway.peers;
    let SyncRequest { sender, instance, zone, control, loads, instances, known, .. } = report;
    let roster = {
        let mut roster = peers.roster();
        roster.record_contact(Peer { name: instance.clone(), zone: zone.clone(), control });
        roster.add_unknown(report.roster.all);
        roster.news_for(report.roster.summary, now_ms)
    };
    let (local, limits) = {
        let mut balancer = gateway.balancer();
        balancer.limits_mut().merge(report.limits, now_ms);
        (balancer.local_loads(), balancer.limits().updates(now_ms))
    };
    let (loads, instances) = {
        let mut reports = peers.reports();
        match sender {
            SenderRole::Member => {
                reports.members.put(&instance, loads, instances, now_ms);
                reports.loads_for_member(&instance, local, now_ms)
            }
            SenderRole::Hub => {
                reports.zones.put(&zone, loads, instances, now_ms);
                reports.loads_of_zone(local, now_ms)
            }
        }
    };
    let suspects = {
        let mut known_suspects = gateway.suspects();
        known_suspects.merge(report.suspects);
        known_suspects.updates_since(report.suspects_received)
    };
    if let Some(store) = report.store {
        news::apply(follower, &instance, store);
    }
    SyncResponse {
        loads,
        instances,
        roster,
        store: news::collect(follower, known, report.has_store),
        suspects,
        limits,
    }
}

//! Makes an instance known to those that started before it.
//!
//! Instances read the list of all at intervals, so that those that started earlier do not know a new
//! one yet. A member reports to its hub by itself, but nobody reports to a new hub.

use std::sync::Arc;

use tanagergauge_core::roster::Peer;
use tokio::task::JoinSet;

use super::{
    exchange,
    message::SenderRole,
    news,
    sync::{ZONE_TIMEOUT, apply_findings, build_report, report_to_zone},
};
use crate::{clock, follow::StoreFollower};

/// Peers to which a new hub reports.
struct Audience {
    /// Other members of its zone.
    members: Vec<Peer>,
    /// Hubs of other zones.
    hubs: Vec<Peer>,
}

/// If this instance is the hub of its zone, reports once to all members and to the hubs of all other
/// zones.
pub(super) async fn hub(follower: &Arc<StoreFollower>, local: &Peer) {
    let Some(Audience { members, hubs }) = audience(follower, local) else { return };
    let mut exchanges = JoinSet::new();
    for member in members {
        exchanges.spawn(report_to_member(Arc::clone(follower), member));
    }
    for hub in hubs {
        let follower = Arc::clone(follower);
        exchanges.spawn(async move {
            report_to_zone(follower, hub).await;
        });
    }
    while let Some(ended) = exchanges.join_next().await {
        if let Err(error) = ended {
            tracing::error!(%error, "task that announces this instance failed");
        }
    }
}

/// `None` if another instance is the hub.
fn audience(follower: &StoreFollower, local: &Peer) -> Option<Audience> {
    let roster = follower.gateway().peers.roster();
    let now_ms = clock::now_ms();
    let hub = |zone: &str| roster.hub(zone, &local.name, now_ms).cloned();
    if hub(&local.zone).is_some_and(|it| it.name != local.name) {
        return None;
    }
    let members = roster.members(&local.zone).filter(|it| it.name != local.name);
    let zones = roster.zones().into_iter().filter(|it| *it != local.zone);
    Some(Audience {
        members: members.cloned().collect(),
        hubs: zones.filter_map(|it| hub(&it)).collect(),
    })
}

async fn report_to_member(follower: Arc<StoreFollower>, member: Peer) {
    let gateway = follower.gateway();
    let report = build_report(&follower, &member.name, SenderRole::Member, Vec::new(), 1);
    let exchanged =
        exchange::send(gateway, &member.name, member.control, &report, ZONE_TIMEOUT).await;
    if let Some(mut exchange) = exchanged {
        apply_findings(gateway, &member.name, &report, &mut exchange);
        news::apply(&follower, &member.name, exchange.response.store);
    }
}

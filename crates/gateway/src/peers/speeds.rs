//! Learned speeds of engines in reports and responses.

use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name,
    engine_speed::{PeerKind, ReadingMessage},
};

use super::{
    message::SenderRole,
    supplement::{Supplement, SupplementKind},
};
use crate::{clock, gateway::Gateway};

/// Content of a section of learned speeds.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SpeedSection {
    /// It is part of a response and not of a report.
    is_response: bool,
    message: ReadingMessage,
}

/// Section for a report to a peer; `sender` is the role of this instance.
pub(super) fn outgoing(gateway: &Gateway, peer: &Name, sender: SenderRole) -> Option<Supplement> {
    section(gateway, peer, receiver_of_report(sender), false)
}

/// Section for the response to a peer's report; `sender` is the role of that peer.
pub(super) fn response(gateway: &Gateway, peer: &Name, sender: SenderRole) -> Option<Supplement> {
    section(gateway, peer, sender_of_report(sender), true)
}

/// Takes over a section of a peer. `sender` is the role of the instance that sent the report.
pub(super) fn apply(gateway: &Gateway, peer: &Name, sender: SenderRole, section: &Supplement) {
    let section: SpeedSection = match section.decode() {
        Ok(section) => section,
        Err(error) => {
            tracing::warn!(%error, %peer, "cannot decode a peer's engine speeds");
            return;
        }
    };
    let is_response = section.is_response;
    let kind = if is_response { receiver_of_report(sender) } else { sender_of_report(sender) };
    let now_ms = clock::now_ms();
    // Locks are taken in the order balancer, gossip everywhere.
    let mut balancer = gateway.balancer();
    let mut gossip = gateway.speed_gossip();
    gossip.receive(peer, kind, &section.message, now_ms);
    if gossip.take_news(now_ms) {
        balancer.set_peer_speeds(&gossip, now_ms);
    }
}

fn section(
    gateway: &Gateway,
    peer: &Name,
    kind: PeerKind,
    is_response: bool,
) -> Option<Supplement> {
    let now_ms = clock::now_ms();
    // Locks are taken in the order balancer, gossip everywhere.
    let balancer = gateway.balancer();
    let mut gossip = gateway.speed_gossip();
    let is_learning = balancer.speeds().services().next().is_some();
    let readings = match (is_learning, gossip.wants_samples(peer, now_ms)) {
        (false, _) => Vec::new(),
        (true, true) => balancer.speed_readings(now_ms),
        (true, false) => balancer.momentary_speed_readings(now_ms),
    };
    drop(balancer);
    // A peer that tells its speeds waits for the acknowledgment.
    if !is_learning && !gossip.has_received_from(peer) {
        return None;
    }
    let message = gossip.message(peer, kind, &readings, now_ms);
    let section = SpeedSection { is_response, message };
    match Supplement::new(SupplementKind::EngineSpeeds, &section) {
        Ok(supplement) => Some(supplement),
        Err(error) => {
            tracing::error!(%error, "cannot encode engine speeds");
            None
        }
    }
}

/// What the receiver of a report is to its sender.
fn receiver_of_report(sender: SenderRole) -> PeerKind {
    match sender {
        SenderRole::Member => PeerKind::OwnHub,
        SenderRole::Hub => PeerKind::ZoneHub,
    }
}

/// What the sender of a report is to its receiver.
fn sender_of_report(sender: SenderRole) -> PeerKind {
    match sender {
        SenderRole::Member => PeerKind::Member,
        SenderRole::Hub => PeerKind::ZoneHub,
    }
}

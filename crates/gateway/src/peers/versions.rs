//! What instances tell each other of software versions: at which one each stream began, and which
//! ones were in service.

use tanagergauge_core::{
    Name,
    begun_streams::{StreamAudience, StreamOrigin},
    update_log::{LogPosition, SyncCursors},
};

use super::message::{SenderRole, VersionReport, VersionResponse};
use crate::{clock, gateway::Gateway};

/// Cursors of the exchange of versions with a peer that this instance reports to.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct VersionCursors {
    /// Of streams and the versions at which they began.
    streams: SyncCursors,
    /// Of services and their versions.
    services: SyncCursors,
}

/// What a peer is told, and up to where it then knows this instance's updates.
pub(super) struct OutgoingVersions {
    pub(super) report: VersionReport,
    streams_sent: LogPosition,
    services_sent: LogPosition,
}

/// What to tell a peer that gets a report.
pub(super) fn outgoing(gateway: &Gateway, peer: &str, sender: SenderRole) -> OutgoingVersions {
    let now_ms = clock::now_ms();
    let cursors = gateway.peers.version_cursors(peer);
    let audience = match sender {
        SenderRole::Member => StreamAudience::Hub,
        SenderRole::Hub => StreamAudience::OtherZone,
    };
    let acked = cursors.streams.acked_by_peer;
    let streams = gateway.begun_streams().updates_since(acked, audience, now_ms);
    let acked = cursors.services.acked_by_peer;
    let services = gateway.version_history().updates_since(acked, now_ms);
    let report = VersionReport {
        streams: streams.versions,
        streams_received: cursors.streams.received_from_peer,
        services: services.services,
        services_received: cursors.services.received_from_peer,
    };
    OutgoingVersions { report, streams_sent: streams.next, services_sent: services.next }
}

/// Applies what a peer responded, and updates the cursors of the exchange.
pub(super) fn apply_response(
    gateway: &Gateway,
    peer: &Name,
    sent: &OutgoingVersions,
    response: VersionResponse,
) {
    let now_ms = clock::now_ms();
    let VersionResponse { streams, services } = response;
    let cursors = gateway.peers.version_cursors(peer);
    let cursors = VersionCursors {
        streams: cursors.streams.advance(sent.streams_sent, streams.next),
        services: cursors.services.advance(sent.services_sent, services.next),
    };
    gateway.peers.set_version_cursors(peer, cursors);
    gateway.begun_streams().merge(streams.versions, StreamOrigin::Elsewhere, now_ms);
    gateway.version_history().merge(services.services, now_ms);
}

/// Applies what a peer reported, and returns what it lacks.
pub(super) fn apply_report(
    gateway: &Gateway,
    sender: SenderRole,
    report: VersionReport,
) -> VersionResponse {
    let now_ms = clock::now_ms();
    let (origin, audience) = match sender {
        SenderRole::Member => (StreamOrigin::OwnZone, StreamAudience::Member),
        SenderRole::Hub => (StreamOrigin::Elsewhere, StreamAudience::OtherZone),
    };
    let streams = {
        let mut streams = gateway.begun_streams();
        streams.merge(report.streams, origin, now_ms);
        streams.updates_since(report.streams_received, audience, now_ms)
    };
    let mut history = gateway.version_history();
    history.merge(report.services, now_ms);
    let services = history.updates_since(report.services_received, now_ms);
    VersionResponse { streams, services }
}

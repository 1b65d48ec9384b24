//! One report to a peer and its response.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, header::HOST};
use tanagergauge_core::{Name, suspects::SUSPECT_BYTES, version_selection::ProcessDoubt};
use tokio::time::{Instant, timeout_at};

use super::{
    PATH,
    message::{self, Decoded, SyncRequest, SyncResponse, VersionResponse},
    supplement::{self, Supplement},
    sync::Report,
};
use crate::{attempt::collect_body, clock, gateway::Gateway, meters};

/// Log target that deployed log filters select; it is independent of the module path.
const LOG_TARGET: &str = "tanagergauge_gateway::peers::sync";

/// A peer's response to a report.
pub(super) struct Exchange {
    pub(super) response: SyncResponse,
    pub(super) versions: VersionResponse,
    /// Endpoints whose processes may have been replaced.
    pub(super) doubts: Vec<ProcessDoubt>,
    pub(super) supplements: Vec<Supplement>,
    /// Size of report and response together, without suspects and software versions.
    pub(super) load_bytes: usize,
}

/// Size of a report and its response, `bytes`, without the suspects. These come seldom and must not
/// make load reports less frequent.
fn load_bytes(report: &SyncRequest, response: &SyncResponse, bytes: usize) -> usize {
    let suspects = report.suspects.len() + response.suspects.suspects.len();
    bytes.saturating_sub(suspects * SUSPECT_BYTES)
}

/// In which phase an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Phase {
    /// The report could not be encoded.
    Encode,
    /// No connection was opened.
    Connect,
    /// No response began.
    Send,
    /// The response did not end.
    Receive,
    /// The response could not be decoded.
    Decode,
}

/// Sends a report; `None` if no valid response arrives in time.
pub(super) async fn send(
    gateway: &Gateway,
    name: &Name,
    control: SocketAddr,
    report: &Report,
    timeout: Duration,
) -> Option<Exchange> {
    let begin = Instant::now();
    match exchange(gateway, name, control, report, begin + timeout).await {
        Ok(exchange) => Some(exchange),
        Err(phase) => {
            meters::peer_exchange_failed(phase.into());
            let took_ms = clock::elapsed_ms(begin);
            tracing::debug!(target: LOG_TARGET, peer = %name, %phase, took_ms, "exchange with a peer failed");
            None
        }
    }
}

async fn exchange(
    gateway: &Gateway,
    name: &Name,
    control: SocketAddr,
    report: &Report,
    deadline: Instant,
) -> Result<Exchange, Phase> {
    let doubts = gateway.balancer().process_doubts(clock::now_ms());
    let supplements = supplement::outgoing(gateway, name, report.request.sender);
    let versions = &report.versions.report;
    let body = match message::encode(&report.request, versions, &doubts, &supplements) {
        Ok(body) => body,
        Err(error) => {
            tracing::error!(target: LOG_TARGET, %error, "cannot encode a report");
            return Err(Phase::Encode);
        }
    };
    let mut connection = match gateway.pool.take(name, control, true, None).connection {
        Some(connection) => connection,
        None => {
            let connecting = timeout_at(deadline, gateway.pool.connect(control)).await;
            connecting.map_err(|_| Phase::Connect)?.map_err(|_| Phase::Connect)?
        }
    };
    let sent_bytes = body.base_bytes;
    meters::peer_bytes("sent", body.bytes.len());
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header(HOST, control.to_string())
        .body(Full::new(Bytes::from(body.bytes)))
        .map_err(|_| Phase::Encode)?;
    let sending = timeout_at(deadline, connection.sender.send_request(request)).await;
    let response = sending.map_err(|_| Phase::Send)?.map_err(|_| Phase::Send)?;
    let received = collect_body(gateway, response.into_body(), deadline).await;
    let bytes = received.map_err(|_| Phase::Receive)?;
    meters::peer_bytes("received", bytes.len());
    gateway.pool.put(name, connection, None);
    match message::decode(&bytes) {
        Ok(Decoded { message: response, versions, doubts, supplements, base_bytes }) => {
            let load_bytes = load_bytes(&report.request, &response, sent_bytes + base_bytes);
            Ok(Exchange { response, versions, doubts, supplements, load_bytes })
        }
        Err(error) => {
            tracing::warn!(target: LOG_TARGET, %error, peer = %name, "cannot decode a peer's response");
            Err(Phase::Decode)
        }
    }
}

//! Checks whether an endpoint is still there after a connection to it broke, or ended a response that
//! may be whole or not.
//!
//! An endpoint that crashed keeps its entry in the list for seconds, or for as long as the store is
//! away, and where each instance sends it few requests, none of them may notice meanwhile.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http_body_util::Full;
use hyper::{StatusCode, body::Body, header::HOST};
use tanagergauge_core::{Name, selection::SelectedEndpoint};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    attempt::collect_body, clock, connection::Connection, gateway::Gateway, pool::ConnectFailed,
    process_proof, request::Request, suspects, upstream_response,
};

/// Time that a process which ends may take to close its sockets.
const PROCESS_END_TIME: Duration = Duration::from_millis(50);
/// Time-out for the response to a health check. An endpoint that takes longer is busy.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for the body of that response; after it the connection is not reused.
const HEALTH_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest body of that response for which the connection is reused, in bytes.
const MAX_HEALTH_BYTES: u64 = 4 << 10;
/// Maximum number of connections opened to find out whether an endpoint is there.
const MAX_PRESENCE_CHECKS: usize = 3;

/// Endpoints whose liveness is being checked.
#[derive(Debug, Default)]
pub(crate) struct LivenessChecks {
    running: Mutex<HashSet<Name>>,
}

impl LivenessChecks {
    fn lock(&self) -> MutexGuard<'_, HashSet<Name>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What connections to an endpoint show of it.
#[derive(Debug)]
enum Presence {
    /// It responded, or kept a connection open; `None` if that cannot be used again.
    Present(Option<Box<Connection>>),
    /// It accepts connections and closes them: it has as many as it takes.
    Full,
    /// No process listens at its address, or that of another endpoint.
    Gone,
    /// Nothing came back.
    Unreachable,
}

/// Begins a check of an endpoint in the background, unless one is running. An endpoint that accepts
/// no connection is recorded as lost.
pub(crate) fn begin_check(gateway: &Arc<Gateway>, endpoint: &SelectedEndpoint) {
    let is_first = gateway.liveness_checks.lock().insert(endpoint.id.clone());
    if is_first {
        tokio::spawn(check(Arc::clone(gateway), endpoint.id.clone(), endpoint.address));
    }
}

/// Whether an endpoint is still there right after a response of it that may be whole or not. If not, the
/// response may have broken off with its process, whether or not that was about to stop. If it is, the
/// connection is kept for the next request, as the response used one up.
///
/// That its host accepts a connection is not enough: it does so until a process that ends has closed all
/// its sockets.
pub(crate) async fn is_present_after_end(
    gateway: &Arc<Gateway>,
    request: &Request,
    endpoint: &SelectedEndpoint,
) -> bool {
    let checking = check_presence(gateway, &request.service, endpoint);
    let presence = timeout_at(request.deadline, checking).await.unwrap_or(Presence::Unreachable);
    tracing::debug!(request = %request.id, endpoint = %endpoint.id, ?presence, "checked after an unknown end");
    match presence {
        Presence::Present(connection) => {
            if let Some(connection) = connection {
                gateway.pool.put(&endpoint.id, *connection, None);
            }
            true
        }
        Presence::Full => true,
        Presence::Gone => {
            process_proof::record_disconnect(gateway, &endpoint.id);
            false
        }
        Presence::Unreachable => {
            process_proof::record_disconnect(gateway, &endpoint.id);
            if let Some(health) = gateway.balancer().health_mut(&endpoint.id) {
                health.record_connect_failure(clock::now_ms());
            }
            false
        }
    }
}

async fn check_presence(gateway: &Gateway, service: &str, endpoint: &SelectedEndpoint) -> Presence {
    let health_path =
        gateway.configuration().and_then(|it| it.service(service)?.health_path.clone());
    let mut presence = Presence::Unreachable;
    for _ in 0..MAX_PRESENCE_CHECKS {
        presence = match gateway.pool.connect(endpoint.address).await {
            Ok(connection) => match &health_path {
                Some(path) => check_health(gateway, endpoint, connection, path).await,
                None => wait_for_close(connection).await,
            },
            Err(ConnectFailed::Refused) => Presence::Gone,
            Err(ConnectFailed::Unreachable) => Presence::Unreachable,
        };
        if matches!(presence, Presence::Present(_) | Presence::Gone) {
            return presence;
        }
    }
    presence
}

/// Asks an endpoint for its health. Any response of its own shows that it is there, and so does a
/// connection that stays open for [`HEALTH_TIMEOUT`].
async fn check_health(
    gateway: &Gateway,
    endpoint: &SelectedEndpoint,
    mut connection: Connection,
    path: &str,
) -> Presence {
    let request = hyper::Request::builder()
        .uri(path)
        .header(HOST, endpoint.address.to_string())
        .header(&gateway.header_names.expected_endpoint, &*endpoint.id)
        .body(Full::default());
    let Ok(request) = request else { return wait_for_close(connection).await };
    connection.read_limit.await_head();
    let response = match timeout(HEALTH_TIMEOUT, connection.sender.send_request(request)).await {
        Err(_) => return Presence::Present(None),
        Ok(Err(_)) => return Presence::Full,
        Ok(Ok(response)) => response,
    };
    connection.read_limit.head_received();
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return Presence::Gone;
    }
    let is_short = response.body().size_hint().exact().is_some_and(|it| it <= MAX_HEALTH_BYTES);
    let closes = upstream_response::closes_connection(response.headers());
    if !is_short || closes {
        return Presence::Present(None);
    }
    let deadline = Instant::now() + HEALTH_BODY_TIMEOUT;
    let is_read = collect_body(gateway, response.into_body(), deadline).await.is_ok();
    Presence::Present(is_read.then(|| Box::new(connection)))
}

/// Waits for longer than a process takes to end.
async fn wait_for_close(connection: Connection) -> Presence {
    sleep(PROCESS_END_TIME).await;
    if connection.sender.is_closed() {
        return Presence::Full;
    }
    Presence::Present(Some(Box::new(connection)))
}

async fn check(gateway: Arc<Gateway>, endpoint: Name, address: SocketAddr) {
    let connected = gateway.pool.connect(address).await;
    gateway.liveness_checks.lock().remove(&endpoint);
    if connected.is_ok() {
        return;
    }
    process_proof::record_disconnect(&gateway, &endpoint);
    if let Some(health) = gateway.balancer().health_mut(&endpoint) {
        health.record_connect_failure(clock::now_ms());
    }
    suspects::record_endpoint_lost(&gateway, &endpoint);
}

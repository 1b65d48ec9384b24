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
    attempt::collect_body,
    clock,
    connection::Connection,
    gateway::Gateway,
    pool::ConnectFailed,
    process_proof,
    process_report::{self, ProcessReport},
    request::Request,
    suspects, upstream_response,
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
/// Longest wait for a list of endpoints by which a process must have written its entry.
const ENTRY_WAIT: Duration = Duration::from_secs(1);
/// Interval at which the list is looked at meanwhile.
const ENTRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

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
    /// Its process reported that it is that of its entry; `None` if the connection cannot be used again.
    Shown(Option<Box<Connection>>),
    /// It responded, or kept a connection open; `None` if that cannot be used again.
    Present(Option<Box<Connection>>),
    /// It accepts connections and closes them: it has as many as it takes.
    Full,
    /// No process listens at its address, or another one than that of its entry.
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
/// its sockets. Nor is it that a process answers, if this one did not run all the while since `begun_ms`: the
/// endpoint may have started again meanwhile.
pub(crate) async fn is_present_after_end(
    gateway: &Arc<Gateway>,
    request: &Request,
    endpoint: &SelectedEndpoint,
    begun_ms: u64,
) -> bool {
    let checked_ms = clock::now_ms();
    let checking = check_presence(gateway, &request.service, endpoint);
    let presence = timeout_at(request.deadline, checking).await.unwrap_or(Presence::Unreachable);
    tracing::debug!(request = %request.id, endpoint = %endpoint.id, ?presence, "checked after an unknown end");
    let may_be_another = matches!(presence, Presence::Present(_) | Presence::Full)
        && gateway.pauses.has_paused_since(begun_ms);
    if may_be_another && !is_entry_kept(gateway, endpoint, checked_ms).await {
        tracing::info!(request = %request.id, endpoint = %endpoint.id, "the endpoint may have started again while this process did not run");
        process_proof::record_disconnect(gateway, &endpoint.id);
        return false;
    }
    match presence {
        Presence::Shown(connection) | Presence::Present(connection) => {
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
    if process_report::can_ask(gateway, endpoint, service)
        && let Some(presence) = ask_process(gateway, endpoint).await
    {
        return presence;
    }
    let health_path =
        gateway.configuration().and_then(|it| it.service(service)?.health_path.clone());
    let mut presence = Presence::Unreachable;
    for _ in 0..MAX_PRESENCE_CHECKS {
        presence = match gateway.pool.connect(endpoint.address).await {
            Ok(connection) => match &health_path {
                Some(path) => check_health(gateway, endpoint, connection, path).await,
                None => wait_for_close(connection).await,
            },
            Err(failure) => Presence::of_failure(failure),
        };
        if matches!(presence, Presence::Present(_) | Presence::Gone) {
            return presence;
        }
    }
    presence
}

/// Asks an endpoint's process whether it is that of its entry. `None` if that shows nothing.
async fn ask_process(gateway: &Gateway, endpoint: &SelectedEndpoint) -> Option<Presence> {
    let connection = match gateway.pool.connect(endpoint.address).await {
        Ok(connection) => connection,
        Err(failure) => return Some(Presence::of_failure(failure)),
    };
    match process_report::ask(gateway, endpoint, connection).await {
        ProcessReport::Same(connection) => Some(Presence::Shown(connection)),
        ProcessReport::Replaced(_) | ProcessReport::Misdirected => Some(Presence::Gone),
        ProcessReport::Untold | ProcessReport::Failed => None,
    }
}

/// Whether the entry of an endpoint stays the same for longer than a process needs to write its own that
/// answered at `checked_ms`. False if that can't be known, as while the store is away.
async fn is_entry_kept(gateway: &Gateway, endpoint: &SelectedEndpoint, checked_ms: u64) -> bool {
    let wait_end = Instant::now() + ENTRY_WAIT;
    while Instant::now() < wait_end {
        if !gateway.balancer().is_entry_unchanged(endpoint) {
            return false;
        }
        if gateway.list_currency().is_read_after(checked_ms) {
            return true;
        }
        gateway.list_wanted.notify_one();
        sleep(ENTRY_CHECK_INTERVAL).await;
    }
    false
}

impl Presence {
    fn of_failure(failure: ConnectFailed) -> Presence {
        match failure {
            ConnectFailed::Refused => Presence::Gone,
            ConnectFailed::Unreachable => Presence::Unreachable,
        }
    }
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

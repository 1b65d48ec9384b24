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

use tanagergauge_core::{Name, selection::SelectedEndpoint};
use tokio::time::{sleep, timeout_at};

use crate::{
    clock, connection::Connection, gateway::Gateway, pool::ConnectFailed, request::Request,
    suspects,
};

/// Time that a process which ends may take to close its sockets. Until it has closed the one at which it
/// listens, its host accepts connections for it, and resets them then.
const PROCESS_END_TIME: Duration = Duration::from_millis(50);
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
    /// It accepted a connection and keeps it open.
    Connected(Box<Connection>),
    /// It accepts connections and resets them: it has as many as it takes.
    Full,
    /// No process listens at its address.
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
pub(crate) async fn is_present_after_end(
    gateway: &Gateway,
    request: &Request,
    endpoint: &SelectedEndpoint,
) -> bool {
    let presence = timeout_at(request.deadline, check_presence(gateway, endpoint.address)).await;
    let presence = presence.unwrap_or(Presence::Unreachable);
    tracing::debug!(request = %request.id, endpoint = %endpoint.id, ?presence, "checked after an unknown end");
    match presence {
        Presence::Connected(connection) => {
            gateway.pool.put(&endpoint.id, *connection, None);
            true
        }
        Presence::Full => true,
        Presence::Gone => false,
        Presence::Unreachable => {
            if let Some(health) = gateway.balancer().health_mut(&endpoint.id) {
                health.record_connect_failure(clock::now_ms());
            }
            false
        }
    }
}

async fn check_presence(gateway: &Gateway, address: SocketAddr) -> Presence {
    let mut presence = Presence::Unreachable;
    for _ in 0..MAX_PRESENCE_CHECKS {
        presence = match gateway.pool.connect(address).await {
            Ok(connection) => {
                sleep(PROCESS_END_TIME).await;
                if !connection.sender.is_closed() {
                    return Presence::Connected(Box::new(connection));
                }
                Presence::Full
            }
            Err(ConnectFailed::Refused) => return Presence::Gone,
            Err(ConnectFailed::Unreachable) => Presence::Unreachable,
        };
    }
    presence
}

async fn check(gateway: Arc<Gateway>, endpoint: Name, address: SocketAddr) {
    let connected = gateway.pool.connect(address).await;
    gateway.liveness_checks.lock().remove(&endpoint);
    if connected.is_ok() {
        return;
    }
    if let Some(health) = gateway.balancer().health_mut(&endpoint) {
        health.record_connect_failure(clock::now_ms());
    }
    suspects::record_endpoint_lost(&gateway, &endpoint);
}

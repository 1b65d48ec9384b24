//! Checks whether an endpoint is still there after a connection to it broke, or ended a response that
//! may be whole or not.
//!
//! An endpoint that crashed keeps its entry in the list for seconds, or for as long as the store is
//! away, and where each instance sends it few requests, none of them may notice meanwhile.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tanagergauge_core::{Name, selection::SelectedEndpoint};
use tokio::time::timeout_at;

use crate::{clock, gateway::Gateway, pool::ConnectFailed, request::Request, suspects};

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

/// What is known of an endpoint after a response of it that may be whole or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointState {
    /// It accepts connections.
    Present,
    /// Its process has ended, although it was not about to stop: the response broke off.
    Crashed,
    /// It may have stopped as planned, or is not reachable.
    Unknown,
}

/// Begins a check of an endpoint in the background, unless one is running. An endpoint that accepts
/// no connection is recorded as lost.
pub(crate) fn begin_check(gateway: &Arc<Gateway>, endpoint: &SelectedEndpoint) {
    let is_first = gateway.liveness_checks.lock().insert(endpoint.id.clone());
    if is_first {
        tokio::spawn(check(Arc::clone(gateway), endpoint.id.clone(), endpoint.address));
    }
}

/// Checks an endpoint right after a response of it that may be whole or not. If it is there, the
/// response counts in favor of endpoint and request, and the connection is kept for the next request,
/// as the response used one up.
pub(crate) async fn check_after_unknown_end(
    gateway: &Gateway,
    request: &Request,
    endpoint: &SelectedEndpoint,
) -> EndpointState {
    let connected = timeout_at(request.deadline, gateway.pool.connect(endpoint.address)).await;
    match connected.unwrap_or(Err(ConnectFailed::Unreachable)) {
        Ok(connection) => {
            if let Some(health) = gateway.balancer().health_mut(&endpoint.id) {
                health.record_success(clock::now_ms());
            }
            gateway.pool.put(&endpoint.id, connection, None);
            suspects::record_success(gateway, request);
            EndpointState::Present
        }
        Err(ConnectFailed::Refused) if suspects::is_serving(gateway, &endpoint.id) => {
            EndpointState::Crashed
        }
        Err(ConnectFailed::Refused | ConnectFailed::Unreachable) => {
            if let Some(health) = gateway.balancer().health_mut(&endpoint.id) {
                health.record_connect_failure(clock::now_ms());
            }
            EndpointState::Unknown
        }
    }
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

//! Checks whether an endpoint is still there after a connection to it broke.
//!
//! An endpoint that crashed keeps its entry in the list for seconds, or for as long as the store is
//! away, and where each instance sends it few requests, none of them may notice meanwhile.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tanagergauge_core::{Name, selection::SelectedEndpoint, send_history::Failure};

use crate::{attempt, clock, gateway::Gateway, request::Request, suspects};

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

/// Begins a check of an endpoint in the background, unless one is running. An endpoint that accepts
/// no connection is recorded as lost.
pub(crate) fn begin_check(gateway: &Arc<Gateway>, endpoint: &SelectedEndpoint) {
    let is_first = gateway.liveness_checks.lock().insert(endpoint.id.clone());
    if is_first {
        tokio::spawn(check(Arc::clone(gateway), endpoint.id.clone(), endpoint.address));
    }
}

/// Checks in the background, as [`is_there`], whether the endpoint of a response that may be whole
/// or not is still there. If it is gone, the response was broken off.
pub(crate) fn begin_check_after_unknown_end(
    gateway: &Arc<Gateway>,
    request: &Arc<Request>,
    endpoint: SelectedEndpoint,
) {
    let (gateway, request) = (Arc::clone(gateway), Arc::clone(request));
    tokio::spawn(async move {
        if !is_there(&gateway, &request, &endpoint).await {
            attempt::record_failure(&gateway, &request, &endpoint, Failure::Broke);
        }
    });
}

/// Whether an endpoint is still there after a response that may be whole or not. If so, the response
/// counts in favor of endpoint and request, and the connection is kept for the next request, as the
/// response used one up.
pub(crate) async fn is_there(
    gateway: &Gateway,
    request: &Request,
    endpoint: &SelectedEndpoint,
) -> bool {
    let Ok(connection) = gateway.pool.connect(endpoint.address).await else { return false };
    gateway.pool.put(&endpoint.id, connection, None);
    if let Some(health) = gateway.balancer().health_mut(&endpoint.id) {
        health.record_success(clock::now_ms());
    }
    suspects::record_success(gateway, request);
    true
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

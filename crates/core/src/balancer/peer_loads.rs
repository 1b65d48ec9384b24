//! Loads of this instance and its peers.

use std::collections::HashMap;

use super::Balancer;
use crate::{
    Name,
    endpoint::Endpoint,
    load_reports::{EndpointLoad, Load, endpoint_hash},
};

/// How long the loads that peers reported are used, in milliseconds.
const PEER_LOADS_MAX_AGE_MS: u64 = 1_500;

impl Balancer {
    /// Requests of this instance in progress by endpoint, and its demand by service.
    pub fn local_loads(&self) -> Vec<EndpointLoad> {
        let busy = self.endpoints.values().filter(|it| it.running > 0);
        let load = |it: &Endpoint| EndpointLoad {
            endpoint: it.report_hash,
            load: Load { running: it.running, prefill_tokens: it.prefill_tokens as u32 },
        };
        // Demand is reported as the load of an endpoint whose name is that of the service.
        let demand = self.demand.iter().map(|(service, demand)| EndpointLoad {
            endpoint: endpoint_hash(service),
            load: demand.as_load(),
        });
        busy.map(load).chain(demand).collect()
    }

    /// Replaces the sum of the loads that all peers reported.
    pub fn set_peer_loads(&mut self, loads: &[EndpointLoad], now_ms: u64) {
        let by_hash: HashMap<u32, Load> = loads.iter().map(|it| (it.endpoint, it.load)).collect();
        for it in self.endpoints.values_mut() {
            it.peer_load = by_hash.get(&it.report_hash).copied().unwrap_or_default();
        }
        let demand = |service: &Name| by_hash.get(&endpoint_hash(service)).copied();
        let services = self.demand.keys();
        self.peer_demand = services.filter_map(|it| Some((it.clone(), demand(it)?))).collect();
        self.peer_loads_ms = Some(now_ms);
    }

    /// Requests and prompt tokens of peers at an endpoint. Without recent reports they are
    /// assumed to be as many as this instance's.
    pub(super) fn peer_load(&self, it: &Endpoint, now_ms: u64) -> (f64, f64) {
        if self.peer_loads_age_ms(now_ms).is_some() {
            return (f64::from(it.peer_load.running), f64::from(it.peer_load.prefill_tokens));
        }
        (f64::from(it.running), it.prefill_tokens)
    }

    /// Age of the loads that peers reported, in milliseconds; `None` if they are too old to use.
    pub fn peer_loads_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.peer_loads_ms.map(|at| now_ms.saturating_sub(at));
        age_ms.filter(|it| *it < PEER_LOADS_MAX_AGE_MS)
    }
}

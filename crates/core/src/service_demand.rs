//! Demand for a service over all instances, as the balancer knows it.

use crate::{
    Name,
    balancer::{Balancer, is_leaving},
    demand::{AVERAGE_MS, Demand},
    server_orders::{DemandSample, Fleet},
};

impl Balancer {
    /// Keeps account of the demand for a service, also if this instance gets no requests for it: peers' demand is
    /// known, and its own does not stay as it was at the last request.
    pub fn track_demand(&mut self, service: &Name, now_ms: u64) {
        if !self.demand.contains_key(service) {
            self.demand.insert(service.clone(), Demand::default());
        }
        if let Some(demand) = self.demand.get_mut(service) {
            demand.update(now_ms);
        }
    }

    /// Demand for a service at this instance and its peers.
    pub fn service_demand(&self, service: &str) -> DemandSample {
        let local = self.demand.get(service).map(|it| it.as_load()).unwrap_or_default();
        let peers = self.peer_demand.get(service).copied().unwrap_or_default();
        let endpoints = self.endpoints.values().filter(|it| &*it.info.service == service);
        let running = endpoints.map(|it| f64::from(it.running) + f64::from(it.peer_load.running));
        let prefill_tokens = f64::from(local.prefill_tokens) + f64::from(peers.prefill_tokens);
        DemandSample {
            prefill_tokens_per_ms: prefill_tokens / AVERAGE_MS,
            latency_sensitive_streams: f64::from(local.running) + f64::from(peers.running),
            running: running.sum(),
        }
    }

    /// Servers of a service by availability zone, and the least number of slots of any.
    pub fn service_fleet(&self, service: &str) -> (Fleet, Option<u32>) {
        let of_service = || self.endpoints.values().filter(|it| &*it.info.service == service);
        let slots = of_service().map(|it| it.info.slots).min();
        let servers = of_service().map(|it| (&it.info, is_leaving(it, &self.notices)));
        (Fleet::count(servers), slots)
    }
}

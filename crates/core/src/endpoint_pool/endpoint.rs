//! State of one endpoint in the pool.

use crate::{
    Name, endpoint_performance::EndpointPerformance, load_estimate::LoadEstimate, sheet::TargetKind,
};

/// Time between tokens assumed for an endpoint that was not observed yet, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 20.0;

/// Time to the first token assumed for an endpoint that was not observed yet, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 150.0;

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name in the sheet.
    pub name: Name,
    /// Whether it serves models or plain services.
    pub kind: TargetKind,
    /// Requests that it runs concurrently without queueing; at least 1.
    pub slots: u32,
    /// Estimated number of requests, from load reports and changes since.
    pub load: LoadEstimate,
    /// Latency averages and ejection state.
    pub performance: EndpointPerformance,
    /// When it went down; `None` if it has responded since.
    pub(super) down_since_ms: Option<u64>,
    /// Requests from peer instances, as last reported by them.
    pub(super) peer_requests: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Whether it is missing from the current sheet.
    pub removed: bool,
    /// Transfer price per 10^9 bytes to the endpoint.
    pub(crate) request_price: f64,
    /// Transfer price per 10^9 bytes from the endpoint.
    pub(crate) response_price: f64,
    /// Whether it is in the region of this instance.
    pub(crate) is_local: bool,
    /// Indexes in [`EndpointPool::targets`] of what it serves.
    pub(crate) targets: Vec<usize>,
}

impl Endpoint {
    pub(super) fn with_defaults(name: Name) -> Endpoint {
        Endpoint {
            name,
            kind: TargetKind::Model,
            slots: 1,
            load: LoadEstimate::default(),
            performance: EndpointPerformance::new(DEFAULT_TOKEN_MS, DEFAULT_FIRST_TOKEN_MS),
            down_since_ms: None,
            peer_requests: 0,
            leaving: false,
            removed: false,
            request_price: 0.0,
            response_price: 0.0,
            is_local: true,
            targets: Vec::new(),
        }
    }

    /// Slots that may be used at `now_ms`; 0 if the endpoint is leaving, removed or ejected.
    pub fn usable_slots(&self, now_ms: u64) -> u32 {
        if self.leaving || self.removed {
            return 0;
        }
        match self.performance.usable_percent(now_ms) {
            0 => 0,
            percent => (u64::from(self.slots) * percent / 100).max(1) as u32,
        }
    }
}

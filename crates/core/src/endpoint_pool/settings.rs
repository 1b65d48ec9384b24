//! How an instance chooses endpoints.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How an endpoint is chosen for a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The next endpoint in turn, whatever its load.
    RoundRobin,
    /// The endpoint with the lowest load in its last report.
    LeastLoad,
    /// The endpoint with the lowest estimated cost by load, performance, cached prefixes and
    /// transfer prices.
    #[default]
    Full,
}

/// Settings of an [`EndpointPool`].
#[derive(Clone, Debug)]
pub struct EndpointPoolSettings {
    /// How an endpoint is chosen for a request.
    pub routing: RoutingPolicy,
    /// Part of an endpoint's slots reserved for each higher tier that has recent demand, in
    /// percent.
    pub reserve_percent: u32,
    /// Requests that the highest tier with demand may send beyond an endpoint's slots, in percent
    /// of the slots.
    pub overcommit_percent: u32,
    /// Part of its first-token target for which a request waits for a slot in the local region
    /// before it is sent to a region with a transfer price, in percent.
    pub remote_wait_percent: u64,
    /// An endpoint is ejected if its time between tokens exceeds this multiple of the median.
    pub outlier_factor: f64,
    /// Latency that counts as much as one unit of currency, in milliseconds.
    pub price_weight_ms: f64,
}

impl Default for EndpointPoolSettings {
    fn default() -> EndpointPoolSettings {
        EndpointPoolSettings {
            routing: RoutingPolicy::Full,
            reserve_percent: 40,
            overcommit_percent: 25,
            remote_wait_percent: 50,
            outlier_factor: 3.0,
            price_weight_ms: 100_000.0,
        }
    }
}

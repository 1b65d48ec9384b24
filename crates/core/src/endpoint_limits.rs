//! Request limits that endpoints in need name in their responses.
//!
//! A limit is for all instances together, for as long as the endpoint names it.

use std::collections::HashMap;

use crate::Name;

/// The limits that are in force.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    by_endpoint: HashMap<Name, EndpointLimit>,
}

/// The limit of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
struct EndpointLimit {
    /// Requests per second that the endpoint takes from all instances.
    requests_per_s: f64,
}

impl EndpointLimits {
    /// Records the limit that a response of an endpoint named, in requests per second, or that it
    /// named none. Returns whether that is a change.
    pub fn record_response(&mut self, endpoint: &Name, requests_per_s: Option<f64>) -> bool {
        let limit = requests_per_s.map(|requests_per_s| EndpointLimit { requests_per_s });
        let before = match limit {
            Some(limit) => self.by_endpoint.insert(endpoint.clone(), limit),
            None => self.by_endpoint.remove(endpoint),
        };
        before != limit
    }

    /// Number of limits in force.
    pub fn len(&self) -> usize {
        self.by_endpoint.len()
    }

    /// Whether no limit is in force.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }
}

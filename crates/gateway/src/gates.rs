//! The gates of all services.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    admission_controller::{AdmissionController, AdmissionDecision, AdmissionRequest},
    returns::Returns,
    routing::Route,
};

/// A gate for each service that runs models.
#[derive(Debug, Default)]
pub(crate) struct Gates {
    by_service: HashMap<Name, AdmissionController>,
    returns_by_route: HashMap<Name, Returns>,
}

impl Gates {
    /// The gate of a service.
    pub(crate) fn of(&mut self, service: &Name) -> &mut AdmissionController {
        self.by_service.entry(service.clone()).or_default()
    }

    /// Whether a caller with that much time left was refused before.
    pub(crate) fn returned(&mut self, route: &Route, left_ms: f64) -> bool {
        let returns = self.returns_by_route.entry(route.name.clone()).or_default();
        returns.returned(left_ms, route.timeout_ms)
    }

    /// Whether a request is let in.
    pub(crate) fn decide(
        &mut self,
        service: &Name,
        entrant: &AdmissionRequest,
        now_ms: u64,
    ) -> AdmissionDecision {
        self.of(service).decide(entrant, now_ms)
    }

    /// Delay of a rank at a service, in milliseconds.
    pub(crate) fn delay_ms(&mut self, service: &Name, rank: u8, now_ms: u64) -> f64 {
        self.of(service).delay_ms(rank, now_ms)
    }
}

//! Admission control of all services.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    admission_controller::{AdmissionController, AdmissionDecision, AdmissionRequest},
    client_retry::ClientRetryDetector,
    routing::Route,
};

/// Admission control of each service, and detection of retries on each route.
#[derive(Debug, Default)]
pub(crate) struct AdmissionControllers {
    by_service: HashMap<Name, AdmissionController>,
    /// By name of the route.
    retry_detectors: HashMap<Name, ClientRetryDetector>,
}

impl AdmissionControllers {
    /// Admission control of a service; created when first used.
    pub(crate) fn controller(&mut self, service: &Name) -> &mut AdmissionController {
        self.by_service.entry(service.clone()).or_default()
    }

    /// Whether a request with `left_ms` until its deadline is probably a retry after a refusal.
    pub(crate) fn is_retry(&mut self, route: &Route, left_ms: f64) -> bool {
        let detector = self.retry_detectors.entry(route.name.clone()).or_default();
        detector.is_retry(left_ms, route.timeout_ms)
    }

    /// Decides whether a request is admitted.
    pub(crate) fn decide(
        &mut self,
        service: &Name,
        request: &AdmissionRequest,
        now_ms: u64,
    ) -> AdmissionDecision {
        self.controller(service).decide(request, now_ms)
    }

    /// By how much later than expected a service's responses to requests of a rank currently begin,
    /// in milliseconds.
    pub(crate) fn delay_ms(&mut self, service: &Name, rank: u8, now_ms: u64) -> f64 {
        self.controller(service).delay_ms(rank, now_ms)
    }
}

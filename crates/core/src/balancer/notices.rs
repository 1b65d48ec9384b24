//! What endpoints say of requests to come.

use super::{Balancer, is_leaving};
use crate::{endpoint::Endpoint, selection::SelectedEndpoint};

impl Balancer {
    /// Marks an endpoint as about to stop, so that it gets no new requests.
    pub fn set_leaving(&mut self, id: &str) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.info.leaving = true;
        }
    }

    /// Records that the process of an endpoint which a request was sent to said that it is about to
    /// stop: it gets no new requests, whatever its entry in the list says. Returns whether that is new.
    pub fn record_leaving(&mut self, selected: &SelectedEndpoint, now_ms: u64) -> bool {
        let is_new = self.notices.record_leaving(&selected.id, selected.incarnation, now_ms);
        let service = self.info(&selected.id).map(|it| it.service.clone());
        if let Some(service) = service.filter(|_| is_new) {
            self.assign_reservation_positions(&service);
        }
        is_new
    }

    /// Records that the process of an endpoint which a request was sent to wants no requests from this
    /// instance for a time. Returns whether it had not asked for that before.
    pub fn record_backoff(
        &mut self,
        selected: &SelectedEndpoint,
        duration_ms: u64,
        now_ms: u64,
    ) -> bool {
        let until_ms = now_ms.saturating_add(duration_ms);
        self.notices.record_backoff(&selected.id, selected.incarnation, until_ms, now_ms)
    }

    /// Milliseconds until an endpoint of a service takes requests again; `None` if not all that serve
    /// it have asked for time.
    pub fn backoff_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let serves =
            |it: &&Endpoint| &*it.info.service == service && !is_leaving(it, &self.notices);
        let serving = self.endpoints.values().filter(serves);
        let shortest_ms = serving.map(|it| self.endpoint_backoff_ms(it, now_ms)).min();
        shortest_ms.filter(|it| *it > 0)
    }

    /// Number of listed endpoints that want no requests from this instance now.
    pub fn backoff_count(&self, now_ms: u64) -> usize {
        let backs_off = |it: &&Endpoint| self.endpoint_backoff_ms(it, now_ms) > 0;
        self.endpoints.values().filter(backs_off).count()
    }

    pub(super) fn endpoint_backoff_ms(&self, it: &Endpoint, now_ms: u64) -> u64 {
        self.notices.backoff_ms(&it.info.id, it.info.incarnation, now_ms)
    }
}

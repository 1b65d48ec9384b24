//! Records which endpoint and software version serve the events that are forwarded.

use tanagergauge_core::{Name, event_order::OrderFault};

use super::{LOG_TARGET, Relay, State};
use crate::{continuation::display_id, process_proof, take_up};

impl Relay {
    /// Logs that an event of the endpoint does not follow those before it.
    pub(super) fn log_order_fault(&self, fault: OrderFault) {
        let last_choice = self.progress.last_choice.as_ref();
        tracing::warn!(
            target: LOG_TARGET,
            request = %self.request.id,
            endpoint = last_choice.map(|it| &*it.id),
            software_version = last_choice.map(|it| &*it.software_version),
            order_fault = <&str>::from(fault),
            event_id = fault.number().map(|it| it.to_string()),
            after_event_id = self.events.last_event_id().map(display_id),
            resumed = self.resumed,
            "event is out of order; nothing more of the response is forwarded"
        );
    }

    /// Records that events of the current endpoint have arrived, from which its speed is learned.
    fn record_events(&mut self) {
        let State::Streaming(upstream) = &mut self.state else { return };
        if self.events.is_event_stream() && !self.events.is_inside_event() {
            // Events of streams that cannot be resumed are not counted; an engine sends each by itself.
            let count = Some(self.events.event_count()).filter(|it| *it > 0);
            upstream.attempt.record_events(count);
        }
    }

    /// Records that events are forwarded.
    pub(super) fn record_forwarded(&mut self) {
        self.record_begun();
        self.record_events();
        let Some(junction) = self.events.take_junction() else { return };
        let last_choice = self.progress.last_choice.as_ref();
        tracing::info!(
            target: LOG_TARGET,
            request = %self.request.id,
            endpoint = last_choice.map(|it| &*it.id),
            software_version = last_choice.map(|it| &*it.software_version),
            first_event_id = display_id(&junction.first_id),
            after_event_id = junction.after_id.as_ref().map(display_id),
            resumed = self.resumed,
            "response continues the stream"
        );
    }

    /// Records the software version at which a stream began whose first events are forwarded. It goes on
    /// at that version only, once that is shown: what two versions write does not fit together.
    ///
    /// For callers who take the stream up, the version of the entry is recorded at once, as the instance may
    /// be gone a moment later, and taken back if another process has turned out to answer.
    pub(super) fn record_begun(&mut self) {
        let State::Streaming(upstream) = &self.state else { return };
        let is_known = self.has_begun && self.progress.required_version.is_some();
        if !self.events.can_resume() || is_known {
            return;
        }
        let (chosen, opened_ms) = (&upstream.attempt.chosen, upstream.attempt.opened_ms);
        self.opened_ms = opened_ms;
        let required = self.progress.required_version.clone();
        let service = &self.request.service;
        let shown = || process_proof::version_on(&self.gateway, service, chosen, opened_ms);
        if let Some(version) = required.or_else(shown) {
            self.record_version(&version);
            self.progress.required_version = Some(version);
            return;
        }
        let assumed = process_proof::assume_begun(&self.gateway, service, chosen);
        let is_replaced = !self.gateway.balancer().is_entry_unchanged(chosen);
        match assumed {
            Some(version) => self.record_version(&version),
            None if is_replaced => self.forget_version(),
            None => {}
        }
    }

    fn record_version(&mut self, version: &Name) {
        if !std::mem::replace(&mut self.has_begun, true) {
            take_up::record_begun(&self.gateway, &self.request, version);
        }
    }

    fn forget_version(&mut self) {
        if std::mem::take(&mut self.has_begun) {
            take_up::forget_begun(&self.gateway, &self.request);
        }
    }
}

//! Records what happened to requests.

use super::Balancer;
use crate::{
    Name,
    endpoint::ServerLoad,
    prompt_part::{self, PromptPart},
    selection::SelectedEndpoint,
};

impl Balancer {
    /// Records the prefill demand of a request for which an endpoint was selected, whether or not
    /// the request is then admitted.
    ///
    /// Refused requests count too. Otherwise, engines reserved for streams would not be released
    /// while prompts are refused because too few engines are left for them.
    pub fn record_demand(&mut self, selected: &SelectedEndpoint, service: &Name, now_ms: u64) {
        self.order_unordered();
        let demand = self.demand.entry(service.clone()).or_default();
        demand.record_prefill(selected.prefill_tokens, now_ms);
    }

    /// Records that a request was sent to the selected endpoint.
    pub fn record_sent(&mut self, selected: &SelectedEndpoint, parts: &[PromptPart], now_ms: u64) {
        let Some(it) = self.endpoints.get_mut(&selected.id) else { return };
        if let Some(token_ms) = selected.limit_token_ms {
            self.limits.record_used(&selected.id, token_ms);
        }
        if !parts.is_empty() {
            if let Some(part) = prompt_part::shared_part(parts) {
                let popularity = self.popularity.entry(it.info.service.clone()).or_default();
                popularity.record_request(part.id, now_ms);
            }
            if selected.latency_sensitive {
                let demand = self.demand.entry(it.info.service.clone()).or_default();
                demand.record_stream_start(now_ms);
            }
        }
        it.running += 1;
        it.prefill_tokens += f64::from(selected.prefill_tokens);
        it.cached_parts.record_sent(parts, now_ms);
    }

    /// Records that the first byte of a response arrived after `took_ms`, of which opening a connection
    /// took `connect_ms`. `base_ms` is the time to
    /// the first byte of an idle engine, which expected times leave out; `server_load` is the
    /// load that came with the response.
    pub fn record_first_byte(
        &mut self,
        selected: &SelectedEndpoint,
        took_ms: f64,
        connect_ms: f64,
        base_ms: f64,
        server_load: Option<ServerLoad>,
        now_ms: u64,
    ) {
        let Some(it) = self.endpoints.get_mut(&selected.id) else { return };
        it.prefill_tokens = (it.prefill_tokens - f64::from(selected.prefill_tokens)).max(0.0);
        let expected_ms = selected.expected_ms - it.delay_ms(now_ms) + base_ms;
        it.record_delay(took_ms - expected_ms, now_ms);
        it.record_service_time(took_ms, now_ms);
        if server_load.is_some() {
            it.server_load = server_load;
            it.server_load_ms = now_ms;
        }
        let slowness = server_load.and_then(|it| it.slowness);
        self.learn_first_event(selected, took_ms, connect_ms, slowness, now_ms);
    }

    /// Records that a request ended before the first byte of a response.
    pub fn record_no_first_byte(&mut self, selected: &SelectedEndpoint) {
        let Some(it) = self.endpoints.get_mut(&selected.id) else { return };
        it.prefill_tokens = (it.prefill_tokens - f64::from(selected.prefill_tokens)).max(0.0);
    }

    /// Records that a request ended, successfully or not.
    pub fn record_ended(&mut self, selected: &SelectedEndpoint, service: &str, now_ms: u64) {
        if let Some(it) = self.endpoints.get_mut(&selected.id) {
            it.running = it.running.saturating_sub(1);
        }
        if selected.latency_sensitive
            && let Some(demand) = self.demand.get_mut(service)
        {
            demand.record_stream_end(now_ms);
        }
    }
}

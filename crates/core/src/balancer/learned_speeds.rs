//! Learns the speeds of engines from what the balancer is told, and exchanges them with peers.

use super::{Balancer, cost::SLOT_WAIT_MS};
use crate::{
    endpoint::Endpoint,
    engine_speed::{EngineSpeeds, EventGap, FirstEvent, InitialSpeeds, Reading, SpeedGossip},
    routing::{GAP_SPREAD, PREFILL_STEP_MS},
    selection::{BalanceSettings, SelectedEndpoint},
};

/// Time to the first event of an idle engine besides prefill, where it is learned and nothing has
/// been observed yet, in milliseconds.
const INITIAL_IDLE_FIRST_EVENT_MS: f64 = 75.0;

impl Balancer {
    /// Learned speeds of engines.
    pub fn speeds(&self) -> &EngineSpeeds {
        &self.speeds
    }

    /// Learned speeds of engines, to update them.
    pub fn speeds_mut(&mut self) -> &mut EngineSpeeds {
        &mut self.speeds
    }

    /// Spread of the speeds of a service's engines: the times of one that is slower than nine of ten, as a
    /// multiple of those of one that is faster than nine of ten. `None` without engines.
    pub fn speed_spread(&self, service: &str) -> Option<f64> {
        let serving = self.endpoints.values().filter(|it| &*it.info.service == service);
        let mut factors: Vec<f64> = serving.map(|it| it.speed.factor()).collect();
        factors.sort_by(f64::total_cmp);
        let last = factors.len().checked_sub(1)?;
        Some(factors[last * 9 / 10] / factors[last / 10])
    }

    /// What this instance learned of engines, as it is told to peers; empty if it learned nothing.
    pub fn speed_readings(&self, now_ms: u64) -> Vec<Reading> {
        let mut readings = self.speeds.readings();
        let is_learned = |it: &&Endpoint| self.speeds.service(&it.info.service).is_some();
        for it in self.endpoints.values().filter(is_learned) {
            it.add_readings(now_ms, &mut readings);
        }
        readings
    }

    /// What endpoints told of themselves just now, as it is told to peers.
    pub fn momentary_speed_readings(&self, now_ms: u64) -> Vec<Reading> {
        let mut readings = Vec::new();
        for it in self.endpoints.values() {
            it.add_momentary_readings(now_ms, &mut readings);
        }
        readings
    }

    /// Replaces what peers learned of engines.
    pub fn set_peer_speeds(&mut self, gossip: &SpeedGossip, now_ms: u64) {
        self.speeds.set_peers(gossip);
        for it in self.endpoints.values_mut() {
            it.speed.set_peers(it.speed_key, gossip, now_ms);
            if let Some(slowness) = gossip.momentary(it.slowness_key(), now_ms) {
                it.record_slowness(slowness, now_ms);
            }
        }
    }

    /// Learns from a time to the first event at an engine that had a slot for the request.
    pub(super) fn learn_first_event(
        &mut self,
        selected: &SelectedEndpoint,
        took_ms: f64,
        connect_ms: f64,
        slowness: Option<f64>,
        now_ms: u64,
    ) {
        let Some(it) = self.endpoints.get_mut(&selected.id) else { return };
        if let Some(slowness) = slowness {
            it.record_slowness(slowness, now_ms);
            self.speeds.record_slowness(&it.info.service, slowness);
        }
        let estimate = &selected.estimate;
        let had_slot = estimate.running + 1.0 <= f64::from(it.info.slots);
        let Some(speeds) = estimate.speeds else { return };
        // Work of other instances is known late, so that only an engine that seemed idle shows its rate.
        if !had_slot || estimate.queued_prefill_tokens > 0.0 {
            return;
        }
        let latency_ms = connect_ms + self.round_trips.round_trip_ms(it.info.distance);
        let sample = FirstEvent {
            took_ms: (took_ms - latency_ms).max(0.0),
            tokens: f64::from(selected.prefill_tokens),
            slowness: slowness.unwrap_or(1.0),
        };
        let usual_ms = speeds.idle_first_event_ms + sample.tokens / speeds.prefill_tokens_per_ms;
        let multiple = sample.took_ms / sample.slowness / usual_ms;
        // Without a slowness, nothing tells other work on the machine from a slower one.
        if slowness.is_some() || !self.speeds.reports_slowness(&it.info.service) {
            it.speed.record(multiple, 1.0, now_ms);
        }
        self.speeds.record_first_event(&it.info.service, &sample);
    }

    /// Records how long it took to open a connection to an endpoint.
    pub fn record_connected(&mut self, id: &str, took_ms: f64) {
        if let Some(it) = self.endpoints.get(id) {
            self.round_trips.record(it.info.distance, took_ms);
        }
    }

    /// Learns from a gap between two events of a stream.
    pub fn record_event_gap(&mut self, selected: &SelectedEndpoint, gap_ms: f64, now_ms: u64) {
        let Some(it) = self.endpoints.get(&selected.id) else { return };
        let service = &it.info.service;
        let slowness = it.slowness(now_ms.saturating_sub(gap_ms as u64));
        // An endpoint whose machine may be slow at this moment shows its usual speed only with a
        // slowness that was reported as the gap began.
        let slowness = match slowness {
            Some(value) => value,
            None if self.speeds.reports_slowness(service) => return,
            None => 1.0,
        };
        let queued_tokens = it.prefill_tokens + self.peer_load(it, now_ms).1;
        let takes_prompts = !selected.latency_sensitive && !selected.estimate.is_reserved;
        let gap = EventGap { gap_ms, queued_tokens, takes_prompts, slowness };
        self.speeds.record_gap(service, &gap);
    }

    /// Learns from the time between the first event and the end of a whole response.
    pub fn record_response_time(&mut self, selected: &SelectedEndpoint, took_ms: f64) {
        let Some(it) = self.endpoints.get(&selected.id) else { return };
        if selected.estimate.speeds.is_some() {
            self.speeds.record_response(&it.info.service, took_ms);
        }
    }
}

/// Speeds of engines before anything was observed.
pub(super) fn initial_speeds(settings: &BalanceSettings) -> InitialSpeeds {
    InitialSpeeds {
        prefill_tokens_per_ms: settings.prefill_tokens_per_ms,
        idle_first_event_ms: INITIAL_IDLE_FIRST_EVENT_MS,
        prefill_step_ms: PREFILL_STEP_MS * GAP_SPREAD,
        slot_wait_ms: SLOT_WAIT_MS,
    }
}

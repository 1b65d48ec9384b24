//! Learns how fast engines are, from the times that an instance observes and the slowness that
//! endpoints report.
//!
//! Placement and admission need the engines' prefill rate, the time to the first event of an idle
//! engine, the time of a step in prefill and the wait for a slot. Engines of different services differ
//! several times in each, so that constants fit one service at most.

mod endpoint_speed;
mod gossip;
mod idle_time;
mod linear_fit;
mod peer_readings;
mod prefill_step;
mod prompt_shares;
mod reading;
mod reading_link;
mod round_trips;
mod service_speed;
mod slowness;
mod stream_class;

use std::collections::HashMap;

use serde::Deserialize;

pub use endpoint_speed::EndpointSpeed;
pub use gossip::{PeerKind, SpeedGossip};
pub use reading::Reading;
pub use reading_link::ReadingMessage;
pub use round_trips::RoundTrips;
pub use service_speed::{EventGap, FirstEvent, InitialSpeeds, ServiceEstimate};

pub use slowness::{IgnoredSlowness, parse_slowness};

use crate::{Name, load_reports::name_hash, routing::Service};
use service_speed::ServiceSpeed;
use slowness::is_slowness;

/// Factor by which one report moves the median of the reported slowness.
const TYPICAL_STEP: f64 = 1.05;

/// For which services speeds are learned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LearnSpeeds {
    /// All that run engines.
    On,
    /// Those whose servers may be ordered, so that their number and kind change.
    #[default]
    Auto,
    /// None.
    Off,
}

/// Learned speeds of all engines.
#[derive(Clone, Debug)]
pub struct EngineSpeeds {
    mode: LearnSpeeds,
    initial: InitialSpeeds,
    /// Services that run engines.
    services: HashMap<Name, EngineService>,
}

/// A service that runs engines.
#[derive(Clone, Debug)]
struct EngineService {
    tokens_per_event: u32,
    /// Servers of the service may be ordered.
    has_scale: bool,
    /// An endpoint of the service reported its slowness.
    reports_slowness: bool,
    /// Median of the reported slowness. It is 1 unless what endpoints report is not their slowness.
    typical_slowness: f64,
    speed: ServiceSpeed,
}

impl EngineSpeeds {
    /// Nothing learned, no services.
    pub fn new(mode: LearnSpeeds, initial: InitialSpeeds) -> EngineSpeeds {
        EngineSpeeds { mode, initial, services: HashMap::new() }
    }

    /// Replaces the services; what was learned of those that stay is kept.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a Service>) {
        let mut known = std::mem::take(&mut self.services);
        for it in services {
            let Some(engine) = it.engine else { continue };
            let mut service = known.remove(&it.name).unwrap_or_else(|| EngineService {
                tokens_per_event: engine.tokens_per_event,
                has_scale: false,
                reports_slowness: false,
                typical_slowness: 1.0,
                speed: ServiceSpeed::new(self.initial),
            });
            service.tokens_per_event = engine.tokens_per_event;
            service.has_scale = it.scale.is_some();
            self.services.insert(it.name.clone(), service);
        }
    }

    /// Learned speeds of a service's engines; `None` if they are not learned.
    pub fn service(&self, name: &str) -> Option<ServiceEstimate> {
        self.learned(name).map(|it| it.speed.estimate())
    }

    /// Learns from a time to the first event.
    pub fn record_first_event(&mut self, service: &str, sample: &FirstEvent) {
        let is_valid =
            [sample.took_ms, sample.tokens].iter().all(|it| it.is_finite() && *it >= 0.0);
        let mode = self.mode;
        if let Some(it) = self.services.get_mut(service).filter(|it| it.is_learned(mode))
            && is_valid
            && is_slowness(sample.slowness)
        {
            it.speed.record_first_event(sample);
        }
    }

    /// Learns from a gap between two events of a stream.
    pub fn record_gap(&mut self, service: &str, sample: &EventGap) {
        let is_valid = sample.gap_ms.is_finite()
            && sample.gap_ms > 0.0
            && sample.queued_tokens.is_finite()
            && is_slowness(sample.slowness);
        let mode = self.mode;
        if let Some(it) = self.services.get_mut(service).filter(|it| it.is_learned(mode))
            && is_valid
        {
            let steps = f64::from(it.tokens_per_event.max(1));
            let slowness = sample.slowness / it.typical_slowness;
            it.speed.record_gap(&EventGap { slowness, ..*sample }, steps);
        }
    }

    /// Learns from the time between the first event and the end of a response.
    pub fn record_response(&mut self, service: &str, took_ms: f64) {
        let mode = self.mode;
        if let Some(it) = self.services.get_mut(service).filter(|it| it.is_learned(mode))
            && took_ms.is_finite()
            && took_ms >= 0.0
        {
            it.speed.record_response(took_ms);
        }
    }

    /// Records that an endpoint of a service reported its slowness.
    pub fn record_slowness(&mut self, service: &str, slowness: f64) {
        if let Some(it) = self.services.get_mut(service).filter(|_| is_slowness(slowness)) {
            it.reports_slowness = true;
            let is_above = slowness > it.typical_slowness;
            it.typical_slowness *= if is_above { TYPICAL_STEP } else { 1.0 / TYPICAL_STEP };
        }
    }

    /// Whether endpoints of a service report their slowness.
    pub fn reports_slowness(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|it| it.reports_slowness)
    }

    /// Whether streams of a service with an event gap goal are latency-sensitive; `initially` says it
    /// where nothing was learned.
    pub fn is_latency_sensitive(
        &mut self,
        service: &str,
        goal_ms: Option<u64>,
        initially: bool,
        prompt_tokens: u32,
        now_ms: u64,
    ) -> bool {
        let mode = self.mode;
        let learned = self.services.get_mut(service).filter(|it| it.is_learned(mode));
        let (Some(it), Some(goal_ms)) = (learned, goal_ms) else { return initially };
        let steps = f64::from(it.tokens_per_event.max(1));
        it.speed.is_latency_sensitive(goal_ms, steps, initially, prompt_tokens, now_ms)
    }

    /// Records an observed time to the first event as a multiple of the predicted one.
    pub fn record_error(&mut self, service: &str, ratio: f64) {
        let mode = self.mode;
        if let Some(it) = self.services.get_mut(service).filter(|it| it.is_learned(mode))
            && ratio.is_finite()
        {
            it.speed.record_error(ratio);
        }
    }

    /// Learned speeds of all services.
    pub fn services(&self) -> impl Iterator<Item = (&Name, ServiceEstimate)> {
        let learned = self.services.iter().filter(|(_, it)| it.is_learned(self.mode));
        learned.map(|(name, it)| (name, it.speed.estimate()))
    }

    /// What this instance learned of services, as it is told to peers.
    pub fn readings(&self) -> Vec<Reading> {
        let mut readings = Vec::new();
        for (name, it) in self.services.iter().filter(|(_, it)| it.is_learned(self.mode)) {
            it.speed.add_readings(name_hash(name), &mut readings);
        }
        readings
    }

    /// Takes over what peers learned of services.
    pub fn set_peers(&mut self, gossip: &SpeedGossip) {
        for (name, it) in &mut self.services {
            it.speed.set_peers(name_hash(name), gossip);
        }
    }

    fn learned(&self, name: &str) -> Option<&EngineService> {
        self.services.get(name).filter(|it| it.is_learned(self.mode))
    }
}

impl EngineService {
    fn is_learned(&self, mode: LearnSpeeds) -> bool {
        match mode {
            LearnSpeeds::On => true,
            LearnSpeeds::Auto => self.has_scale,
            LearnSpeeds::Off => false,
        }
    }
}

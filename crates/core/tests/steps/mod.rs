//! Simulates in virtual time instances that run the core's balancer and admission control, and engines
//! that work in steps: each generates a token per running request and prefills a part of the prompts.

#[path = "../replay/rng.rs"]
mod rng;
mod scenario;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet, VecDeque},
};

use tanagergauge_core::{
    Name,
    admission_controller::{AdmissionController, AdmissionRequest, Verdict},
    balancer::Balancer,
    endpoint::{Distance, EndpointInfo, ServerLoad},
    engine_speed::{PeerKind, SpeedGossip},
    load_reports,
    prompt_part::PromptPart,
    routing::{EngineLimits, Service},
    selection::{BalanceSettings, EndpointQuery, SelectedEndpoint},
};

use rng::Rng;
pub(crate) use scenario::{Kind, Model, Result, Scenario};

const SERVICE: &str = "model";
/// Interval of the reports between instances, in milliseconds.
const SYNC_MS: u64 = 250;
/// Constants that a deployment without learned speeds uses.
const CONSTANT_IDLE_MS: f64 = 75.0;
const CONSTANT_PREFILL_STEP_MS: f64 = 43.2;

struct Request {
    kind: usize,
    instance: usize,
    at_ms: f64,
    selected: SelectedEndpoint,
    predicted_ms: f64,
    expected_ms: f64,
    prefill_tokens: f64,
    tokens: u32,
    last_event_ms: f64,
    is_late: bool,
    has_first: bool,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    cached: HashSet<u64>,
    is_stepping: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sync,
    Arrival(usize),
    StepEnd(usize),
}

struct Run<'a> {
    scenario: &'a Scenario,
    balancers: Vec<Balancer>,
    gossip: Vec<SpeedGossip>,
    admission: Vec<AdmissionController>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    /// By time in microseconds.
    events: BinaryHeap<Reverse<(u64, Event)>>,
    results: [Result; 2],
    rng: Rng,
}

impl Scenario {
    pub(crate) fn run(&self) -> [Result; 2] {
        let mut run = Run {
            scenario: self,
            balancers: vec![self.balancer(); self.instances],
            gossip: vec![SpeedGossip::default(); self.instances],
            admission: vec![AdmissionController::default(); self.instances],
            engines: (0..self.engines).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::from([
                Reverse((0, Event::Sync)),
                Reverse((1, Event::Arrival(0))),
                Reverse((2, Event::Arrival(1))),
            ]),
            results: Default::default(),
            rng: Rng(41),
        };
        while let Some(Reverse((at_us, event))) = run.events.pop()
            && at_us < self.duration_ms * 1_000
        {
            match event {
                Event::Sync => run.sync(at_us),
                Event::Arrival(kind) => run.arrival(kind, at_us),
                Event::StepEnd(engine) => run.step_end(engine, at_us),
            }
        }
        run.results
    }

    fn balancer(&self) -> Balancer {
        let settings = BalanceSettings {
            prefill_tokens_per_ms: 55.0,
            initial_service_ms: 30.0,
            zone_cost_ms: 3.0,
            region_cost_ms: 55.0,
            learn_speeds: self.learn,
        };
        let mut balancer = Balancer::new(settings);
        let engine = EngineLimits {
            slots: self.model.slots,
            kv_capacity_tokens: 400_000,
            tokens_per_event: self.model.tokens_per_event,
        };
        let service = Service {
            name: SERVICE.into(),
            connection_limit: Some(100),
            health_path: None,
            engine: Some(engine),
            scale: None,
        };
        balancer.speeds_mut().set_services([&service].into_iter());
        balancer
    }

    fn info(&self, engine: usize) -> EndpointInfo {
        EndpointInfo {
            id: Name::from(format!("engine-{engine}")),
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 9_000 + engine as u16).into(),
            availability_zone: "zone-1".into(),
            region: "region-1".into(),
            distance: Distance::SameZone,
            slots: self.model.slots,
            leaving: false,
            incarnation: 1,
            software_version: "v1".into(),
            is_spot: false,
        }
    }
}

impl Run<'_> {
    /// Updates the list, and exchanges loads and speeds; the first instance is the hub.
    fn sync(&mut self, at_us: u64) {
        let now_ms = at_us / 1_000;
        for balancer in &mut self.balancers {
            for engine in 0..self.scenario.engines {
                let info = self.scenario.info(engine);
                if (self.scenario.is_listed)(engine, now_ms) {
                    balancer.upsert(info);
                } else {
                    balancer.remove(&info.id);
                }
            }
        }
        let loads: Vec<_> = self.balancers.iter().map(Balancer::local_loads).collect();
        for (at, balancer) in self.balancers.iter_mut().enumerate() {
            let peers = loads.iter().enumerate().filter(|(it, _)| *it != at);
            let sum = load_reports::sum(peers.flat_map(|(_, it)| it.iter().copied()));
            balancer.set_peer_loads(&sum, now_ms);
        }
        let hub = Name::from("instance-0");
        for at in 1..self.balancers.len() {
            let name = Name::from(format!("instance-{at}"));
            let readings = self.balancers[at].speed_readings(now_ms);
            let report = self.gossip[at].message(&hub, PeerKind::OwnHub, &readings, now_ms);
            self.gossip[0].receive(&name, PeerKind::Member, &report, now_ms);
            let readings = self.balancers[0].speed_readings(now_ms);
            let response = self.gossip[0].message(&name, PeerKind::Member, &readings, now_ms);
            self.gossip[at].receive(&hub, PeerKind::OwnHub, &response, now_ms);
        }
        for (balancer, gossip) in self.balancers.iter_mut().zip(&self.gossip) {
            balancer.set_peer_speeds(gossip, now_ms);
        }
        self.events.push(Reverse((at_us + SYNC_MS * 1_000, Event::Sync)));
    }

    fn arrival(&mut self, index: usize, at_us: u64) {
        let kind = self.scenario.kinds[index];
        let now_ms = at_us / 1_000;
        let multiple = if index == 1 { (self.scenario.burst)(now_ms) } else { 1.0 };
        let mean_us = 1e6 / (kind.per_s as f64 * multiple);
        let uniform = (self.rng.below(1_000_000) as f64 + 1.0) / 1_000_001.0;
        let next_us = at_us + (-uniform.ln() * mean_us) as u64 + 1;
        self.events.push(Reverse((next_us, Event::Arrival(index))));
        let instance = self.rng.below(self.balancers.len() as u64) as usize;
        let shared = 1_000 * index as u64 + self.rng.below(kind.shared_parts);
        let parts = [
            PromptPart { id: shared, tokens: kind.tokens.0 },
            PromptPart { id: 1_000_000 + at_us, tokens: kind.tokens.1 },
        ];
        if let Some((selected, expected_ms, predicted_ms)) =
            self.select(index, instance, &parts, now_ms)
        {
            self.balancers[instance].record_sent(&selected, &parts, now_ms);
            let engine = engine_index(&selected.id);
            let uncached = parts.iter().filter(|it| !self.engines[engine].cached.contains(&it.id));
            let prefill_tokens = uncached.map(|it| f64::from(it.tokens)).sum();
            self.engines[engine].cached.insert(shared);
            self.engines[engine].waiting.push_back(self.requests.len());
            self.requests.push(Request {
                kind: index,
                instance,
                at_ms: at_us as f64 / 1_000.0,
                selected,
                predicted_ms,
                expected_ms,
                prefill_tokens,
                tokens: 0,
                last_event_ms: 0.0,
                is_late: false,
                has_first: false,
            });
            self.begin_step(engine, at_us);
        }
    }

    /// Selects an endpoint and asks admission control; `None` if the request is refused.
    fn select(
        &mut self,
        index: usize,
        instance: usize,
        parts: &[PromptPart],
        now_ms: u64,
    ) -> Option<(SelectedEndpoint, f64, f64)> {
        let kind = self.scenario.kinds[index];
        let balancer = &mut self.balancers[instance];
        let gap_ms = f64::from(self.scenario.model.tokens_per_event) * CONSTANT_PREFILL_STEP_MS;
        let initially = (kind.gap_goal_ms as f64) < gap_ms;
        let goal_ms = Some(kind.gap_goal_ms);
        let tokens = parts.iter().map(|it| it.tokens).sum();
        let speeds = balancer.speeds_mut();
        let latency_sensitive =
            speeds.is_latency_sensitive(SERVICE, goal_ms, initially, tokens, now_ms);
        let service = Name::from(SERVICE);
        let query = EndpointQuery {
            service: &service,
            parts,
            tried: &[],
            software_version: None,
            latency_sensitive,
            may_probe: false,
            has_connection: &|_| false,
            random: self.rng.next(),
            unix_ms: now_ms,
        };
        let selected = balancer.choose(&query, now_ms).ok()?;
        balancer.record_demand(&selected, &service, now_ms);
        let idle_ms =
            selected.estimate.speeds.map_or(CONSTANT_IDLE_MS, |it| it.idle_first_event_ms);
        let expected_ms = selected.expected_ms + idle_ms;
        let request = AdmissionRequest {
            rank: kind.rank,
            goal_ms: kind.first_goal_ms as f64,
            expected_ms,
            left_ms: 6_000.0,
            is_retry: false,
            random: self.rng.below(1_000_000) as f64 / 1e6,
        };
        let decision = self.admission[instance].decide(&request, now_ms);
        if self.counts(now_ms) {
            self.results[index].sent += 1;
            self.results[index].refused += usize::from(decision.verdict != Verdict::Admit);
        }
        let predicted_ms = expected_ms * decision.wait_ratio;
        (decision.verdict == Verdict::Admit).then_some((selected, expected_ms, predicted_ms))
    }

    fn counts(&self, now_ms: u64) -> bool {
        now_ms >= self.scenario.duration_ms / 4
    }

    fn begin_step(&mut self, index: usize, at_us: u64) {
        let model = self.scenario.model;
        let engine = &mut self.engines[index];
        if engine.is_stepping {
            return;
        }
        while engine.running.len() < model.slots as usize
            && let Some(request) = engine.waiting.pop_front()
        {
            engine.running.push(request);
        }
        if engine.running.is_empty() {
            return;
        }
        let mut left_tokens = model.chunk_tokens;
        for it in &engine.running {
            let tokens = self.requests[*it].prefill_tokens.min(left_tokens);
            self.requests[*it].prefill_tokens -= tokens;
            left_tokens -= tokens;
        }
        let step_ms = model.step_ms
            + model.step_per_request_ms * engine.running.len() as f64
            + (model.chunk_tokens - left_tokens) / model.tokens_per_ms;
        let slowness = (self.scenario.slowness)(index, at_us / 1_000);
        let took_us = (step_ms * (self.scenario.factor)(index) * slowness * 1_000.0) as u64;
        engine.is_stepping = true;
        self.events.push(Reverse((at_us + took_us, Event::StepEnd(index))));
    }

    fn step_end(&mut self, index: usize, at_us: u64) {
        self.engines[index].is_stepping = false;
        let running = std::mem::take(&mut self.engines[index].running);
        let (count, waiting) = (running.len() as u32, self.engines[index].waiting.len() as u32);
        for it in running {
            let has_ended = self.requests[it].prefill_tokens <= 0.0
                && self.token(it, index, count, waiting, at_us);
            if !has_ended {
                self.engines[index].running.push(it);
            }
        }
        self.begin_step(index, at_us);
    }

    /// A request got a token. Returns whether it was the last one.
    fn token(&mut self, at: usize, engine: usize, running: u32, waiting: u32, at_us: u64) -> bool {
        let (now_ms, exact_ms) = (at_us / 1_000, at_us as f64 / 1_000.0);
        let slowness = (self.scenario.report)((self.scenario.slowness)(engine, now_ms));
        let counts = self.counts(self.requests[at].at_ms as u64);
        let it = &mut self.requests[at];
        let kind = self.scenario.kinds[it.kind];
        let stride = self.scenario.model.tokens_per_event;
        let balancer = &mut self.balancers[it.instance];
        let result = &mut self.results[it.kind];
        it.tokens += 1;
        if !it.has_first {
            it.has_first = true;
            let took_ms = exact_ms - it.at_ms;
            it.is_late = took_ms > kind.first_goal_ms as f64;
            let idle_ms = it.expected_ms - it.selected.expected_ms;
            let load = ServerLoad { running, waiting, slowness };
            balancer.record_first_byte(&it.selected, took_ms, 0.0, idle_ms, Some(load), now_ms);
            let (goal_ms, rank) = (kind.first_goal_ms as f64, kind.rank);
            self.admission[it.instance].record_first_byte(
                rank,
                goal_ms,
                it.expected_ms,
                took_ms,
                now_ms,
            );
            let ratio = took_ms / it.predicted_ms;
            result.first_events += usize::from(counts);
            result.predicted += usize::from(counts && (1.0 / 1.5..=1.5).contains(&ratio));
            it.last_event_ms = exact_ms;
        } else if (it.tokens - 1).is_multiple_of(stride) {
            let gap_ms = exact_ms - it.last_event_ms;
            balancer.record_event_gap(&it.selected, gap_ms, now_ms);
            it.is_late |= gap_ms > kind.gap_goal_ms as f64;
            it.last_event_ms = exact_ms;
        }
        let has_ended = it.tokens > (kind.events - 1) * stride;
        if has_ended {
            let took_ms = exact_ms - it.at_ms;
            balancer.record_response_time(&it.selected, took_ms);
            balancer.record_ended(&it.selected, SERVICE, now_ms);
            result.on_time += usize::from(counts && !it.is_late);
        }
        has_ended
    }
}

fn engine_index(id: &str) -> usize {
    id.rsplit('-').next().and_then(|it| it.parse().ok()).expect("an engine's number")
}

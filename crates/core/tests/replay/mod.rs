//! Replays a load against the core's decisions, in virtual time: a few instances, and engines
//! that read one prompt after the other.

mod draws;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet},
};

use tanagergauge_core::{
    Name,
    admission_controller::{AdmissionController, AdmissionRequest, Verdict},
    balancer::{BalanceSettings, Balancer, EndpointQuery, SelectedEndpoint},
    endpoint::{Distance, EndpointInfo},
    load_reports,
    prompt_part::{PromptPart, PromptParts},
};

pub(crate) use draws::Draws;

/// Prompt tokens that an engine reads in a millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 50.0;
/// Time to the first byte of an idle engine that has nothing to read, in milliseconds.
pub(crate) const BASE_MS: u64 = 75;
/// How often instances tell each other what they have in progress, in milliseconds.
const TELL_EVERY_MS: u64 = 100;

/// One request of a replay.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) instance: usize,
    pub(crate) parts: PromptParts,
    pub(crate) latency_sensitive: bool,
    /// Spread evenly over all numbers.
    pub(crate) draw: u64,
}

/// What is replayed, and on what.
pub(crate) struct Replay {
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    pub(crate) goal_ms: u64,
    /// Requests pass a gate.
    pub(crate) gate: bool,
    pub(crate) chooser: Chooser,
}

/// Who chooses the engines.
#[allow(dead_code, reason = "each test file uses a part")]
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Chooser {
    /// The core.
    Balancer,
    /// The fewest requests of one's own, whatever engines keep.
    LeastRunning,
    /// One that sees what every engine keeps and when it will be idle. The earliest first byte
    /// decides, and reading counts so many times over.
    Seeing(f64),
}

/// Weights of reading of the choosers that see all; the best of them is what to compare with.
const SEEING_WEIGHTS: [f64; 6] = [0.0, 0.5, 1.0, 2.0, 4.0, 8.0];

/// How a replay went.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) served: usize,
    pub(crate) in_goal: usize,
    pub(crate) refused: usize,
    /// Tokens of shared parts that engines read.
    pub(crate) shared_tokens_read: u64,
    /// Requests by engine.
    pub(crate) by_engine: Vec<usize>,
    /// Requests of each kind by engine: with tight pauses, and others.
    pub(crate) quiet_by_engine: Vec<usize>,
}

/// Engines do nothing else than read.
#[derive(Default)]
struct Engine {
    busy_until_ms: f64,
    kept: HashSet<u64>,
}

struct Sent {
    at_ms: u64,
    chosen: SelectedEndpoint,
    instance: usize,
}

pub(crate) fn settings() -> BalanceSettings {
    BalanceSettings {
        prefill_tokens_per_ms: 70.0,
        initial_service_ms: 30.0,
        zone_cost_ms: 3.0,
        region_cost_ms: 55.0,
    }
}

pub(crate) fn facts(index: usize) -> EndpointInfo {
    EndpointInfo {
        id: Name::from(format!("engine-{index}")),
        service: "libretto".into(),
        address: ([127, 0, 0, 1], 9_000 + index as u16).into(),
        region: "tallinn".into(),
        distance: Distance::SameZone,
        slots: 128,
        leaving: false,
        incarnation: 1,
    }
}

impl Replay {
    pub(crate) fn run(&self, arrivals: &[Arrival]) -> Outcome {
        let mut balancers = vec![self.balancer(); self.instances];
        let mut gates = vec![AdmissionController::default(); self.instances];
        let mut engines: Vec<Engine> = (0..self.engines).map(|_| Engine::default()).collect();
        let mut first_bytes: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
        let mut sent: Vec<Sent> = Vec::new();
        let mut told_ms = 0;
        let mut outcome = Outcome {
            by_engine: vec![0; self.engines],
            quiet_by_engine: vec![0; self.engines],
            ..Outcome::default()
        };
        for arrival in arrivals {
            let now_ms = arrival.at_ms;
            while let Some(&Reverse((at_ms, which))) = first_bytes.peek()
                && at_ms <= now_ms
            {
                first_bytes.pop();
                self.first_byte(&mut balancers, &mut gates, &sent[which], at_ms);
            }
            if now_ms >= told_ms + TELL_EVERY_MS {
                told_ms = now_ms;
                tell(&mut balancers, now_ms);
            }
            let gate = &mut gates[arrival.instance];
            let balancer = &mut balancers[arrival.instance];
            let service = Name::from("libretto");
            let ask = EndpointQuery {
                service: &service,
                parts: &arrival.parts,
                tried: &[],
                latency_sensitive: arrival.latency_sensitive,
                may_probe: false,
                random: arrival.draw,
            };
            let chosen = balancer.choose(&ask, now_ms).expect("an engine");
            let chosen = match self.chooser {
                Chooser::Balancer => chosen,
                Chooser::LeastRunning => self.fewest(&sent, &first_bytes, arrival.instance, chosen),
                Chooser::Seeing(weight) => seeing(&engines, arrival, weight, chosen),
            };
            balancer.record_demand(&chosen, &service, now_ms);
            let entrant = self.entrant(arrival, &chosen);
            let enters = self.enters(gate, &entrant, now_ms);
            if self.gate && !enters {
                outcome.refused += 1;
                continue;
            }
            balancer.record_sent(&chosen, &arrival.parts, now_ms);
            let index = index(&chosen.id);
            let first_byte_ms =
                engines[index].read(&arrival.parts, now_ms, &mut outcome.shared_tokens_read);
            outcome.by_engine[index] += 1;
            outcome.quiet_by_engine[index] += usize::from(arrival.latency_sensitive);
            outcome.served += 1;
            outcome.in_goal += usize::from(first_byte_ms - now_ms <= self.goal_ms);
            first_bytes.push(Reverse((first_byte_ms, sent.len())));
            sent.push(Sent { at_ms: now_ms, chosen, instance: arrival.instance });
        }
        outcome
    }

    /// Most requests in goal that a chooser which sees all engines reaches with this load. With
    /// a gate it lets in only what will be on time.
    pub(crate) fn most_in_goal(&self, arrivals: &[Arrival]) -> usize {
        let outcomes = SEEING_WEIGHTS.map(|weight| {
            Replay { chooser: Chooser::Seeing(weight), ..*self }.run(arrivals).in_goal
        });
        outcomes.into_iter().max().unwrap_or(0)
    }

    fn enters(&self, gate: &AdmissionController, entrant: &AdmissionRequest, now_ms: u64) -> bool {
        match self.chooser {
            Chooser::Seeing(_) => entrant.expected_ms <= entrant.goal_ms,
            Chooser::Balancer | Chooser::LeastRunning => {
                gate.decide(entrant, now_ms).verdict == Verdict::Admit
            }
        }
    }

    fn balancer(&self) -> Balancer {
        let mut balancer = Balancer::new(settings());
        for index in 0..self.engines {
            balancer.upsert(facts(index));
        }
        balancer
    }

    fn entrant(&self, arrival: &Arrival, chosen: &SelectedEndpoint) -> AdmissionRequest {
        let draw = (arrival.draw >> 11) as f64 / (1u64 << 53) as f64;
        let expected_ms = chosen.expected_ms + BASE_MS as f64;
        let (goal_ms, left_ms) = (self.goal_ms as f64, 6_000.0);
        AdmissionRequest { rank: 0, goal_ms, expected_ms, left_ms, is_retry: false, random: draw }
    }

    fn first_byte(
        &self,
        balancers: &mut [Balancer],
        gates: &mut [AdmissionController],
        sent: &Sent,
        now_ms: u64,
    ) {
        let took_ms = (now_ms - sent.at_ms) as f64;
        let balancer = &mut balancers[sent.instance];
        balancer.record_first_byte(&sent.chosen, took_ms, BASE_MS as f64, None, now_ms);
        balancer.record_ended(&sent.chosen, "libretto", now_ms);
        let expected_ms = sent.chosen.expected_ms + BASE_MS as f64;
        let goal_ms = self.goal_ms as f64;
        gates[sent.instance].record_first_byte(0, goal_ms, expected_ms, took_ms, now_ms);
    }

    /// The engine with the fewest requests of this instance that wait for their first byte.
    fn fewest(
        &self,
        sent: &[Sent],
        waiting: &BinaryHeap<Reverse<(u64, usize)>>,
        instance: usize,
        chosen: SelectedEndpoint,
    ) -> SelectedEndpoint {
        let mut counts = vec![0; self.engines];
        for Reverse((_, which)) in waiting.iter() {
            let it = &sent[*which];
            counts[index(&it.chosen.id)] += usize::from(it.instance == instance);
        }
        let start = sent.len() % self.engines;
        let order = (0..self.engines).map(|it| (it + start) % self.engines);
        let fewest = order.min_by_key(|it| counts[*it]).expect("an engine");
        SelectedEndpoint { id: facts(fewest).id, ..chosen }
    }
}

/// The engine with the least of the wait for the first byte and the weighted reading.
fn seeing(
    engines: &[Engine],
    arrival: &Arrival,
    weight: f64,
    chosen: SelectedEndpoint,
) -> SelectedEndpoint {
    let cost_ms = |it: &Engine| {
        let (wait_ms, reading_ms) = it.expected_ms(&arrival.parts, arrival.at_ms);
        (wait_ms + reading_ms, wait_ms + reading_ms + weight * reading_ms)
    };
    let costs = engines.iter().map(cost_ms).enumerate();
    let (best, (took_ms, _)) =
        costs.min_by(|(_, a), (_, b)| a.1.total_cmp(&b.1)).expect("an engine");
    SelectedEndpoint { id: facts(best).id, expected_ms: took_ms, ..chosen }
}

impl Engine {
    /// Time until it begins to read a prompt, and how long it reads it, in milliseconds.
    fn expected_ms(&self, parts: &[PromptPart], now_ms: u64) -> (f64, f64) {
        let tokens = self.prefill_tokens(parts);
        let wait_ms = (self.busy_until_ms - now_ms as f64).max(0.0);
        (wait_ms, tokens as f64 / READ_TOKENS_PER_MS)
    }

    fn prefill_tokens(&self, parts: &[PromptPart]) -> u64 {
        let unread = parts.iter().skip_while(|it| self.kept.contains(&it.id));
        unread.map(|it| u64::from(it.tokens)).sum()
    }

    /// Reads a prompt and gives the time of its first byte.
    fn read(&mut self, parts: &[PromptPart], now_ms: u64, shared_tokens_read: &mut u64) -> u64 {
        let tokens = self.prefill_tokens(parts);
        let own = parts.last().map_or(0, |it| u64::from(it.tokens));
        *shared_tokens_read += tokens.saturating_sub(own);
        self.kept.extend(parts.iter().map(|it| it.id));
        let begin_ms = self.busy_until_ms.max(now_ms as f64);
        self.busy_until_ms = begin_ms + tokens as f64 / READ_TOKENS_PER_MS;
        self.busy_until_ms as u64 + BASE_MS
    }
}

fn tell(balancers: &mut [Balancer], now_ms: u64) {
    let own: Vec<_> = balancers.iter().map(Balancer::local_loads).collect();
    for (at, balancer) in balancers.iter_mut().enumerate() {
        let others = own.iter().enumerate().filter(|(it, _)| *it != at);
        let others = load_reports::sum(others.flat_map(|(_, it)| it.iter().copied()));
        balancer.set_peer_loads(&others, now_ms);
    }
}

fn index(id: &str) -> usize {
    id.rsplit('-').next().and_then(|it| it.parse().ok()).expect("an engine's number")
}

/// Alignments: four books, 224 scenes that share them, and a passage of its own for each. A part
/// `hot_percent` of them asks for the same scene.
pub(crate) fn alignments(
    instances: usize,
    per_s: u64,
    length_ms: u64,
    hot_percent: u64,
    seed: u64,
) -> Vec<Arrival> {
    let mut draws = Draws(seed);
    let count = per_s * length_ms / 1_000;
    let mut times: Vec<u64> = (0..count).map(|_| draws.below(length_ms)).collect();
    times.sort_unstable();
    let arrival = |(at, at_ms): (usize, u64)| {
        let scene = if draws.below(100) < hot_percent { 0 } else { draws.below(224) };
        let parts = [
            PromptPart { id: 1 + scene % 4, tokens: 2_520 },
            PromptPart { id: 100 + scene, tokens: 3_780 },
            PromptPart { id: 1_000_000 + at as u64, tokens: 2_890 },
        ];
        Arrival {
            at_ms,
            instance: draws.below(instances as u64) as usize,
            parts: parts.into_iter().collect(),
            latency_sensitive: false,
            draw: draws.next(),
        }
    };
    times.into_iter().enumerate().map(arrival).collect()
}

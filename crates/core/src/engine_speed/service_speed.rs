//! What is learned of the engines of one service.

use std::collections::HashMap;

use super::{
    gossip::SpeedGossip, idle_time::IdleTime, linear_fit::LinearFit, peer_readings::Sum,
    prefill_step::PrefillStep, prompt_shares::PromptShares, reading::Reading,
    stream_class::StreamClass,
};

/// Bounds of a time to the first event that is learned from, in milliseconds.
pub(super) const TIME_RANGE_MS: (f64, f64) = (0.1, 30_000.0);
/// Bounds of the time to the first event of an idle engine, in milliseconds.
const IDLE_RANGE_MS: (f64, f64) = (0.5, 2_000.0);
/// Bounds of the prefill rate, in tokens per millisecond.
const RATE_RANGE: (f64, f64) = (0.5, 2_000.0);
/// Bounds of the time of a step, in milliseconds.
const STEP_RANGE_MS: (f64, f64) = (0.1, 1_000.0);
/// Bounds of the ratio of observed to predicted times.
const ERROR_RANGE: (f64, f64) = (0.05, 20.0);
/// Greatest number of tokens in a sample.
const MAX_TOKENS: f64 = 1e6;
/// Bounds of the wait for a slot, in milliseconds.
const SLOT_WAIT_RANGE_MS: (f64, f64) = (0.5, 2_000.0);
/// A time to the first event counts as at most this multiple of the prediction and a constant, in
/// milliseconds: a longer one was caused by something else, such as a lost packet.
const MAX_SURPRISE: (f64, f64) = (3.0, 100.0);
/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Number of gaps after which the learned gap replaces the initial class of routes.
const MIN_GAP_WEIGHT: f64 = 24.0;
/// Number of responses after which their mean duration replaces the initial wait for a slot.
const MIN_RESPONSES: f64 = 8.0;
/// Most samples that a value stands for when it is taken together with those of peers.
const MAX_TOLD_WEIGHT: f64 = 64.0;
/// Least value that is told: the idle time may come out negative where few samples have few tokens.
const MIN_VALUE: f64 = 0.1;
/// Distance between the keys of a service's values; odd, so that they spread over all numbers.
const KEY_STRIDE: u32 = 0x9e37_79b1;
/// Share of a service's prompt tokens above which streams are not latency-sensitive.
const MAX_PROMPT_SHARE: f64 = 0.5;
/// Most event gap goals that are followed. Configurations have a few; more come from many changes.
const MAX_CLASSES: usize = 64;
/// After this many successive gaps of latency-sensitive streams, no other streams are there, so that
/// these share their engines with long prompts.
const MAX_RESERVED_GAPS: u32 = 200;
/// A step above this multiple of one without prefill had prefill.
const MIN_PREFILL_MULTIPLE: f64 = 1.8;

/// Values before anything was observed.
#[derive(Clone, Copy, Debug)]
pub struct InitialSpeeds {
    /// Prefill rate, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event of an idle engine, in milliseconds.
    pub idle_first_event_ms: f64,
    /// Time of an engine step with prefill, at its 90th percentile, in milliseconds.
    pub prefill_step_ms: f64,
    /// Time until a full engine frees a slot, in milliseconds.
    pub slot_wait_ms: f64,
}

/// Learned speeds of the engines of one service. All values are finite and positive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceEstimate {
    /// Prefill rate, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to the first event of an idle engine, in milliseconds.
    pub idle_first_event_ms: f64,
    /// Time of an engine step with prefill, at its 90th percentile, in milliseconds.
    pub prefill_step_ms: f64,
    /// Time of an engine step without prefill, in milliseconds; `None` if none was observed.
    pub step_ms: Option<f64>,
    /// Mean time of a response from its first event to its end, in milliseconds; `None` if too few
    /// were observed.
    pub response_ms: Option<f64>,
    /// Observed over predicted time to the first event, as a moving average at this instance.
    pub error_ratio: f64,
    /// Time until a full engine frees a slot if that is not known from responses, in milliseconds.
    initial_slot_wait_ms: f64,
}

/// One observed time to the first event.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Time from sending the request, without the network's latency, in milliseconds.
    pub took_ms: f64,
    /// Tokens that the engine had to prefill until then, by what was known when the request was sent.
    pub tokens: f64,
    /// Slowness of the engine's machine that was reported with it; 1 means as usual.
    pub slowness: f64,
}

/// One observed gap between two events of a stream.
#[derive(Clone, Copy, Debug)]
pub struct EventGap {
    /// Time from one event to the next, in milliseconds.
    pub gap_ms: f64,
    /// Tokens known to be queued for prefill at the engine.
    pub queued_tokens: f64,
    /// The engine takes long prompts, as it is not reserved for latency-sensitive streams.
    pub takes_prompts: bool,
    /// Slowness of the engine's machine that was reported shortly before; 1 means as usual.
    pub slowness: f64,
}

/// Observations of the engines of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceSpeed {
    /// Time to the first event against thousands of tokens.
    first_event: LinearFit,
    first_events: f64,
    /// Time to the first event without prefill.
    idle: IdleTime,
    prefill_step: PrefillStep,
    /// Average step without prefill, in milliseconds.
    step_ms: f64,
    steps: f64,
    /// Number of successive gaps at engines that take no long prompts.
    reserved_gaps: u32,
    /// Average time from the first event to the end of a response, in milliseconds.
    response_ms: f64,
    responses: f64,
    initial: InitialSpeeds,
    /// What peers learned, in the order of [`Value::ALL`].
    peers: [Sum; Value::ALL.len()],
    /// The estimate as it is with all of it.
    estimate: ServiceEstimate,
    /// By event gap goal, in milliseconds.
    classes: HashMap<u64, StreamClass>,
    prompts: PromptShares,
}

impl ServiceSpeed {
    pub(super) fn new(initial: InitialSpeeds) -> ServiceSpeed {
        let rate = initial.prefill_tokens_per_ms.clamp(RATE_RANGE.0, RATE_RANGE.1);
        let estimate = ServiceEstimate {
            prefill_tokens_per_ms: rate,
            idle_first_event_ms: initial.idle_first_event_ms,
            prefill_step_ms: initial.prefill_step_ms,
            step_ms: None,
            response_ms: None,
            initial_slot_wait_ms: initial.slot_wait_ms,
            error_ratio: 1.0,
        };
        ServiceSpeed {
            first_event: LinearFit::new(initial.idle_first_event_ms, 1_000.0 / rate),
            prefill_step: PrefillStep::new(initial.prefill_step_ms, STEP_RANGE_MS),
            first_events: 0.0,
            idle: IdleTime::new(initial.idle_first_event_ms),
            step_ms: 0.0,
            steps: 0.0,
            reserved_gaps: 0,
            response_ms: 0.0,
            responses: 0.0,
            initial,
            peers: Default::default(),
            estimate,
            classes: HashMap::new(),
            prompts: PromptShares::default(),
        }
    }

    pub(super) fn record_first_event(&mut self, sample: &FirstEvent) {
        let tokens = sample.tokens.clamp(0.0, MAX_TOKENS);
        let estimate = self.estimate();
        let predicted_ms = estimate.idle_first_event_ms + tokens / estimate.prefill_tokens_per_ms;
        let (multiple, offset_ms) = MAX_SURPRISE;
        let took_ms = (sample.took_ms / sample.slowness)
            .clamp(TIME_RANGE_MS.0, TIME_RANGE_MS.1)
            .min(predicted_ms * multiple + offset_ms);
        let slopes = (1_000.0 / RATE_RANGE.1, 1_000.0 / RATE_RANGE.0);
        self.first_event.record(tokens / 1_000.0, took_ms, slopes);
        self.idle.record(took_ms - tokens / 1_000.0 * self.first_event.slope());
        self.first_events += 1.0;
        self.update_estimate();
    }

    /// Records an observed time to the first event as a multiple of the predicted one.
    pub(super) fn record_error(&mut self, ratio: f64) {
        let ratio = ratio.clamp(ERROR_RANGE.0, ERROR_RANGE.1);
        self.estimate.error_ratio += SAMPLE_WEIGHT * (ratio - self.estimate.error_ratio);
    }

    /// Learns from a gap that `steps` engine steps cover.
    pub(super) fn record_gap(&mut self, sample: &EventGap, steps: f64) {
        let gap_ms = sample.gap_ms / sample.slowness;
        let step_ms = (gap_ms / steps).clamp(STEP_RANGE_MS.0, STEP_RANGE_MS.1);
        if sample.queued_tokens <= 0.0 {
            self.steps += 1.0;
            self.step_ms += SAMPLE_WEIGHT.max(1.0 / self.steps) * (step_ms - self.step_ms);
            self.update_estimate();
        }
        let has_prefill = self.steps > 0.0 && step_ms > self.step_ms * MIN_PREFILL_MULTIPLE;
        self.reserved_gaps =
            if sample.takes_prompts { 0 } else { self.reserved_gaps.saturating_add(1) };
        let counts = sample.takes_prompts || self.reserved_gaps > MAX_RESERVED_GAPS;
        if counts && has_prefill {
            self.prefill_step.record(step_ms);
            self.update_estimate();
        }
    }

    pub(super) fn record_response(&mut self, took_ms: f64) {
        let took_ms = took_ms.clamp(TIME_RANGE_MS.0, TIME_RANGE_MS.1);
        self.responses += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.responses);
        self.response_ms += weight * (took_ms - self.response_ms);
        self.update_estimate();
    }

    /// Whether streams with an event gap goal are latency-sensitive; `initially` is the class before
    /// enough gaps were observed. `steps` engine steps cover a gap.
    pub(super) fn is_latency_sensitive(
        &mut self,
        goal_ms: u64,
        steps: f64,
        initially: bool,
        prompt_tokens: u32,
        now_ms: u64,
    ) -> bool {
        // Streams cannot be protected from the prefill that they bring themselves.
        if self.prompts.record(goal_ms, prompt_tokens) > MAX_PROMPT_SHARE {
            return false;
        }
        if self.known(Value::PrefillStep).weight < MIN_GAP_WEIGHT {
            return initially;
        }
        let gap_ms = self.estimate.prefill_step_ms * steps;
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&goal_ms) {
            self.classes.clear();
        }
        let class = self.classes.entry(goal_ms).or_insert_with(|| StreamClass::new(initially));
        class.update(goal_ms as f64, gap_ms, now_ms)
    }

    pub(super) fn estimate(&self) -> ServiceEstimate {
        self.estimate
    }

    /// Adds what this instance learned, as it is told to peers. `hash` is that of the service.
    pub(super) fn add_readings(&self, hash: u32, readings: &mut Vec<Reading>) {
        let reading = |it: &Value| {
            let own = self.own(*it);
            own.reading(it.key(hash))
        };
        readings.extend(Value::ALL.iter().filter_map(reading));
    }

    /// Replaces what peers learned. `hash` is that of the service.
    pub(super) fn set_peers(&mut self, hash: u32, gossip: &SpeedGossip) {
        for (sum, value) in self.peers.iter_mut().zip(Value::ALL) {
            *sum = gossip.sum(value.key(hash));
        }
        self.update_estimate();
    }

    fn update_estimate(&mut self) {
        let value = |value: Value, initial: f64, (least, most): (f64, f64)| {
            let known = self.known(value);
            let is_known = known.weight >= 0.5;
            if is_known { known.mean_ln(0.0).exp().clamp(least, most) } else { initial }
        };
        let initial = &self.initial;
        let response_ms = value(Value::Response, 0.0, TIME_RANGE_MS);
        let step_ms = value(Value::Step, 0.0, STEP_RANGE_MS);
        self.estimate = ServiceEstimate {
            prefill_tokens_per_ms: value(Value::Rate, initial.prefill_tokens_per_ms, RATE_RANGE),
            idle_first_event_ms: value(Value::Idle, initial.idle_first_event_ms, IDLE_RANGE_MS),
            prefill_step_ms: value(Value::PrefillStep, initial.prefill_step_ms, STEP_RANGE_MS),
            step_ms: (step_ms > 0.0).then_some(step_ms),
            response_ms: (self.known(Value::Response).weight >= MIN_RESPONSES)
                .then_some(response_ms),
            initial_slot_wait_ms: initial.slot_wait_ms,
            error_ratio: self.estimate.error_ratio,
        };
    }

    /// A value that this instance and its peers learned.
    fn known(&self, value: Value) -> Sum {
        self.own(value).and(self.peers[value as usize])
    }

    /// A value that this instance learned.
    fn own(&self, value: Value) -> Sum {
        let (own, weight) = match value {
            Value::Rate => (1_000.0 / self.first_event.slope(), self.first_events),
            Value::Idle => (self.idle.value_ms(), self.first_events),
            Value::PrefillStep => (self.prefill_step.value_ms(), self.prefill_step.samples()),
            Value::Step => (self.step_ms, self.steps),
            Value::Response => (self.response_ms, self.responses),
        };
        if weight < 1.0 {
            return Sum::default();
        }
        Sum::of(own.max(MIN_VALUE).ln(), weight.min(MAX_TOLD_WEIGHT))
    }
}

/// A learned value of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Value {
    Rate,
    Idle,
    PrefillStep,
    Step,
    Response,
}

impl Value {
    const ALL: [Value; 5] =
        [Value::Rate, Value::Idle, Value::PrefillStep, Value::Step, Value::Response];

    /// Key by which instances tell it.
    fn key(self, service_hash: u32) -> u32 {
        service_hash.wrapping_add((self as u32 + 1).wrapping_mul(KEY_STRIDE))
    }
}

impl ServiceEstimate {
    /// Time until a full engine frees a slot, in milliseconds: its `slots` responses end one after the
    /// other.
    pub fn slot_wait_ms(&self, slots: u32) -> f64 {
        let wait_ms = self.response_ms.map(|it| it / f64::from(slots.max(1)));
        let (least_ms, most_ms) = SLOT_WAIT_RANGE_MS;
        wait_ms.unwrap_or(self.initial_slot_wait_ms).clamp(least_ms, most_ms)
    }
}

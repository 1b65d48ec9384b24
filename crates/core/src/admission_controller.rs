//! Whether a request is let in or asked to come again.
//!
//! Load pattern: a burst beyond what all engines can read. Without refusals every request waits
//! as long as its caller does, and all are late; with as many refused as exceed the capacity,
//! the others are on time and the refused find room when they return.
//!
//! Whether a request can be on time is told by what all instances have sent to its endpoint,
//! corrected by how long such requests took of late.

use std::collections::BTreeMap;

/// Weight of the newest first byte in what is learnt.
const LEARNING_WEIGHT: f64 = 0.1;
/// Time in which a learnt wait halves without new evidence, in milliseconds.
const HALF_LIFE_MS: f64 = 800.0;
/// Added to both sides of the ratio of actual and expected waits, so that short ones say little,
/// in milliseconds.
const RATIO_FLOOR_MS: f64 = 50.0;
/// Least and greatest ratio that is believed.
const RATIOS: (f64, f64) = (0.7, 3.0);
/// Expected time to the first byte, in goals, up to which every request is let in.
const ON_TIME: f64 = 0.85;
/// The same for requests that were refused before.
const ON_TIME_RETURNED: f64 = 1.3;
/// The same while less urgent requests can be refused first.
const ON_TIME_URGENT: f64 = 1.6;
/// Goals beyond it at which every request is refused.
const FULL_REFUSAL: f64 = 0.4;
/// Part of the time left after which the refused come again: the earliest and the latest.
pub(crate) const RETRY_AFTER_RANGE: (f64, f64) = (0.16, 0.33);
/// Time after its last first byte up to which a rank counts as active, in milliseconds.
const ACTIVE_MS: u64 = 3_000;

/// A request at the gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// Time to the first byte that is on time, in milliseconds.
    pub goal_ms: f64,
    /// Time to the first byte at the endpoint that was chosen, by what was sent there, in
    /// milliseconds.
    pub expected_ms: f64,
    /// Time left, in milliseconds.
    pub left_ms: f64,
    /// It was refused before.
    pub is_retry: bool,
    /// Spread evenly from 0 to 1.
    pub random: f64,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It may be sent.
    Admit,
    /// It should come again after this time, in milliseconds.
    RetryAfter(f64),
}

/// What is to be done with a request, and what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// What is to be done.
    pub verdict: Verdict,
    /// By how much longer than expected requests of its rank took of late.
    pub wait_ratio: f64,
    /// Part of such requests that is refused.
    pub refusal_probability: f64,
}

/// The gate of one service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    by_rank: BTreeMap<u8, Learnt>,
}

/// What the last requests of one rank showed.
#[derive(Clone, Debug, Default)]
struct Learnt {
    /// Time to the first byte, in milliseconds.
    took_ms: f64,
    /// The same as it was expected, in milliseconds.
    expected_ms: f64,
    at_ms: u64,
    /// Goal of the newest request, in milliseconds.
    goal_ms: f64,
}

impl AdmissionController {
    /// The first byte of a request came.
    pub fn record_first_byte(
        &mut self,
        rank: u8,
        goal_ms: f64,
        expected_ms: f64,
        took_ms: f64,
        now_ms: u64,
    ) {
        let it = self.by_rank.entry(rank).or_default();
        let kept = it.kept(now_ms);
        let learn = |old: f64, new: f64| old * kept + LEARNING_WEIGHT * (new - old * kept);
        it.took_ms = learn(it.took_ms, took_ms);
        it.expected_ms = learn(it.expected_ms, expected_ms);
        it.at_ms = now_ms;
        it.goal_ms = goal_ms;
    }

    /// By how much requests of a rank took longer than expected of late, in milliseconds.
    pub fn delay_ms(&self, rank: u8, now_ms: u64) -> f64 {
        self.by_rank.get(&rank).map_or(0.0, |it| (it.took_ms - it.expected_ms) * it.kept(now_ms))
    }

    /// Whether a request is let in.
    pub fn decide(&self, entrant: &AdmissionRequest, now_ms: u64) -> AdmissionDecision {
        let ratio = self.by_rank.get(&entrant.rank).map_or(1.0, |it| it.ratio(now_ms));
        let refusal_probability = self.refusal_probability(entrant, ratio, now_ms);
        AdmissionDecision {
            verdict: verdict(entrant, refusal_probability),
            wait_ratio: ratio,
            refusal_probability,
        }
    }

    fn refusal_probability(&self, entrant: &AdmissionRequest, ratio: f64, now_ms: u64) -> f64 {
        let mut less_urgent = self.by_rank.range(entrant.rank + 1..);
        let on_time = if less_urgent.any(|(_, it)| it.is_active(now_ms)) {
            ON_TIME_URGENT
        } else if entrant.is_retry {
            ON_TIME_RETURNED
        } else {
            ON_TIME
        };
        let own = part_beyond(entrant.expected_ms * ratio / entrant.goal_ms.max(1.0), on_time);
        let more_urgent = self.by_rank.range(..entrant.rank);
        let theirs = more_urgent.map(|(_, it)| part_beyond(it.pressure(now_ms), ON_TIME));
        theirs.fold(own, f64::max)
    }
}

fn verdict(entrant: &AdmissionRequest, refusal_probability: f64) -> Verdict {
    // One draw decides twice: whether to refuse, and when to retry.
    if entrant.random >= refusal_probability {
        return Verdict::Admit;
    }
    let (earliest, latest) = RETRY_AFTER_RANGE;
    let place = entrant.random / refusal_probability;
    Verdict::RetryAfter(entrant.left_ms * (earliest + (latest - earliest) * place))
}

/// Part to refuse of requests that take so many goals, of which some are on time.
fn part_beyond(goals: f64, on_time: f64) -> f64 {
    ((goals - on_time) / FULL_REFUSAL).clamp(0.0, 1.0)
}

impl Learnt {
    /// Part of what was learnt that still counts.
    fn kept(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.at_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.at_ms > 0 && now_ms.saturating_sub(self.at_ms) < ACTIVE_MS
    }

    /// How much longer requests took than was expected.
    fn ratio(&self, now_ms: u64) -> f64 {
        let kept = self.kept(now_ms);
        let ratio =
            (self.took_ms * kept + RATIO_FLOOR_MS) / (self.expected_ms * kept + RATIO_FLOOR_MS);
        ratio.clamp(RATIOS.0, RATIOS.1)
    }

    /// Time to the first byte of late, in goals.
    fn pressure(&self, now_ms: u64) -> f64 {
        self.took_ms * self.kept(now_ms) / self.goal_ms.max(1.0)
    }
}

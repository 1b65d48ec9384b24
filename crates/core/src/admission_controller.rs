//! Admission control: admits a request, or refuses it with a time after which to retry.
//!
//! In a burst beyond the prefill capacity of all engines, without refusals every request waits
//! as long as its caller allows, and all of them miss their goal. Refusing the excess keeps the
//! admitted requests on time, and the refused ones find capacity when they retry.
//!
//! Whether a request would be on time is estimated from what all instances have sent to its
//! endpoint, corrected by how long recent requests took compared with their estimates.

use std::collections::BTreeMap;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Half-life of the moving averages without new samples, in milliseconds.
const HALF_LIFE_MS: f64 = 800.0;
/// Added to both sides of the ratio of actual and expected times, so that short times change the
/// ratio little, in milliseconds.
const RATIO_OFFSET_MS: f64 = 50.0;
/// Bounds of the ratio of actual and expected times.
const WAIT_RATIO_RANGE: (f64, f64) = (0.7, 3.0);
/// Expected time to the first byte, as a multiple of the goal, up to which every request is
/// admitted.
const ADMIT_THRESHOLD: f64 = 0.85;
/// The same threshold for requests that were refused before.
const RETRY_ADMIT_THRESHOLD: f64 = 1.3;
/// The same threshold while there are less urgent requests that can be refused first.
const URGENT_ADMIT_THRESHOLD: f64 = 1.6;
/// Multiple of the goal beyond the threshold at which every request is refused; the refusal
/// probability rises linearly up to there.
const REFUSAL_RAMP: f64 = 0.4;
/// Earliest and latest retry of a refused request, as a fraction of its remaining time.
pub(crate) const RETRY_AFTER_RANGE: (f64, f64) = (0.16, 0.33);
/// A rank counts as active for this long after the first byte of its newest response, in
/// milliseconds.
const ACTIVE_MS: u64 = 3_000;

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Goal for the time to the first byte, in milliseconds.
    pub goal_ms: f64,
    /// Estimated time to the first byte at the selected endpoint, in milliseconds, before the
    /// correction by recent requests.
    pub expected_ms: f64,
    /// Time until the request's deadline, in milliseconds.
    pub left_ms: f64,
    /// The request was refused before.
    pub is_retry: bool,
    /// Uniform random number in [0, 1).
    pub random: f64,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Admit,
    /// The request is refused; its caller should retry after this time, in milliseconds.
    RetryAfter(f64),
}

/// A verdict with the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Whether the request is admitted.
    pub verdict: Verdict,
    /// Ratio of actual to expected time to the first byte of recent requests of the same rank.
    pub wait_ratio: f64,
    /// Probability with which such a request is refused.
    pub refusal_probability: f64,
}

/// Admission control of one service.
#[derive(Clone, Debug, Default)]
pub struct AdmissionController {
    by_rank: BTreeMap<u8, RankStats>,
}

/// Moving averages over the recent requests of one rank.
#[derive(Clone, Debug, Default)]
struct RankStats {
    /// Actual time to the first byte, in milliseconds.
    took_ms: f64,
    /// Expected time to the first byte, in milliseconds.
    expected_ms: f64,
    /// Time of the newest sample; 0 if there is none.
    updated_ms: u64,
    /// Goal of the newest request, in milliseconds.
    goal_ms: f64,
}

impl AdmissionController {
    /// Records that the first byte of a request's response arrived after `took_ms`.
    pub fn record_first_byte(
        &mut self,
        rank: u8,
        goal_ms: f64,
        expected_ms: f64,
        took_ms: f64,
        now_ms: u64,
    ) {
        let it = self.by_rank.entry(rank).or_default();
        let decay = it.decay(now_ms);
        let update = |old: f64, new: f64| old * decay + SAMPLE_WEIGHT * (new - old * decay);
        it.took_ms = update(it.took_ms, took_ms);
        it.expected_ms = update(it.expected_ms, expected_ms);
        it.updated_ms = now_ms;
        it.goal_ms = goal_ms;
    }

    /// By how much recent requests of a rank took longer than expected, in milliseconds.
    pub fn delay_ms(&self, rank: u8, now_ms: u64) -> f64 {
        self.by_rank.get(&rank).map_or(0.0, |it| (it.took_ms - it.expected_ms) * it.decay(now_ms))
    }

    /// Ratio of actual to expected time to the first byte of recent requests of a rank.
    pub fn wait_ratio(&self, rank: u8, now_ms: u64) -> f64 {
        self.by_rank.get(&rank).map_or(1.0, |it| it.wait_ratio(now_ms))
    }

    /// Decides whether a request is admitted.
    pub fn decide(&self, request: &AdmissionRequest, now_ms: u64) -> AdmissionDecision {
        let wait_ratio = self.wait_ratio(request.rank, now_ms);
        let refusal_probability = self.refusal_probability(request, wait_ratio, now_ms);
        let verdict = verdict(request, refusal_probability);
        AdmissionDecision { verdict, wait_ratio, refusal_probability }
    }

    /// The greatest of the request's own probability and those of more urgent ranks: while these
    /// are late, less urgent requests are refused too.
    fn refusal_probability(&self, request: &AdmissionRequest, wait_ratio: f64, now_ms: u64) -> f64 {
        let mut less_urgent = self.by_rank.range(request.rank + 1..);
        let threshold = if less_urgent.any(|(_, it)| it.is_active(now_ms)) {
            URGENT_ADMIT_THRESHOLD
        } else if request.is_retry {
            RETRY_ADMIT_THRESHOLD
        } else {
            ADMIT_THRESHOLD
        };
        let expected_multiple = request.expected_ms * wait_ratio / request.goal_ms.max(1.0);
        let own = refusal_ramp(expected_multiple, threshold);
        let more_urgent = self.by_rank.range(..request.rank);
        let of_more_urgent =
            more_urgent.map(|(_, it)| refusal_ramp(it.goal_multiple(now_ms), ADMIT_THRESHOLD));
        of_more_urgent.fold(own, f64::max)
    }
}

fn verdict(request: &AdmissionRequest, refusal_probability: f64) -> Verdict {
    if request.random >= refusal_probability {
        return Verdict::Admit;
    }
    // A number below the probability is uniform in that range, so it also spreads the retries.
    let (earliest, latest) = RETRY_AFTER_RANGE;
    let spread = request.random / refusal_probability;
    Verdict::RetryAfter(request.left_ms * (earliest + (latest - earliest) * spread))
}

/// Refusal probability for a time to the first byte that is given as a multiple of the goal.
fn refusal_ramp(goal_multiple: f64, threshold: f64) -> f64 {
    ((goal_multiple - threshold) / REFUSAL_RAMP).clamp(0.0, 1.0)
}

impl RankStats {
    /// Factor by which the averages have decayed since the newest sample.
    fn decay(&self, now_ms: u64) -> f64 {
        (-(now_ms.saturating_sub(self.updated_ms) as f64) / HALF_LIFE_MS).exp2()
    }

    fn is_active(&self, now_ms: u64) -> bool {
        self.updated_ms > 0 && now_ms.saturating_sub(self.updated_ms) < ACTIVE_MS
    }

    /// Ratio of actual to expected time to the first byte.
    fn wait_ratio(&self, now_ms: u64) -> f64 {
        let decay = self.decay(now_ms);
        let ratio =
            (self.took_ms * decay + RATIO_OFFSET_MS) / (self.expected_ms * decay + RATIO_OFFSET_MS);
        ratio.clamp(WAIT_RATIO_RANGE.0, WAIT_RATIO_RANGE.1)
    }

    /// Time to the first byte of recent requests, as a multiple of the goal.
    fn goal_multiple(&self, now_ms: u64) -> f64 {
        self.took_ms * self.decay(now_ms) / self.goal_ms.max(1.0)
    }
}

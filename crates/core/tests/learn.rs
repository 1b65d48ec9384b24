//! Length prediction, admission by deadline, and the retry budget.

use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    Name,
    admission::{Admission, Capacity, RequestDemand, RetryAfterPacer, admit},
    length_predictor::{LengthKey, LengthPredictor},
    retry_budget::{RetryBudget, RetryBudgetSettings},
    sheet::OutputPrior,
};

const SEED: u64 = 20_261_204;
const PRIOR: OutputPrior = OutputPrior { p50_tokens: 100, p95_tokens: 400 };

fn key(account: &str) -> LengthKey {
    LengthKey {
        class: Name::from("draft"),
        account: Name::from(account),
        model: Name::from("libretto"),
    }
}

/// The `number`th of lengths spread evenly from half of `center` to one and a half times it.
fn length(center: u32, number: u32) -> u32 {
    center / 2 + number.wrapping_mul(2_654_435_761) % center
}

/// Whether two lengths are within a factor of 4/3.
fn is_near(tokens: u32, wanted: u32) -> bool {
    tokens * 4 >= wanted * 3 && tokens * 3 <= wanted * 4
}

#[test]
fn the_prior_is_used_until_lengths_are_learned() {
    let mut predictor = LengthPredictor::default();
    assert!(is_near(predictor.predict(&key("a"), &PRIOR, 0.5), 100));
    assert!(is_near(predictor.predict(&key("a"), &PRIOR, 0.95), 400));
    for number in 0..100 {
        predictor.observe(&key("a"), &PRIOR, length(1_000, number));
    }
    assert!(is_near(predictor.predict(&key("a"), &PRIOR, 0.5), 1_000));
    let other = predictor.predict(&key("b"), &PRIOR, 0.5);
    assert!(
        is_near(other, 1_000),
        "a new account starts with the lengths of its class, not {other}"
    );
}

#[test]
fn tripled_lengths_are_detected_within_twenty_responses() {
    let mut predictor = LengthPredictor::default();
    for number in 0..1_000 {
        let changed = predictor.observe(&key("a"), &PRIOR, length(200, number));
        assert!(!changed || number < 50, "false detection at {number}");
    }
    let detected = (0..20).position(|it| predictor.observe(&key("a"), &PRIOR, length(600, it)));
    assert!(detected.is_some(), "not detected");
    for number in 20..40 {
        predictor.observe(&key("a"), &PRIOR, length(600, number));
    }
    let median = predictor.predict(&key("a"), &PRIOR, 0.5);
    assert!(is_near(median, 600), "{median}");
}

#[test]
fn the_number_of_keys_is_bounded() {
    let mut predictor = LengthPredictor::default();
    for number in 0..5_000 {
        predictor.observe(&key(&format!("account-{number}")), &PRIOR, 10);
    }
    assert_eq!(predictor.len(), 4096);
}

#[test]
fn a_request_is_refused_only_if_it_would_miss_its_deadline() {
    let capacity = Capacity {
        slots: 4,
        busy_slots: 4,
        token_ms: 20.0,
        first_token_ms: 100.0,
        first_token_upper_ms: 100.0,
        instances: 1,
    };
    let demand = RequestDemand {
        left_ms: 5_000,
        output_tokens: 100,
        ahead_tokens: 0,
        mean_output_tokens: 100,
    };
    assert_eq!(admit(&demand, &capacity), Admission::Admit { service_ms: 2_100 });
    let behind = RequestDemand { ahead_tokens: 1_000, ..demand };
    assert_eq!(admit(&behind, &capacity), Admission::Refuse { late_ms: 2_625 });
    let free = Capacity { busy_slots: 3, ..capacity };
    let tight = RequestDemand { left_ms: 2_100, ..demand };
    assert_eq!(admit(&tight, &free), Admission::Admit { service_ms: 2_100 });
    assert!(matches!(admit(&tight, &capacity), Admission::Refuse { .. }));
}

/// Of 200 callers refused at the same time, fewer than 20 are told to retry within any second, of
/// which 10 can be served; the margin is for random spreading.
#[test]
fn retry_times_are_spread() {
    fn property(numbers: Vec<u64>) -> bool {
        let mut pacer = RetryAfterPacer::default();
        let target = Name::from("libretto");
        let numbers = numbers.into_iter().cycle().take(200);
        let mut times: Vec<u64> =
            numbers.map(|it| pacer.retry_after_ms(&target, 500, 100, 1_000, it)).collect();
        times.sort_unstable();
        times.windows(20).all(|it| it[19] - it[0] >= 1_000)
    }
    let check = || QuickCheck::new().rng(Gen::from_size_and_seed(50, SEED)).tests(200);
    assert_eq!(check().quicktest(property as fn(Vec<u64>) -> bool).ok(), Some(200));
}

#[test]
fn retries_stay_within_their_percentage_of_requests() {
    let settings =
        RetryBudgetSettings { retry_percent: 10.0, min_rate_per_s: 0.5, max_saved: 100.0 };
    let mut budget = RetryBudget::new(settings, 0);
    let mut retried = 0;
    for number in 0..1_000 {
        budget.record_first_attempt();
        retried += u32::from((0..3).filter(|_| budget.try_acquire(1, number)).count() as u32 > 0);
    }
    assert!((95..=110).contains(&retried), "{retried} of 1000 requests were retried");
}

#[test]
fn lower_tiers_leave_retries_to_the_highest() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default(), 0);
    while budget.try_acquire(3, 0) {}
    assert!(budget.try_acquire(0, 0));
}

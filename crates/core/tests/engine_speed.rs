//! What is learned of engines' speeds.

use std::collections::HashMap;

use quickcheck::quickcheck;
use tanagergauge_core::{
    Name,
    engine_speed::{
        EngineSpeeds, EventGap, FirstEvent, IgnoredSlowness, InitialSpeeds, LearnSpeeds,
        parse_slowness,
    },
    routing::{EngineLimits, ScaleLimits, Service},
};

const INITIAL: InitialSpeeds = InitialSpeeds {
    prefill_tokens_per_ms: 55.0,
    idle_first_event_ms: 75.0,
    prefill_step_ms: 43.2,
    slot_wait_ms: 50.0,
};

fn speeds(mode: LearnSpeeds, tokens_per_event: u32) -> EngineSpeeds {
    speeds_of(mode, tokens_per_event, None)
}

fn speeds_of(mode: LearnSpeeds, tokens_per_event: u32, scale: Option<ScaleLimits>) -> EngineSpeeds {
    let mut speeds = EngineSpeeds::new(mode, INITIAL);
    let engine = EngineLimits { slots: 12, kv_capacity_tokens: 400_000, tokens_per_event };
    let service = Service {
        name: Name::from("model"),
        connection_limit: Some(100),
        health_path: None,
        engine: Some(engine),
        scale,
    };
    speeds.set_services([&service].into_iter());
    speeds
}

/// Records gaps of an engine whose steps take `prefill_ms` with prefill and 4 ms without. Of twenty gaps,
/// `constant` are in constant prefill, two partly, and the others not at all.
fn record_gaps(speeds: &mut EngineSpeeds, steps: f64, prefill_ms: f64, constant: u32, count: u32) {
    for at in 0..count {
        let (step_ms, queued_tokens) = match at % 20 {
            it if it < constant => (prefill_ms, 20_000.0),
            18.. => (0.3 * prefill_ms + 2.8, 3_000.0),
            _ => (4.0, 0.0),
        };
        let gap_ms = steps * step_ms;
        let gap = EventGap { gap_ms, queued_tokens, takes_prompts: true, slowness: 1.0 };
        speeds.record_gap("model", &gap);
    }
}

macro_rules! classes {
    ($($name:ident: $tokens:expr, $prefill_ms:expr, $goals_ms:expr;)*) => {$(
        /// A constant that describes other engines puts streams into the wrong class.
        #[test]
        fn $name() {
            let mut speeds = speeds(LearnSpeeds::On, $tokens);
            record_gaps(&mut speeds, f64::from($tokens), $prefill_ms, 1, 12_000);
            let (urgent_ms, long_ms) = $goals_ms;
            let initially = |goal_ms: u64| (goal_ms as f64) < f64::from($tokens) * INITIAL.prefill_step_ms;
            let is_sensitive = |speeds: &mut EngineSpeeds, goal_ms, now_ms| {
                speeds.is_latency_sensitive("model", Some(goal_ms), initially(goal_ms), 0, now_ms)
            };
            assert!(is_sensitive(&mut speeds, urgent_ms, 10_000));
            assert!(!is_sensitive(&mut speeds, long_ms, 10_000));
            // Quiet for a minute: no engine is in constant prefill.
            record_gaps(&mut speeds, f64::from($tokens), $prefill_ms, 0, 2_400);
            assert!(is_sensitive(&mut speeds, urgent_ms, 900_000));
            assert!(!is_sensitive(&mut speeds, long_ms, 900_000));
        }
    )*};
}

classes! {
    goals_near_the_gap_of_nine_tokens: 9, 22.3, (200, 300);
    goals_near_the_gap_of_eight_tokens: 8, 30.1, (250, 400);
    goals_near_the_gap_of_slower_engines: 8, 39.0, (250, 400);
}

/// Streams that bring most of the prefill would be reserved engines that they keep in prefill themselves.
#[test]
fn streams_with_most_of_the_prompts_are_not_latency_sensitive() {
    let mut speeds = speeds(LearnSpeeds::On, 9);
    record_gaps(&mut speeds, 9.0, 40.0, 1, 12_000);
    let mut classes = (false, true);
    for now_ms in 0..100 {
        classes.0 = speeds.is_latency_sensitive("model", Some(200), true, 800, now_ms);
        classes.1 = speeds.is_latency_sensitive("model", Some(300), true, 9_200, now_ms);
    }
    assert_eq!(classes, (true, false));
}

/// A class that changes with the noise of the estimate would move streams between engines all the time.
#[test]
fn noise_does_not_change_the_class() {
    let mut speeds = speeds(LearnSpeeds::On, 9);
    record_gaps(&mut speeds, 9.0, 22.3, 1, 12_000);
    let mut changes = 0;
    let mut class = true;
    for round in 0..200 {
        let step_ms = if round % 2 == 0 { 21.0 } else { 23.6 };
        record_gaps(&mut speeds, 9.0, step_ms, 1, 200);
        let now_ms = 10_000 + round * 1_000;
        let now = speeds.is_latency_sensitive("model", Some(245), true, 0, now_ms);
        changes += u32::from(now != class);
        class = now;
    }
    assert!(changes <= 1, "{changes} changes");
}

/// Estimates must not become useless by any input from the network.
fn is_usable(speeds: &EngineSpeeds) -> bool {
    let it = speeds.service("model").expect("speeds are learned");
    let values = [
        it.prefill_tokens_per_ms,
        it.idle_first_event_ms,
        it.prefill_step_ms,
        it.step_ms.unwrap_or(1.0),
        it.response_ms.unwrap_or(1.0),
        it.slot_wait_ms(0),
        it.slot_wait_ms(u32::MAX),
    ];
    values.iter().all(|it| it.is_finite() && *it > 0.0 && *it <= 1e6)
}

quickcheck! {
    /// Guards against NaN, infinite, negative and unbounded estimates.
    fn any_input_leaves_bounded_estimates(input: Vec<(f64, f64, f64)>) -> bool {
        let mut speeds = speeds(LearnSpeeds::On, 9);
        input.into_iter().all(|(time_ms, tokens, slowness)| {
            let first = FirstEvent { took_ms: time_ms, tokens, slowness };
            speeds.record_first_event("model", &first);
            let gap = EventGap { gap_ms: time_ms, queued_tokens: tokens, takes_prompts: true, slowness };
            speeds.record_gap("model", &gap);
            speeds.record_gap("model", &EventGap { queued_tokens: 1e4, slowness: 1.0, ..gap });
            speeds.record_response("model", time_ms);
            is_usable(&speeds)
        })
    }
}

/// A constant that describes other engines makes expected times wrong by a factor.
#[test]
fn first_events_give_the_prefill_rate_and_the_idle_time() {
    let mut speeds = speeds(LearnSpeeds::On, 9);
    for at in 0..1_000 {
        let tokens = f64::from(at * 37 % 9_000);
        let took_ms = 20.0 + tokens / 45.0;
        speeds.record_first_event("model", &FirstEvent { took_ms, tokens, slowness: 1.0 });
    }
    let it = speeds.service("model").expect("speeds are learned");
    assert!((it.prefill_tokens_per_ms / 45.0 - 1.0).abs() < 0.05, "{it:?}");
    assert!((it.idle_first_event_ms - 20.0).abs() < 5.0, "{it:?}");
}

/// A deployment that does not ask for learned speeds must behave as before.
#[test]
fn speeds_are_learned_only_where_asked_for() {
    assert!(speeds(LearnSpeeds::Off, 9).service("model").is_none());
    let mut auto = speeds(LearnSpeeds::Auto, 9);
    auto.record_slowness("model", 2.5);
    assert!(auto.service("model").is_none());
    let limits = ScaleLimits {
        min: 1,
        max: 4,
        boot_ms: 4_000,
        spot_price_ratio: None,
        zone_prices: HashMap::new(),
    };
    assert!(speeds_of(LearnSpeeds::Auto, 9, Some(limits.clone())).service("model").is_some());
    assert!(speeds_of(LearnSpeeds::Off, 9, Some(limits)).service("model").is_none());
}

/// A slowness that no machine can have must not change estimates.
#[test]
fn unusable_slowness_is_told_apart() {
    assert_eq!(parse_slowness("250"), Ok(2.5));
    assert_eq!(parse_slowness(""), Err(IgnoredSlowness::Empty));
    assert_eq!(parse_slowness("-1"), Err(IgnoredSlowness::Negative));
    for text in ["0", "1e300", "inf", "99999999999999999999"] {
        assert_eq!(parse_slowness(text), Err(IgnoredSlowness::OutOfRange), "{text}");
    }
    for text in ["nan", "fast", "1,2", "\u{661}"] {
        assert_eq!(parse_slowness(text), Err(IgnoredSlowness::NotANumber), "{text}");
    }
}

//! Passive health checks of an endpoint.

use tanagergauge_core::health::{Health, HealthState};

#[test]
fn an_unreachable_endpoint_is_paused_at_once() {
    let mut health = Health::default();
    health.record_connect_failure(1_000);
    assert_eq!(health.state(1_001), HealthState::Paused);
}

#[test]
fn single_failures_do_not_pause() {
    let mut health = Health::default();
    for at_ms in 0..50 {
        health.record_failure(at_ms * 10);
        health.record_success(at_ms * 10 + 5);
    }
    assert_eq!(health.state(600), HealthState::Good);
    assert!(health.failure_rate(500) > 0.3, "but they raise the failure rate");
}

#[test]
fn consecutive_failures_pause_and_a_success_ends_the_probation() {
    let mut health = Health::default();
    for at_ms in [10, 11, 12, 13, 14] {
        health.record_failure(at_ms);
    }
    assert_eq!(health.state(20), HealthState::Paused);
    assert_eq!(health.state(450), HealthState::Probation);
    health.record_success(460);
    assert_eq!(health.state(461), HealthState::Good);
}

/// Each pause of an endpoint that is down and up by turns is longer than the last, up to a
/// maximum.
#[test]
fn a_flapping_endpoint_is_paused_longer_each_time() {
    let mut health = Health::default();
    let mut now_ms = 0;
    let mut pauses = Vec::new();
    for _ in 0..7 {
        health.record_connect_failure(now_ms);
        let paused_ms = (0..).find(|it| health.state(now_ms + it) != HealthState::Paused);
        let paused_ms = paused_ms.expect("a pause ends");
        pauses.push(paused_ms);
        now_ms += paused_ms;
        health.record_success(now_ms);
        now_ms += 100;
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses.first(), Some(&400));
    assert_eq!(pauses.last(), Some(&4_000));
}

#[test]
fn requests_that_fail_together_cause_one_pause() {
    let mut health = Health::default();
    for _ in 0..40 {
        health.record_failure(1_000);
    }
    assert_eq!(health.state(1_399), HealthState::Paused);
    assert_eq!(health.state(1_400), HealthState::Probation);
}

#[test]
fn failures_are_forgotten() {
    let mut health = Health::default();
    health.record_failure(0);
    let at_once = health.failure_rate(0);
    assert!(health.failure_rate(12_000) < at_once / 10.0);
}

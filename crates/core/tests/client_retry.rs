//! Detection of callers that retry after a refusal, by the time that they have left.

use tanagergauge_core::client_retry::ClientRetryDetector;

#[path = "replay/rng.rs"]
mod rng;

use rng::Rng;

const LIMIT_MS: u64 = 5_000;

/// Time left of callers on their first attempt; it differs by up to 15 %.
fn first_attempts(count: u64) -> impl Iterator<Item = f64> {
    let mut rng = Rng(31);
    (0..count).map(move |_| LIMIT_MS as f64 * (1.0 - rng.below(150) as f64 / 1_000.0))
}

/// In production, the time left of first attempts differs by 15 %. Two of three first attempts
/// were taken for retries, so that actual retries were not favoured.
#[test]
fn first_attempts_with_different_times_are_no_retries() {
    let mut detector = ClientRetryDetector::default();
    detector.is_retry(LIMIT_MS as f64, LIMIT_MS);
    assert_eq!(first_attempts(1_000).filter(|it| detector.is_retry(*it, LIMIT_MS)).count(), 0);
}

#[test]
fn callers_that_waited_are_retries() {
    let mut detector = ClientRetryDetector::default();
    detector.is_retry(LIMIT_MS as f64, LIMIT_MS);
    let waited = first_attempts(1_000).map(|it| it * (1.0 - 0.161));
    assert!(waited.into_iter().all(|it| detector.is_retry(it, LIMIT_MS)));
}

/// After operators halve a route's limit, callers with all the time that it allows are no retries.
#[test]
fn a_shorter_limit_is_not_taken_for_a_retry() {
    let mut detector = ClientRetryDetector::default();
    detector.is_retry(LIMIT_MS as f64, LIMIT_MS);
    let halved = first_attempts(1_000).map(|it| it / 2.0);
    assert_eq!(halved.filter(|it| detector.is_retry(*it, LIMIT_MS / 2)).count(), 0);
}

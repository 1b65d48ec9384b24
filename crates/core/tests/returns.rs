//! Which callers were refused before, told by the time they have left.

use tanagergauge_core::returns::Returns;

#[path = "replay/draws.rs"]
mod draws;

use draws::Draws;

const LIMIT_MS: u64 = 5_000;

/// Times of callers that come for the first time; they differ by up to 15 in 100.
fn first_times(count: u64) -> impl Iterator<Item = f64> {
    let mut draws = Draws(31);
    (0..count).map(move |_| LIMIT_MS as f64 * (1.0 - draws.below(150) as f64 / 1_000.0))
}

/// On the users' sites callers' times differ by 15 in 100: two of three newcomers were taken for
/// callers that had been refused, so that those who had were not favoured.
#[test]
fn newcomers_with_unequal_times_were_not_refused_before() {
    let mut returns = Returns::default();
    returns.returned(LIMIT_MS as f64, LIMIT_MS);
    assert_eq!(first_times(1_000).filter(|it| returns.returned(*it, LIMIT_MS)).count(), 0);
}

#[test]
fn callers_that_waited_were_refused_before() {
    let mut returns = Returns::default();
    returns.returned(LIMIT_MS as f64, LIMIT_MS);
    let waited = first_times(1_000).map(|it| it * (1.0 - 0.161));
    assert!(waited.into_iter().all(|it| returns.returned(it, LIMIT_MS)));
}

/// Operators halve a route's limit: callers that have as much time as they may are no returners.
#[test]
fn a_shorter_limit_makes_nobody_a_returner() {
    let mut returns = Returns::default();
    returns.returned(LIMIT_MS as f64, LIMIT_MS);
    let halved = first_times(1_000).map(|it| it / 2.0);
    assert_eq!(halved.filter(|it| returns.returned(*it, LIMIT_MS / 2)).count(), 0);
}

//! What endpoints told of requests to come holds for one start of their processes.

use tanagergauge_core::{Name, endpoint_notices::EndpointNotices};

const LONG_MS: u64 = 600_000;

#[test]
fn a_late_response_of_an_earlier_process_undoes_nothing() {
    let (mut notices, endpoint) = (EndpointNotices::default(), Name::from("i-0"));
    assert!(notices.record_leaving(&endpoint, 2, 0));
    assert!(!notices.record_leaving(&endpoint, 2, 10));
    assert!(!notices.record_leaving(&endpoint, 1, 20));
    assert!(!notices.record_backoff(&endpoint, 1, 500, 20));
    assert!(notices.is_leaving("i-0", 2));
    assert!(!notices.is_leaving("i-0", 1) && !notices.is_leaving("i-0", 3));
    assert_eq!(notices.backoff_ms("i-0", 1, 20), 0);
}

#[test]
fn the_longest_backoff_is_in_force_until_its_end_or_a_new_start() {
    let (mut notices, endpoint) = (EndpointNotices::default(), Name::from("i-0"));
    assert!(notices.record_backoff(&endpoint, 2, 2_000, 0));
    assert!(!notices.record_backoff(&endpoint, 2, 100, 10));
    assert_eq!(notices.backoff_ms("i-0", 2, 1_999), 1);
    assert_eq!(notices.backoff_ms("i-0", 2, 2_000), 0);
    assert_eq!(notices.backoff_ms("i-0", 3, 10), 0);
    assert!(notices.record_backoff(&endpoint, 2, u64::MAX, 2_000));
    assert!(notices.record_leaving(&endpoint, 3, 2_010));
    assert_eq!(notices.backoff_ms("i-0", 3, 2_010), 0);
}

/// Each test has an endpoint leave and checks whether that is still known long after.
macro_rules! long_after {
    ($($name:ident: $incarnation:literal, $listed:expr => $is_known:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut notices = EndpointNotices::default();
            notices.record_leaving(&Name::from("i-0"), $incarnation, 0);
            notices.expire(|_| $listed, LONG_MS - 1);
            assert!(notices.is_leaving("i-0", $incarnation));
            notices.expire(|_| $listed, LONG_MS);
            assert_eq!(notices.is_leaving("i-0", $incarnation), $is_known);
        }
    )*};
}

long_after! {
    a_listed_endpoint_stays_known_to_leave: 5, Some(5) => true;
    an_endpoint_that_is_gone_is_forgotten: 5, None => false;
    an_endpoint_that_started_again_is_forgotten: 5, Some(6) => false;
    an_endpoint_without_a_known_start_is_forgotten: 0, Some(0) => false;
}

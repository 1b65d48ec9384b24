//! What endpoints said of their leaving holds for one start of their processes.

use tanagergauge_core::{Name, leaving_endpoints::LeavingEndpoints};

const LONG_MS: u64 = 600_000;

#[test]
fn a_late_response_of_an_earlier_process_undoes_nothing() {
    let (mut leaving, endpoint) = (LeavingEndpoints::default(), Name::from("i-0"));
    assert!(leaving.record(&endpoint, 2, 0));
    assert!(!leaving.record(&endpoint, 2, 10));
    assert!(!leaving.record(&endpoint, 1, 20));
    assert!(leaving.contains("i-0", 2));
    assert!(!leaving.contains("i-0", 1) && !leaving.contains("i-0", 3));
}

/// Each test has an endpoint leave and checks whether that is still known long after.
macro_rules! long_after {
    ($($name:ident: $incarnation:literal, $listed:expr => $is_known:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut leaving = LeavingEndpoints::default();
            leaving.record(&Name::from("i-0"), $incarnation, 0);
            leaving.expire(|_| $listed, LONG_MS - 1);
            assert!(leaving.contains("i-0", $incarnation));
            leaving.expire(|_| $listed, LONG_MS);
            assert_eq!(leaving.contains("i-0", $incarnation), $is_known);
        }
    )*};
}

long_after! {
    a_listed_endpoint_stays_known_to_leave: 5, Some(5) => true;
    an_endpoint_that_is_gone_is_forgotten: 5, None => false;
    an_endpoint_that_started_again_is_forgotten: 5, Some(6) => false;
    an_endpoint_without_a_known_start_is_forgotten: 0, Some(0) => false;
}

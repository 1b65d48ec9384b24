//! After a sending that failed: again, "not run", or unknown.

use tanagergauge_core::{
    resend::{Failure, Next, SENDING_LIMIT, Sendings, is_worth_sending},
    routing::Repeat,
};

const AGAIN: Next = Next::Resend { counts_as_repeat: true };
const FIRST: Next = Next::Resend { counts_as_repeat: false };

macro_rules! next {
    ($($name:ident: $repeat:ident, $attempts:literal, [$($failure:ident),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sendings = Sendings::default();
            for failure in [$(Failure::$failure),*] as [Failure; _] {
                sendings.failed(failure);
            }
            assert_eq!(sendings.next(Repeat::$repeat, $attempts), $expected);
        }
    )*};
}

next! {
    what_was_never_written_goes_on: Once, 1, [Unreachable] => FIRST;
    a_refusal_may_go_elsewhere: Once, 1, [Refused] => AGAIN;
    another_endpoint_at_the_address_ran_nothing: Once, 1, [Replaced] => AGAIN;
    a_request_that_may_have_run_once_ends: Once, 2, [Broke] => Next::Unknown;
    silence_is_no_refusal: Once, 2, [Silent] => Next::Unknown;
    a_bad_answer_is_no_refusal: Once, 2, [BadAnswer] => Next::Unknown;
    a_later_refusal_does_not_undo_a_break: Once, 3, [Broke, Refused] => Next::Unknown;
    a_stream_that_cannot_continue_ends: StreamOnce, 2, [Broke] => Next::Unknown;
    a_stream_that_can_goes_on: StreamResumable, 2, [Broke] => AGAIN;
    a_failure_of_the_endpoint_has_run: Once, 2, [Failed] => Next::Unknown;
    an_idempotent_failure_goes_elsewhere: Idempotent, 2, [Failed] => AGAIN;
    attempts_bound_what_may_have_run: Idempotent, 2, [Broke, Silent] => Next::Unknown;
    refusals_are_no_attempts: Idempotent, 2, [Refused, Refused, Broke] => AGAIN;
    a_limit_ends_what_all_refuse: Once, 1,
        [Refused, Refused, Refused, Refused, Refused, Refused] => Next::NotRun;
}

#[test]
fn the_limit_counts_every_sending() {
    let mut sendings = Sendings::default();
    for _ in 0..SENDING_LIMIT {
        sendings.failed(Failure::Unreachable);
    }
    assert_eq!(sendings.next(Repeat::Idempotent, 9), Next::NotRun);
}

#[test]
fn what_has_no_time_is_not_sent() {
    assert!(is_worth_sending(40.0, 400));
    assert!(!is_worth_sending(39.0, 400));
    assert!(is_worth_sending(1.0, 0), "a route without a goal");
    assert!(!is_worth_sending(0.0, 0));
}

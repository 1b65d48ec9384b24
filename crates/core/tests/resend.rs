//! After a sending that failed: again, "not run", or unknown.

use tanagergauge_core::{
    routing::RetrySafety,
    send_history::{Failure, MAX_SENDS, NextStep, SendHistory, has_time_to_send},
};

const AGAIN: NextStep = NextStep::Resend { uses_retry_budget: true };
const FIRST: NextStep = NextStep::Resend { uses_retry_budget: false };

macro_rules! next {
    ($($name:ident: $retry_safety:ident, $attempts:literal, [$($failure:ident),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut sendings = SendHistory::default();
            for failure in [$(Failure::$failure),*] as [Failure; _] {
                sendings.record_failure(failure);
            }
            assert_eq!(sendings.next_step(RetrySafety::$retry_safety, $attempts), $expected);
        }
    )*};
}

next! {
    what_was_never_written_goes_on: NonIdempotent, 1, [Unreachable] => FIRST;
    a_refusal_may_go_elsewhere: NonIdempotent, 1, [Refused] => AGAIN;
    another_endpoint_at_the_address_ran_nothing: NonIdempotent, 1, [Replaced] => AGAIN;
    a_request_that_may_have_run_once_ends: NonIdempotent, 2, [Broke] => NextStep::Unknown;
    silence_is_no_refusal: NonIdempotent, 2, [Silent] => NextStep::Unknown;
    a_bad_answer_is_no_refusal: NonIdempotent, 2, [BadAnswer] => NextStep::Unknown;
    a_later_refusal_does_not_undo_a_break: NonIdempotent, 3, [Broke, Refused] => NextStep::Unknown;
    a_stream_that_cannot_continue_ends: Stream, 2, [Broke] => NextStep::Unknown;
    a_stream_that_can_goes_on: ResumableStream, 2, [Broke] => AGAIN;
    a_failure_of_the_endpoint_has_run: NonIdempotent, 2, [Failed] => NextStep::Unknown;
    an_idempotent_failure_goes_elsewhere: Idempotent, 2, [Failed] => AGAIN;
    attempts_bound_what_may_have_run: Idempotent, 2, [Broke, Silent] => NextStep::Unknown;
    refusals_are_no_attempts: Idempotent, 2, [Refused, Refused, Broke] => AGAIN;
    a_limit_ends_what_all_refuse: NonIdempotent, 1,
        [Refused, Refused, Refused, Refused, Refused, Refused] => NextStep::NotRun;
}

#[test]
fn the_limit_counts_every_sending() {
    let mut sendings = SendHistory::default();
    for _ in 0..MAX_SENDS {
        sendings.record_failure(Failure::Unreachable);
    }
    assert_eq!(sendings.next_step(RetrySafety::Idempotent, 9), NextStep::NotRun);
}

#[test]
fn what_has_no_time_is_not_sent() {
    assert!(has_time_to_send(40.0, 400));
    assert!(!has_time_to_send(39.0, 400));
    assert!(has_time_to_send(1.0, 0), "a route without a goal");
    assert!(!has_time_to_send(0.0, 0));
}

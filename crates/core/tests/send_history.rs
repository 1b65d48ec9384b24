//! The next step after a failed send.

use tanagergauge_core::{
    routing::RetrySafety,
    send_history::{Failure, MAX_SENDS, NextStep, SendHistory, has_time_to_send},
};

const RETRY: NextStep = NextStep::Resend { uses_retry_budget: true };
const FREE_RESEND: NextStep = NextStep::Resend { uses_retry_budget: false };

macro_rules! next_steps {
    ($($name:ident: $safety:ident, $attempts:literal, [$($failure:ident),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut history = SendHistory::default();
            for failure in [$(Failure::$failure),*] as [Failure; _] {
                history.record_failure(failure);
            }
            assert_eq!(history.next_step(RetrySafety::$safety, $attempts), $expected);
        }
    )*};
}

next_steps! {
    an_unsent_request_is_sent_elsewhere: NonIdempotent, 1, [Unreachable] => FREE_RESEND;
    a_refused_request_is_retried: NonIdempotent, 1, [Refused] => RETRY;
    a_replaced_endpoint_did_not_run_the_request: NonIdempotent, 1, [Replaced] => RETRY;
    a_non_idempotent_request_that_may_have_run_is_not_retried: NonIdempotent, 2,
        [Broke] => NextStep::Unknown;
    after_a_time_out_the_request_may_have_run: NonIdempotent, 2, [Silent] => NextStep::Unknown;
    after_a_bad_response_the_request_may_have_run: NonIdempotent, 2,
        [BadAnswer] => NextStep::Unknown;
    a_later_refusal_does_not_cancel_that_it_may_have_run: NonIdempotent, 3,
        [Broke, Refused] => NextStep::Unknown;
    a_stream_that_cannot_resume_is_not_retried: Stream, 2, [Broke] => NextStep::Unknown;
    a_resumable_stream_is_retried: ResumableStream, 2, [Broke] => RETRY;
    after_a_server_error_the_request_may_have_run: NonIdempotent, 2, [Failed] => NextStep::Unknown;
    an_idempotent_request_is_retried_after_a_server_error: Idempotent, 2, [Failed] => RETRY;
    attempts_bound_the_sends_that_may_have_run: Idempotent, 2, [Broke, Silent] => NextStep::Unknown;
    refusals_do_not_count_as_attempts: Idempotent, 2, [Refused, Refused, Broke] => RETRY;
    the_limit_ends_a_series_of_refusals: NonIdempotent, 1,
        [Refused, Refused, Refused, Refused, Refused, Refused] => NextStep::NotRun;
}

#[test]
fn the_limit_counts_unreachable_endpoints() {
    let mut history = SendHistory::default();
    for _ in 0..MAX_SENDS {
        history.record_failure(Failure::Unreachable);
    }
    assert_eq!(history.next_step(RetrySafety::Idempotent, 9), NextStep::NotRun);
}

#[test]
fn a_request_with_too_little_time_is_not_sent() {
    assert!(has_time_to_send(40.0, 400));
    assert!(!has_time_to_send(39.0, 400));
    assert!(has_time_to_send(1.0, 0), "a route without a goal");
    assert!(!has_time_to_send(0.0, 0));
}

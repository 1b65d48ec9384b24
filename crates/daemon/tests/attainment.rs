//! When an answer counts as attained.

use tanagergauge_core::{
    Name, Outcome,
    sheet::{Class, OutputPrior, TargetKind},
};
use tanagergauge_daemon::attainment::{Attainment, ClassCounts, Delivery};

/// Targets: first token 500 ms, 60 ms between tokens, 3000 ms in all.
fn class() -> Class {
    Class {
        name: Name::from("rewrite"),
        tier: Name::from("live"),
        kind: TargetKind::Model,
        repeatable: true,
        first_token_ms: 500,
        between_tokens_ms: Some(60),
        whole_answer_ms: 3000,
        floor_percent: 0,
        output_tokens: OutputPrior::default(),
    }
}

/// Each case: first token, whole answer, tokens, and whether it attains.
macro_rules! cases {
    ($($name:ident: $first:expr, $whole:expr, $tokens:expr => $attains:expr;)*) => {
        $(#[test]
        fn $name() {
            let delivery =
                Delivery { first_token_ms: $first, whole_answer_ms: $whole, tokens: $tokens };
            assert_eq!(delivery.attains(&class()), $attains);
        })*
    };
}

cases! {
    in_time: Some(500), 1100, 11 => true;
    first_token_late: Some(501), 1100, 11 => false;
    whole_answer_late: Some(500), 3001, 200 => false;
    pace_too_slow: Some(500), 1101, 11 => false;
    one_token: Some(500), 560, 1 => true;
    whole_answer_without_stream: None, 500, 0 => true;
    whole_answer_after_the_first_token_target: None, 501, 0 => false;
}

#[test]
fn only_answers_attain() {
    let attainment = Attainment::default();
    for outcome in [Outcome::Answered, Outcome::NotRun, Outcome::Unknown] {
        attainment.record(&class(), outcome, Delivery::default());
    }
    let counts = attainment.counts();
    let expected = ClassCounts { answered: 1, not_run: 1, unknown: 1, attained: 1 };
    assert_eq!(counts.get("rewrite"), Some(&expected));
}

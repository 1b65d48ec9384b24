//! What became of each class's requests at this instance, against the class's targets.

use std::{
    collections::BTreeMap,
    sync::{Mutex, PoisonError},
};

use metrics::counter;
use serde::{Deserialize, Serialize};
use tanagergauge_core::{Name, Outcome, sheet::Class};

/// How an answer reached its caller; times count from the request's arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct Delivery {
    /// Until the first token or byte, in milliseconds; that of the whole answer if absent.
    pub first_token_ms: Option<u64>,
    /// Until the end, in milliseconds.
    pub whole_answer_ms: u64,
    /// Tokens of a stream.
    pub tokens: u64,
}

/// What became of a class's requests since the instance started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Answered whole.
    pub answered: u64,
    /// Refused without having run.
    pub not_run: u64,
    /// Of unknown outcome.
    pub unknown: u64,
    /// Answered, and every target of the class met. At most `answered`.
    pub attained: u64,
}

/// Counts of all classes that had a request.
#[derive(Debug, Default)]
pub struct Attainment {
    classes: Mutex<BTreeMap<Name, ClassCounts>>,
}

impl Delivery {
    /// Whether an answer met every target of its class, by the mean time between tokens.
    pub fn attains(&self, class: &Class) -> bool {
        let first_token_ms = self.first_token_ms.unwrap_or(self.whole_answer_ms);
        let gaps = self.tokens.saturating_sub(1);
        let between_ms = self.whole_answer_ms.saturating_sub(first_token_ms);
        let in_pace = class.between_tokens_ms.is_none_or(|it| between_ms <= it * gaps.max(1));
        first_token_ms <= class.first_token_ms
            && self.whole_answer_ms <= class.whole_answer_ms
            && in_pace
    }
}

impl Attainment {
    /// Counts a request that ended.
    pub fn record(&self, class: &Class, outcome: Outcome, delivery: Delivery) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = classes.entry(class.name.clone()).or_default();
        match outcome {
            Outcome::Answered => counts.answered += 1,
            Outcome::NotRun => counts.not_run += 1,
            Outcome::Unknown => counts.unknown += 1,
        }
        if outcome == Outcome::Answered && delivery.attains(class) {
            counts.attained += 1;
            counter!("tanagergauge_attained_total", "class" => class.name.to_string()).increment(1);
        }
    }

    /// The counts so far, by class.
    pub fn counts(&self) -> BTreeMap<Name, ClassCounts> {
        self.classes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

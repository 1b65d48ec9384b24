//! A request on its way through the instance: what to send, and what happened so far.

use std::{sync::Arc, time::Duration};

use tanagergauge_core::{
    Name, Outcome, Reason, prefix_index::PrefixHashes, request_fingerprints::RequestFingerprints,
};

use crate::{
    attainment::Delivery,
    attempt::{Call, Failure, Ran},
    caller::Caller,
    counters,
    dispatcher::{self, Ask},
    journal::{Event, EventKind},
    permit::Permit,
    refusal::Refusal,
    shared::Shared,
    view::Target,
};

/// A request that was read whole and identified.
#[derive(Clone, Debug)]
pub struct Work {
    /// Who calls, and for which class.
    pub caller: Caller,
    /// What it asks for.
    pub target: Target,
    /// What is sent to endpoints.
    pub call: Call,
    /// What the policy knows it by.
    pub content: Content,
    /// When it arrived, by the instance's monotonic clock, in milliseconds.
    pub arrived_ms: u64,
}

/// What the policy knows a request by.
#[derive(Clone, Debug)]
pub struct Content {
    /// Whether the answer is to be streamed.
    pub is_stream: bool,
    /// Most tokens the caller asked for.
    pub limit_tokens: Option<u32>,
    /// Prefixes of its prompt.
    pub prefix: PrefixHashes,
    /// What the quarantine recognizes it by, in all requests of the same content.
    pub fingerprints: RequestFingerprints,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Number of the latest attempt; 0 before the first.
    number: u32,
    /// Endpoints that failed the request.
    failed: Vec<Name>,
    /// Whether any attempt may have run. Never goes back to false.
    may_have_run: bool,
    last_reason: Option<Reason>,
}

/// What to do after a failed attempt.
#[derive(Debug)]
pub enum Next {
    /// Try another endpoint.
    Retry,
    /// Tell the caller.
    GiveUp(Refusal),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum Ended {
    /// The whole answer was delivered.
    Answered,
    /// The caller was told this.
    Refused(Refusal),
}

impl Work {
    /// Takes note of the end of the request. Called once for each request.
    pub fn ended(&self, shared: &Shared, ended: Ended, delivery: Delivery) {
        let (outcome, reason, detail) = match ended {
            Ended::Answered => (Outcome::Answered, None, None),
            Ended::Refused(it) => (it.outcome, Some(it.reason), Some(it.message)),
        };
        counters::outcome(&self.caller.class.class.name, outcome);
        shared.attainment.record(&self.caller.class.class, outcome, delivery);
        if let Some(reason) = reason {
            counters::refusal(reason);
        }
        let event = self.event(EventKind::RequestEnded);
        shared.journal.record(Event { outcome: Some(outcome), reason, detail, ..event });
    }

    /// How an answer that ends now was delivered.
    pub fn delivery(&self, shared: &Shared, first_token_ms: Option<u64>, tokens: u64) -> Delivery {
        let whole_answer_ms = shared.clock.now_ms().saturating_sub(self.arrived_ms);
        Delivery { first_token_ms, whole_answer_ms, tokens }
    }

    /// An event of this request.
    pub fn event(&self, kind: EventKind) -> Event {
        Event {
            class: Some(self.caller.class.class.name.clone()),
            account: Some(self.caller.account.clone()),
            ..Event::of_request(kind, &self.call.request_id)
        }
    }

    /// The moment the caller stops waiting, by the monotonic clock, in milliseconds.
    pub fn deadline_at_ms(&self) -> u64 {
        self.arrived_ms.saturating_add(self.caller.deadline_ms)
    }

    /// Time left for the caller's wait.
    pub fn time_left(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.deadline_at_ms().saturating_sub(now_ms))
    }
}

impl Attempts {
    /// Number of the latest attempt, from 1.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Waits for leave to make the next attempt; earlier ones have delivered so many tokens.
    ///
    /// # Errors
    /// The refusal the caller is told, true of all attempts so far.
    pub async fn begin(
        &mut self,
        shared: &Shared,
        work: &Work,
        delivered_tokens: u64,
    ) -> Result<Permit, Refusal> {
        let ask = self.ask(work, delivered_tokens);
        let acquire = dispatcher::acquire(&shared.dispatcher, ask);
        let left = work.time_left(shared.clock.now_ms());
        let acquired = match tokio::time::timeout(left, acquire).await {
            Ok(acquired) => acquired,
            Err(_) => Err(Refusal::not_run(
                Reason::DeadlinePassed,
                "the deadline passed while the request waited for an endpoint",
            )),
        };
        match acquired {
            Ok(permit) => {
                self.number += 1;
                let endpoint = Some(permit.endpoint.name.clone());
                let attempt = Some(self.number);
                let event = work.event(EventKind::AttemptBegun);
                shared.journal.record(Event { endpoint, attempt, ..event });
                Ok(permit)
            }
            Err(refusal) => Err(self.truthful(refusal)),
        }
    }

    fn ask(&self, work: &Work, delivered_tokens: u64) -> Ask {
        Ask {
            attempt: self.number + 1,
            target: work.target.clone(),
            class: Arc::clone(&work.caller.class),
            account: work.caller.account.clone(),
            bytes: work.call.body.len(),
            arrived_ms: work.arrived_ms,
            deadline_at_ms: work.deadline_at_ms(),
            delivered_tokens: u32::try_from(delivered_tokens).unwrap_or(u32::MAX),
            limit_tokens: work.content.limit_tokens,
            is_stream: work.content.is_stream,
            prefix: work.content.prefix.clone(),
            fingerprints: work.content.fingerprints.clone(),
            excluded: self.failed.clone(),
        }
    }

    /// Takes note of a failed attempt and says what to do next.
    pub fn failed(
        &mut self,
        shared: &Shared,
        endpoint: &Name,
        failure: Failure,
        work: &Work,
    ) -> Next {
        self.record(shared, endpoint, failure, work);
        self.failed.push(endpoint.clone());
        self.last_reason = Some(failure.reason);
        self.may_have_run |= failure.ran == Ran::Maybe;
        let may_repeat = work.call.repeatable || !self.may_have_run;
        if may_repeat && self.number < shared.settings.limits.attempts {
            counters::retry(failure.reason);
            return Next::Retry;
        }
        let message = format!("endpoint `{endpoint}` gave no answer ({})", failure.reason);
        Next::GiveUp(self.truthful(Refusal::not_run(failure.reason, message)))
    }

    fn record(&self, shared: &Shared, endpoint: &Name, failure: Failure, work: &Work) {
        shared.journal.record(Event {
            endpoint: Some(endpoint.clone()),
            attempt: Some(self.number),
            reason: Some(failure.reason),
            ..work.event(EventKind::AttemptFailed)
        });
    }

    /// A refusal says "not run" only if no attempt may have run.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run {
            return refusal;
        }
        let reason = match refusal.reason {
            Reason::DeadlinePassed => Reason::EndpointTimeout,
            reason => self.last_reason.unwrap_or(reason),
        };
        Refusal { outcome: Outcome::Unknown, reason, ..refusal }
    }
}

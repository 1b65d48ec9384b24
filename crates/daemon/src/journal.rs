//! Decisions of consequence, kept for a while so that they can be explained.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};
use tanagergauge_core::{Name, Outcome, Reason};

use crate::clock::unix_ms;

/// Events kept at most; the oldest go first.
const MAX_EVENTS: usize = 16_384;

/// What kind of decision an event tells of.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A request was accepted for a class.
    RequestReceived,
    /// An attempt at an endpoint began.
    AttemptBegun,
    /// An attempt gave no answer.
    AttemptFailed,
    /// A request ended.
    RequestEnded,
    /// A sheet came into force.
    SheetInForce,
    /// A publication was rejected.
    SheetRejected,
    /// An endpoint takes no new work.
    EndpointLeaving,
    /// An endpoint is kept from new work because it is slow or fails.
    EndpointEjected,
    /// A kind of request is kept from endpoints because it crashes them.
    RequestQuarantined,
    /// A peer was seen first, or is gone.
    PeerChanged,
    /// The instance began a planned stop.
    StopBegun,
}

/// One decision and its cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, in milliseconds of Unix time.
    pub at_unix_ms: u64,
    /// What was decided.
    pub kind: EventKind,
    /// The request it concerns.
    #[serde(default)]
    pub request_id: Option<Name>,
    /// The request's class.
    #[serde(default)]
    pub class: Option<Name>,
    /// The request's client account.
    #[serde(default)]
    pub account: Option<Name>,
    /// The endpoint it concerns.
    #[serde(default)]
    pub endpoint: Option<Name>,
    /// Number of the attempt.
    #[serde(default)]
    pub attempt: Option<u32>,
    /// Why.
    #[serde(default)]
    pub reason: Option<Reason>,
    /// What the caller was told.
    #[serde(default)]
    pub outcome: Option<Outcome>,
    /// More, for people.
    #[serde(default)]
    pub detail: Option<String>,
}

impl Event {
    /// An event of a kind, now.
    pub fn new(kind: EventKind) -> Event {
        Event {
            at_unix_ms: unix_ms(),
            kind,
            request_id: None,
            class: None,
            account: None,
            endpoint: None,
            attempt: None,
            reason: None,
            outcome: None,
            detail: None,
        }
    }

    /// An event of a request.
    pub fn of_request(kind: EventKind, request_id: &Name) -> Event {
        Event { request_id: Some(request_id.clone()), ..Event::new(kind) }
    }
}

/// The latest events of an instance.
#[derive(Debug, Default)]
pub struct Journal {
    events: Mutex<VecDeque<Event>>,
}

impl Journal {
    /// Keeps an event and logs it.
    pub fn record(&self, event: Event) {
        log(&event);
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() == MAX_EVENTS {
            events.pop_front();
        }
        events.push_back(event);
    }

    /// The events of one request, oldest first.
    pub fn of_request(&self, request_id: &str) -> Vec<Event> {
        let is_of = |it: &&Event| it.request_id.as_deref() == Some(request_id);
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.iter().filter(is_of).cloned().collect()
    }

    /// The latest events, oldest first.
    pub fn latest(&self, count: usize) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let skipped = events.len().saturating_sub(count);
        events.iter().skip(skipped).cloned().collect()
    }
}

fn log(event: &Event) {
    let kind: &'static str = event.kind.into();
    let reason: Option<&'static str> = event.reason.map(Into::into);
    let outcome: Option<&'static str> = event.outcome.map(Into::into);
    let is_routine = matches!(
        event.kind,
        EventKind::RequestReceived | EventKind::AttemptBegun | EventKind::RequestEnded
    ) && event.reason.is_none();
    macro_rules! line {
        ($level:expr) => {
            tracing::event!(
                $level,
                request_id = event.request_id.as_deref(),
                class = event.class.as_deref(),
                account = event.account.as_deref(),
                endpoint = event.endpoint.as_deref(),
                attempt = event.attempt,
                reason,
                outcome,
                detail = event.detail.as_deref(),
                "{kind}"
            )
        };
    }
    if is_routine {
        line!(tracing::Level::DEBUG);
    } else {
        line!(tracing::Level::INFO);
    }
}

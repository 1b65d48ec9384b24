//! Leave to make one attempt at an endpoint, and how the attempt ended.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};
use ractor::ActorRef;
use tanagergauge_core::{Reason, job::AttemptEnd, sheet::Endpoint};
use tokio::{sync::oneshot, time::timeout};

use crate::{attempt::Failure, dispatcher::Message, pool::Pool};

/// Time between two notes of a stream's progress.
const NOTE_INTERVAL: Duration = Duration::from_millis(200);

/// What an endpoint that broke off is asked; any answer shows that it lives.
const PROBE_PATH: &str = "/load";

/// Longest wait for an endpoint that broke off to answer anything.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A shorter attempt that ran out of time says nothing against its endpoint.
const TOO_SLOW: Duration = Duration::from_millis(1000);

/// Longest time that a caller is kept waiting so that peers hear of a lost endpoint.
const TELL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Leave to use one slot of an endpoint. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    id: u64,
    dispatcher: ActorRef<Message>,
    /// Tokens that came in this attempt.
    tokens: u32,
    noted: Option<Instant>,
    begun: Instant,
    end: AttemptEnd,
}

impl Permit {
    /// Leave for the job of that number.
    pub fn new(endpoint: Arc<Endpoint>, id: u64, dispatcher: ActorRef<Message>) -> Permit {
        let begun = Instant::now();
        Permit {
            endpoint,
            id,
            dispatcher,
            tokens: 0,
            noted: None,
            begun,
            end: AttemptEnd::Released,
        }
    }

    /// A token of the answer came.
    pub fn token(&mut self) {
        self.tokens += 1;
        let now = Instant::now();
        if self.noted.is_some_and(|it| now - it < NOTE_INTERVAL) {
            return;
        }
        self.noted = Some(now);
        self.tell(Message::Progress(self.id, self.tokens));
    }

    /// The answer is whole, with that many tokens if they were not counted as they came.
    pub fn answered(mut self, tokens: Option<u32>) {
        self.tokens = tokens.unwrap_or(self.tokens);
        self.end = AttemptEnd::Answered;
    }

    /// The attempt failed. Waits until its request may be told or tried again.
    pub async fn failed(mut self, failure: Failure) {
        self.end = match failure.reason {
            Reason::ConnectFailed => AttemptEnd::NotAccepted,
            Reason::EndpointTimeout if self.begun.elapsed() >= TOO_SLOW => AttemptEnd::TooSlow,
            Reason::BadAnswer | Reason::WrongAnswer => AttemptEnd::Interrupted,
            Reason::EndpointBroke if self.is_lost().await => AttemptEnd::EndpointLost,
            Reason::EndpointBroke => AttemptEnd::Interrupted,
            _ => AttemptEnd::Released,
        };
        if self.end != AttemptEnd::EndpointLost {
            return;
        }
        let (reply, may_tell) = oneshot::channel();
        self.tell(Message::Lost(self.id, self.tokens, reply));
        // The wait protects the fleet; a caller is not kept longer than that is worth.
        let _ = timeout(TELL_TIMEOUT, may_tell).await;
    }

    /// Whether the endpoint, or what stands before it, answers nothing any more.
    async fn is_lost(&self) -> bool {
        let address = self.endpoint.address;
        let probe = async {
            let mut connection = Pool::connect(address, PROBE_TIMEOUT).await.ok()?;
            let request = Request::get(PROBE_PATH).header(HOST, address.to_string());
            let request = request.body(Full::new(Bytes::new())).ok()?;
            connection.send_request(request).await.ok()
        };
        !matches!(timeout(PROBE_TIMEOUT, probe).await, Ok(Some(_)))
    }

    fn tell(&self, message: Message) {
        // The actor is gone only when the process stops.
        let _ = self.dispatcher.send_message(message);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.end != AttemptEnd::EndpointLost {
            self.tell(Message::Ended(self.id, self.end, self.tokens));
        }
    }
}

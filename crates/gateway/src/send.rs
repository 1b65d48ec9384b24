//! One sending of a request to one endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    header::{CONTENT_LENGTH, HeaderValue},
    http::response,
};
use tanagergauge_core::{
    Name, balancer::SelectedEndpoint, endpoint::ServerLoad, send_history::Failure,
};
use tokio::time::{Instant, timeout_at};

use crate::{answer, clock, connection::Connection, gateway::Gateway, request::Request, suspects};

/// Largest answer that is read whole, in bytes.
const WHOLE_LIMIT_BYTES: usize = 8 << 20;
/// Time to the first byte of an engine that has nothing else to do, in milliseconds.
pub(crate) const ENGINE_BASE_MS: f64 = 75.0;
/// Longest wait for the rest of a refusal, after which its connection is closed.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// A request at an endpoint. Dropping it closes the connection, by which the endpoint
/// learns that nobody waits.
pub(crate) struct Lease {
    gateway: Arc<Gateway>,
    pub(crate) chosen: SelectedEndpoint,
    service: Name,
    /// Present if the request passed its service's gate.
    passage: Option<Passage>,
    connection: Option<Connection>,
    sent: Instant,
    /// The first byte of the answer came.
    began: bool,
    /// How long the endpoint keeps the connection, if it said so.
    announced: Option<Duration>,
    /// The endpoint closes the connection after its answer.
    closes: bool,
}

/// A request that passed its service's gate and waits for its first byte.
#[derive(Clone, Copy, Debug)]
struct Passage {
    rank: u8,
    goal_ms: f64,
    /// Time to the first byte as it was expected.
    expected_ms: f64,
}

/// An answer whose head can be delivered.
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
}

impl Lease {
    fn new(gateway: Arc<Gateway>, chosen: SelectedEndpoint, request: &Request) -> Lease {
        gateway.balancer().record_sent(&chosen, &request.parts, clock::now_ms());
        let (sent, service) = (Instant::now(), request.service.clone());
        let passage = (!request.parts.is_empty()).then(|| Passage {
            rank: request.rank,
            goal_ms: request.route.goal_ms as f64,
            expected_ms: chosen.expected_ms + ENGINE_BASE_MS,
        });
        Lease {
            gateway,
            chosen,
            service,
            passage,
            connection: None,
            sent,
            began: false,
            announced: None,
            closes: false,
        }
    }

    /// The first byte of the answer came.
    pub(crate) fn begin(&mut self, load: Option<ServerLoad>) {
        if self.began {
            return;
        }
        self.began = true;
        let base_ms = if self.passage.is_some() { ENGINE_BASE_MS } else { 0.0 };
        let took_ms = self.sent.elapsed().as_secs_f64() * 1000.0;
        let now_ms = clock::now_ms();
        if let Some(it) = self.passage {
            let mut gates = self.gateway.gates();
            let gate = gates.of(&self.service);
            gate.record_first_byte(it.rank, it.goal_ms, it.expected_ms, took_ms, now_ms);
        }
        self.gateway.balancer().record_first_byte(&self.chosen, took_ms, base_ms, load, now_ms);
    }

    /// The answer was read to its clean end.
    pub(crate) fn finish(mut self) {
        if let Some(health) = self.gateway.balancer().health_mut(&self.chosen.id) {
            health.record_success(clock::now_ms());
        }
        self.keep();
    }

    /// The answer was read to its end, but says that the endpoint failed.
    pub(crate) fn keep_connection(mut self) {
        self.keep();
    }

    fn keep(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if !self.closes {
            self.gateway.pool.put(&self.chosen.id, connection, self.announced);
        }
    }

    fn read_head(&mut self, head: &response::Parts) {
        self.closes = answer::closes(&head.headers);
        self.announced = answer::keeps_for(&head.headers);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut balancer = self.gateway.balancer();
        if !self.began {
            balancer.record_no_first_byte(&self.chosen);
        }
        balancer.record_ended(&self.chosen, &self.service, clock::now_ms());
    }
}

/// Sends a request and waits for the head of its answer until `until`.
///
/// # Errors
/// How it failed; the endpoint's health is noted.
pub(crate) async fn send(
    gateway: &Arc<Gateway>,
    request: &Request,
    chosen: SelectedEndpoint,
    last_event_id: Option<&Bytes>,
    until: Instant,
) -> Result<Answer, Failure> {
    let mut lease = Lease::new(Arc::clone(gateway), chosen, request);
    let result = attempt(gateway, request, &mut lease, last_event_id, until).await;
    match result {
        Ok((head, body)) => Ok(Answer { head, body, lease }),
        Err(failure) => {
            note(gateway, request, &lease.chosen, failure);
            Err(failure)
        }
    }
}

/// Notes what a failure shows of an endpoint and of the request.
pub(crate) fn note(
    gateway: &Gateway,
    request: &Request,
    chosen: &SelectedEndpoint,
    failure: Failure,
) {
    suspects::failed(gateway, request, &chosen.id, failure);
    let now_ms = clock::now_ms();
    let mut balancer = gateway.balancer();
    if failure == Failure::Replaced {
        balancer.set_leaving(&chosen.id);
    }
    let Some(health) = balancer.health_mut(&chosen.id) else { return };
    match failure {
        Failure::Unreachable => health.record_connect_failure(now_ms),
        Failure::Refused
        | Failure::Broke
        | Failure::Silent
        | Failure::BadAnswer
        | Failure::Failed => {
            health.record_failure(now_ms);
        }
        Failure::Replaced => {}
    }
}

async fn attempt(
    gateway: &Arc<Gateway>,
    request: &Request,
    lease: &mut Lease,
    last_event_id: Option<&Bytes>,
    until: Instant,
) -> Result<(response::Parts, Incoming), Failure> {
    let once = !request.route.retry_safety.allows_resend();
    let kept = gateway.pool.take(&lease.chosen.id, lease.chosen.address, once);
    let (mut connection, mut reused) = match kept {
        Some(connection) => (connection, true),
        None => (open(gateway, lease).await?, false),
    };
    let mut message = message(gateway, request, &lease.chosen, last_event_id);
    let answered = loop {
        let sending = timeout_at(until, connection.sender.try_send_request(message)).await;
        match sending {
            Err(_) => return Err(Failure::Silent),
            Ok(Ok(answered)) => break answered,
            Ok(Err(mut error)) => match error.take_message() {
                // Nothing of it was written: the kept connection had been closed.
                Some(unsent) if reused => {
                    message = unsent;
                    connection = open(gateway, lease).await?;
                    reused = false;
                }
                Some(_) => return Err(Failure::Unreachable),
                None => return Err(Failure::Broke),
            },
        }
    };
    lease.connection = Some(connection);
    let (head, body) = answered.into_parts();
    lease.read_head(&head);
    match answer::check(&head, request, &gateway.names) {
        Ok(()) => Ok((head, body)),
        Err(failure) => {
            if failure == Failure::Refused
                && read_whole(body, Instant::now() + REFUSAL_TIMEOUT).await.is_ok()
            {
                lease.keep();
            }
            Err(failure)
        }
    }
}

async fn open(gateway: &Gateway, lease: &Lease) -> Result<Connection, Failure> {
    gateway.pool.connect(lease.chosen.address).await.map_err(|_| Failure::Unreachable)
}

/// Reads a body to its end.
///
/// # Errors
/// It broke off, was too long, or did not end until `until`.
pub(crate) async fn read_whole(body: Incoming, until: Instant) -> Result<Bytes, Failure> {
    let reading = Limited::new(body, WHOLE_LIMIT_BYTES).collect();
    match timeout_at(until, reading).await {
        Err(_) => Err(Failure::Silent),
        Ok(Err(_)) => Err(Failure::Broke),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
    }
}

/// The request as it goes to an endpoint.
fn message(
    gateway: &Gateway,
    request: &Request,
    chosen: &SelectedEndpoint,
    last_event_id: Option<&Bytes>,
) -> hyper::Request<Full<Bytes>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let names = &gateway.names;
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    let left_ms = clock::as_ms(request.left()).max(1);
    headers.insert(&names.time_left_ms, HeaderValue::from(left_ms));
    if let Ok(value) = HeaderValue::from_str(&chosen.id) {
        headers.insert(&names.expected_endpoint, value);
    }
    if let Some(account) = &request.account
        && let Ok(value) = HeaderValue::from_str(&account.name)
    {
        headers.insert(&names.client_account, value);
    }
    if !request.parts.is_empty() {
        headers.insert(&names.priority, HeaderValue::from(u16::from(request.rank)));
    }
    if let Some(Ok(value)) = last_event_id.map(|it| HeaderValue::from_bytes(it)) {
        headers.insert(&names.last_event_id, value);
    }
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    message
}

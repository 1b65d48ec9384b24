//! A plain service that records every run of every request.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderName, HeaderValue},
};
use serde::Serialize;
use tokio::{sync::watch, time::Instant};

use crate::{
    body::AnswerBody,
    engine::Leaving,
    load::Load,
    platform::unix_ms,
    server::{Dropped, Reply, Server, error, header, json, not_run, pause_ms},
};

/// What goes wrong at a service.
#[derive(Clone, Debug, Default)]
pub struct ServiceFaults {
    /// Time between the run and its answer, in milliseconds.
    pub delay_ms: u64,
    /// Runs are kept without an answer until this is switched off.
    pub hold: bool,
    /// The connection is closed after the run, without an answer.
    pub drops_after_run: bool,
    /// Requests are refused with status 429 before running.
    pub refuses: bool,
    /// It gives no load reports.
    pub no_load_reports: bool,
    /// Answers are those of another request, with its ids.
    pub crossed: bool,
    /// Whether it is about to leave.
    pub leaving: Leaving,
}

/// One run of one request. Refused requests leave none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// `X-Request-Id`, empty if absent.
    pub request_id: String,
    /// `X-Attempt`, 0 if absent.
    pub attempt: u32,
    /// `X-Client-Account`.
    pub client_account: Option<String>,
    /// `X-Service-Class`.
    pub service_class: Option<String>,
    /// Method and path with the query.
    pub call: String,
    /// BLAKE3 of the body, in hexadecimal.
    pub body_blake3: String,
    /// When it ran.
    pub arrived: Instant,
}

/// A service's answer to a run.
#[derive(Debug, Serialize)]
struct Receipt<'a> {
    request_id: &'a str,
    idempotency_key: Option<&'a str>,
    call: &'a str,
    body_blake3: &'a str,
    run: usize,
}

/// A plain service on a port of its own.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    faults: watch::Sender<ServiceFaults>,
    runs: Mutex<Vec<ServiceRun>>,
}

impl Service {
    /// Starts a service on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start() -> io::Result<Service> {
        let shared = Arc::new(Shared { faults: watch::Sender::default(), runs: Mutex::default() });
        let handler = Arc::clone(&shared);
        let server = Server::start(move |request| handle(Arc::clone(&handler), request)).await?;
        Ok(Service { server, shared })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong, from the next request on.
    pub fn switch(&self, change: impl FnOnce(&mut ServiceFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Every run since the start, in order of arrival.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared.runs().clone()
    }

    /// Closes every connection and refuses new ones.
    pub async fn crash(&self) {
        self.server.control().refuse().await;
    }

    /// Closes every connection and goes on taking new ones.
    pub async fn sever(&self) {
        self.server.control().sever().await;
    }

    /// Takes connections again.
    pub async fn revive(&self) {
        self.server.control().accept().await;
    }
}

impl Shared {
    fn runs(&self) -> MutexGuard<'_, Vec<ServiceRun>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn handle(shared: Arc<Shared>, request: Request<Bytes>) -> Reply {
    let faults = shared.faults.borrow().clone();
    if request.uri().path() == "/load" {
        if faults.no_load_reports {
            return Ok(error(StatusCode::NOT_FOUND, "no such path"));
        }
        return Ok(json(StatusCode::OK, &load(&faults)));
    }
    if faults.leaving == Leaving::Refuses {
        let refusal = not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        return Ok(marked(refusal, &request, &faults));
    }
    if faults.refuses {
        let refusal = not_run(StatusCode::TOO_MANY_REQUESTS, "no capacity");
        return Ok(marked(refusal, &request, &faults));
    }
    let run = run_of(&request);
    let number = record(&shared, run.clone());
    pause_ms(faults.delay_ms).await;
    let mut held = shared.faults.subscribe();
    held.wait_for(|it| !it.hold).await.map_err(|_| Dropped)?;
    if faults.drops_after_run {
        return Err(Dropped);
    }
    Ok(marked(json(StatusCode::OK, &receipt(&run, number)), &request, &faults))
}

fn load(faults: &ServiceFaults) -> Load {
    Load {
        running: 0,
        waiting: 0,
        slots: 1,
        tokens_per_s: 0.0,
        leaving: faults.leaving != Leaving::No,
        as_of_unix_ms: unix_ms(),
    }
}

fn record(shared: &Shared, run: ServiceRun) -> usize {
    let mut runs = shared.runs();
    runs.push(run);
    runs.len()
}

fn run_of(request: &Request<Bytes>) -> ServiceRun {
    let call = request.uri().path_and_query().map_or("", |it| it.as_str());
    ServiceRun {
        idempotency_key: header(request, "idempotency-key"),
        request_id: header(request, "x-request-id").unwrap_or_default(),
        attempt: header(request, "x-attempt").and_then(|it| it.parse().ok()).unwrap_or(0),
        client_account: header(request, "x-client-account"),
        service_class: header(request, "x-service-class"),
        call: format!("{} {call}", request.method()),
        body_blake3: blake3::hash(request.body()).to_string(),
        arrived: Instant::now(),
    }
}

fn receipt(run: &ServiceRun, number: usize) -> Receipt<'_> {
    Receipt {
        request_id: &run.request_id,
        idempotency_key: run.idempotency_key.as_deref(),
        call: &run.call,
        body_blake3: &run.body_blake3,
        run: number,
    }
}

fn marked(
    mut response: Response<AnswerBody>,
    request: &Request<Bytes>,
    faults: &ServiceFaults,
) -> Response<AnswerBody> {
    let headers = response.headers_mut();
    for name in ["x-request-id", "x-attempt"] {
        if let Some(value) = request.headers().get(name) {
            let another = HeaderValue::from_static("another");
            let value = if faults.crossed { another } else { value.clone() };
            headers.insert(HeaderName::from_static(name), value);
        }
    }
    if faults.leaving != Leaving::No {
        headers.insert(HeaderName::from_static("x-leaving"), HeaderValue::from_static("true"));
    }
    response
}

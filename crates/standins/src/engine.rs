//! A model engine with continuous batching.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use serde::Serialize;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::Instant,
};

use crate::{
    answer::{ChatRequest, Format, Usage, token_text},
    batch::{self, Batch, Run},
    body::{AnswerBody, Piece},
    gate::GateControl,
    platform::unix_ms,
    prefix::TOKEN_BYTES,
    server::{Dropped, Reply, Server, error, header, json, not_run},
};

/// Period of the load samples, in milliseconds.
const SAMPLE_MS: u64 = 50;

/// Window over which the pace in a load report is taken, in milliseconds.
const PACE_WINDOW_MS: u64 = 1_000;

/// Size and pace of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Models it serves; empty for any.
    pub models: Vec<String>,
    /// Runs computed together.
    pub slots: usize,
    /// Runs that may wait for a slot; more are refused before running.
    pub max_waiting: usize,
    /// Pace of prompt tokens.
    pub prefill_tokens_per_s: f64,
    /// Pace of generated tokens of a run that is alone.
    pub decode_tokens_per_s: f64,
    /// What each further run of the batch adds to a step, in percent.
    pub batch_slowdown_percent: f64,
    /// Blocks of 16 tokens that the prefix cache holds.
    pub prefix_cache_blocks: usize,
    /// Age of what load reports say, in milliseconds.
    pub load_lag_ms: u64,
    /// Length of an answer where the request does not say, in tokens.
    pub output_tokens: u32,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            models: Vec::new(),
            slots: 16,
            max_waiting: 256,
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 500.0,
            batch_slowdown_percent: 2.0,
            prefix_cache_blocks: 4_096,
            load_lag_ms: 0,
            output_tokens: 24,
        }
    }
}

/// Whether an engine or service is about to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    #[default]
    No,
    /// It says so on every answer, and still runs what it gets.
    Announces,
    /// It says so, and refuses new work before running it.
    Refuses,
}

/// What goes wrong at an engine.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// Times longer that every step takes.
    pub slow_factor: f64,
    /// No step is computed, though connections are taken.
    pub hang: bool,
    /// Each run breaks off once it has generated this many tokens.
    pub die_after_tokens: Option<u32>,
    /// Runs go on after their caller left.
    pub ignores_cancel: bool,
    /// Answers cannot be parsed.
    pub nonsense: bool,
    /// Answers are those of another request, with its ids.
    pub crossed: bool,
    /// Every request is refused with status 429 before running.
    pub refuses: bool,
    /// A request whose body holds this text takes the whole engine down.
    pub crash_marker: Option<String>,
    /// Whether it is about to leave.
    pub leaving: Leaving,
}

impl Default for EngineFaults {
    fn default() -> EngineFaults {
        EngineFaults {
            slow_factor: 1.0,
            hang: false,
            die_after_tokens: None,
            ignores_cancel: false,
            nonsense: false,
            crossed: false,
            refuses: false,
            crash_marker: None,
            leaving: Leaving::No,
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It has not.
    Running,
    /// All its tokens were generated.
    Finished,
    /// Its caller left.
    Cancelled,
    /// The engine broke off.
    Died,
}

/// What an engine remembers of a run. Refused requests leave none.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// `X-Request-Id`, empty if absent.
    pub request_id: String,
    /// `X-Attempt`, 0 if absent.
    pub attempt: u32,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// `X-Client-Account`.
    pub client_account: Option<String>,
    /// `X-Service-Class`.
    pub service_class: Option<String>,
    /// `X-Priority`.
    pub priority: Option<u32>,
    /// Hash of the messages.
    pub hash: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt found in the prefix cache.
    pub cached_tokens: u32,
    /// Number of the first token it was to generate.
    pub resumed_from_token: u32,
    /// Tokens it generated.
    pub generated_tokens: u32,
    /// Those of them generated after its caller had left.
    pub generated_after_cancel_tokens: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// A load report.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Load {
    /// Runs with a slot.
    pub running: usize,
    /// Runs without.
    pub waiting: usize,
    /// Slots.
    pub slots: usize,
    /// Tokens generated in the last second.
    pub tokens_per_s: f64,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// The moment it speaks of.
    pub as_of_unix_ms: u64,
}

/// A model engine on a port of its own.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

/// What the connections, the batch and the handle of an engine share.
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: watch::Sender<EngineFaults>,
    pub(crate) work: Notify,
    batch: Mutex<Batch>,
    samples: Mutex<VecDeque<Sample>>,
    gate: Mutex<Option<GateControl>>,
}

struct Sample {
    at: Instant,
    generated_tokens: u64,
    load: Load,
}

impl Engine {
    /// Starts an engine on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(settings: EngineSettings) -> io::Result<Engine> {
        let shared = Arc::new(Shared::new(settings));
        let handler = Arc::clone(&shared);
        let server = Server::start(move |request| handle(Arc::clone(&handler), request)).await?;
        *lock(&shared.gate) = Some(server.control().clone());
        let tasks = [
            tokio::spawn(batch::compute(Arc::clone(&shared))),
            tokio::spawn(sample(Arc::clone(&shared))),
        ];
        Ok(Engine { server, shared, tasks })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong, from the next step on.
    pub fn switch(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Every run since the start, in order of arrival.
    pub fn records(&self) -> Vec<RunRecord> {
        self.shared.batch().records.clone()
    }

    /// The load at this moment.
    pub fn load(&self) -> Load {
        self.shared.load_now()
    }

    /// Breaks off every run, closes every connection and refuses new ones.
    pub async fn crash(&self) {
        crash(&self.shared, self.server.control()).await;
    }

    /// Closes every connection, which cancels its runs, and goes on.
    pub async fn sever(&self) {
        self.server.control().sever().await;
    }

    /// Takes connections again after [`Engine::crash`], with an empty cache.
    pub async fn revive(&self) {
        self.server.control().accept().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    fn new(settings: EngineSettings) -> Shared {
        Shared {
            batch: Mutex::new(Batch::new(settings.prefix_cache_blocks)),
            settings,
            faults: watch::Sender::default(),
            work: Notify::new(),
            samples: Mutex::default(),
            gate: Mutex::default(),
        }
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }

    fn load_now(&self) -> Load {
        let (running, waiting, generated_tokens) = {
            let batch = self.batch();
            (batch.running.len(), batch.waiting.len(), batch.generated_tokens)
        };
        let now = Instant::now();
        let samples = lock(&self.samples);
        let window = Duration::from_millis(PACE_WINDOW_MS);
        let start = samples.iter().find(|it| now - it.at <= window);
        let tokens_per_s = start.map_or(0.0, |it| pace(it, generated_tokens, now));
        let leaving = self.faults.borrow().leaving != Leaving::No;
        let slots = self.settings.slots;
        Load { running, waiting, slots, tokens_per_s, leaving, as_of_unix_ms: unix_ms() }
    }

    /// The load as a report tells it, late by the lag.
    fn load_reported(&self) -> Load {
        if self.settings.load_lag_ms == 0 {
            return self.load_now();
        }
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        let now = Instant::now();
        let samples = lock(&self.samples);
        let late = samples.iter().rev().find(|it| now - it.at >= lag).or(samples.front());
        late.map(|it| it.load).unwrap_or(Load {
            running: 0,
            waiting: 0,
            slots: self.settings.slots,
            tokens_per_s: 0.0,
            leaving: false,
            as_of_unix_ms: unix_ms().saturating_sub(self.settings.load_lag_ms),
        })
    }
}

fn pace(start: &Sample, generated_tokens: u64, now: Instant) -> f64 {
    let seconds = (now - start.at).as_secs_f64().max(0.001);
    (generated_tokens - start.generated_tokens) as f64 / seconds
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn sample(shared: Arc<Shared>) {
    let keep = Duration::from_millis(PACE_WINDOW_MS + 2 * shared.settings.load_lag_ms);
    loop {
        let load = shared.load_now();
        let generated_tokens = shared.batch().generated_tokens;
        let at = Instant::now();
        {
            let mut samples = lock(&shared.samples);
            samples.push_back(Sample { at, generated_tokens, load });
            while samples.front().is_some_and(|it| at - it.at > keep) {
                samples.pop_front();
            }
        }
        tokio::time::sleep(Duration::from_millis(SAMPLE_MS)).await;
    }
}

async fn crash(shared: &Shared, gate: &GateControl) {
    shared.batch().crash();
    gate.refuse().await;
    shared.batch().crash();
}

async fn handle(shared: Arc<Shared>, request: Request<Bytes>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") => Ok(json(StatusCode::OK, &shared.load_reported())),
        (&Method::POST, "/v1/chat/completions") => chat(shared, request).await,
        _ => Ok(error(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn chat(shared: Arc<Shared>, request: Request<Bytes>) -> Reply {
    let faults = shared.faults.borrow().clone();
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(request.body()) else {
        return Ok(not_run(StatusCode::BAD_REQUEST, "the body is no chat request"));
    };
    if let Some(refusal) = refusal(&shared, &faults, &chat) {
        return Ok(marked(refusal, &request, &faults));
    }
    let (run, mut format, pieces) = admit(&shared, &request, &chat);
    if crashes(&faults, &request) {
        take_down(&shared, run.record);
        std::future::pending::<()>().await;
    }
    shared.batch().waiting.push(run);
    shared.work.notify_one();
    format.nonsense = faults.nonsense;
    let reply =
        if chat.stream { stream(format, pieces).await } else { whole(format, pieces).await };
    reply.map(|it| marked(it, &request, &faults))
}

fn refusal(
    shared: &Shared,
    faults: &EngineFaults,
    chat: &ChatRequest,
) -> Option<Response<AnswerBody>> {
    if faults.leaving == Leaving::Refuses {
        return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, "leaving"));
    }
    if faults.refuses || shared.batch().waiting.len() >= shared.settings.max_waiting {
        return Some(not_run(StatusCode::TOO_MANY_REQUESTS, "no capacity"));
    }
    let models = &shared.settings.models;
    if !models.is_empty() && !models.contains(&chat.model) {
        return Some(not_run(StatusCode::NOT_FOUND, "no such model"));
    }
    None
}

/// Records a run and prepares it.
fn admit(
    shared: &Shared,
    request: &Request<Bytes>,
    chat: &ChatRequest,
) -> (Run, Format, mpsc::UnboundedReceiver<Piece>) {
    let resume = chat.resume.clone().unwrap_or_default();
    let prompt = format!("{}{}", chat.messages, resume.text);
    let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES) as u32;
    let end_token = chat.output_tokens(shared.settings.output_tokens);
    let mut batch = shared.batch();
    let cached_tokens = batch.cache.insert(prompt.as_bytes()).min(prompt_tokens);
    let mut record = record_of(request, chat);
    record.prompt_tokens = prompt_tokens;
    record.cached_tokens = cached_tokens;
    record.resumed_from_token = resume.delivered_tokens;
    let (output, pieces) = mpsc::unbounded_channel();
    let run = Run {
        record: batch.records.len(),
        priority: record.priority.unwrap_or(u32::MAX),
        prefill_tokens: prompt_tokens - cached_tokens,
        next_token: resume.delivered_tokens,
        end_token,
        output,
    };
    let format = Format {
        id: format!("chatcmpl-{}-{}", record.request_id, record.attempt),
        model: chat.model.escape_default().to_string(),
        hash: record.hash,
        usage: Usage { prompt_tokens, cached_tokens, completion_tokens: end_token },
        nonsense: false,
    };
    batch.records.push(record);
    (run, crossed_format(shared, format), pieces)
}

/// Exchanges the answer for that of another request, if that fault is on.
fn crossed_format(shared: &Shared, mut format: Format) -> Format {
    if shared.faults.borrow().crossed {
        format.id = "chatcmpl-crossed-1".to_owned();
        format.hash = !format.hash;
    }
    format
}

fn record_of(request: &Request<Bytes>, chat: &ChatRequest) -> RunRecord {
    let number = |name| header(request, name).and_then(|it| it.parse().ok());
    RunRecord {
        request_id: header(request, "x-request-id").unwrap_or_default(),
        attempt: number("x-attempt").unwrap_or(0),
        idempotency_key: header(request, "idempotency-key"),
        client_account: header(request, "x-client-account"),
        service_class: header(request, "x-service-class"),
        priority: number("x-priority"),
        hash: chat.hash(),
        arrived: Instant::now(),
        prompt_tokens: 0,
        cached_tokens: 0,
        resumed_from_token: 0,
        generated_tokens: 0,
        generated_after_cancel_tokens: 0,
        end: RunEnd::Running,
    }
}

fn crashes(faults: &EngineFaults, request: &Request<Bytes>) -> bool {
    let Some(marker) = faults.crash_marker.as_deref().filter(|it| !it.is_empty()) else {
        return false;
    };
    request.body().windows(marker.len()).any(|it| it == marker.as_bytes())
}

/// Takes the engine down from one of its own connections.
fn take_down(shared: &Arc<Shared>, record: usize) {
    let shared = Arc::clone(shared);
    shared.batch().records[record].end = RunEnd::Died;
    let gate = lock(&shared.gate).clone();
    tokio::spawn(async move {
        if let Some(gate) = gate {
            crash(&shared, &gate).await;
        }
    });
}

async fn stream(format: Format, mut pieces: mpsc::UnboundedReceiver<Piece>) -> Reply {
    // The head of the answer leaves with the first token, as in real engines.
    let first = pieces.recv().await.ok_or(Dropped)?;
    let mut response = Response::new(AnswerBody::stream(first, pieces, format));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    Ok(response)
}

async fn whole(format: Format, mut pieces: mpsc::UnboundedReceiver<Piece>) -> Reply {
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        let Piece::Token(token) = piece else {
            return Ok(finished(&format, &text));
        };
        text.push_str(&token_text(format.hash, token));
    }
    Err(Dropped)
}

fn finished(format: &Format, text: &str) -> Response<AnswerBody> {
    if format.nonsense {
        let mut response = Response::new(AnswerBody::whole("{\"choices\": nonsense"));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        return response;
    }
    json(StatusCode::OK, &format.whole(text))
}

/// Adds the echo and the note of leaving.
fn marked(
    mut response: Response<AnswerBody>,
    request: &Request<Bytes>,
    faults: &EngineFaults,
) -> Response<AnswerBody> {
    for name in ["x-request-id", "x-attempt"] {
        if let Some(value) = request.headers().get(name) {
            let value =
                if faults.crossed { HeaderValue::from_static("another") } else { value.clone() };
            response.headers_mut().insert(HeaderName::from_static(name), value);
        }
    }
    if faults.leaving != Leaving::No {
        response
            .headers_mut()
            .insert(HeaderName::from_static("x-leaving"), HeaderValue::from_static("true"));
    }
    response
}

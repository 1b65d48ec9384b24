//! The door for callers: connections, routes, and reading requests whole.

use std::{borrow::Cow, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde::{Deserialize, Serialize, de::IgnoredAny};
use serde_json::value::RawValue;
use tanagergauge_core::{
    Name, Outcome, Reason, prefix_index::PrefixHashes, quarantine::Fingerprint,
    request_fingerprints::RequestFingerprints, sheet::TargetKind,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};

use crate::{
    attempt::Call,
    body::AnswerBody,
    caller::{self, Caller},
    clock::unix_ms,
    collect::{CollectError, collect},
    counters,
    ending::Ending,
    exchange, fingerprint, headers,
    journal::EventKind,
    once,
    refusal::Refusal,
    shared::{Phase, Shared},
    stream, tickets,
    view::{RankedClass, Target, View},
    work::{Content, Ended, Work},
};

/// Largest number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Pause after the system refused a connection, as when no descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// When to come again while too many streams are open, in milliseconds.
const STREAMS_RETRY_MS: u64 = 1000;
/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Path that gives tickets.
const TICKETS_PATH: &str = "/v1/tickets";
/// Prefix of the paths of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// What a chat completion's body must say; the rest is the endpoint's matter.
#[derive(Deserialize)]
struct ChatHead<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    /// Bounds on the answer's length. Whether they are numbers is the endpoint's matter.
    #[serde(borrow, default)]
    max_tokens: Option<&'a RawValue>,
    #[serde(borrow, default)]
    max_completion_tokens: Option<&'a RawValue>,
    /// The prompt as it stands.
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
    /// Our own field between instances and endpoints.
    #[serde(default)]
    resume: Option<IgnoredAny>,
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a Name,
    object: &'static str,
    owned_by: &'a Name,
}

/// Accepts callers until the instance drains, then waits for open connections to finish.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>) {
    let connections = Arc::new(Semaphore::new(shared.settings.limits.connections));
    let graceful = GracefulShutdown::new();
    let mut phase = shared.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|it| *it >= Phase::Draining) => break,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&connections).try_acquire_owned() else {
            counters::refusal(Reason::TooManyStreams);
            continue;
        };
        let connection = connection(socket, &shared, &graceful);
        tokio::spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// One connection of a caller, to its end.
fn connection(
    socket: TcpStream,
    shared: &Arc<Shared>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + Send + use<> {
    // A socket without this option only answers later.
    let _ = socket.set_nodelay(true);
    let limits = shared.settings.limits;
    let shared = Arc::clone(shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, std::convert::Infallible>(answer(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(socket), service);
    let connection = graceful.watch(connection);
    async move {
        // The library has answered what is no HTTP; a caller that breaks off has nobody
        // left to tell.
        if connection.await.is_err_and(|it| it.is_parse()) {
            counters::refusal(Reason::Malformed);
        }
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let _in_progress = shared.progress.begin();
    let request_id = caller::request_id(request.headers());
    match route(shared, request, &request_id).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&request_id),
    }
}

async fn route(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    request_id: &Name,
) -> Result<Response<AnswerBody>, Refusal> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(text(StatusCode::OK, "alive\n")),
        (&Method::GET, "/readyz") => Ok(readiness(&shared)),
        (&Method::GET, "/metrics") => Ok(text(StatusCode::OK, counters::render())),
        (&Method::GET, "/v1/models") => counted(models(&shared, request.headers())),
        (&Method::POST, TICKETS_PATH) => counted(tickets::give(&shared, request.headers())),
        (&Method::POST, CHAT_PATH) => chat(shared, request, request_id).await,
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            service(shared, request, request_id).await
        }
        (_, path) => {
            let message = format!("there is no `{path}` here");
            counted(Err(Refusal::not_run(Reason::UnknownPath, message)))
        }
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

fn readiness(shared: &Shared) -> Response<AnswerBody> {
    if shared.is_ready() {
        return text(StatusCode::OK, "ready\n");
    }
    let why = match shared.phase() {
        Phase::Serving => "not ready: no sheet in force\n",
        Phase::Notice | Phase::Draining => "not ready: stopping\n",
    };
    text(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn models(shared: &Shared, map: &HeaderMap) -> Result<Response<AnswerBody>, Refusal> {
    let view = shared.view()?;
    caller::account(map, &view, unix_ms())?;
    let entry = |it| ModelEntry { id: it, object: "model", owned_by: &view.sheet.sheet };
    let data = view.sheet.models.iter().map(|it| entry(&it.name)).collect();
    let list = serde_json::to_vec(&ModelList { object: "list", data }).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(list));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

/// Counts the refusal of a request that never became work.
fn counted<T>(result: Result<T, Refusal>) -> Result<T, Refusal> {
    result.inspect_err(|it| counters::refusal(it.reason))
}

async fn chat(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    request_id: &Name,
) -> Result<Response<AnswerBody>, Refusal> {
    let (work, is_stream) = counted(read_chat(&shared, request, request_id).await)?;
    shared.journal.record(work.event(EventKind::RequestReceived));
    if is_stream { streamed(shared, work).await } else { whole(shared, work).await }
}

async fn service(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    request_id: &Name,
) -> Result<Response<AnswerBody>, Refusal> {
    let work = counted(read_service(&shared, request, request_id).await)?;
    shared.journal.record(work.event(EventKind::RequestReceived));
    whole(shared, work).await
}

async fn streamed(shared: Arc<Shared>, work: Work) -> Result<Response<AnswerBody>, Refusal> {
    let ending = Ending::new(Arc::clone(&shared), work.clone());
    let started = match Arc::clone(&shared.streams).try_acquire_owned() {
        Ok(slot) => stream::run(shared, work, slot).await,
        Err(_) => Err(Refusal::not_run(Reason::TooManyStreams, "too many streams are open")
            .retry_after_ms(STREAMS_RETRY_MS)),
    };
    match started {
        Ok(response) => {
            ending.hand_over();
            Ok(response)
        }
        Err(refusal) => {
            ending.record(Ended::Refused(refusal.clone()));
            Err(refusal)
        }
    }
}

async fn whole(shared: Arc<Shared>, work: Work) -> Result<Response<AnswerBody>, Refusal> {
    let ending = Ending::new(Arc::clone(&shared), work.clone());
    let ended = if work.call.repeatable {
        exchange::run(&shared, &work, None).await
    } else {
        once::run(&shared, &work).await
    };
    match ended {
        Ok(answer) => {
            ending.record(Ended::Answered);
            Ok(answer.response(&work.call.request_id))
        }
        Err(refusal) => {
            ending.record(Ended::Refused(refusal.clone()));
            Err(refusal)
        }
    }
}

async fn read_chat(
    shared: &Shared,
    request: Request<Incoming>,
    request_id: &Name,
) -> Result<(Work, bool), Refusal> {
    let arrived_ms = shared.clock.now_ms();
    let view = shared.view().map_err(|it| unless_keyed(request.headers(), it))?;
    let caller = caller::identify(request.headers(), &view, unix_ms())?;
    check_kind(&caller.class, TargetKind::Model)?;
    let (parts, body) = request.into_parts();
    let body = read_body(shared, body).await?;
    let head = parse_chat(&body)?;
    let target = model_target(&view, &head.model)?;
    let is_stream = head.stream;
    if is_stream && !caller.class.class.repeatable {
        let message = "a request that may not be repeated is answered whole, not as a stream";
        return Err(Refusal::not_run(Reason::WrongKind, message));
    }
    let uri = Uri::from_static(CHAT_PATH);
    let content = chat_content(&caller, &target, &head);
    let call = call(parts.method, uri, &parts.headers, body.clone(), request_id, &caller);
    Ok((Work { caller, target, call, content, arrived_ms }, is_stream))
}

fn parse_chat(body: &[u8]) -> Result<ChatHead<'_>, Refusal> {
    let malformed = |message: String| Refusal::not_run(Reason::Malformed, message);
    let head: ChatHead<'_> = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("the body is no chat completion: {error}")))?;
    if head.resume.is_some() {
        return Err(malformed("the field `resume` is not the caller's to set".to_owned()));
    }
    Ok(head)
}

fn chat_content(caller: &Caller, target: &Target, head: &ChatHead<'_>) -> Content {
    let prompt = head.messages.map_or("", RawValue::get);
    let limits = [head.max_tokens, head.max_completion_tokens];
    let limits = limits.into_iter().flatten().filter_map(|it| it.get().parse().ok());
    Content {
        is_stream: head.stream,
        limit_tokens: limits.min(),
        prefix: PrefixHashes::new(&target.name, prompt.as_bytes()),
        fingerprints: fingerprint::of_chat(&caller.account, &target.name, prompt),
    }
}

fn model_target(view: &View, asked: &str) -> Result<Target, Refusal> {
    let name = view.model(asked).ok_or_else(|| {
        Refusal::not_run(Reason::UnknownTarget, format!("the sheet has no model `{asked}`"))
    })?;
    Ok(Target { kind: TargetKind::Model, name })
}

async fn read_service(
    shared: &Shared,
    request: Request<Incoming>,
    request_id: &Name,
) -> Result<Work, Refusal> {
    let arrived_ms = shared.clock.now_ms();
    let view = shared.view().map_err(|it| unless_keyed(request.headers(), it))?;
    let caller = caller::identify(request.headers(), &view, unix_ms())?;
    check_kind(&caller.class, TargetKind::Service)?;
    let (target, uri) = service_target(&view, request.uri())?;
    let (parts, body) = request.into_parts();
    let body = read_body(shared, body).await?;
    let request = Fingerprint::new(&caller.account, uri.path(), &body);
    let content = Content {
        is_stream: false,
        limit_tokens: None,
        prefix: PrefixHashes::default(),
        fingerprints: RequestFingerprints::without_parts(request),
    };
    let call = call(parts.method, uri, &parts.headers, body, request_id, &caller);
    Ok(Work { caller, target, call, content, arrived_ms })
}

/// Splits `/services/NAME/PATH?QUERY` into the service and what it is asked.
fn service_target(view: &View, uri: &Uri) -> Result<(Target, Uri), Refusal> {
    let path = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let target = Target { kind: TargetKind::Service, name: Name::from(name) };
    if view.endpoints(&target).is_empty() {
        let message = format!("the sheet has no service `{name}`");
        return Err(Refusal::not_run(Reason::UnknownTarget, message));
    }
    let query = uri.query().map(|it| format!("?{it}")).unwrap_or_default();
    let uri = format!("/{rest}{query}")
        .parse()
        .map_err(|_| Refusal::not_run(Reason::Malformed, "the path cannot be passed on"))?;
    Ok((target, uri))
}

/// An instance without a sheet cannot tell what became of a key's earlier sendings.
fn unless_keyed(map: &HeaderMap, refusal: Refusal) -> Refusal {
    if map.contains_key(headers::IDEMPOTENCY_KEY) {
        Refusal { outcome: Outcome::Unknown, ..refusal }
    } else {
        refusal
    }
}

fn check_kind(class: &RankedClass, kind: TargetKind) -> Result<(), Refusal> {
    if class.class.kind == kind {
        return Ok(());
    }
    let message = format!("class `{}` is not for this path", class.class.name);
    Err(Refusal::not_run(Reason::WrongKind, message))
}

async fn read_body(shared: &Shared, body: Incoming) -> Result<Bytes, Refusal> {
    let limits = shared.settings.limits;
    let collect = collect(body, limits.body_bytes);
    let collected = timeout(Duration::from_millis(limits.body_timeout_ms), collect).await;
    match collected {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(CollectError::TooLarge)) => {
            let message = format!("the body is larger than {} bytes", limits.body_bytes);
            Err(Refusal::not_run(Reason::BodyTooLarge, message))
        }
        Ok(Err(CollectError::Broke)) => {
            Err(Refusal::not_run(Reason::Malformed, "the body broke off"))
        }
        Err(_) => Err(Refusal::not_run(Reason::BodyTimeout, "the body took too long")),
    }
}

fn call(
    method: Method,
    uri: Uri,
    map: &HeaderMap,
    body: Bytes,
    request_id: &Name,
    caller: &Caller,
) -> Call {
    let mut sent = headers::for_endpoint(map);
    headers::insert_text(&mut sent, headers::REQUEST_ID, request_id);
    headers::insert_text(&mut sent, headers::SERVICE_CLASS, &caller.class.class.name);
    headers::insert_text(&mut sent, headers::CLIENT_ACCOUNT, &caller.account);
    sent.insert(headers::PRIORITY, HeaderValue::from(caller.class.rank));
    Call {
        method,
        uri,
        headers: sent,
        body,
        request_id: request_id.clone(),
        repeatable: caller.class.class.repeatable,
    }
}

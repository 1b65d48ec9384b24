//! Chat completions at an engine: refusing, running and answering.

use std::sync::Arc;

use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
};
use tokio::{sync::mpsc, time::Instant};

use crate::{
    answer::{ChatRequest, Format, Usage, token_text},
    batch::Run,
    body::{AnswerBody, Piece},
    engine::{EngineFaults, Leaving, Shared, crash, lock},
    load,
    prefix::TOKEN_BYTES,
    run::{RunEnd, RunRecord},
    server::{Dropped, Reply, error, header, json, not_run},
};

/// Answers a request to an engine.
pub(crate) async fn handle(shared: Arc<Shared>, request: Request<Bytes>) -> Reply {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/load") if !shared.faults.borrow().no_load_reports => {
            Ok(json(StatusCode::OK, &load::reported(&shared)))
        }
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
    format.stray_token = faults.stray_chunk_at_token;
    let reply =
        if chat.stream { stream(format, pieces).await } else { whole(format, pieces).await };
    let reply = reply.map(|it| marked(it, &request, &faults));
    match chat.resume.filter(|_| !faults.ignores_resume) {
        Some(resume) => reply.map(|it| resumed(it, resume.delivered_tokens)),
        None => reply,
    }
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
    let ignored = shared.faults.borrow().ignores_resume;
    let resume = chat.resume.clone().filter(|_| !ignored).unwrap_or_default();
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
        stray_token: None,
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

/// Says where a resumed answer begins.
fn resumed(mut response: Response<AnswerBody>, from_token: u32) -> Response<AnswerBody> {
    let name = HeaderName::from_static("x-resumed-from");
    response.headers_mut().insert(name, HeaderValue::from(from_token));
    response
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

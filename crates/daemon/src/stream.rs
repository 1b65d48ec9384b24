//! A streamed completion: relayed event by event, and resumed when an endpoint breaks off.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
};
use tanagergauge_core::{Name, Outcome, Reason};
use tokio::{
    sync::{OwnedSemaphorePermit, mpsc},
    time::timeout,
};

use crate::{
    attempt::{self, Answer, Failure},
    body::{AnswerBody, Chunk as BodyChunk},
    chunk::Chunk,
    counters,
    exchange::{self, WholeAnswer},
    headers,
    permit::Permit,
    pool::Connection,
    refusal::Refusal,
    shared::Shared,
    sse::{self, Meaning, Split, Splitter},
    work::{Attempts, Ended, Next, Work},
};

/// Longest wait for the end of a body after its last event.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(100);

/// One stream to a caller, over one or more attempts.
struct Relay {
    shared: Arc<Shared>,
    work: Work,
    attempts: Attempts,
    source: Option<Source>,
    delivered: Delivered,
}

/// What of the answer has gone to the caller.
#[derive(Default)]
struct Delivered {
    /// Chunks with text, each one token. Never goes back.
    tokens: u64,
    text: String,
    /// Whether any event was passed on.
    any: bool,
    /// Whether the chunk that ends generation was passed on.
    finished: bool,
    /// Whether something was passed on that cannot be resumed from text.
    opaque: bool,
}

/// The endpoint a stream comes from now.
struct Source {
    permit: Permit,
    connection: Connection,
    body: Incoming,
    splitter: Splitter,
    headers: HeaderMap,
    /// Id of the completion, the same in all its chunks.
    id: Option<Name>,
    /// Whether an earlier attempt has delivered something.
    is_resumed: bool,
}

/// What an endpoint's stream gives next.
enum Step {
    Chunk(Bytes),
    Done(Bytes),
    Broken(Failure),
}

/// What goes to the caller next.
enum Relayed {
    Event(Bytes),
    Done(Bytes),
    /// The endpoint answered with a whole document instead of a stream.
    Whole(WholeAnswer),
    Failed(Refusal),
}

/// An answer that is a stream, of which nothing was read yet.
struct OpenStream {
    response: Response<Incoming>,
    connection: Connection,
}

enum Opened {
    Stream(OpenStream),
    Whole(WholeAnswer),
}

enum Begun {
    Source(Source),
    Whole(WholeAnswer),
}

/// Answers with a stream once its first event is here.
///
/// # Errors
/// What the caller is told if no event came; nothing was sent to the caller yet.
pub async fn run(
    shared: Arc<Shared>,
    work: Work,
    slot: OwnedSemaphorePermit,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut relay = Relay {
        shared,
        work,
        attempts: Attempts::default(),
        source: None,
        delivered: Delivered::default(),
    };
    match relay.next().await {
        Relayed::Event(first) => Ok(relay.answer(first, false, slot)),
        Relayed::Done(first) => Ok(relay.answer(first, true, slot)),
        Relayed::Whole(answer) => {
            let delivery = relay.work.delivery(&relay.shared, None, 0);
            relay.work.ended(&relay.shared, Ended::Answered, delivery);
            Ok(answer.response(&relay.work.call.request_id))
        }
        Relayed::Failed(refusal) => Err(refusal),
    }
}

impl Relay {
    /// The head of the answer; the rest is pumped by a task of its own.
    fn answer(
        self,
        first: Bytes,
        is_done: bool,
        slot: OwnedSemaphorePermit,
    ) -> Response<AnswerBody> {
        let (sender, body) = AnswerBody::stream();
        let mut response = Response::new(body);
        if let Some(source) = &self.source {
            *response.headers_mut() = source.headers.clone();
        }
        let map = response.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        headers::insert_text(map, headers::REQUEST_ID, &self.work.call.request_id);
        let waited_ms = self.shared.clock.now_ms().saturating_sub(self.work.arrived_ms);
        let class = &self.work.caller.class.class.name;
        counters::first_token(class, Duration::from_millis(waited_ms));
        let in_progress = self.shared.progress.begin();
        tokio::spawn(async move {
            self.pump(sender, first, is_done, waited_ms).await;
            drop((slot, in_progress));
        });
        response
    }

    async fn pump(
        mut self,
        sender: mpsc::Sender<BodyChunk>,
        first: Bytes,
        is_done: bool,
        first_token_ms: u64,
    ) {
        let caller_left = Refusal::unknown(Reason::CallerLeft, "the caller left");
        let mut ended = is_done.then_some(Ended::Answered);
        if sender.send(BodyChunk::Data(first)).await.is_err() {
            ended = Some(Ended::Refused(caller_left.clone()));
        }
        while ended.is_none() {
            let relayed = tokio::select! {
                biased;
                () = sender.closed() => None,
                relayed = self.next() => Some(relayed),
            };
            ended = match relayed {
                Some(relayed) => self.deliver(&sender, relayed).await,
                None => Some(Ended::Refused(caller_left.clone())),
            };
        }
        if let Some(Ended::Answered) = ended {
            // A caller that has left needs no end.
            let _ = sender.send(BodyChunk::End).await;
        }
        if let Some(ended) = ended {
            let (first, tokens) = (Some(first_token_ms), self.delivered.tokens);
            let delivery = self.work.delivery(&self.shared, first, tokens);
            self.work.ended(&self.shared, ended, delivery);
        }
        counters::delivered(&self.work.caller.class.class.name, self.delivered.tokens);
    }

    /// Sends one step to the caller; gives how the request ended if it did.
    async fn deliver(&self, sender: &mpsc::Sender<BodyChunk>, relayed: Relayed) -> Option<Ended> {
        match relayed {
            Relayed::Event(bytes) => send(sender, bytes, None).await,
            Relayed::Done(bytes) => send(sender, bytes, Some(Ended::Answered)).await,
            Relayed::Whole(_) => {
                let message = "the endpoint answered with a document in place of a stream";
                self.abort(sender, Refusal::unknown(Reason::BadAnswer, message)).await
            }
            Relayed::Failed(refusal) => self.abort(sender, refusal).await,
        }
    }

    /// Ends the caller's stream visibly unfinished.
    async fn abort(&self, sender: &mpsc::Sender<BodyChunk>, refusal: Refusal) -> Option<Ended> {
        // Part of the answer is with the caller, so that the request did run.
        let refusal = Refusal { outcome: Outcome::Unknown, ..refusal };
        let mut event = b"data: ".to_vec();
        event.extend(refusal.document(&self.work.call.request_id));
        event.extend(b"\n\n");
        // A caller that has left needs no error.
        let _ = sender.send(BodyChunk::Data(event.into())).await;
        Some(Ended::Refused(refusal))
    }

    async fn next(&mut self) -> Relayed {
        loop {
            let mut source = match self.source.take() {
                Some(source) => source,
                None => match self.open().await {
                    Ok(Begun::Source(source)) => source,
                    Ok(Begun::Whole(answer)) => return Relayed::Whole(answer),
                    Err(refusal) => return Relayed::Failed(refusal),
                },
            };
            let failure = match source.step(self.patience(), &mut self.delivered).await {
                Step::Chunk(bytes) => {
                    self.source = Some(source);
                    return Relayed::Event(bytes);
                }
                Step::Done(bytes) => {
                    source.finish(&self.shared);
                    return Relayed::Done(bytes);
                }
                Step::Broken(failure) => failure,
            };
            if let Next::GiveUp(refusal) = self.failed(source.close(), failure).await {
                return Relayed::Failed(refusal);
            }
        }
    }

    /// Longest wait for the next event: the caller's deadline holds until the first.
    fn patience(&self) -> Duration {
        let idle = Duration::from_millis(self.shared.settings.limits.stream_idle_ms);
        if self.delivered.any {
            return idle;
        }
        idle.min(self.work.time_left(self.shared.clock.now_ms()))
    }

    async fn failed(&mut self, permit: Permit, failure: Failure) -> Next {
        let endpoint = permit.endpoint.name.clone();
        exchange::note_leaving(&self.shared, &endpoint, failure.leaving);
        permit.failed(failure).await;
        let next = self.attempts.failed(&self.shared, &endpoint, failure, &self.work);
        match next {
            Next::Retry if self.delivered.opaque => Next::GiveUp(Refusal::unknown(
                failure.reason,
                "the stream broke off and holds what cannot be resumed",
            )),
            next => next,
        }
    }

    async fn open(&mut self) -> Result<Begun, Refusal> {
        loop {
            let delivered = self.delivered.tokens;
            let permit = self.attempts.begin(&self.shared, &self.work, delivered).await?;
            let failure = match self.attempt(&permit).await {
                Ok(Opened::Stream(stream)) => {
                    return Ok(Begun::Source(self.source(permit, stream)));
                }
                Ok(Opened::Whole(whole)) => return Ok(Begun::Whole(whole)),
                Err(failure) => failure,
            };
            if let Next::GiveUp(refusal) = self.failed(permit, failure).await {
                return Err(refusal);
            }
        }
    }

    async fn attempt(&self, permit: &Permit) -> Result<Opened, Failure> {
        let mut call = self.work.call.clone();
        if self.delivered.tokens > 0 {
            call.body = resume_body(&call.body, &self.delivered)?;
        }
        let address = permit.endpoint.address;
        let number = self.attempts.number();
        let opened = attempt::open(&self.shared.pool, address, &call, number, self.patience());
        let answer = opened.await?;
        exchange::note_leaving(&self.shared, &permit.endpoint.name, answer.leaving);
        if !is_stream(&answer) {
            let whole = exchange::read_whole(&self.shared, &self.work, answer).await?;
            return not_a_stream(whole);
        }
        if !self.resumes_in_place(answer.response.headers()) {
            return Err(Failure::after_send(Reason::WrongAnswer));
        }
        let (response, connection, _) = answer.into_parts();
        Ok(Opened::Stream(OpenStream { response, connection }))
    }

    fn source(&self, permit: Permit, stream: OpenStream) -> Source {
        let (head, body) = stream.response.into_parts();
        Source {
            permit,
            connection: stream.connection,
            body,
            splitter: Splitter::default(),
            headers: headers::for_caller(&head.headers),
            id: None,
            is_resumed: self.delivered.any,
        }
    }

    /// Whether the endpoint goes on exactly after what was delivered. It need not say where a stream
    /// begins of which no token was delivered.
    fn resumes_in_place(&self, map: &HeaderMap) -> bool {
        let delivered = self.delivered.tokens;
        let is_here = |it: &HeaderValue| {
            it.to_str().ok().and_then(|it| it.parse::<u64>().ok()) == Some(delivered)
        };
        let mut said = map.get_all(headers::RESUMED_FROM).iter().peekable();
        (delivered == 0 || said.peek().is_some()) && said.all(is_here)
    }
}

impl Delivered {
    /// Takes note of a chunk; says whether it is passed on.
    fn accept(&mut self, chunk: &Chunk<'_>, is_resumed: bool) -> bool {
        let carries_text = !chunk.text.is_empty();
        let repeats_head = is_resumed && !carries_text && !chunk.is_finished && !chunk.is_usage;
        let repeats_end = self.finished && chunk.is_finished;
        if repeats_head || repeats_end {
            return false;
        }
        self.any = true;
        self.finished |= chunk.is_finished;
        self.opaque |= chunk.is_opaque;
        if carries_text {
            self.tokens += 1;
            self.text.push_str(&chunk.text);
        }
        true
    }
}

impl Source {
    async fn step(&mut self, patience: Duration, delivered: &mut Delivered) -> Step {
        loop {
            match self.splitter.split() {
                Split::Event(bytes) => match self.read(bytes, delivered) {
                    Some(step) => return step,
                    None => continue,
                },
                Split::TooLarge => return broken(Reason::BadAnswer),
                Split::Incomplete => {}
            }
            let frame = match timeout(patience, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_)) | None) => return broken(Reason::EndpointBroke),
                Err(_) => return broken(Reason::EndpointTimeout),
            };
            if let Ok(data) = frame.into_data() {
                self.splitter.push(&data);
            }
        }
    }

    /// What an event gives; nothing if it is passed over.
    fn read(&mut self, bytes: Bytes, delivered: &mut Delivered) -> Option<Step> {
        match sse::meaning(&bytes) {
            Meaning::Chunk(chunk) if !self.is_ours(&chunk) => Some(broken(Reason::WrongAnswer)),
            Meaning::Chunk(chunk) => {
                if !chunk.text.is_empty() {
                    self.permit.token();
                }
                let passes = delivered.accept(&chunk, self.is_resumed);
                passes.then_some(Step::Chunk(bytes))
            }
            Meaning::Done => Some(Step::Done(bytes)),
            Meaning::Nothing => None,
            Meaning::Bad => Some(broken(Reason::BadAnswer)),
        }
    }

    /// Whether a chunk belongs to the completion that the attempt began with.
    fn is_ours(&mut self, chunk: &Chunk<'_>) -> bool {
        let Some(id) = &chunk.id else {
            return true;
        };
        self.id.get_or_insert_with(|| Name::from(id.as_ref())).as_str() == id
    }

    /// Closes the connection, which cancels the request.
    fn close(self) -> Permit {
        drop((self.body, self.connection));
        self.permit
    }

    /// Reads what follows the last event, so that the connection can be used again.
    fn finish(mut self, shared: &Arc<Shared>) {
        let shared = Arc::clone(shared);
        let address = self.permit.endpoint.address;
        self.permit.answered(None);
        tokio::spawn(async move {
            let rest = timeout(TRAILER_TIMEOUT, self.body.frame()).await;
            if matches!(rest, Ok(None)) {
                Answer::finish(self.connection, address, &shared.pool);
            }
        });
    }
}

async fn send(
    sender: &mpsc::Sender<BodyChunk>,
    bytes: Bytes,
    ended: Option<Ended>,
) -> Option<Ended> {
    match sender.send(BodyChunk::Data(bytes)).await {
        Ok(()) => ended,
        Err(_) => Some(Ended::Refused(Refusal::unknown(Reason::CallerLeft, "the caller left"))),
    }
}

fn broken(reason: Reason) -> Step {
    Step::Broken(Failure::after_send(reason))
}

fn is_stream(answer: &Answer) -> bool {
    let content_type = exchange::header_text(answer.response.headers(), &CONTENT_TYPE);
    answer.response.status() == StatusCode::OK
        && content_type.is_some_and(|it| it.starts_with("text/event-stream"))
}

/// An endpoint may refuse a stream with a document, but not answer with one.
fn not_a_stream(whole: WholeAnswer) -> Result<Opened, Failure> {
    if whole.status.is_success() {
        return Err(Failure::after_send(Reason::BadAnswer));
    }
    Ok(Opened::Whole(whole))
}

/// The caller's body with what was delivered as one more field.
fn resume_body(body: &Bytes, delivered: &Delivered) -> Result<Bytes, Failure> {
    let object = body.trim_ascii_end().strip_suffix(b"}");
    let text = serde_json::to_string(&delivered.text).ok();
    let (Some(object), Some(text)) = (object, text) else {
        return Err(Failure::not_sent(Reason::Malformed));
    };
    let tokens = delivered.tokens;
    let field = format!(r#","resume":{{"delivered_tokens":{tokens},"text":{text}}}}}"#);
    Ok(Bytes::from([object, field.as_bytes()].concat()))
}

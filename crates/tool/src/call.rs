//! One request of a caller, and what became of it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, body::Incoming};
use serde::Deserialize;
use tanagergauge_core::{Name, Outcome};
use tokio::time::Instant;
use uuid::Uuid;

use crate::client::{Client, Silence};

/// A request to be sent.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The instance it goes to.
    pub(crate) instance: SocketAddr,
    /// The account's bearer token.
    pub(crate) token: Name,
    /// Its class.
    pub(crate) class: Name,
    /// Its id.
    pub(crate) request_id: String,
    /// Whether it carries an idempotency key.
    pub(crate) keyed: bool,
    /// The path with its leading slash.
    pub(crate) path: String,
    /// The body.
    pub(crate) body: Bytes,
}

/// What became of a request, as its caller saw it.
#[derive(Clone, Debug)]
pub(crate) struct Fate {
    /// What the caller was told. A stream without its end is `Unknown`.
    pub(crate) outcome: Outcome,
    /// Status of the answer; absent if none came.
    pub(crate) status: Option<u16>,
    /// Why there is no answer.
    pub(crate) reason: Option<Name>,
    /// From the moment it was due to the first token or byte.
    pub(crate) first: Option<Duration>,
    /// From the moment it was due to the end.
    pub(crate) whole: Duration,
    /// Tokens received.
    pub(crate) tokens: u32,
    /// Bytes of the answer's body.
    pub(crate) answer_bytes: u64,
    /// Text of the answer, as far as it came.
    pub(crate) text: String,
    /// The request's id as the stand-in service saw it.
    pub(crate) echoed_id: Option<String>,
}

impl Fate {
    /// Of a request that nothing was heard of.
    pub(crate) fn silent(outcome: Outcome, reason: &str, whole: Duration) -> Fate {
        Fate {
            outcome,
            status: None,
            reason: Some(Name::from(reason)),
            first: None,
            whole,
            tokens: 0,
            answer_bytes: 0,
            text: String::new(),
            echoed_id: None,
        }
    }

    /// Mean time between tokens, in milliseconds.
    pub(crate) fn between_ms(&self) -> Option<f64> {
        let first = self.first?;
        let gaps = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        Some((self.whole.saturating_sub(first)).as_secs_f64() * 1e3 / f64::from(gaps))
    }
}

/// Reason noted where the connection could not be opened.
pub(crate) const NO_CONNECTION: &str = "no_connection";
/// Reason noted where the connection broke without an answer.
pub(crate) const NO_ANSWER: &str = "no_answer";
/// Reason noted where a stream ended without its end.
pub(crate) const CUT_STREAM: &str = "cut_stream";

impl Call {
    /// Sends the request and follows it to its end. Times count from `due`; `hear` gets
    /// each piece of text as it comes.
    pub(crate) async fn run(
        &self,
        client: &Client,
        due: Instant,
        mut hear: impl FnMut(&str),
    ) -> Fate {
        let Ok(request) = self.request() else {
            return Fate::silent(Outcome::NotRun, "malformed", due.elapsed());
        };
        match client.send(request).await {
            Ok(response) => follow(response, due, &mut hear).await,
            Err(Silence::NotSent(_)) => Fate::silent(Outcome::NotRun, NO_CONNECTION, due.elapsed()),
            Err(Silence::Broken(_)) => Fate::silent(Outcome::Unknown, NO_ANSWER, due.elapsed()),
        }
    }

    fn request(&self) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", self.instance, self.path))
            .header("authorization", format!("Bearer {}", self.token))
            .header("x-service-class", self.class.as_str())
            .header("x-request-id", &self.request_id)
            .header("content-type", "application/json");
        if self.keyed {
            request = request.header("idempotency-key", Uuid::now_v7().to_string());
        }
        request.body(Full::new(self.body.clone()))
    }
}

async fn follow(response: Response<Incoming>, due: Instant, hear: &mut impl FnMut(&str)) -> Fate {
    let (head, mut body) = response.into_parts();
    let is_stream = is_stream(&head.headers);
    let mut fate = Fate {
        outcome: told(&head.headers, head.status.is_success()),
        status: Some(head.status.as_u16()),
        reason: text_of(&head.headers, "x-outcome-reason").map(Name::from),
        first: None,
        whole: Duration::ZERO,
        tokens: 0,
        answer_bytes: 0,
        text: String::new(),
        echoed_id: None,
    };
    let mut reader = Reader { is_stream, pending: Vec::new(), end: End::Open };
    let broken = loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                fate.first.get_or_insert(due.elapsed());
                fate.answer_bytes += data.len() as u64;
                reader.take(&data, &mut fate, hear);
            }
            Some(Err(_)) => break true,
            None => break false,
        }
    };
    fate.whole = due.elapsed();
    reader.close(broken, &mut fate);
    fate
}

fn told(headers: &HeaderMap, success: bool) -> Outcome {
    match text_of(headers, "x-outcome").and_then(|it| it.parse().ok()) {
        Some(outcome) => outcome,
        None if success => Outcome::Answered,
        None => Outcome::Unknown,
    }
}

fn is_stream(headers: &HeaderMap) -> bool {
    text_of(headers, "content-type").is_some_and(|it| it.starts_with("text/event-stream"))
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|it| it.to_str().ok())
}

/// How a stream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// More is to come.
    Open,
    /// `[DONE]` came.
    Done,
    /// An error came.
    Error,
}

/// Reads an answer's body as it comes.
struct Reader {
    is_stream: bool,
    pending: Vec<u8>,
    end: End,
}

impl Reader {
    fn take(&mut self, data: &[u8], fate: &mut Fate, hear: &mut impl FnMut(&str)) {
        self.pending.extend_from_slice(data);
        if !self.is_stream {
            return;
        }
        let mut from = 0;
        while let Some(length) = self.pending[from..].iter().position(|it| *it == b'\n') {
            let line = &self.pending[from..from + length];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            self.end = event(line, self.end, fate, hear);
            from += length + 1;
        }
        self.pending.drain(..from);
    }

    /// Judges whether the answer is whole.
    fn close(self, broken: bool, fate: &mut Fate) {
        if !self.is_stream {
            if broken {
                fate.outcome = Outcome::Unknown;
                fate.reason = Some(Name::from(NO_ANSWER));
            } else {
                whole_answer(&self.pending, fate);
            }
            return;
        }
        if broken || self.end != End::Done {
            fate.outcome = Outcome::Unknown;
            fate.reason.get_or_insert(Name::from(CUT_STREAM));
        }
    }
}

/// Reads one line of a stream of server-sent events.
fn event(line: &[u8], end: End, fate: &mut Fate, hear: &mut impl FnMut(&str)) -> End {
    let Some(data) = line.strip_prefix(b"data: ") else {
        return end;
    };
    if data == b"[DONE]" {
        return if end == End::Open { End::Done } else { end };
    }
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return end;
    };
    if let Some(error) = chunk.error {
        fate.reason = Some(Name::from(error.code));
        return End::Error;
    }
    for choice in &chunk.choices {
        let Some(content) = choice.delta.content.as_deref() else { continue };
        fate.tokens += 1;
        fate.text.push_str(content);
        hear(content);
    }
    end
}

fn whole_answer(body: &[u8], fate: &mut Fate) {
    let Ok(answer) = serde_json::from_slice::<Whole>(body) else {
        return;
    };
    if let Some(error) = answer.error {
        fate.reason.get_or_insert(Name::from(error.code));
    }
    fate.echoed_id = answer.request_id;
    fate.tokens = answer.usage.map_or(0, |it| it.completion_tokens);
    for choice in answer.choices {
        fate.text.push_str(&choice.message.content);
    }
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<ChunkChoice<'a>>,
    #[serde(default)]
    error: Option<CallError>,
}

#[derive(Deserialize)]
struct ChunkChoice<'a> {
    #[serde(default, borrow)]
    delta: Delta<'a>,
}

#[derive(Default, Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<std::borrow::Cow<'a, str>>,
}

#[derive(Deserialize)]
struct CallError {
    #[serde(default)]
    code: String,
}

#[derive(Deserialize)]
struct Whole {
    #[serde(default)]
    choices: Vec<WholeChoice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<CallError>,
    #[serde(default)]
    request_id: Option<String>,
}

#[derive(Deserialize)]
struct WholeChoice {
    message: Message,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
}

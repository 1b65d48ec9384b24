//! A caller's request, sent on a connection of its own.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Map, Value, json};
use tanagergauge_standins::answer::expected_text;
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};

use crate::{
    PATIENCE,
    answer::Answer,
    sheet::{MODEL, SERVICE, TOKEN},
};

/// A request and all that goes with it.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Body,
}

#[derive(Clone, Debug)]
enum Body {
    Fields(Map<String, Value>),
    Bytes(Bytes),
}

/// An answer that is being read.
pub struct Reading {
    answer: Answer,
    body: Option<Incoming>,
    bytes: BytesMut,
    connection: Option<JoinHandle<()>>,
}

impl Call {
    /// A chat completion of the tests' model.
    pub fn chat(class: &str, prompt: &str) -> Call {
        let mut fields = Map::new();
        fields.insert("model".to_owned(), json!(MODEL));
        fields.insert("messages".to_owned(), json!([{"role": "user", "content": prompt}]));
        let path = "/v1/chat/completions".to_owned();
        Call { method: Method::POST, path, headers: Vec::new(), body: Body::Fields(fields) }
            .class(class)
            .token(TOKEN)
    }

    /// A call of the tests' plain service.
    pub fn service(class: &str, path: &str, body: impl Into<Bytes>) -> Call {
        Call::new(Method::POST, &format!("/services/{SERVICE}/{path}"))
            .class(class)
            .token(TOKEN)
            .body(body)
    }

    /// Any request, without headers.
    pub fn new(method: Method, path: &str) -> Call {
        Call { method, path: path.to_owned(), headers: Vec::new(), body: Body::Bytes(Bytes::new()) }
    }

    /// A GET without headers.
    pub fn get(path: &str) -> Call {
        Call::new(Method::GET, path)
    }

    /// Sets the class.
    pub fn class(self, class: &str) -> Call {
        self.header("X-Service-Class", class)
    }

    /// Sets the account's token.
    pub fn token(self, token: &str) -> Call {
        self.header("Authorization", &format!("Bearer {token}"))
    }

    /// Sets the idempotency key.
    pub fn key(self, key: &str) -> Call {
        self.header("Idempotency-Key", key)
    }

    /// Sets the request's id.
    pub fn id(self, id: &str) -> Call {
        self.header("X-Request-Id", id)
    }

    /// Sets how long the caller waits.
    pub fn deadline_ms(self, deadline_ms: u64) -> Call {
        self.header("X-Deadline-Ms", &deadline_ms.to_string())
    }

    /// Asks for a stream.
    pub fn stream(self) -> Call {
        self.field("stream", json!(true))
    }

    /// Limits the length of the answer.
    pub fn max_tokens(self, max_tokens: u32) -> Call {
        self.field("max_tokens", json!(max_tokens))
    }

    /// Sets a field of a chat completion's body.
    pub fn field(mut self, name: &str, value: Value) -> Call {
        if let Body::Fields(fields) = &mut self.body {
            fields.insert(name.to_owned(), value);
        }
        self
    }

    /// Sets the whole body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Call {
        self.body = Body::Bytes(body.into());
        self
    }

    /// Sets a header in place of one of that name.
    pub fn header(mut self, name: &str, value: &str) -> Call {
        self.headers.retain(|it| !it.0.eq_ignore_ascii_case(name));
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Adds a header beside one of that name.
    pub fn second(mut self, name: &str, value: &str) -> Call {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Takes a header away.
    pub fn without(mut self, name: &str) -> Call {
        self.headers.retain(|it| !it.0.eq_ignore_ascii_case(name));
        self
    }

    /// Sets the path.
    pub fn path(mut self, path: &str) -> Call {
        self.path = path.to_owned();
        self
    }

    /// The body's bytes.
    pub fn bytes(&self) -> Bytes {
        match &self.body {
            Body::Fields(fields) => Value::Object(fields.clone()).to_string().into(),
            Body::Bytes(bytes) => bytes.clone(),
        }
    }

    /// The text that a stand-in engine answers to this, if `max_tokens` is set.
    pub fn expected_text(&self) -> String {
        expected_text(&self.bytes(), 0).unwrap_or_default()
    }

    /// Sends it and reads the answer to its end.
    pub async fn send(&self, address: SocketAddr) -> Answer {
        self.open(address).await.finish().await
    }

    /// Sends it and waits for the head of the answer.
    pub async fn open(&self, address: SocketAddr) -> Reading {
        let Ok(Ok(socket)) = timeout(PATIENCE, TcpStream::connect(address)).await else {
            return Reading::none(Answer::default());
        };
        let answer = Answer { is_connected: true, ..Answer::default() };
        let Ok((mut sender, connection)) = http1::handshake(TokioIo::new(socket)).await else {
            return Reading::none(answer);
        };
        let connection = tokio::spawn(async move {
            // What broke shows at the answer.
            let _ = connection.await;
        });
        match timeout(PATIENCE, sender.send_request(self.request(address))).await {
            Ok(Ok(response)) => Reading::new(response, connection),
            _ => Reading::none(answer),
        }
    }

    fn request(&self, address: SocketAddr) -> Request<Full<Bytes>> {
        let mut builder = Request::builder().method(self.method.clone()).uri(&self.path);
        builder = builder.header("Host", address.to_string());
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        builder.body(Full::new(self.bytes())).expect("a test's request can be written")
    }
}

impl Reading {
    fn none(answer: Answer) -> Reading {
        Reading { answer, body: None, bytes: BytesMut::new(), connection: None }
    }

    fn new(response: Response<Incoming>, connection: JoinHandle<()>) -> Reading {
        let (head, body) = response.into_parts();
        let answer = Answer {
            is_connected: true,
            status: head.status.as_u16(),
            headers: head.headers,
            ..Answer::default()
        };
        let (body, connection) = (Some(body), Some(connection));
        Reading { answer, body, bytes: BytesMut::new(), connection }
    }

    /// Reads until the text is at least this long; false if the answer ended before.
    pub async fn read_text(&mut self, length_bytes: usize) -> bool {
        loop {
            self.answer.body = self.bytes.clone().freeze();
            if self.answer.text().len() >= length_bytes {
                return true;
            }
            if !self.read().await {
                return false;
            }
        }
    }

    /// What has been read so far.
    pub fn so_far(&self) -> Answer {
        Answer { body: self.bytes.clone().freeze(), ..self.answer.clone() }
    }

    /// Reads to the end.
    pub async fn finish(mut self) -> Answer {
        while self.read().await {}
        self.so_far()
    }

    /// Closes the connection.
    pub async fn leave(mut self) {
        self.body = None;
        if let Some(connection) = self.connection.take() {
            connection.abort();
            let _ = connection.await;
        }
    }

    /// Reads a part; false at the end.
    async fn read(&mut self) -> bool {
        let Some(body) = &mut self.body else {
            return false;
        };
        match timeout(PATIENCE, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    self.bytes.extend_from_slice(&data);
                }
                true
            }
            ended => {
                self.answer.is_complete = matches!(ended, Ok(None));
                self.body = None;
                false
            }
        }
    }
}

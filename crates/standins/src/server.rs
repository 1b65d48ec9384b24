//! An HTTP server behind a [`Gate`].

use std::{convert::Infallible, fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderName, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpStream;

use crate::{
    body::AnswerBody,
    gate::{Gate, GateControl},
};

/// Reply of a handler; an error closes the connection without an answer.
pub(crate) type Reply = Result<Response<AnswerBody>, Dropped>;

/// The connection is to be closed without an answer.
#[derive(Debug)]
pub(crate) struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection was dropped on purpose")
    }
}

impl std::error::Error for Dropped {}

impl From<Infallible> for Dropped {
    fn from(never: Infallible) -> Dropped {
        match never {}
    }
}

/// An HTTP server on loopback.
pub(crate) struct Server {
    gate: Gate,
}

impl Server {
    /// Serves `handle` on a free port. A handler's future is dropped when the
    /// caller closes its connection.
    pub(crate) async fn start<F, Fut>(handle: F) -> io::Result<Server>
    where
        F: Fn(Request<Bytes>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Reply> + Send + 'static,
    {
        let handle = Arc::new(handle);
        let gate = Gate::open(move |stream| connection(stream, Arc::clone(&handle))).await?;
        Ok(Server { gate })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    pub(crate) fn control(&self) -> &GateControl {
        self.gate.control()
    }
}

async fn connection<F, Fut>(stream: TcpStream, handle: Arc<F>)
where
    F: Fn(Request<Bytes>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handle = Arc::clone(&handle);
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
            handle(Request::from_parts(head, body)).await
        }
    });
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// A JSON answer.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// An error answer without a claim about running.
pub(crate) fn error(status: StatusCode, message: &str) -> Response<AnswerBody> {
    json(status, &ErrorBody { error: ErrorMessage { message } })
}

/// A refusal before running.
pub(crate) fn not_run(status: StatusCode, message: &str) -> Response<AnswerBody> {
    let mut response = error(status, message);
    response
        .headers_mut()
        .insert(HeaderName::from_static("x-not-run"), HeaderValue::from_static("true"));
    response
}

/// The value of a header, if it is there and readable.
pub(crate) fn header(request: &Request<Bytes>, name: &str) -> Option<String> {
    request.headers().get(name)?.to_str().ok().map(str::to_owned)
}

/// Waits a time in milliseconds; 0 does not wait at all.
pub(crate) async fn pause_ms(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorMessage<'a>,
}

#[derive(Serialize)]
struct ErrorMessage<'a> {
    message: &'a str,
}

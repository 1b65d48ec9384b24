//! HTTP towards instances and the platform.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client as Pool, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(20);

/// A pool of connections that never sends a request twice.
#[derive(Clone)]
pub(crate) struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// Why there is no answer.
#[derive(Debug)]
pub(crate) enum Silence {
    /// The request did not leave.
    NotSent(String),
    /// The request left, and no whole answer came.
    Broken(String),
}

impl Client {
    /// A pool without connections.
    pub(crate) fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let pool = Pool::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Client { pool }
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Whether the request may have left.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Silence> {
        let sent = self.pool.request(request).await;
        sent.map_err(|error| match error.is_connect() {
            true => Silence::NotSent(chain(&error)),
            false => Silence::Broken(chain(&error)),
        })
    }

    /// Sends a request without headers of its own and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Whether the request may have left; no answer within `timeout` counts as broken.
    pub(crate) async fn ask(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Answer, Silence> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body))
            .map_err(|error| Silence::NotSent(error.to_string()))?;
        match tokio::time::timeout(timeout, self.whole(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(Silence::Broken("no answer in time".to_owned())),
        }
    }

    async fn whole(&self, request: Request<Full<Bytes>>) -> Result<Answer, Silence> {
        let response = self.send(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Silence::Broken(chain(&error)))?.to_bytes();
        Ok(Answer { status, body })
    }
}

impl std::fmt::Display for Silence {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Silence::NotSent(cause) | Silence::Broken(cause) => f.write_str(cause),
        }
    }
}

/// An error with its causes.
fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

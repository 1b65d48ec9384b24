//! HTTP/1 connections to endpoints and peers.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

use crate::{
    clock,
    endpoint_stream::{EndpointStream, ReadLimit},
    request::uniform_hash,
};

/// Largest read buffer, in bytes.
const BUFFER_BYTES: usize = 32 << 10;
/// Most refusals that a connection shows before another one is opened.
const MAX_REFUSED_IDS: usize = 64;

/// A connection that carries one request at a time. Dropping it closes it immediately.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// When it was open at the latest; monotonic.
    pub(crate) opened_ms: u64,
    /// Bounds what comes before the head of a response.
    pub(crate) read_limit: Arc<ReadLimit>,
    /// Whether it has carried a request.
    pub(crate) used: bool,
    /// Hashes of the ids of requests that the endpoint refused here. If one of these ids is used again,
    /// a copy of the refusal could be taken for the new response.
    refused_ids: Vec<u64>,
    /// When it was returned to the pool.
    pub(crate) idle_since: Instant,
    task: AbortHandle,
}

impl Connection {
    /// Performs the HTTP handshake over a connected socket and spawns the connection's task.
    pub(crate) async fn open(stream: TcpStream, address: SocketAddr) -> hyper::Result<Connection> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let read_limit = Arc::<ReadLimit>::default();
        let stream = EndpointStream::new(stream, Arc::clone(&read_limit));
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = async move {
            if let Err(error) = driver.await {
                tracing::debug!(%address, %error, "connection failed");
            }
        };
        let task = tokio::spawn(driver).abort_handle();
        let idle_since = Instant::now();
        let refused_ids = Vec::new();
        Ok(Connection {
            sender,
            address,
            opened_ms: clock::now_ms(),
            read_limit,
            used: false,
            refused_ids,
            idle_since,
            task,
        })
    }

    /// Records that the endpoint refused a request on this connection.
    pub(crate) fn record_refused(&mut self, request_id: &str) {
        self.refused_ids.push(uniform_hash(request_id));
    }

    /// Whether a response to the request can be told from those to earlier requests.
    pub(crate) fn can_carry(&self, request_id: &str) -> bool {
        if request_id.is_empty() {
            return false;
        }
        if self.refused_ids.is_empty() {
            return true;
        }
        self.refused_ids.len() < MAX_REFUSED_IDS
            && !self.refused_ids.contains(&uniform_hash(request_id))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

//! HTTP/1 connections to endpoints and peers.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

/// Largest read buffer, in bytes.
const BUFFER_BYTES: usize = 32 << 10;

/// A connection that carries one request at a time. Dropping it closes it immediately.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) address: SocketAddr,
    /// Whether it has carried a request.
    pub(crate) used: bool,
    /// When it was returned to the pool.
    pub(crate) idle_since: Instant,
    task: AbortHandle,
}

impl Connection {
    /// Performs the HTTP handshake over a connected socket and spawns the connection's task.
    pub(crate) async fn open(stream: TcpStream, address: SocketAddr) -> hyper::Result<Connection> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await?;
        let driver = async move {
            if let Err(error) = driver.await {
                tracing::debug!(%address, %error, "connection failed");
            }
        };
        let task = tokio::spawn(driver).abort_handle();
        Ok(Connection { sender, address, used: false, idle_since: Instant::now(), task })
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

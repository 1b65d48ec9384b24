//! Connections to endpoints, kept open between requests.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::timeout,
};

use crate::{
    head_check::{AwaitedHeads, HeadChecked},
    meter::{Meter, Metered},
};

/// Idle connections kept for each endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 64;

/// What is read ahead of an answer at most, and the largest head of one.
const BUFFER_BYTES: usize = 32 << 10;

/// A connection that can send one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    awaited_heads: Arc<AwaitedHeads>,
}

/// Idle connections by address.
///
/// Nothing is ever repeated here: whether a request may be sent again is
/// decided where its outcome is known.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    meter: Option<Arc<Meter>>,
}

/// A connection for a request.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Whether it has carried other requests.
    pub is_kept: bool,
}

/// A connection could not be opened, so no byte was sent.
#[derive(Clone, Copy, Debug)]
pub struct ConnectFailed;

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// There is none.
    pub async fn send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.awaited_heads.await_head();
        self.sender.send_request(request).await
    }

    /// The same, with the request in the error if it was never written.
    ///
    /// # Errors
    /// There is none.
    pub async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.awaited_heads.await_head();
        self.sender.try_send_request(request).await
    }

    /// Whether it cannot send any more.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Pool {
    /// A pool whose connections' bytes are counted.
    pub fn metered(meter: Arc<Meter>) -> Pool {
        Pool { meter: Some(meter), ..Pool::default() }
    }

    /// An idle connection if there is one, else a new one.
    ///
    /// # Errors
    /// The endpoint did not accept within `connect_timeout`.
    pub async fn get(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, ConnectFailed> {
        self.get_pooled(address, connect_timeout).await.map(|it| it.connection)
    }

    /// The same, with whether the connection was idle here.
    ///
    /// # Errors
    /// The endpoint did not accept within `connect_timeout`.
    pub async fn get_pooled(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, ConnectFailed> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(PooledConnection { connection, is_kept: true });
        }
        let connection = self.connect_metered(address, connect_timeout).await?;
        Ok(PooledConnection { connection, is_kept: false })
    }

    /// A new connection, for requests that must not meet a stale one.
    ///
    /// # Errors
    /// The endpoint did not accept within `connect_timeout`.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, ConnectFailed> {
        let opened = timeout(connect_timeout, open(address)).await;
        let socket = opened.ok().flatten().ok_or(ConnectFailed)?;
        handshake(socket).await
    }

    async fn connect_metered(
        &self,
        address: SocketAddr,
        connect_timeout: Duration,
    ) -> Result<Connection, ConnectFailed> {
        let Some(meter) = &self.meter else {
            return Pool::connect(address, connect_timeout).await;
        };
        let opened = timeout(connect_timeout, open(address)).await;
        let socket = opened.ok().flatten().ok_or(ConnectFailed)?;
        handshake(Metered::new(socket, Arc::clone(meter))).await
    }

    /// Gives back a connection whose last answer was read to its end.
    pub fn put(&self, address: SocketAddr, connection: Connection) {
        if connection.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ENDPOINT {
            connections.push(connection);
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|it| !it.is_closed());
        let ready = connections.iter().rposition(Connection::is_ready)?;
        Some(connections.swap_remove(ready))
    }
}

async fn open(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpStream::connect(address).await.ok()?;
    socket.set_nodelay(true).ok()?;
    Some(socket)
}

async fn handshake<S>(socket: S) -> Result<Connection, ConnectFailed>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let awaited_heads = Arc::<AwaitedHeads>::default();
    let socket = HeadChecked::new(socket, Arc::clone(&awaited_heads));
    let opened =
        http1::Builder::new().max_buf_size(BUFFER_BYTES).handshake(TokioIo::new(socket)).await;
    let (sender, connection) = opened.map_err(|_| ConnectFailed)?;
    tokio::spawn(async move {
        // A broken connection shows at the request that uses it.
        let _ = connection.await;
    });
    Ok(Connection { sender, awaited_heads })
}

//! TCP sockets with time-outs that detect unresponsive peers.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Longest time that sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Length of the accept queue.
const BACKLOG: u32 = 1024;

/// Connects within `limit`.
///
/// # Errors
/// The connection was refused or not accepted in time, or a socket option could not be set.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(limit, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens at an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Whether a connection outlasts that its peer does not read for longer than [`USER_TIMEOUT`], although its host
/// responds. Keep-alive probes go on once everything is acknowledged.
pub(crate) fn set_patient(stream: &TcpStream, is_patient: bool) -> io::Result<()> {
    let timeout = (!is_patient).then_some(USER_TIMEOUT);
    SockRef::from(stream).set_tcp_user_timeout(timeout)
}

/// Disables Nagle's algorithm and sets the time-outs of a connection.
pub(crate) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)
}

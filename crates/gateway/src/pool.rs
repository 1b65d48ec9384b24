//! Pool of keep-alive connections to endpoints and peers.

use std::{
    collections::HashMap,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tanagergauge_core::Name;
use tokio::time::Instant;

use crate::{connection::Connection, socket};

/// Most idle connections kept per endpoint.
const MAX_IDLE_PER_ENDPOINT: usize = 32;
/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest idle time of a connection that is used for a retryable request.
const MAX_IDLE_TIME: Duration = Duration::from_millis(4_000);
/// Longest idle time of a connection that is used for a request that must not be retried: if the
/// endpoint has closed the connection unnoticed, it may stay unknown whether the request ran.
const MAX_IDLE_TIME_NON_RETRYABLE: Duration = Duration::from_millis(1_500);
/// Fraction of an endpoint's advertised keep-alive time for which its connections are reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Idle connections by endpoint or peer.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    /// Keep-alive time that the endpoint advertised, if any.
    keep_alive: Option<Duration>,
}

/// What was taken from the pool.
#[derive(Debug)]
pub(crate) struct Taken {
    /// `None` if no connection is fresh enough.
    pub(crate) connection: Option<Connection>,
    /// The endpoint has closed a connection that was kept.
    pub(crate) found_closed: bool,
}

/// No connection could be opened, so nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailed {
    /// No process listens at the address.
    Refused,
    /// Nothing came back in time, or the network failed.
    Unreachable,
}

impl Pool {
    /// Takes the most recently used idle connection that is fresh enough for the request, if any.
    /// `request_id` is the id that the response will bear; `None` if responses bear none.
    pub(crate) fn take(
        &self,
        endpoint: &Name,
        address: SocketAddr,
        retryable: bool,
        request_id: Option<&str>,
    ) -> Taken {
        let limit = if retryable { MAX_IDLE_TIME } else { MAX_IDLE_TIME_NON_RETRYABLE };
        let mut pool = self.lock();
        let Some(idle) = pool.get_mut(endpoint) else {
            return Taken { connection: None, found_closed: false };
        };
        let found_closed = idle.iter().any(Idle::was_closed);
        idle.retain(|it| it.is_usable(address));
        let is_fresh = |it: &Idle| it.connection.sender.is_ready() && it.age() < limit;
        let can_carry = |it: &Idle| request_id.is_none_or(|id| it.connection.can_carry(id));
        let at = idle.iter().rposition(|it| is_fresh(it) && can_carry(it));
        let connection = at.map(|it| idle.remove(it).connection);
        Taken { connection, found_closed }
    }

    /// Whether there is an idle connection to an endpoint that is fresh enough for a request.
    pub(crate) fn has_fresh(&self, endpoint: &Name, retryable: bool) -> bool {
        let limit = if retryable { MAX_IDLE_TIME } else { MAX_IDLE_TIME_NON_RETRYABLE };
        let pool = self.lock();
        let is_fresh =
            |it: &Idle| it.connection.sender.is_ready() && it.age() < limit && it.is_kept();
        pool.get(endpoint).is_some_and(|idle| idle.iter().any(is_fresh))
    }

    /// Opens a connection.
    ///
    /// # Errors
    /// The endpoint did not accept it in time.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectFailed> {
        let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|error| {
            tracing::debug!(%address, %error, "cannot open a connection");
            match error.kind() {
                ErrorKind::ConnectionRefused => ConnectFailed::Refused,
                _ => ConnectFailed::Unreachable,
            }
        })?;
        Connection::open(stream, address).await.map_err(|_| ConnectFailed::Unreachable)
    }

    /// Returns a connection whose last response was read completely.
    pub(crate) fn put(
        &self,
        endpoint: &Name,
        mut connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        connection.used = true;
        connection.idle_since = Instant::now();
        let mut pool = self.lock();
        let idle = pool.entry(endpoint.clone()).or_default();
        idle.push(Idle { connection, keep_alive });
        if idle.len() > MAX_IDLE_PER_ENDPOINT {
            idle.remove(0);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn close_endpoint(&self, endpoint: &str) {
        self.lock().remove(endpoint);
    }

    /// Closes connections that were idle for too long. Returns the endpoints that have closed one
    /// before.
    pub(crate) fn expire(&self) -> Vec<Name> {
        let mut pool = self.lock();
        let closed = pool.iter().filter(|(_, idle)| idle.iter().any(Idle::was_closed));
        let closed = closed.map(|(endpoint, _)| endpoint.clone()).collect();
        for idle in pool.values_mut() {
            idle.retain(|it| it.is_usable(it.connection.address));
        }
        pool.retain(|_, idle| !idle.is_empty());
        closed
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Idle {
    fn age(&self) -> Duration {
        self.connection.idle_since.elapsed()
    }

    fn is_usable(&self, address: SocketAddr) -> bool {
        let open = !self.connection.sender.is_closed() && self.connection.address == address;
        open && self.is_kept()
    }

    /// Whether the endpoint closed the connection although it was to be kept.
    fn was_closed(&self) -> bool {
        self.connection.sender.is_closed() && self.is_kept()
    }

    fn is_kept(&self) -> bool {
        let keep_alive =
            self.keep_alive.map_or(MAX_IDLE_TIME, |it| it.mul_f64(KEEP_ALIVE_FRACTION));
        self.age() < keep_alive.min(MAX_IDLE_TIME)
    }
}

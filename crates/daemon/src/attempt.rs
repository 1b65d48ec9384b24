//! One attempt to run a request at one endpoint.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONTENT_LENGTH, HOST, HeaderValue},
};
use tanagergauge_core::{Name, Reason, head_scanner::is_valid_status};
use tokio::time::timeout;

use crate::{
    headers,
    pool::{Connection, Pool, PooledConnection},
};

/// Longest wait for an endpoint to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// What is sent to endpoints, the same for every attempt but for its number.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query at the endpoint.
    pub uri: Uri,
    /// Headers that are passed on, with the request's id, class, account and priority.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The request's id.
    pub request_id: Name,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// The head of an answer, and the connection its body comes on.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// Whether the endpoint said that it takes no new work.
    pub leaving: bool,
    connection: Connection,
    address: SocketAddr,
}

/// Why an attempt gave no answer.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Why.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Whether the endpoint said that it takes no new work.
    pub leaving: bool,
}

/// Whether a request may have run at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// No byte of it was sent, or the endpoint refused before running.
    No,
    /// The endpoint may have run it.
    Maybe,
}

impl Failure {
    /// No byte of the request reached the endpoint.
    pub fn not_sent(reason: Reason) -> Failure {
        Failure { reason, ran: Ran::No, leaving: false }
    }

    /// The request may have reached the endpoint.
    pub fn after_send(reason: Reason) -> Failure {
        Failure { reason, ran: Ran::Maybe, leaving: false }
    }
}

impl Answer {
    /// Gives the connection back after the body was read to its end.
    pub fn finish(connection: Connection, address: SocketAddr, pool: &Pool) {
        pool.put(address, connection);
    }

    /// Head, body and connection apart.
    pub fn into_parts(self) -> (Response<Incoming>, Connection, SocketAddr) {
        (self.response, self.connection, self.address)
    }
}

/// Sends the request and waits for the head of the answer.
///
/// Dropping the future closes the connection, which cancels the request.
///
/// # Errors
/// Why there is no answer, and whether the request may have run.
pub async fn open(
    pool: &Pool,
    address: SocketAddr,
    call: &Call,
    attempt: u32,
    head_timeout: Duration,
) -> Result<Answer, Failure> {
    let pooled = connect(pool, address, call.repeatable).await?;
    let PooledConnection { mut connection, is_kept } = pooled;
    let request = request(call, address, attempt);
    let sent = timeout(head_timeout, connection.try_send_request(request)).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => return Err(send_failure(error.take_message().is_some())),
        Err(_) => return Err(Failure::after_send(Reason::EndpointTimeout)),
    };
    let leaving = headers::is_true(response.headers(), &headers::LEAVING);
    match head_failure(&response, call, attempt, is_kept) {
        Some(failure) => Err(Failure { leaving, ..failure }),
        None => Ok(Answer { response, leaving, connection, address }),
    }
}

async fn connect(
    pool: &Pool,
    address: SocketAddr,
    repeatable: bool,
) -> Result<PooledConnection, Failure> {
    // A stale connection leaves it open whether a request was read; a new one does not.
    let connected = if repeatable {
        pool.get_pooled(address, CONNECT_TIMEOUT).await
    } else {
        let connected = Pool::connect(address, CONNECT_TIMEOUT).await;
        connected.map(|connection| PooledConnection { connection, is_kept: false })
    };
    connected.map_err(|_| Failure::not_sent(Reason::ConnectFailed))
}

/// A message that the connection gives back was never written.
fn send_failure(given_back: bool) -> Failure {
    if given_back {
        Failure::not_sent(Reason::ConnectFailed)
    } else {
        Failure::after_send(Reason::EndpointBroke)
    }
}

/// Checks that the head belongs to this attempt and is no refusal.
fn head_failure(
    response: &Response<Incoming>,
    call: &Call,
    attempt: u32,
    is_kept_connection: bool,
) -> Option<Failure> {
    let map = response.headers();
    let status = response.status();
    let is_valid = is_valid_status(status.as_u16()) && has_valid_length(map);
    if status.is_informational() || !is_valid {
        // A change of protocol, which nobody asked for, a status that is none, or a head that contradicts itself.
        return Some(Failure::after_send(Reason::BadAnswer));
    }
    let is_ours = echoes(map, &headers::REQUEST_ID, &call.request_id)
        && echoes(map, &headers::ATTEMPT, &attempt.to_string());
    if !is_ours {
        return Some(Failure::after_send(Reason::WrongAnswer));
    }
    let is_refusal =
        matches!(status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    if is_refusal && headers::is_true(map, &headers::NOT_RUN) {
        let names_attempt =
            map.contains_key(&headers::REQUEST_ID) && map.contains_key(&headers::ATTEMPT);
        if is_kept_connection && !names_attempt {
            // It may be a copy of the refusal of another request.
            return Some(Failure::after_send(Reason::WrongAnswer));
        }
        return Some(Failure::not_sent(Reason::EndpointRefused));
    }
    None
}

/// Whether a response announces one length at most. hyper checks that only if a body follows.
fn has_valid_length(map: &HeaderMap) -> bool {
    let mut values = map.get_all(CONTENT_LENGTH).iter().map(HeaderValue::as_bytes);
    let Some(first) = values.next() else { return true };
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    is_number && values.all(|it| it == first)
}

/// Whether a header is absent or says what was sent.
fn echoes(map: &HeaderMap, name: &hyper::header::HeaderName, sent: &str) -> bool {
    map.get_all(name).iter().all(|it| it.as_bytes() == sent.as_bytes())
}

fn request(call: &Call, address: SocketAddr, attempt: u32) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let map = request.headers_mut();
    headers::insert_text(map, HOST, &address.to_string());
    map.insert(headers::ATTEMPT, HeaderValue::from(attempt));
    request
}

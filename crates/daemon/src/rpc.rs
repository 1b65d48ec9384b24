//! Sealed calls to other instances.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method, Request,
    header::{CONTENT_TYPE, HOST},
};
use jsonrpsee::{
    core::traits::ToRpcParams,
    rpc_params,
    types::{Id, Request as RpcRequest, Response, ResponsePayload},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    collect::collect,
    meter::Meter,
    pool::{Connection, Pool},
    seal::{Direction, Nonce, Route, SealError, Sealed},
    trust::Trust,
};

/// Longest wait for a peer to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Calls other instances' control addresses.
#[derive(Debug)]
pub struct RpcClient {
    trust: Arc<Trust>,
    pool: Pool,
    meter: Arc<Meter>,
}

/// Why a call gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RpcError {
    /// No connection: the call had no effect.
    Unreachable,
    /// It broke off or took too long: its effect is unknown.
    NoAnswer,
    /// The other side refused it, with this reason.
    Refused(String),
    /// The answer is not what the asked instance sealed, or there is no key to ask with.
    Seal(SealError),
    /// The answer cannot be read.
    BadAnswer,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RpcError::Unreachable => f.write_str("the instance cannot be reached"),
            RpcError::NoAnswer => f.write_str("the instance did not answer"),
            RpcError::Refused(reason) => write!(f, "the instance refused: {reason}"),
            RpcError::Seal(error) => write!(f, "sealed message: {error}"),
            RpcError::BadAnswer => f.write_str("the answer cannot be read"),
        }
    }
}

impl RpcClient {
    /// A client that seals with these keys and counts what it sends.
    pub fn new(trust: Arc<Trust>, meter: Arc<Meter>) -> RpcClient {
        RpcClient { trust, pool: Pool::metered(Arc::clone(&meter)), meter }
    }

    /// Asks one instance.
    ///
    /// # Errors
    /// After [`RpcError::NoAnswer`] the call may have had its effect.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        asked: SocketAddr,
        method: &'static str,
        question: &Q,
        answer_timeout: Duration,
    ) -> Result<A, RpcError> {
        let payload = postcard::to_allocvec(question).map_err(|_| RpcError::BadAnswer)?;
        let nonce: Nonce = rand::random();
        let route = Route { direction: Direction::Question, method, asked };
        let sealed = self.trust.seal(route, nonce, &payload).map_err(RpcError::Seal)?;
        let body = encode(method, &sealed)?;
        let connected = self.pool.get(asked, CONNECT_TIMEOUT).await;
        let connection = connected.map_err(|_| RpcError::Unreachable)?;
        self.meter.message();
        let exchange = self.exchange(asked, connection, body);
        let exchanged = timeout(answer_timeout, exchange).await;
        let bytes = exchanged.ok().flatten().ok_or(RpcError::NoAnswer)?;
        let sealed = decode(&bytes)?;
        let opened = self.trust.open_answer(&sealed, method, asked, nonce);
        let payload = opened.map_err(RpcError::Seal)?;
        postcard::from_bytes(&payload).map_err(|_| RpcError::BadAnswer)
    }

    async fn exchange(
        &self,
        asked: SocketAddr,
        mut connection: Connection,
        body: Bytes,
    ) -> Option<Bytes> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/")
            .header(HOST, asked.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        let response = connection.send_request(request).await.ok()?;
        let body = collect(response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
        self.pool.put(asked, connection);
        Some(body)
    }
}

fn encode(method: &'static str, sealed: &Sealed) -> Result<Bytes, RpcError> {
    let params = rpc_params![sealed].to_rpc_params().map_err(|_| RpcError::BadAnswer)?;
    let request = RpcRequest::owned(method.to_owned(), params, Id::Number(1));
    serde_json::to_vec(&request).map(Bytes::from).map_err(|_| RpcError::BadAnswer)
}

fn decode(bytes: &[u8]) -> Result<Sealed, RpcError> {
    let response: Response<'_, Sealed> =
        serde_json::from_slice(bytes).map_err(|_| RpcError::BadAnswer)?;
    match response.payload {
        ResponsePayload::Success(sealed) => Ok(sealed.into_owned()),
        ResponsePayload::Error(error) => Err(RpcError::Refused(error.message().to_owned())),
    }
}

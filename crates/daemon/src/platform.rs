//! The platform's log and list.

use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming, header::HOST};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use tanagergauge_core::Name;
use tokio::time::timeout;

use crate::{collect::collect, meter::Meter, pool::Pool};

/// Longest wait for the platform to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest wait for an answer, beyond what a long poll asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(5000);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of the platform's log and list.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    pool: Pool,
}

/// Why the platform gave no usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection: the call had no effect.
    Unreachable,
    /// The call broke off or failed: its effect is unknown.
    Ambiguous,
    /// The platform refused the call before any effect.
    Refused,
    /// The answer could not be read.
    BadAnswer,
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PlatformError::Unreachable => "the platform cannot be reached",
            PlatformError::Ambiguous => "the platform's answer was lost",
            PlatformError::Refused => "the platform refused the call",
            PlatformError::BadAnswer => "the platform's answer cannot be read",
        })
    }
}

/// Records of a stream, oldest first.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    /// Oldest offset still kept.
    pub first_offset: u64,
    /// End of the stream when the answer was made.
    pub next_offset: u64,
    /// Records from the offset asked for.
    pub records: Vec<PageRecord>,
}

/// One record of a stream.
#[derive(Clone, Debug, Deserialize)]
pub struct PageRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// When it was appended, in milliseconds of Unix time.
    pub appended_unix_ms: u64,
    /// Its bytes, in base64.
    pub payload_base64: String,
}

impl PageRecord {
    /// The record's bytes; `None` if they are not base64.
    pub fn payload(&self) -> Option<Vec<u8>> {
        STANDARD.decode(&self.payload_base64).ok()
    }
}

/// The platform's list of instances and endpoints; it lags.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// When the list was true, in milliseconds of Unix time.
    pub as_of_unix_ms: u64,
    /// Its entries.
    pub entries: Vec<ListItem>,
}

/// An item of the list. One that cannot be read must not hide the others.
#[derive(Clone, Debug)]
pub enum ListItem {
    /// An entry.
    Entry(ListEntry),
    /// It cannot be read.
    Unreadable,
}

impl<'de> Deserialize<'de> for ListItem {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ListItem, D::Error> {
        let json = <&RawValue>::deserialize(deserializer)?;
        let entry = serde_json::from_str(json.get());
        Ok(entry.map_or(ListItem::Unreadable, ListItem::Entry))
    }
}

/// An instance or endpoint in the list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListEntry {
    /// Its name.
    pub name: Name,
    /// What it is.
    pub kind: ListKind,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for peers; only instances have one.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Whether it takes new work.
    pub state: ListState,
}

/// What an entry of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListKind {
    /// An entry instance.
    Instance,
    /// An endpoint.
    Endpoint,
}

/// Whether an entry of the list takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListState {
    /// It does.
    Live,
    /// It does not.
    Leaving,
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Platform {
    /// A client of the platform at an address.
    pub fn new(address: SocketAddr) -> Platform {
        Platform { address, pool: Pool::default() }
    }

    /// A client whose bytes are counted.
    pub fn metered(address: SocketAddr, meter: Arc<Meter>) -> Platform {
        Platform { address, pool: Pool::metered(meter) }
    }

    /// Appends a record and gives its offset.
    ///
    /// # Errors
    /// After [`PlatformError::Ambiguous`] and [`PlatformError::BadAnswer`] the record may be there.
    pub async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, PlatformError> {
        let path = format!("/v1/log/{stream}");
        let bytes = self.call(Method::POST, &path, record, ANSWER_TIMEOUT).await?;
        let appended: Appended = parse(&bytes)?;
        Ok(appended.offset)
    }

    /// Reads records from an offset on, and waits up to `wait` if there are none yet.
    ///
    /// # Errors
    /// Reading has no effect, so every error may be retried.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: usize,
        wait: Duration,
    ) -> Result<Page, PlatformError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/log/{stream}?from={from}&limit={limit}&wait_ms={wait_ms}");
        parse(&self.call(Method::GET, &path, Vec::new(), ANSWER_TIMEOUT + wait).await?)
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Reading has no effect, so every error may be retried.
    pub async fn list(&self) -> Result<List, PlatformError> {
        parse(&self.call(Method::GET, "/v1/list", Vec::new(), ANSWER_TIMEOUT).await?)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        answer_timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        let connected = self.pool.get(self.address, CONNECT_TIMEOUT).await;
        let mut connection = connected.map_err(|_| PlatformError::Unreachable)?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| PlatformError::Refused)?;
        let exchange = async {
            let response = connection.send_request(request).await.ok()?;
            read_whole(response).await
        };
        let answered = timeout(answer_timeout, exchange).await;
        let (status, bytes) = answered.ok().flatten().ok_or(PlatformError::Ambiguous)?;
        self.pool.put(self.address, connection);
        match status {
            200..=299 => Ok(bytes),
            400..=499 => Err(PlatformError::Refused),
            _ => Err(PlatformError::Ambiguous),
        }
    }
}

async fn read_whole(response: Response<Incoming>) -> Option<(u16, Bytes)> {
    let status = response.status().as_u16();
    let body = collect(response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
    Some((status, body))
}

fn parse<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).map_err(|_| PlatformError::BadAnswer)
}

//! Interface to the deployment's store.

use std::{fmt, future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use tanagergauge_core::{Name, routing::Configuration};

use crate::process_report::ReportFormat;

pub use tanagergauge_core::compacted_log::Record;

/// A compacted log: the newest value of each key is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// Configuration that operators write.
    Configuration,
    /// Entries that endpoints write about themselves.
    Endpoints,
    /// Entries that instances write about themselves.
    Instances,
}

/// A topic whose records have no keys and expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlainTopic {
    /// Lease of the duties.
    Duties,
    /// Committed reports of usage.
    Usage,
    /// Counts of instances that reach no hub.
    UsageCounts,
}

/// Result of an append to a plain topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlainAppend {
    /// The record was appended.
    Appended,
    /// The topic doesn't end at the given offset but here; nothing was appended.
    EndsElsewhere(u64),
}

/// Result of a read of a plain topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlainRead {
    /// Consecutive records from the offset on, perhaps not all.
    Records {
        /// The records.
        records: Vec<Bytes>,
        /// End of the topic.
        end: u64,
    },
    /// Records from the offset on are no longer retained; the first one that is, if the store tells.
    Deleted(Option<u64>),
}

/// What a call returned, with the era of the store's history; 0 if it tells none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OfEra<T> {
    /// Era of the store's history.
    pub era: u64,
    /// What the call returned.
    pub value: T,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// One record per key.
    pub records: Vec<Record>,
    /// Offset at which to continue with [`Store::changes`]; `records` includes every earlier
    /// change.
    pub end: u64,
    /// Era of the store's history, if the store told it.
    pub era: Option<u64>,
}

/// Consecutive records of a topic.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Oldest first; empty if none was written before the wait ended.
    pub records: Vec<Record>,
    /// Offset at which to continue reading.
    pub next: u64,
    /// The store holds more records from `next` on.
    pub has_more: bool,
    /// Era of the store's history, if the store told it.
    pub era: Option<u64>,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// No connection could be opened.
    Unreachable,
    /// No complete response arrived in time; a write may have taken effect.
    Silent,
    /// The store rejected the call.
    Refused,
    /// Records from the requested offset on are no longer retained.
    HistoryLost,
    /// The store came back from a copy, so that the requested offset means another record.
    HistoryReplaced,
    /// The response was given before the store came back from a copy.
    Outdated,
    /// The response cannot be decoded.
    Unreadable,
}

/// How metrics and logs name the result of a call.
pub(crate) fn result_label<T>(result: &Result<T, StoreError>) -> &'static str {
    result.as_ref().map_or_else(|error| (*error).into(), |_| "ok")
}

/// A client of the deployment's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn snapshot(&self, topic: Topic) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads records from offset `from` on, waiting up to `wait` if there are none yet.
    fn changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Appends a record.
    fn put(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Appends a record to a plain topic; with `at` only if the topic ends at that offset. Without a
    /// response the record may still be appended later, if the condition holds then.
    fn append(
        &self,
        topic: PlainTopic,
        at: Option<u64>,
        record: &[u8],
    ) -> impl Future<Output = Result<OfEra<PlainAppend>, StoreError>> + Send;

    /// Reads records of a plain topic from offset `from` on, without waiting for further ones.
    fn read(
        &self,
        topic: PlainTopic,
        from: u64,
    ) -> impl Future<Output = Result<OfEra<PlainRead>, StoreError>> + Send;
}

/// An endpoint's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that the endpoint runs.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the endpoint.
    pub availability_zone: Name,
    /// Requests that run concurrently.
    pub slots: u32,
    /// The endpoint accepts no new requests.
    pub leaving: bool,
    /// Start time of the endpoint's process as Unix milliseconds; 0 if unknown.
    pub incarnation: u64,
    /// Number of the report since that start; 0 if unknown.
    pub report_sequence: u64,
    /// Version of the endpoint's software; empty if the entry does not tell.
    pub software_version: Name,
    /// The endpoint is a spot server, which costs less and may be taken away.
    pub is_spot: bool,
    /// Time until the endpoint is taken away, in milliseconds, if the entry tells.
    pub leaves_in_ms: Option<u64>,
}

/// Why a record cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(String);

/// Maximum length of the text of a [`DecodeError`], in bytes. Decoders repeat what they read.
const MAX_ERROR_BYTES: usize = 300;

impl DecodeError {
    /// An error with this text, of which the middle is left out if it is long.
    pub fn new(error: impl fmt::Display) -> DecodeError {
        let text = error.to_string();
        if text.len() <= MAX_ERROR_BYTES {
            return DecodeError(text);
        }
        let begin = &text[..text.floor_char_boundary(MAX_ERROR_BYTES / 2)];
        let end = &text[text.ceil_char_boundary(text.len() - MAX_ERROR_BYTES / 2)..];
        DecodeError(format!("{begin} ... {end}"))
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Decodes the operators' configuration from a record's key and value; `None` if the key is not
/// the configuration's.
pub type DecodeConfiguration = fn(&str, &[u8]) -> Option<Result<Configuration, DecodeError>>;

/// Decoders of the deployment's record formats.
#[derive(Clone, Copy, Debug)]
pub struct Decoders {
    /// Decodes the operators' configuration.
    pub configuration: DecodeConfiguration,
    /// Decodes the value of an endpoint's entry.
    pub endpoint: fn(&[u8]) -> Result<EndpointEntry, DecodeError>,
    /// Where and how endpoints report on themselves.
    pub report: ReportFormat,
}

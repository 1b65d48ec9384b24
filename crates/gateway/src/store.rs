//! What an instance needs of the platform's store.

use std::{fmt, future::Future, net::SocketAddr, time::Duration};

use tanagergauge_core::{Name, routing::Configuration};

pub use tanagergauge_core::compacted_log::Record;

/// A set of keyed records whose newest values last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// What operators write.
    Configuration,
    /// What endpoints say of themselves.
    Endpoints,
    /// What instances say of themselves.
    Instances,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// One for each key.
    pub records: Vec<Record>,
    /// All changes before it are in `records`.
    pub end: u64,
}

/// Records from an offset on.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Oldest first; empty if there were none in time.
    pub records: Vec<Record>,
    /// Where to read on.
    pub next: u64,
}

/// Why the store gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// No connection.
    Unreachable,
    /// No answer, or it broke off; a change may have been made.
    Silent,
    /// It turned the call away.
    Refused,
    /// The records asked for are no longer kept.
    HistoryLost,
    /// The answer cannot be read.
    Unreadable,
}

/// The platform's store.
pub trait Store: Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn snapshot(&self, topic: Topic) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads records from an offset on; waits if there are none.
    fn changes(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Writes a record.
    fn put(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
    ) -> impl Future<Output = Result<(), StoreError>> + Send;
}

/// What an endpoint's entry says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// What it serves.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub availability_zone: Name,
    /// Requests it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Start of its process, in milliseconds of Unix time; 0 if it is not told.
    pub incarnation: u64,
}

/// A record that cannot be used, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError(pub String);

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Reads the operators' configuration from the record of a key; `None` if the key holds
/// something else.
pub type DecodeConfiguration = fn(&str, &[u8]) -> Option<Result<Configuration, DecodeError>>;

/// How records are read.
#[derive(Clone, Copy, Debug)]
pub struct Decode {
    /// Reads the operators' configuration.
    pub configuration: DecodeConfiguration,
    /// Reads an endpoint's entry.
    pub endpoint: fn(&[u8]) -> Result<EndpointEntry, DecodeError>,
}

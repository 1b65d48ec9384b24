//! Records and pages read from the platform's append-only log.

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogRecord {
    /// Position in the stream, from 0.
    pub offset: u64,
    /// Unix time of the append by the log's clock, in milliseconds.
    pub appended_unix_ms: u64,
    /// The appended bytes.
    pub payload: Vec<u8>,
}

/// Result of one read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Page {
    /// Oldest offset that the log still retained at the time of the read.
    pub first_offset: u64,
    /// End of the stream at the time of the read: the offset of the next append.
    pub next_offset: u64,
    /// Records in ascending order of offset.
    pub records: Vec<LogRecord>,
}

//! What the platform's log hands to a reader.

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LogRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// When the log took it, in milliseconds of the log's Unix time.
    pub appended_unix_ms: u64,
    /// What was appended.
    pub payload: Vec<u8>,
}

/// The answer to one read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Page {
    /// The oldest offset still kept when the page was made.
    pub first_offset: u64,
    /// The end of the stream when the page was made.
    pub next_offset: u64,
    /// Records in rising order of offset.
    pub records: Vec<LogRecord>,
}

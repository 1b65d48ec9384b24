//! Streams of the platform's log.

use std::collections::VecDeque;

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::Serialize;

use crate::platform::unix_ms;

const DEFAULT_READ_LIMIT: usize = 1_000;

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream.
    pub offset: u64,
    /// When it was appended, in milliseconds of Unix time.
    pub appended_unix_ms: u64,
    /// Its content.
    pub payload: Bytes,
}

/// A stream of the log. Offsets never come back, also when records have gone.
#[derive(Default)]
pub(crate) struct Stream {
    next_offset: u64,
    records: VecDeque<Record>,
}

impl Stream {
    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, payload: Bytes) -> u64 {
        let offset = self.next_offset;
        self.next_offset += 1;
        self.records.push_back(Record { offset, appended_unix_ms: unix_ms(), payload });
        offset
    }

    /// Forgets the oldest records beyond a number or an age.
    pub(crate) fn expire(&mut self, max_records: usize, oldest_unix_ms: u64) {
        let is_old = |it: &Record| it.appended_unix_ms < oldest_unix_ms;
        while self.records.len() > max_records || self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }

    /// Forgets the records before an offset.
    pub(crate) fn trim(&mut self, before_offset: u64) {
        self.records.retain(|it| it.offset >= before_offset);
    }

    /// The records that are still kept.
    pub(crate) fn records(&self) -> Vec<Record> {
        self.records.iter().cloned().collect()
    }

    /// The answer to a read.
    pub(crate) fn read(&self, query: &ReadQuery) -> ReadAnswer {
        let wanted = self.records.iter().filter(|it| it.offset >= query.from);
        ReadAnswer {
            first_offset: self.records.front().map_or(self.next_offset, |it| it.offset),
            next_offset: self.next_offset,
            records: wanted.take(query.limit).map(ReadRecord::from).collect(),
        }
    }
}

/// The answer to a read of a stream.
#[derive(Serialize)]
pub(crate) struct ReadAnswer {
    first_offset: u64,
    next_offset: u64,
    records: Vec<ReadRecord>,
}

#[derive(Serialize)]
pub(crate) struct ReadRecord {
    offset: u64,
    appended_unix_ms: u64,
    payload_base64: String,
}

impl From<&Record> for ReadRecord {
    fn from(record: &Record) -> ReadRecord {
        ReadRecord {
            offset: record.offset,
            appended_unix_ms: record.appended_unix_ms,
            payload_base64: STANDARD.encode(&record.payload),
        }
    }
}

/// The query of a read.
pub(crate) struct ReadQuery {
    pub(crate) from: u64,
    pub(crate) limit: usize,
    pub(crate) wait_ms: u64,
}

impl ReadAnswer {
    /// Whether there is nothing to give.
    pub(crate) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

impl ReadQuery {
    pub(crate) fn parse(query: &str) -> Option<ReadQuery> {
        let mut read = ReadQuery { from: 0, limit: DEFAULT_READ_LIMIT, wait_ms: 0 };
        for pair in query.split('&').filter(|it| !it.is_empty()) {
            let (name, value) = pair.split_once('=')?;
            match name {
                "from" => read.from = value.parse().ok()?,
                "limit" => read.limit = value.parse().ok()?,
                "wait_ms" => read.wait_ms = value.parse().ok()?,
                _ => {}
            }
        }
        Some(read)
    }
}

//! A lease with at most one holder at a time, granted by records in the platform's log.

use serde::{Deserialize, Serialize};

use crate::{
    log::{LogRecord, Page},
    owner::Owner,
};

/// Format version, the first byte of every record.
const FORMAT: u8 = 1;

/// A request to grant or renew the lease of a stream.
///
/// It takes effect if no other record lies between `seen_to` and its own offset, that is, if its
/// author had read the whole stream when the record was appended. All readers of these offsets
/// come to the same result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that requests the lease.
    pub holder: Owner,
    /// Term to renew; `None` requests a new term.
    pub renews: Option<u64>,
    /// Offset up to which the author had read the stream.
    pub seen_to: u64,
}

impl LeaseRecord {
    /// Encodes the record as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("lease records are always encodable")
    }

    /// Decodes a payload; `None` if it is not a lease record of this format version.
    pub fn decode(bytes: &[u8]) -> Option<LeaseRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

/// Timing of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a record is valid for its holder, in milliseconds from the start of its append.
    pub duration_ms: u64,
    /// How much longer other instances wait, in milliseconds; their wait starts when they read the
    /// record. Covers clocks that run at different rates.
    pub margin_ms: u64,
    /// How long before the end of the lease its holder renews it, in milliseconds.
    pub renew_before_ms: u64,
}

/// What an instance must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing before this time, unless a record arrives first.
    WaitUntil(u64),
    /// Append this record now. Only reading it back decides, not the result of the append.
    Append(LeaseRecord),
    /// Read the stream: an append is in progress.
    Read,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    record: LeaseRecord,
    begun_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    term: u64,
    until_ms: u64,
}

/// One instance's view of a lease. All times are from its own monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    owner: Owner,
    timing: LeaseTiming,
    next_offset: u64,
    /// Until then another instance may hold the lease, so that this one must not request it.
    blocked_until_ms: u64,
    pending: Option<Pending>,
    held: Option<Held>,
}

impl Lease {
    /// Creates the view of an instance that has read nothing.
    pub fn new(owner: Owner, timing: LeaseTiming, now_ms: u64) -> Lease {
        // A record that the log deleted before it could be read may still be valid.
        let blocked_until_ms = now_ms + timing.duration_ms + timing.margin_ms;
        Lease { owner, timing, next_offset: 0, blocked_until_ms, pending: None, held: None }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The current term while this instance holds the lease. It is the fencing token to send with
    /// every command.
    pub fn term(&self, now_ms: u64) -> Option<u64> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.term)
    }

    /// What to do at this time. If it is an append, its validity counts from now.
    pub fn next_action(&mut self, now_ms: u64) -> LeaseAction {
        if self.pending.is_some() {
            return LeaseAction::Read;
        }
        let renews = self.term(now_ms);
        let due_ms = match &self.held {
            Some(held) if renews.is_some() => {
                held.until_ms.saturating_sub(self.timing.renew_before_ms)
            }
            _ => self.blocked_until_ms,
        };
        if now_ms < due_ms {
            return LeaseAction::WaitUntil(due_ms);
        }
        let seen_to = self.next_offset;
        let record = LeaseRecord { holder: self.owner.clone(), renews, seen_to };
        self.pending = Some(Pending { record: record.clone(), begun_ms: now_ms });
        LeaseAction::Append(record)
    }

    /// Abandons an append that was not read back. It may still reach the log; then it delays other
    /// requests like any record, but does not give this instance the lease.
    pub fn abandon_append(&mut self) {
        self.pending = None;
    }

    /// Applies a page of the stream. Records that were applied before are skipped.
    pub fn apply(&mut self, page: &Page, now_ms: u64) {
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.apply_record(record, now_ms);
            }
        }
    }

    fn apply_record(&mut self, record: &LogRecord, now_ms: u64) {
        let has_gap = record.offset > self.next_offset;
        self.next_offset = record.offset + 1;
        let Some(decoded) = LeaseRecord::decode(&record.payload) else { return };
        self.blocked_until_ms = now_ms + self.timing.duration_ms + self.timing.margin_ms;
        let ours = self.pending.take_if(|it| it.record == decoded);
        let holds = decoded.seen_to == record.offset && !has_gap;
        match ours {
            Some(pending) if holds => {
                let term = decoded.renews.unwrap_or(record.offset);
                let until_ms = pending.begun_ms + self.timing.duration_ms;
                self.held = Some(Held { term, until_ms });
            }
            // Another instance's record came first: its term has begun, or the term that this
            // instance holds ends without a renewal.
            Some(_) => {}
            None if holds && decoded.holder != self.owner => self.held = None,
            None => {}
        }
    }
}

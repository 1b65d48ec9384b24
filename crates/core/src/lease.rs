//! One holder at a time, by records in the platform's log.

use serde::{Deserialize, Serialize};

use crate::{
    log::{LogRecord, Page},
    owner::Owner,
};

/// First byte of every record; another value is another format.
const FORMAT: u8 = 1;

/// A grant or renewal of the lease that a stream carries.
///
/// It holds if no other record of the stream lies between `seen_to` and its own offset:
/// whoever appended it had then seen all there was. Every reader of those offsets agrees.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who wants to hold the lease.
    pub holder: Owner,
    /// The term that is renewed; a grant begins a term of its own.
    pub renews: Option<u64>,
    /// The end of the stream as its author had read it.
    pub seen_to: u64,
}

impl LeaseRecord {
    /// The bytes to append.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("types of a record can always be encoded")
    }

    /// Reads a record's bytes; nothing if they are no record of this format.
    pub fn decode(bytes: &[u8]) -> Option<LeaseRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

/// Times of a lease, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long a record is good for its holder, from before its append.
    pub duration_ms: u64,
    /// How much longer others wait, from after they read it: covers clocks that run at
    /// different paces.
    pub margin_ms: u64,
    /// When before the end a holder renews.
    pub renew_before_ms: u64,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing before this time, unless a record is read.
    WaitUntil(u64),
    /// Append this record now; its answer decides nothing.
    Append(LeaseRecord),
    /// An append is under way: read the stream.
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

/// One instance's view of a lease. Times are of its own monotonic clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    owner: Owner,
    timing: LeaseTiming,
    next_offset: u64,
    /// Nobody else may hold the lease before this instance has waited so long.
    blocked_until_ms: u64,
    pending: Option<Pending>,
    held: Option<Held>,
}

impl Lease {
    /// The view of an instance that has read nothing.
    pub fn new(owner: Owner, timing: LeaseTiming, now_ms: u64) -> Lease {
        // A record that aged out before it could be read may still be good.
        let blocked_until_ms = now_ms + timing.duration_ms + timing.margin_ms;
        Lease { owner, timing, next_offset: 0, blocked_until_ms, pending: None, held: None }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The term under which orders may be given now; the fencing number of each.
    pub fn term(&self, now_ms: u64) -> Option<u64> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.term)
    }

    /// What to do at this time. An append that is told to be made counts from now.
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

    /// Gives an append up that was not read back. It may still land, and then counts as
    /// anybody's record.
    pub fn abandon_append(&mut self) {
        self.pending = None;
    }

    /// Takes a page of the stream in.
    pub fn apply(&mut self, page: &Page, now_ms: u64) {
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.apply_record(record, now_ms);
            }
        }
    }

    fn apply_record(&mut self, record: &LogRecord, now_ms: u64) {
        let gap = record.offset > self.next_offset;
        self.next_offset = record.offset + 1;
        let Some(decoded) = LeaseRecord::decode(&record.payload) else { return };
        self.blocked_until_ms = now_ms + self.timing.duration_ms + self.timing.margin_ms;
        let ours = self.pending.take_if(|it| it.record == decoded);
        let holds = decoded.seen_to == record.offset && !gap;
        match ours {
            Some(pending) if holds => {
                let term = decoded.renews.unwrap_or(record.offset);
                let until_ms = pending.begun_ms + self.timing.duration_ms;
                self.held = Some(Held { term, until_ms });
            }
            // Somebody else's term has begun, or ours ends as it would have.
            Some(_) => {}
            None if holds && decoded.holder != self.owner => self.held = None,
            None => {}
        }
    }
}

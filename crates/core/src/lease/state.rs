//! One instance's view of a lease.

use super::record::{FencingToken, LeaseRecord};
use crate::{
    log::{LogRecord, Page},
    owner::Owner,
};

/// Bits of a fencing token below the era.
const OFFSET_BITS: u32 = 32;

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

/// A record that another instance has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeardRecord {
    /// Era of the log in which it was read.
    pub era: u64,
    /// Its offset.
    pub offset: u64,
    /// Latest time at which its validity may have begun, by this instance's clock.
    pub at_ms: u64,
}

/// One instance's view of a lease. All times are from its own clock, which also runs while the machine is
/// suspended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    owner: Owner,
    timing: LeaseTiming,
    /// Era of the log that `next_offset` refers to.
    era: u64,
    next_offset: u64,
    /// Until then another instance may hold the lease, so that this one must not request it.
    blocked_until_ms: u64,
    /// Not before then: an earlier call of this machine may have been the last one before another
    /// instance's, and the order A, B, A must not occur within the lease's duration.
    claim_from_ms: u64,
    pending: Option<Pending>,
    held: Option<Held>,
    /// Newest record that was read or heard of in this era.
    newest: Option<HeardRecord>,
    /// The newest record that was read gave the lease up.
    is_released: bool,
    /// Number of the next record.
    sequence: u64,
}

impl Lease {
    /// Creates the view of an instance that has read nothing.
    pub fn new(owner: Owner, timing: LeaseTiming, now_ms: u64) -> Lease {
        Lease {
            owner,
            timing,
            era: 0,
            next_offset: 0,
            // A record that the log deleted before it could be read may still be valid.
            blocked_until_ms: now_ms + timing.duration_ms + timing.margin_ms,
            claim_from_ms: now_ms + timing.duration_ms,
            pending: None,
            held: None,
            newest: None,
            is_released: false,
            sequence: 0,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Era of the log that was read.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Newest record that was read or heard of.
    pub fn newest(&self) -> Option<HeardRecord> {
        self.newest
    }

    /// Whether the newest record that was read gave the lease up.
    pub fn is_released(&self) -> bool {
        self.is_released
    }

    /// The current term while this instance holds the lease: the offset of the record that began it.
    pub fn term(&self, now_ms: u64) -> Option<u64> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.term)
    }

    /// The fencing token to send with every call, and the end of the lease as far as it is granted.
    pub fn token(&self, now_ms: u64) -> Option<(FencingToken, u64)> {
        let held = self.held.as_ref().filter(|it| now_ms < it.until_ms)?;
        Some(((self.era << OFFSET_BITS) | (held.term + 1), held.until_ms))
    }

    /// When this instance may claim, if it learns of no further record.
    pub fn claim_from_ms(&self) -> u64 {
        self.blocked_until_ms.max(self.claim_from_ms)
    }

    /// Records that a call of this instance may be under way until a time.
    pub fn record_call(&mut self, until_ms: u64) {
        self.claim_from_ms = self.claim_from_ms.max(until_ms + self.timing.duration_ms);
    }

    /// Takes note of the era of the log. A later one ends the lease: offsets are given out again.
    /// Returns whether it is later.
    pub fn set_era(&mut self, era: u64, now_ms: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        self.next_offset = 0;
        self.blocked_until_ms = now_ms + self.timing.duration_ms + self.timing.margin_ms;
        self.pending = None;
        self.held = None;
        self.newest = None;
        self.is_released = false;
        true
    }

    /// Goes on reading at a later offset, as the records before it are deleted. The newest of them may
    /// still be valid.
    pub fn skip_to(&mut self, offset: u64, now_ms: u64) {
        if offset > self.next_offset {
            self.next_offset = offset;
            self.blocked_until_ms = now_ms + self.timing.duration_ms + self.timing.margin_ms;
            self.pending = None;
            self.held = None;
        }
    }

    /// Takes note of a record that another instance has read. It delays claims; only reading it can end
    /// or grant a lease.
    pub fn hear(&mut self, heard: HeardRecord) {
        let is_newer = self.newest.is_none_or(|it| heard.offset > it.offset);
        if heard.era == self.era && heard.offset >= self.next_offset && is_newer {
            self.newest = Some(heard);
            self.is_released = false;
            self.block(heard.at_ms);
        }
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
            _ => self.claim_from_ms(),
        };
        if now_ms < due_ms {
            return LeaseAction::WaitUntil(due_ms);
        }
        let record = self.next_record(renews, false);
        self.pending = Some(Pending { record: record.clone(), begun_ms: now_ms });
        LeaseAction::Append(record)
    }

    /// Gives the lease up; `None` if this instance doesn't hold it. The record tells others, who needn't
    /// wait then. All calls must have ended.
    pub fn release(&mut self, now_ms: u64) -> Option<LeaseRecord> {
        let term = self.term(now_ms)?;
        self.pending = None;
        self.held = None;
        Some(self.next_record(Some(term), true))
    }

    fn next_record(&mut self, renews: Option<u64>, is_release: bool) -> LeaseRecord {
        let sequence = self.sequence;
        self.sequence += 1;
        let (holder, seen_to, era) = (self.owner.clone(), self.next_offset, self.era);
        LeaseRecord { holder, renews, seen_to, sequence, era, is_release }
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
        let Some(decoded) = LeaseRecord::decode(&record.payload) else {
            // An instance of another release may have written it and hold the lease.
            self.note_newest(record.offset, now_ms);
            self.held = None;
            return;
        };
        let holds = decoded.seen_to == record.offset && decoded.era == self.era && !has_gap;
        self.note_newest(record.offset, now_ms);
        let ours = self.pending.take_if(|it| it.record == decoded);
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
        // Its author held the lease, and nobody claimed between its last reading and this record.
        let is_newest = self.newest.is_some_and(|it| it.offset == record.offset);
        if decoded.is_release && holds && is_newest {
            self.blocked_until_ms = now_ms;
            self.is_released = true;
        }
    }

    /// Takes note of a record that was read. If it was heard of before, its validity began before that.
    fn note_newest(&mut self, offset: u64, now_ms: u64) {
        let known = self.newest.filter(|it| it.offset >= offset);
        let newest = known.unwrap_or(HeardRecord { era: self.era, offset, at_ms: now_ms });
        self.newest = Some(newest);
        self.is_released = false;
        self.block(newest.at_ms);
    }

    fn block(&mut self, begun_ms: u64) {
        let until_ms = begun_ms + self.timing.duration_ms + self.timing.margin_ms;
        self.blocked_until_ms = self.blocked_until_ms.max(until_ms);
    }
}

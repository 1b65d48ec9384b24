//! Reads and appends records of the lease.

use std::time::Duration;

use tanagergauge_core::{
    lease::{Lease, LeaseRecord},
    log::{LogRecord, Page},
};
use tokio::time::sleep;

use super::{Holder, topic};
use crate::store::{OfEra, PlainAppend, PlainRead, PlainTopic, Store, StoreError};

/// Reads after an append until its record is there.
const READS_AFTER_APPEND: usize = 3;
/// Pause between these reads.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Most reads in a row.
const MAX_READS: usize = 20;

/// Reads the lease's records up to the end of the topic.
///
/// # Errors
/// A read failed, or the store's response belongs to an earlier era.
pub(super) async fn read<S: Store>(store: &S, holder: &Holder) -> Result<(), StoreError> {
    for _ in 0..MAX_READS {
        let from = holder.with_lease(|it, _| it.next_offset());
        let OfEra { era, mut value } = topic::read(store, PlainTopic::Duties, from).await?;
        if let PlainRead::Deleted(first) = &mut value
            && era == holder.with_lease(|it, _| it.era())
        {
            let found = topic::first_retained(store, PlainTopic::Duties, from, *first).await?;
            *first = Some(found);
        }
        if holder.with_lease(|it, now_ms| apply_read(it, from, era, value, now_ms))? {
            return Ok(());
        }
    }
    Err(StoreError::HistoryLost)
}

/// Applies what was read from an offset on. Returns whether that was all.
fn apply_read(
    lease: &mut Lease,
    from: u64,
    era: u64,
    value: PlainRead,
    now_ms: u64,
) -> Result<bool, StoreError> {
    let known_era = lease.era();
    if lease.set_era(era, now_ms) {
        if known_era > 0 {
            tracing::info!(era, "the store came back from a copy; the lease of the duties ends");
        }
        return Ok(false);
    }
    if era < lease.era() {
        return Err(StoreError::Outdated);
    }
    if from != lease.next_offset() {
        return Ok(false);
    }
    match value {
        PlainRead::Records { records, end } => {
            let record = |(at, payload): (usize, bytes::Bytes)| LogRecord {
                offset: from + at as u64,
                appended_unix_ms: 0,
                payload: payload.to_vec(),
            };
            let records: Vec<LogRecord> = records.into_iter().enumerate().map(record).collect();
            let is_empty = records.is_empty();
            let page = Page { first_offset: from, next_offset: end, records };
            lease.apply(&page, now_ms);
            let is_all = lease.next_offset() >= end;
            if is_empty && !is_all { Err(StoreError::Unreadable) } else { Ok(is_all) }
        }
        PlainRead::Deleted(Some(first)) if first > from => {
            lease.skip_to(first, now_ms);
            Ok(false)
        }
        // The topic ends before what is known, in the same era. Its offsets tell nothing.
        PlainRead::Deleted(_) => Err(StoreError::HistoryLost),
    }
}

/// Appends a record and reads it back. Only the reading decides.
///
/// # Errors
/// The topic could not be read to its end; the record may be in it.
pub(super) async fn append<S: Store>(
    store: &S,
    holder: &Holder,
    record: &LeaseRecord,
) -> Result<(), StoreError> {
    let payload = record.encode();
    let at = Some(record.seen_to);
    let appended = topic::append(store, PlainTopic::Duties, at, &payload).await;
    let mut result = Ok(());
    for _ in 0..READS_AFTER_APPEND {
        result = read(store, holder).await;
        let is_decided = match &appended {
            Ok(OfEra { value: PlainAppend::EndsElsewhere(_), .. }) => true,
            Ok(_) | Err(_) => holder.with_lease(|it, _| it.next_offset()) > record.seen_to,
        };
        if result.is_ok() && is_decided {
            break;
        }
        sleep(READ_PAUSE).await;
    }
    holder.with_lease(|it, _| it.abandon_append());
    result
}

//! Reads plain topics of the store from offset to offset, over deleted records and restores.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::{
    meters,
    store::{OfEra, PlainAppend, PlainRead, PlainTopic, Store, StoreError},
};

/// Time-out of a call to the store. A renewal of the lease takes two calls and has to leave time for
/// another one.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Most reads in a row.
const MAX_READS: usize = 50;

/// Position up to which a topic was read.
#[derive(Clone, Copy, Debug)]
pub(super) struct TopicReader {
    topic: PlainTopic,
    era: u64,
    next: u64,
}

impl TopicReader {
    pub(super) fn new(topic: PlainTopic) -> TopicReader {
        TopicReader { topic, era: 0, next: 0 }
    }

    /// Reads up to the end of the topic, all of it if the store was restored. Returns the records and
    /// the era.
    ///
    /// # Errors
    /// A read failed, or the store's response belongs to an earlier era. Records that were read before
    /// are read again.
    pub(super) async fn read<S: Store>(
        &mut self,
        store: &S,
    ) -> Result<(Vec<Bytes>, u64), StoreError> {
        let mut position = *self;
        let mut all = Vec::new();
        for _ in 0..MAX_READS {
            let OfEra { era, value } = read(store, self.topic, position.next).await?;
            if era < position.era {
                return Err(StoreError::Outdated);
            }
            if era > position.era {
                position = TopicReader { era, next: 0, ..position };
                all.clear();
                continue;
            }
            match value {
                PlainRead::Records { records, end } => {
                    if records.is_empty() && position.next < end {
                        return Err(StoreError::Unreadable);
                    }
                    position.next += records.len() as u64;
                    all.extend(records);
                    if position.next >= end {
                        *self = position;
                        return Ok((all, era));
                    }
                }
                PlainRead::Deleted(first) => {
                    position.next = first_retained(store, self.topic, position.next, first).await?;
                }
            }
        }
        Err(StoreError::HistoryLost)
    }

    /// Appends a record if the topic still ends where it was read to. Only reading it back tells whether
    /// it is there.
    pub(super) async fn append<S: Store>(&self, store: &S, record: &[u8]) {
        // The result is only counted.
        let _ = append(store, self.topic, Some(self.next), record).await;
    }
}

/// Reads records of a topic within a time-out.
///
/// # Errors
/// The call failed.
pub(super) async fn read<S: Store>(
    store: &S,
    topic: PlainTopic,
    from: u64,
) -> Result<OfEra<PlainRead>, StoreError> {
    let reading = timeout(CALL_TIMEOUT, store.read(topic, from));
    let result = reading.await.unwrap_or(Err(StoreError::Silent));
    meters::plain_call(topic, &result);
    result
}

/// Appends a record within a time-out.
///
/// # Errors
/// The call failed; the record may still be appended.
pub(super) async fn append<S: Store>(
    store: &S,
    topic: PlainTopic,
    at: Option<u64>,
    record: &[u8],
) -> Result<OfEra<PlainAppend>, StoreError> {
    let appending = timeout(CALL_TIMEOUT, store.append(topic, at, record));
    let result = appending.await.unwrap_or(Err(StoreError::Silent));
    meters::plain_call(topic, &result);
    result
}

/// The first retained offset after `deleted`: `told`, or what a binary search finds if the store doesn't
/// tell it.
///
/// # Errors
/// A call failed, or the topic ends before `deleted`: its offsets tell nothing then.
pub(super) async fn first_retained<S: Store>(
    store: &S,
    topic: PlainTopic,
    deleted: u64,
    told: Option<u64>,
) -> Result<u64, StoreError> {
    if let Some(first) = told {
        return if first > deleted { Ok(first) } else { Err(StoreError::HistoryLost) };
    }
    // The condition can't hold, as the topic goes on after its deleted records. If it does hold, no
    // reader minds an empty record.
    let end = match append(store, topic, Some(deleted), &[]).await?.value {
        PlainAppend::EndsElsewhere(end) if end > deleted => end,
        PlainAppend::EndsElsewhere(_) | PlainAppend::Appended => {
            return Err(StoreError::HistoryLost);
        }
    };
    let (mut deleted, mut retained) = (deleted, end);
    while retained - deleted > 1 {
        let middle = deleted + (retained - deleted) / 2;
        match read(store, topic, middle).await?.value {
            PlainRead::Records { .. } => retained = middle,
            PlainRead::Deleted(_) => deleted = middle,
        }
    }
    Ok(retained)
}

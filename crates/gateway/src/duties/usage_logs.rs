//! Usage in the store: committed reports, and counts of instances that reach no hub.

use tanagergauge_core::usage::{CommittedReport, KEPT_WINDOWS, Scope, SourceWindow};

use super::{Duties, topic, topic::TopicReader};
use crate::{
    boot_clock,
    store::{PlainTopic, Store, StoreError},
};

/// Format version of counts, the first byte of every record.
const COUNTS_FORMAT: u8 = 1;
/// Least time between two reads of the counts, in milliseconds.
const COUNTS_INTERVAL_MS: u64 = 1_000;

/// Least time between two attempts to write the counts, in milliseconds.
const WRITE_INTERVAL_MS: u64 = 500;

/// Positions in the topics of usage.
#[derive(Debug)]
pub(super) struct UsageLogs {
    reports: TopicReader,
    counts: TopicReader,
    /// When the counts were last read.
    counts_read_ms: u64,
    /// Era and sequence number up to which this instance wrote its counts.
    written: (u64, u64),
    /// No further attempt to write them before then.
    write_from_ms: u64,
}

impl UsageLogs {
    pub(super) fn new() -> UsageLogs {
        UsageLogs {
            reports: TopicReader::new(PlainTopic::Usage),
            counts: TopicReader::new(PlainTopic::UsageCounts),
            counts_read_ms: 0,
            written: (0, 0),
            write_from_ms: 0,
        }
    }

    /// Reads the committed reports up to the end of the topic.
    ///
    /// # Errors
    /// A read failed, or the store's response belongs to an earlier era.
    pub(super) async fn read_reports<S: Store>(
        &mut self,
        store: &S,
        duties: &Duties,
    ) -> Result<(), StoreError> {
        let (records, era) = self.reports.read(store).await?;
        let mut usage = duties.usage();
        usage.set_era(era);
        let oldest = usage.oldest_kept();
        let reports = records.iter().filter_map(|it| CommittedReport::decode(it));
        for report in reports.filter(|it| it.window >= oldest) {
            usage.reports.insert(report, true);
        }
        Ok(())
    }

    /// Appends a report unless the topic has grown since it was read, and reads what is there then. The
    /// first record of a window counts.
    ///
    /// # Errors
    /// The topic could not be read to its end; the report may be in it.
    pub(super) async fn commit<S: Store>(
        &mut self,
        store: &S,
        duties: &Duties,
        report: &CommittedReport,
    ) -> Result<(), StoreError> {
        self.reports.append(store, &report.encode()).await;
        self.read_reports(store, duties).await
    }

    /// Reads the counts of instances that reach no hub, if the last read is long ago.
    ///
    /// # Errors
    /// A read failed, or the store's response belongs to an earlier era.
    pub(super) async fn read_counts<S: Store>(
        &mut self,
        store: &S,
        duties: &Duties,
    ) -> Result<(), StoreError> {
        let now_ms = boot_clock::now_ms();
        if now_ms < self.counts_read_ms + COUNTS_INTERVAL_MS {
            return Ok(());
        }
        self.counts_read_ms = now_ms;
        let (records, _) = self.counts.read(store).await?;
        let mut usage = duties.usage();
        let oldest = usage.oldest_kept();
        for record in records {
            let Some(counts) = decode_counts(&record) else { continue };
            usage.table.merge(counts, false, oldest..=oldest + KEPT_WINDOWS);
        }
        Ok(())
    }

    /// Writes counts that a hub can't be told, once for each window that is over.
    pub(super) async fn write_counts<S: Store>(
        &mut self,
        store: &S,
        duties: &Duties,
        scope: &Scope,
    ) {
        let now_ms = boot_clock::now_ms();
        if now_ms < self.write_from_ms {
            return;
        }
        let (record, written) = {
            let usage = duties.usage();
            let era = usage.era();
            let since = if self.written.0 == era { self.written.1 } else { 0 };
            if !usage.table.has_closed_since(since, scope) {
                return;
            }
            let counts = usage.table.changes_since(since, scope);
            let Some(record) = encode_counts(&counts) else { return };
            (record, (era, usage.table.sequence()))
        };
        // Many instances may be cut off at once, and the store takes a limited number of writes.
        self.write_from_ms = now_ms + WRITE_INTERVAL_MS;
        if topic::append(store, PlainTopic::UsageCounts, None, &record).await.is_ok() {
            tracing::info!("a hub can't be told of usage; counts are in the store");
            self.written = written;
        }
    }
}

fn encode_counts(counts: &[SourceWindow]) -> Option<Vec<u8>> {
    postcard::to_extend(counts, vec![COUNTS_FORMAT]).ok()
}

fn decode_counts(record: &[u8]) -> Option<Vec<SourceWindow>> {
    postcard::from_bytes(record.strip_prefix(&[COUNTS_FORMAT])?).ok()
}

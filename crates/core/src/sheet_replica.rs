//! Replicated configuration state, built by applying the records of the stream `sheets` in order.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    Name,
    edit::Absent,
    log::{LogRecord, Page},
    record::{Base, Body, Publication, SheetRecord, Snapshot},
    sheet::Sheet,
};

/// Number of the latest records whose append times are kept, to find how old the records are that
/// a snapshot depends on.
const MAX_RECENT_RECORDS: usize = 64;

/// Maximum size of the records that are buffered until a snapshot closes a gap, in bytes. Beyond
/// it the oldest are dropped.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Functions that parse and validate sheets. Both must be pure, so that all instances agree.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Parses the text of a sheet. The error has one line for each finding.
    pub parse: fn(&str) -> Result<Sheet, Vec<Name>>,
    /// Validates a sheet. Returns one line for each finding, nothing if the sheet is valid.
    pub check: fn(&Sheet) -> Vec<Name>,
}

/// The sheet in force and where it came from.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Offset of the publication that brought it into force. Never decreases.
    pub version: u64,
    /// Id of that publication.
    pub publication_id: u128,
    /// The validated sheet.
    pub sheet: Arc<Sheet>,
}

/// Why a publication was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The sheet it replaces is not the one in force.
    StaleBase {
        /// The sheet it replaces.
        base: Base,
        /// The version in force, if there is one.
        in_force: Option<u64>,
    },
    /// An edit removes an entry that does not exist.
    Absent(Absent),
    /// The sheet is invalid. One line for each finding.
    Unsound(Vec<Name>),
}

/// Effect of applying a page or a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A publication came into force.
    Accepted {
        /// Offset of the publication.
        version: u64,
        /// Id of the publication.
        publication_id: u128,
    },
    /// A publication was rejected, as on every other reader.
    Rejected {
        /// Offset of the publication.
        offset: u64,
        /// Id of the publication.
        publication_id: u128,
        /// Reason for the rejection.
        rejection: Rejection,
    },
    /// A snapshot from the log or from a peer was installed.
    Copied {
        /// Version of the sheet in the snapshot.
        version: u64,
    },
    /// Records expired before they were read. A snapshot is needed to continue.
    Gap {
        /// Offset of the oldest record that can still be read.
        first_offset: u64,
    },
    /// A record could not be decoded and was skipped.
    Unreadable {
        /// Offset of the record.
        offset: u64,
    },
    /// The stream ends before records that were already read. The page was ignored.
    LogShrank {
        /// End of the stream as reported by the log.
        next_offset: u64,
    },
}

/// Missing records, and the records that were read after them.
#[derive(Clone, Debug)]
struct Gap {
    /// All publications from this offset to the replica's `next_offset` are in `buffered`.
    first_offset: u64,
    buffered: VecDeque<(LogRecord, SheetRecord)>,
    /// Total payload size of `buffered`.
    bytes: usize,
}

/// Replicated state of the configuration.
///
/// Deterministic: the same records give the same sheet on every instance.
#[derive(Clone, Debug)]
pub struct SheetReplica {
    rules: Rules,
    in_force: Option<InForce>,
    /// `in_force` is the state after all records below this offset. Never decreases.
    applied_to: u64,
    /// Offset of the next record to read. Equals `applied_to` while there is no gap.
    next_offset: u64,
    gap: Option<Gap>,
    /// End of the stream at the first read. The replica is caught up when it gets there.
    catch_up_offset: Option<u64>,
    caught_up: bool,
    /// Offsets and append times of the latest records.
    recent: VecDeque<(u64, u64)>,
    /// Append time of the oldest record that a new reader needs: the first one of the stream, or
    /// the first one to apply after the newest usable snapshot.
    replay_start_unix_ms: Option<u64>,
}

impl SheetReplica {
    /// Creates a replica that has read nothing.
    pub fn new(rules: Rules) -> SheetReplica {
        SheetReplica {
            rules,
            in_force: None,
            applied_to: 0,
            next_offset: 0,
            gap: None,
            catch_up_offset: None,
            caught_up: false,
            recent: VecDeque::new(),
            replay_start_unix_ms: None,
        }
    }

    /// Offset of the next record to read from the log.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The sheet in force, if there is one. It may be outdated until [`SheetReplica::is_ready`].
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// End of the applied records: all records below this offset are applied.
    pub fn applied_to(&self) -> u64 {
        self.applied_to
    }

    /// Whether records expired before they were read, so that newer sheets may be unknown.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Whether requests may be served: the replica has caught up and there is a sheet in force.
    /// Never becomes false again.
    pub fn is_ready(&self) -> bool {
        self.caught_up && self.in_force.is_some()
    }

    /// A snapshot of the state for peers or for the log. Absent while no sheet is in force.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let in_force = self.in_force.as_ref()?;
        Some(Snapshot {
            version: in_force.version,
            publication_id: in_force.publication_id,
            next_offset: self.applied_to,
            sheet: in_force.sheet.clone(),
        })
    }

    /// The snapshot to append to the log, if the records that a new reader depends on have reached
    /// half of their retention time.
    pub fn due_snapshot(&self, now_unix_ms: u64, retention_ms: u64) -> Option<Snapshot> {
        if self.gap.is_some() || self.catch_up_offset.is_none() || !self.is_ready() {
            return None;
        }
        let age_ms = self.replay_start_unix_ms.map(|it| now_unix_ms.saturating_sub(it));
        let due = age_ms.is_none_or(|it| it >= retention_ms / 2);
        due.then(|| self.snapshot()).flatten()
    }

    /// Applies a page of the log. Records that were already read are skipped.
    pub fn apply_page(&mut self, page: &Page) -> Vec<Effect> {
        let mut effects = Vec::new();
        if page.next_offset < self.next_offset {
            effects.push(Effect::LogShrank { next_offset: page.next_offset });
            return effects;
        }
        self.catch_up_offset.get_or_insert(page.next_offset);
        for record in &page.records {
            self.apply_or_buffer(record, &mut effects);
        }
        if page.first_offset > self.next_offset {
            self.open_gap(page.first_offset, &mut effects);
        }
        self.update_caught_up();
        effects
    }

    /// Installs a peer's snapshot if it is ahead of the local state.
    ///
    /// Meant for when the log cannot be read: ask every reachable peer for its snapshot. A single
    /// one makes the replica ready.
    pub fn adopt(&mut self, snapshot: &Snapshot) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.install(snapshot, &mut effects);
        self.caught_up |= self.in_force.is_some();
        effects
    }

    fn update_caught_up(&mut self) {
        let reached = self.catch_up_offset.is_some_and(|end| self.applied_to >= end);
        self.caught_up |= reached && self.gap.is_none();
    }

    fn apply_or_buffer(&mut self, record: &LogRecord, effects: &mut Vec<Effect>) {
        if record.offset < self.next_offset {
            return;
        }
        if record.offset > self.next_offset {
            self.open_gap(record.offset, effects);
        }
        self.next_offset = record.offset + 1;
        self.record_time(record);
        let Some(decoded) = SheetRecord::decode(&record.payload) else {
            effects.push(Effect::Unreadable { offset: record.offset });
            self.skip_record();
            return;
        };
        self.update_replay_start(record, &decoded);
        match &self.gap {
            None => self.apply(record.offset, &decoded, effects),
            Some(_) => self.handle_after_gap(record, decoded, effects),
        }
    }

    /// Counts an unreadable record as applied.
    fn skip_record(&mut self) {
        if self.gap.is_none() {
            self.applied_to = self.next_offset;
        }
    }

    fn open_gap(&mut self, first_offset: u64, effects: &mut Vec<Effect>) {
        self.gap = Some(Gap { first_offset, buffered: VecDeque::new(), bytes: 0 });
        self.next_offset = first_offset;
        self.recent.clear();
        self.replay_start_unix_ms = None;
        effects.push(Effect::Gap { first_offset });
    }

    /// Applies one record. All records below it must have been applied.
    fn apply(&mut self, offset: u64, record: &SheetRecord, effects: &mut Vec<Effect>) {
        self.applied_to = offset + 1;
        let SheetRecord::Publication(publication) = record else { return };
        let publication_id = publication.publication_id;
        match self.evaluate(publication) {
            Ok(sheet) => {
                self.in_force =
                    Some(InForce { version: offset, publication_id, sheet: Arc::new(sheet) });
                effects.push(Effect::Accepted { version: offset, publication_id });
            }
            Err(rejection) => {
                effects.push(Effect::Rejected { offset, publication_id, rejection });
            }
        }
    }

    /// The sheet that the publication brings into force, or why it is rejected.
    fn evaluate(&self, publication: &Publication) -> Result<Sheet, Rejection> {
        let in_force = self.in_force.as_ref().map(|it| it.version);
        let base_matches = match publication.base {
            Base::First => in_force.is_none(),
            Base::Version(version) => in_force == Some(version),
            Base::Before(offset) => in_force.is_none_or(|version| version < offset),
        };
        if !base_matches {
            return Err(Rejection::StaleBase { base: publication.base, in_force });
        }
        self.build_sheet(&publication.body)
    }

    fn build_sheet(&self, body: &Body) -> Result<Sheet, Rejection> {
        let sheet = match body {
            Body::Whole(text) => (self.rules.parse)(text).map_err(Rejection::Unsound)?,
            Body::Edits(edits) => {
                let mut sheet = Sheet::default();
                if let Some(in_force) = &self.in_force {
                    sheet = in_force.sheet.as_ref().clone();
                }
                for edit in edits {
                    edit.apply(&mut sheet).map_err(Rejection::Absent)?;
                }
                sheet
            }
        };
        let findings = (self.rules.check)(&sheet);
        if findings.is_empty() { Ok(sheet) } else { Err(Rejection::Unsound(findings)) }
    }

    /// Handles a record after a gap: closes the gap if the record makes that possible, else
    /// buffers it if it is a publication.
    fn handle_after_gap(
        &mut self,
        record: &LogRecord,
        decoded: SheetRecord,
        effects: &mut Vec<Effect>,
    ) {
        let Some(gap) = &mut self.gap else { return };
        match &decoded {
            SheetRecord::Snapshot(snapshot) if gap.can_install(snapshot, record.offset) => {
                self.install(snapshot, effects);
            }
            SheetRecord::Publication(publication) if gap.can_restart_from(publication) => {
                self.restart(record, &decoded, effects);
            }
            SheetRecord::Publication(_) => gap.push(record, decoded),
            SheetRecord::Snapshot(_) => {}
        }
    }

    /// Restarts from a publication that replaces any earlier sheet. The gap is closed if the
    /// publication is accepted.
    fn restart(&mut self, record: &LogRecord, decoded: &SheetRecord, effects: &mut Vec<Effect>) {
        let before = effects.len();
        let applied_to = self.applied_to;
        self.apply(record.offset, decoded, effects);
        let accepted = effects[before..].iter().any(|it| matches!(it, Effect::Accepted { .. }));
        if accepted {
            self.gap = None;
        } else {
            self.applied_to = applied_to;
        }
    }

    /// Installs a snapshot if it is consistent and ahead of the local state.
    fn install(&mut self, snapshot: &Snapshot, effects: &mut Vec<Effect>) {
        let is_older = self.in_force.as_ref().is_some_and(|it| snapshot.version < it.version);
        if is_older
            || snapshot.next_offset <= self.applied_to
            || snapshot.version >= snapshot.next_offset
        {
            return;
        }
        self.in_force = Some(InForce {
            version: snapshot.version,
            publication_id: snapshot.publication_id,
            sheet: snapshot.sheet.clone(),
        });
        self.applied_to = snapshot.next_offset;
        effects.push(Effect::Copied { version: snapshot.version });
        self.apply_buffered(effects);
    }

    /// Applies the records buffered after a gap and closes the gap, if the state now reaches it.
    fn apply_buffered(&mut self, effects: &mut Vec<Effect>) {
        match self.gap.take() {
            None => self.next_offset = self.next_offset.max(self.applied_to),
            Some(gap) if gap.first_offset > self.applied_to => self.gap = Some(gap),
            Some(gap) => {
                let applied_to = self.applied_to;
                for (record, decoded) in &gap.buffered {
                    if record.offset >= applied_to {
                        self.apply(record.offset, decoded, effects);
                    }
                }
                self.next_offset = self.next_offset.max(self.applied_to);
                self.applied_to = self.next_offset;
            }
        }
    }

    fn record_time(&mut self, record: &LogRecord) {
        self.replay_start_unix_ms =
            self.replay_start_unix_ms.or((record.offset == 0).then_some(record.appended_unix_ms));
        self.recent.push_back((record.offset, record.appended_unix_ms));
        if self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// Updates `replay_start_unix_ms` after a snapshot in the log. A snapshot is usable until the
    /// first record to apply after it expires, which may be older than the snapshot itself.
    fn update_replay_start(&mut self, record: &LogRecord, decoded: &SheetRecord) {
        let SheetRecord::Snapshot(snapshot) = decoded else { return };
        let is_time_known = self.recent.front().is_some_and(|it| it.0 <= snapshot.next_offset);
        if !is_time_known || snapshot.next_offset > record.offset {
            return;
        }
        let first = self.recent.iter().find(|it| it.0 >= snapshot.next_offset);
        self.replay_start_unix_ms = self.replay_start_unix_ms.max(first.map(|it| it.1));
    }
}

impl Gap {
    /// Whether a snapshot appended at `offset` closes the gap: all records that it does not
    /// include have been read.
    fn can_install(&self, snapshot: &Snapshot, offset: u64) -> bool {
        self.first_offset <= snapshot.next_offset && snapshot.next_offset <= offset
    }

    /// Whether the publication comes into force whatever the missing records contain.
    fn can_restart_from(&self, publication: &Publication) -> bool {
        let Base::Before(limit) = publication.base else { return false };
        let has_later_publication = self.buffered.iter().any(|(record, _)| record.offset >= limit);
        self.first_offset <= limit
            && !has_later_publication
            && matches!(publication.body, Body::Whole(_))
    }

    fn push(&mut self, record: &LogRecord, decoded: SheetRecord) {
        self.bytes += record.payload.len();
        self.buffered.push_back((record.clone(), decoded));
        while self.bytes > MAX_BUFFERED_BYTES {
            let Some((oldest, _)) = self.buffered.pop_front() else { return };
            self.bytes -= oldest.payload.len();
            self.first_offset = oldest.offset + 1;
        }
    }
}

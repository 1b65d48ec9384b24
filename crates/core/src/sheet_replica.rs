//! The configuration as a fold of the stream `sheets`.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    Name,
    edit::Absent,
    log::{LogRecord, Page},
    record::{Base, Body, Publication, SheetRecord, Snapshot},
    sheet::Sheet,
};

/// Records whose times are remembered to date a snapshot.
const RECENT_RECORDS: usize = 64;

/// Bytes of records kept while a snapshot is awaited.
const BUFFERED_BYTES: usize = 4 << 20;

/// How texts and sheets are judged. Both must be pure, so that all readers agree.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Reads a planner's text; fails with one line a finding.
    pub parse: fn(&str) -> Result<Sheet, Vec<Name>>,
    /// Judges a sheet; empty if it is sound.
    pub check: fn(&Sheet) -> Vec<Name>,
}

/// The sheet in force.
#[derive(Clone, Debug, PartialEq)]
pub struct InForce {
    /// Offset of the record that brought it. Never falls.
    pub version: u64,
    /// The publication that brought it.
    pub publication_id: u128,
    /// The sheet.
    pub sheet: Arc<Sheet>,
}

/// Why a publication changed nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It replaces another sheet than the one in force.
    StaleBase {
        /// The sheet it replaces.
        base: Base,
        /// The version in force.
        in_force: Option<u64>,
    },
    /// An edit removes what is not there.
    Absent(Absent),
    /// The sheet is not sound; one line a finding.
    Unsound(Vec<Name>),
}

/// What a read or a copy did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A publication came into force.
    Accepted {
        /// Its offset.
        version: u64,
        /// Its id.
        publication_id: u128,
    },
    /// A publication was refused by every reader.
    Rejected {
        /// Its offset.
        offset: u64,
        /// Its id.
        publication_id: u128,
        /// Why.
        rejection: Rejection,
    },
    /// A snapshot or a peer's copy was taken.
    Copied {
        /// Version of its sheet.
        version: u64,
    },
    /// Records aged out before they were read; a snapshot is awaited.
    Gap {
        /// The oldest record that could be read.
        first_offset: u64,
    },
    /// A record of no known format. It counts as nothing.
    Unreadable {
        /// Its offset.
        offset: u64,
    },
    /// The stream ends before what has been read of it; the page is ignored.
    LogShrank {
        /// The end the log gave.
        next_offset: u64,
    },
}

/// Records read behind a gap.
#[derive(Clone, Debug)]
struct Gap {
    /// Every record from here to the reader's place is in `buffered`.
    first_offset: u64,
    buffered: VecDeque<(LogRecord, SheetRecord)>,
    bytes: usize,
}

/// A reader of the stream: the same records give the same sheet at every instance.
#[derive(Clone, Debug)]
pub struct SheetReplica {
    rules: Rules,
    in_force: Option<InForce>,
    /// `in_force` is the state after all records below this offset. Never falls.
    applied_to: u64,
    /// The next record to ask for. Equals `applied_to` while there is no gap.
    next_offset: u64,
    gap: Option<Gap>,
    /// The end of the stream at the first read.
    goal_offset: Option<u64>,
    caught_up: bool,
    recent: VecDeque<(u64, u64)>,
    /// Age of the newest record from which a reader without history could start.
    anchor_unix_ms: Option<u64>,
}

impl SheetReplica {
    /// A reader that has read nothing.
    pub fn new(rules: Rules) -> SheetReplica {
        SheetReplica {
            rules,
            in_force: None,
            applied_to: 0,
            next_offset: 0,
            gap: None,
            goal_offset: None,
            caught_up: false,
            recent: VecDeque::new(),
            anchor_unix_ms: None,
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// The sheet in force.
    pub fn in_force(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Every record below this offset is folded in.
    pub fn applied_to(&self) -> u64 {
        self.applied_to
    }

    /// Whether records aged out before they were read, so that newer sheets may be unknown.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Whether requests may be served: there is a sheet, and it is no intermediate one.
    /// Once true, always true.
    pub fn is_ready(&self) -> bool {
        self.caught_up && self.in_force.is_some()
    }

    /// The state as a copy for peers or for the log.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let in_force = self.in_force.as_ref()?;
        Some(Snapshot {
            version: in_force.version,
            publication_id: in_force.publication_id,
            next_offset: self.applied_to,
            sheet: in_force.sheet.clone(),
        })
    }

    /// The snapshot to append, if the newest one in the log has lived half its time.
    pub fn due_snapshot(&self, now_unix_ms: u64, retention_ms: u64) -> Option<Snapshot> {
        if self.gap.is_some() || self.goal_offset.is_none() || !self.is_ready() {
            return None;
        }
        let age_ms = self.anchor_unix_ms.map(|it| now_unix_ms.saturating_sub(it));
        let due = age_ms.is_none_or(|it| it >= retention_ms / 2);
        due.then(|| self.snapshot()).flatten()
    }

    /// Folds a page in. Records that were read before are passed over.
    pub fn apply_page(&mut self, page: &Page) -> Vec<Effect> {
        let mut effects = Vec::new();
        if page.next_offset < self.next_offset {
            effects.push(Effect::LogShrank { next_offset: page.next_offset });
            return effects;
        }
        self.goal_offset.get_or_insert(page.next_offset);
        for record in &page.records {
            self.read_one(record, &mut effects);
        }
        if page.first_offset > self.next_offset {
            self.open_gap(page.first_offset, &mut effects);
        }
        self.note_catch_up();
        effects
    }

    /// Takes a peer's copy if it is ahead of what is known here. To be asked of every
    /// reachable peer when the log cannot be read; one answer makes the reader ready.
    pub fn adopt(&mut self, copy: &Snapshot) -> Vec<Effect> {
        let mut effects = Vec::new();
        self.take_copy(copy, &mut effects);
        self.caught_up |= self.in_force.is_some();
        effects
    }

    fn note_catch_up(&mut self) {
        let reached = self.goal_offset.is_some_and(|goal| self.applied_to >= goal);
        self.caught_up |= reached && self.gap.is_none();
    }

    fn read_one(&mut self, record: &LogRecord, effects: &mut Vec<Effect>) {
        if record.offset < self.next_offset {
            return;
        }
        if record.offset > self.next_offset {
            self.open_gap(record.offset, effects);
        }
        self.next_offset = record.offset + 1;
        self.remember_time(record);
        let Some(decoded) = SheetRecord::decode(&record.payload) else {
            effects.push(Effect::Unreadable { offset: record.offset });
            self.pass_over();
            return;
        };
        self.note_anchor(record, &decoded);
        match &self.gap {
            None => self.step(record.offset, &decoded, effects),
            Some(_) => self.buffer(record, decoded, effects),
        }
    }

    fn pass_over(&mut self) {
        if self.gap.is_none() {
            self.applied_to = self.next_offset;
        }
    }

    fn open_gap(&mut self, first_offset: u64, effects: &mut Vec<Effect>) {
        self.gap = Some(Gap { first_offset, buffered: VecDeque::new(), bytes: 0 });
        self.next_offset = first_offset;
        self.recent.clear();
        self.anchor_unix_ms = None;
        effects.push(Effect::Gap { first_offset });
    }

    /// Folds one record in, the history below it being known.
    fn step(&mut self, offset: u64, record: &SheetRecord, effects: &mut Vec<Effect>) {
        self.applied_to = offset + 1;
        let SheetRecord::Publication(publication) = record else { return };
        let publication_id = publication.publication_id;
        match self.judge(publication) {
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

    fn judge(&self, publication: &Publication) -> Result<Sheet, Rejection> {
        let in_force = self.in_force.as_ref().map(|it| it.version);
        let holds = match publication.base {
            Base::First => in_force.is_none(),
            Base::Version(version) => in_force == Some(version),
            Base::Before(offset) => in_force.is_none_or(|version| version < offset),
        };
        if !holds {
            return Err(Rejection::StaleBase { base: publication.base, in_force });
        }
        self.built(&publication.body)
    }

    fn built(&self, body: &Body) -> Result<Sheet, Rejection> {
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

    /// Keeps a record behind a gap, and closes the gap if the record allows it.
    fn buffer(&mut self, record: &LogRecord, decoded: SheetRecord, effects: &mut Vec<Effect>) {
        let Some(gap) = &mut self.gap else { return };
        match &decoded {
            SheetRecord::Snapshot(snapshot) if gap.covers(snapshot, record.offset) => {
                self.take_copy(snapshot, effects);
            }
            SheetRecord::Publication(publication) if gap.allows(publication) => {
                self.restart(record, &decoded, effects);
            }
            SheetRecord::Publication(_) => gap.push(record, decoded),
            SheetRecord::Snapshot(_) => {}
        }
    }

    /// Begins anew from a publication that replaces whatever was in force.
    fn restart(&mut self, record: &LogRecord, decoded: &SheetRecord, effects: &mut Vec<Effect>) {
        let before = effects.len();
        let applied_to = self.applied_to;
        self.step(record.offset, decoded, effects);
        let accepted = effects[before..].iter().any(|it| matches!(it, Effect::Accepted { .. }));
        if accepted {
            self.gap = None;
        } else {
            self.applied_to = applied_to;
        }
    }

    fn take_copy(&mut self, copy: &Snapshot, effects: &mut Vec<Effect>) {
        let behind = self.in_force.as_ref().is_some_and(|it| copy.version < it.version);
        if behind || copy.next_offset <= self.applied_to || copy.version >= copy.next_offset {
            return;
        }
        self.in_force = Some(InForce {
            version: copy.version,
            publication_id: copy.publication_id,
            sheet: copy.sheet.clone(),
        });
        self.applied_to = copy.next_offset;
        effects.push(Effect::Copied { version: copy.version });
        self.replay(effects);
    }

    /// Folds in what was read behind a gap, if the state now reaches to it.
    fn replay(&mut self, effects: &mut Vec<Effect>) {
        match self.gap.take() {
            None => self.next_offset = self.next_offset.max(self.applied_to),
            Some(gap) if gap.first_offset > self.applied_to => self.gap = Some(gap),
            Some(gap) => {
                let applied_to = self.applied_to;
                for (record, decoded) in &gap.buffered {
                    if record.offset >= applied_to {
                        self.step(record.offset, decoded, effects);
                    }
                }
                self.next_offset = self.next_offset.max(self.applied_to);
                self.applied_to = self.next_offset;
            }
        }
    }

    fn remember_time(&mut self, record: &LogRecord) {
        self.anchor_unix_ms =
            self.anchor_unix_ms.or((record.offset == 0).then_some(record.appended_unix_ms));
        self.recent.push_back((record.offset, record.appended_unix_ms));
        if self.recent.len() > RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    /// A snapshot lives as long as the first record that must be replayed after it.
    fn note_anchor(&mut self, record: &LogRecord, decoded: &SheetRecord) {
        let SheetRecord::Snapshot(snapshot) = decoded else { return };
        let known = self.recent.front().is_some_and(|it| it.0 <= snapshot.next_offset);
        if !known || snapshot.next_offset > record.offset {
            return;
        }
        let first = self.recent.iter().find(|it| it.0 >= snapshot.next_offset);
        self.anchor_unix_ms = self.anchor_unix_ms.max(first.map(|it| it.1));
    }
}

impl Gap {
    /// Whether every record that the snapshot has not folded in was read.
    fn covers(&self, snapshot: &Snapshot, offset: u64) -> bool {
        self.first_offset <= snapshot.next_offset && snapshot.next_offset <= offset
    }

    /// Whether the publication comes into force whatever the unread records said.
    fn allows(&self, publication: &Publication) -> bool {
        let Base::Before(limit) = publication.base else { return false };
        let disputed = self.buffered.iter().any(|(record, _)| record.offset >= limit);
        self.first_offset <= limit && !disputed && matches!(publication.body, Body::Whole(_))
    }

    fn push(&mut self, record: &LogRecord, decoded: SheetRecord) {
        self.bytes += record.payload.len();
        self.buffered.push_back((record.clone(), decoded));
        while self.bytes > BUFFERED_BYTES {
            let Some((oldest, _)) = self.buffered.pop_front() else { return };
            self.bytes -= oldest.payload.len();
            self.first_offset = oldest.offset + 1;
        }
    }
}

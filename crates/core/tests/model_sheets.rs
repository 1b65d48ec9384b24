//! Model check of the replicated configuration, with the replica type that runs in production.
//!
//! Three readers, two concurrent publications, a log that loses, delays and expires records, late
//! snapshots, snapshots copied between peers, and readers that restart. A paused or disconnected
//! reader is one that takes no steps, and a lost append is one that never completes.

mod search;

use std::hash::{Hash, Hasher};

use search::{Report, assert_caught, assert_safe, search};
use tanagergauge_core::{
    Name,
    log::{LogRecord, Page},
    record::{Base, Body, Publication, SheetRecord, Snapshot},
    sheet::Sheet,
    sheet_replica::{Effect, Rules, SheetReplica},
};

const READERS: usize = 3;
const RULES: Rules = Rules { parse, check };

/// Adds a successor state: the name of a step and the change it makes.
type AddStep<'a> = dyn FnMut(String, &dyn Fn(&mut System)) + 'a;

/// Change that breaks the protocol, which the search must detect.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutant {
    /// The protocol as it is.
    Unmodified,
    /// The base of a publication is not checked.
    NoBase,
    /// A snapshot is installed although records after it expired before they were read.
    SnapshotUnchecked,
    /// A peer's snapshot is installed even if it is older than the local state.
    CopyUnchecked,
    /// A snapshot is appended as an ordinary publication.
    SnapshotAsSheet,
    /// Readers serve before they have caught up.
    ServesAtOnce,
}

/// Configuration of a search: the protocol and how often each kind of step may occur.
#[derive(Clone, Copy)]
struct Spec {
    mutant: Mutant,
    publications: usize,
    snapshots: usize,
    restarts: usize,
    /// Records that may expire.
    trims: usize,
}

#[derive(Clone)]
struct Reader {
    replica: SheetReplica,
    /// Version served last. Absent after a restart.
    served: Option<u64>,
    /// End of the stream at its first read.
    catch_up_offset: Option<usize>,
    /// Offset of the first record that can be read after its gap.
    gap_from: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct System {
    log: Vec<Vec<u8>>,
    first_offset: usize,
    /// Appends that are sent but not yet in the log.
    in_flight: Vec<Vec<u8>>,
    readers: Vec<Reader>,
    publications_left: usize,
    snapshots_left: usize,
    restarts_left: usize,
    trims_left: usize,
    /// Version in force after each record, for a reader of the whole stream.
    expected_versions: Vec<Option<u64>>,
    /// Sheets in force so far for a reader of the whole stream, oldest first.
    history: Vec<Name>,
    /// Whether an invariant is violated.
    is_bad: bool,
}

fn parse(text: &str) -> Result<Sheet, Vec<Name>> {
    Ok(Sheet { sheet: Name::from(text), ..Sheet::default() })
}

fn check(_: &Sheet) -> Vec<Name> {
    Vec::new()
}

fn version(replica: &SheetReplica) -> Option<u64> {
    replica.in_force().map(|it| it.version)
}

#[derive(PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ObservableState {
    served: Option<u64>,
    version: Option<u64>,
    applied_to: u64,
    next_offset: u64,
    catch_up_offset: Option<usize>,
    gap_from: Option<u64>,
    is_ready: bool,
}

impl Reader {
    fn new() -> Reader {
        Reader {
            replica: SheetReplica::new(RULES),
            served: None,
            catch_up_offset: None,
            gap_from: None,
        }
    }

    /// Everything in which two readers of the same log can differ.
    fn observable_state(&self) -> ObservableState {
        let replica = &self.replica;
        ObservableState {
            served: self.served,
            version: version(replica),
            applied_to: replica.applied_to(),
            next_offset: replica.next_offset(),
            catch_up_offset: self.catch_up_offset,
            gap_from: self.gap_from,
            is_ready: replica.is_ready(),
        }
    }
}

impl PartialEq for Reader {
    fn eq(&self, other: &Reader) -> bool {
        self.observable_state() == other.observable_state()
    }
}

impl Eq for Reader {}

impl Hash for Reader {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.observable_state().hash(hasher);
    }
}

impl Spec {
    fn check(self) -> Report {
        let start = System {
            log: Vec::new(),
            first_offset: 0,
            in_flight: Vec::new(),
            readers: vec![Reader::new(); READERS],
            publications_left: self.publications,
            snapshots_left: self.snapshots,
            restarts_left: self.restarts,
            trims_left: self.trims,
            expected_versions: vec![None],
            history: Vec::new(),
            is_bad: false,
        };
        search(start, |system| self.successors(system), |system| system.is_bad)
    }

    fn successors(&self, system: &System) -> Vec<(String, System)> {
        let mut next = Vec::new();
        let mut add = |step: String, change: &dyn Fn(&mut System)| {
            let mut system = system.clone();
            change(&mut system);
            system.in_flight.sort_unstable();
            // Readers are interchangeable, so their order is normalized to merge equal states.
            system.readers.sort_by_key(Reader::observable_state);
            next.push((step, system));
        };
        for index in 0..system.in_flight.len() {
            add(format!("append {index} completes"), &|it| it.complete_append(index));
        }
        if system.trims_left > 0 && system.first_offset < system.log.len() {
            add("a record expires".to_owned(), &|it| {
                it.trims_left -= 1;
                it.first_offset += 1;
            });
        }
        for at in 0..READERS {
            self.add_reader_steps(at, system, &mut add);
        }
        next
    }

    fn add_reader_steps(&self, at: usize, system: &System, add: &mut AddStep<'_>) {
        let replica = &system.readers[at].replica;
        if (replica.next_offset() as usize) < system.log.len() {
            add(format!("{at} reads a record"), &|it| self.read(it, at));
        }
        if system.publications_left > 0 && (replica.is_ready() || system.log.is_empty()) {
            add(format!("publication based on the sheet of {at}"), &|it| self.publish(it, at));
        }
        if system.snapshots_left > 0 && replica.is_ready() {
            add(format!("{at} publishes a snapshot"), &|it| self.publish_snapshot(it, at));
        }
        if system.restarts_left > 0 && replica.next_offset() > 0 {
            add(format!("{at} restarts"), &|it| {
                it.restarts_left -= 1;
                it.readers[at] = Reader::new();
            });
        }
        for from in (0..READERS).filter(|it| *it != at) {
            if system.readers[from].replica.is_ready() {
                add(format!("{at} copies from {from}"), &|it| self.copy_snapshot(it, at, from));
            }
        }
    }

    /// Publishes a sheet that replaces the one in force at reader `at`. The answer may be lost.
    fn publish(&self, system: &mut System, at: usize) {
        system.publications_left -= 1;
        let base = version(&system.readers[at].replica).map_or(Base::First, Base::Version);
        let publication_id = system.publications_left as u128;
        let body = Body::Whole(Name::from(format!("sheet {publication_id}")));
        let publication = Publication { publication_id, base, body };
        let record = SheetRecord::Publication(publication).encode();
        if system.publications_left == 0 {
            // Appended twice, as by a publisher that lost the first answer and retries.
            system.in_flight.push(record.clone());
        }
        system.in_flight.push(record);
    }

    fn publish_snapshot(&self, system: &mut System, at: usize) {
        system.snapshots_left -= 1;
        let Some(snapshot) = system.readers[at].replica.snapshot() else { return };
        let record = if self.mutant == Mutant::SnapshotAsSheet {
            let body = Body::Whole(snapshot.sheet.sheet.clone());
            let base = Base::Before(u64::MAX);
            SheetRecord::Publication(Publication { publication_id: 99, base, body })
        } else {
            SheetRecord::Snapshot(snapshot)
        };
        system.in_flight.push(record.encode());
    }

    fn read(&self, system: &mut System, at: usize) {
        let replica = &system.readers[at].replica;
        let from = (replica.next_offset() as usize).max(system.first_offset);
        let record = system.log.get(from).map(|payload| LogRecord {
            offset: from as u64,
            appended_unix_ms: 0,
            payload: self.mutate_record(payload, replica, system.first_offset),
        });
        let first_offset = system.first_offset as u64;
        let next_offset = system.log.len() as u64;
        let records = record.into_iter().collect();
        let end = system.log.len();
        let reader = &mut system.readers[at];
        reader.catch_up_offset.get_or_insert(end);
        for effect in reader.replica.apply_page(&Page { first_offset, next_offset, records }) {
            if let Effect::Gap { first_offset } = effect {
                reader.gap_from = Some(first_offset);
            }
        }
        self.check_invariants(system, at);
    }

    /// The record as a mutant's replica reads it.
    fn mutate_record(
        &self,
        payload: &[u8],
        replica: &SheetReplica,
        first_offset: usize,
    ) -> Vec<u8> {
        match (self.mutant, SheetRecord::decode(payload)) {
            (Mutant::NoBase, Some(SheetRecord::Publication(it))) => {
                let base = version(replica).map_or(Base::First, Base::Version);
                SheetRecord::Publication(Publication { base, ..it }).encode()
            }
            (Mutant::SnapshotUnchecked, Some(SheetRecord::Snapshot(it))) => {
                let next_offset = it.next_offset.max(first_offset as u64);
                SheetRecord::Snapshot(Snapshot { next_offset, ..it }).encode()
            }
            _ => payload.to_vec(),
        }
    }

    fn copy_snapshot(&self, system: &mut System, at: usize, from: usize) {
        let Some(copy) = system.readers[from].replica.snapshot() else { return };
        if self.mutant == Mutant::CopyUnchecked {
            let mut replica = SheetReplica::new(RULES);
            replica.adopt(&copy);
            system.readers[at].replica = replica;
        } else {
            system.readers[at].replica.adopt(&copy);
        }
        self.check_invariants(system, at);
    }

    /// Checks that a reader serves the version in force at its offset, and no older version than
    /// it served before.
    fn check_invariants(&self, system: &mut System, at: usize) {
        let reader = &mut system.readers[at];
        reader.gap_from = reader.gap_from.filter(|_| reader.replica.has_gap());
        if !reader.replica.is_ready() && self.mutant != Mutant::ServesAtOnce {
            return;
        }
        let Some(served) = version(&reader.replica) else { return };
        let expected = system.expected_versions[reader.replica.applied_to() as usize];
        let reverts = reader.served.is_some_and(|it| served < it);
        system.is_bad |= reverts || expected != Some(served);
        // A restarted reader may have read only a part of the stream. It must not serve a sheet
        // that had been replaced before it started to read, unless the log is unavailable and it
        // has installed a peer's snapshot.
        let is_stale = reader.served.is_none() && !reader.replica.is_ready();
        system.is_bad |= is_stale;
        reader.served = Some(served);
    }
}

impl System {
    fn complete_append(&mut self, index: usize) {
        let payload = self.in_flight.remove(index);
        self.log.push(payload);
        let mut reader = SheetReplica::new(RULES);
        let record = |(offset, payload): (usize, &Vec<u8>)| LogRecord {
            offset: offset as u64,
            appended_unix_ms: 0,
            payload: payload.clone(),
        };
        let records = self.log.iter().enumerate().map(record).collect();
        let next_offset = self.log.len() as u64;
        reader.apply_page(&Page { first_offset: 0, next_offset, records });
        self.expected_versions.push(version(&reader));
        let Some(in_force) = reader.in_force() else { return };
        let sheet = &in_force.sheet.sheet;
        if self.history.last() != Some(sheet) {
            self.is_bad |= self.history.contains(sheet);
            self.history.push(sheet.clone());
        }
    }
}

const SPEC: Spec =
    Spec { mutant: Mutant::Unmodified, publications: 2, snapshots: 1, restarts: 1, trims: 1 };

#[test]
fn readers_agree_and_never_revert() {
    assert_safe("sheets", &SPEC.check());
}

macro_rules! detected_mutants {
    ($($name:ident: $spec:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_caught(stringify!($name), &$spec.check());
        }
    )* };
}

detected_mutants! {
    mutant_without_base: Spec { mutant: Mutant::NoBase, ..SPEC };
    mutant_trusts_any_snapshot: Spec { mutant: Mutant::SnapshotUnchecked, trims: 2, ..SPEC };
    mutant_takes_any_copy: Spec { mutant: Mutant::CopyUnchecked, ..SPEC };
    mutant_republishes_as_a_sheet: Spec { mutant: Mutant::SnapshotAsSheet, ..SPEC };
    mutant_serves_at_once: Spec { mutant: Mutant::ServesAtOnce, ..SPEC };
}

//! Model check of the configuration: the core's own fold at three readers, two planners
//! that race, a log that loses, delays and ages out appends, snapshots that come late,
//! copies between peers, and readers that start anew.
//!
//! A paused or cut-off reader is one whose steps do not come, and a lost append one that
//! never lands.

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

/// Takes the name of a step, and the step.
type Add<'a> = dyn FnMut(String, &dyn Fn(&mut World)) + 'a;

/// What is taken away from the protocol.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutant {
    Nothing,
    /// A publication replaces whatever is in force where it is read.
    NoBase,
    /// A snapshot is taken wherever the reader began.
    SnapshotUnchecked,
    /// A peer's copy is taken, however old.
    CopyUnchecked,
    /// A snapshot is published as an ordinary sheet.
    SnapshotAsSheet,
    /// Readers serve before they have caught up.
    ServesAtOnce,
}

#[derive(Clone, Copy)]
struct Spec {
    mutant: Mutant,
    publications: usize,
    snapshots: usize,
    restarts: usize,
    trims: usize,
}

#[derive(Clone)]
struct Reader {
    replica: SheetReplica,
    /// The version served last, over all starts of this reader's process.
    served: Option<u64>,
    /// The end of the stream at its first read, and where its gap begins.
    goal: Option<usize>,
    gap_from: Option<u64>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    log: Vec<Vec<u8>>,
    first_offset: usize,
    in_flight: Vec<Vec<u8>>,
    readers: Vec<Reader>,
    publications_left: usize,
    snapshots_left: usize,
    restarts_left: usize,
    trims_left: usize,
    /// What a reader of everything holds after each record.
    truth: Vec<Option<u64>>,
    /// The sheets that a reader of everything has held, oldest first.
    history: Vec<Name>,
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
struct Essence {
    served: Option<u64>,
    version: Option<u64>,
    applied_to: u64,
    next_offset: u64,
    goal: Option<usize>,
    gap_from: Option<u64>,
    is_ready: bool,
}

impl Reader {
    fn new() -> Reader {
        Reader { replica: SheetReplica::new(RULES), served: None, goal: None, gap_from: None }
    }

    /// All that tells two readers apart, since readers of one log differ in no more.
    fn essence(&self) -> Essence {
        let replica = &self.replica;
        Essence {
            served: self.served,
            version: version(replica),
            applied_to: replica.applied_to(),
            next_offset: replica.next_offset(),
            goal: self.goal,
            gap_from: self.gap_from,
            is_ready: replica.is_ready(),
        }
    }
}

impl PartialEq for Reader {
    fn eq(&self, other: &Reader) -> bool {
        self.essence() == other.essence()
    }
}

impl Eq for Reader {}

impl Hash for Reader {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.essence().hash(hasher);
    }
}

impl Spec {
    fn check(self) -> Report {
        let start = World {
            log: Vec::new(),
            first_offset: 0,
            in_flight: Vec::new(),
            readers: vec![Reader::new(); READERS],
            publications_left: self.publications,
            snapshots_left: self.snapshots,
            restarts_left: self.restarts,
            trims_left: self.trims,
            truth: vec![None],
            history: Vec::new(),
            is_bad: false,
        };
        search(start, |world| self.successors(world), |world| world.is_bad)
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |step: String, change: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            change(&mut world);
            world.in_flight.sort_unstable();
            // Nothing tells readers apart but what they know.
            world.readers.sort_by_key(Reader::essence);
            next.push((step, world));
        };
        for place in 0..world.in_flight.len() {
            add(format!("append {place} lands"), &|it| it.land(place));
        }
        if world.trims_left > 0 && world.first_offset < world.log.len() {
            add("a record ages out".to_owned(), &|it| {
                it.trims_left -= 1;
                it.first_offset += 1;
            });
        }
        for at in 0..READERS {
            self.steps_of(at, world, &mut add);
        }
        next
    }

    fn steps_of(&self, at: usize, world: &World, add: &mut Add<'_>) {
        let replica = &world.readers[at].replica;
        if (replica.next_offset() as usize) < world.log.len() {
            add(format!("{at} reads one"), &|it| self.read(it, at));
        }
        if world.publications_left > 0 && (replica.is_ready() || world.log.is_empty()) {
            add(format!("planner publishes by {at}"), &|it| self.publish(it, at));
        }
        if world.snapshots_left > 0 && replica.is_ready() {
            add(format!("{at} publishes a snapshot"), &|it| self.republish(it, at));
        }
        if world.restarts_left > 0 && replica.next_offset() > 0 {
            add(format!("{at} starts anew"), &|it| {
                it.restarts_left -= 1;
                it.readers[at] = Reader::new();
            });
        }
        for from in (0..READERS).filter(|it| *it != at) {
            if world.readers[from].replica.is_ready() {
                add(format!("{at} copies from {from}"), &|it| self.copy(it, at, from));
            }
        }
    }

    /// Both planners look at any reader's sheet and may lose the answer.
    fn publish(&self, world: &mut World, at: usize) {
        world.publications_left -= 1;
        let base = version(&world.readers[at].replica).map_or(Base::First, Base::Version);
        let publication_id = world.publications_left as u128;
        let body = Body::Whole(Name::from(format!("sheet {publication_id}")));
        let publication = Publication { publication_id, base, body };
        let record = SheetRecord::Publication(publication).encode();
        if world.publications_left == 0 {
            // This planner appends twice, as one does whose first answer was lost.
            world.in_flight.push(record.clone());
        }
        world.in_flight.push(record);
    }

    fn republish(&self, world: &mut World, at: usize) {
        world.snapshots_left -= 1;
        let Some(snapshot) = world.readers[at].replica.snapshot() else { return };
        let record = if self.mutant == Mutant::SnapshotAsSheet {
            let body = Body::Whole(snapshot.sheet.sheet.clone());
            let base = Base::Before(u64::MAX);
            SheetRecord::Publication(Publication { publication_id: 99, base, body })
        } else {
            SheetRecord::Snapshot(snapshot)
        };
        world.in_flight.push(record.encode());
    }

    fn read(&self, world: &mut World, at: usize) {
        let replica = &world.readers[at].replica;
        let from = (replica.next_offset() as usize).max(world.first_offset);
        let record = world.log.get(from).map(|payload| LogRecord {
            offset: from as u64,
            appended_unix_ms: 0,
            payload: self.mutate(payload, replica, world.first_offset),
        });
        let first_offset = world.first_offset as u64;
        let next_offset = world.log.len() as u64;
        let records = record.into_iter().collect();
        let end = world.log.len();
        let reader = &mut world.readers[at];
        reader.goal.get_or_insert(end);
        for effect in reader.replica.apply_page(&Page { first_offset, next_offset, records }) {
            if let Effect::Gap { first_offset } = effect {
                reader.gap_from = Some(first_offset);
            }
        }
        self.look(world, at);
    }

    /// What a mutant makes of a record before its fold reads it.
    fn mutate(&self, payload: &[u8], replica: &SheetReplica, first_offset: usize) -> Vec<u8> {
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

    fn copy(&self, world: &mut World, at: usize, from: usize) {
        let Some(copy) = world.readers[from].replica.snapshot() else { return };
        if self.mutant == Mutant::CopyUnchecked {
            let mut taken = SheetReplica::new(RULES);
            taken.adopt(&copy);
            world.readers[at].replica = taken;
        } else {
            world.readers[at].replica.adopt(&copy);
        }
        self.look(world, at);
    }

    /// Compares what a reader serves with what it served before and with the truth.
    fn look(&self, world: &mut World, at: usize) {
        let reader = &mut world.readers[at];
        reader.gap_from = reader.gap_from.filter(|_| reader.replica.has_gap());
        if !reader.replica.is_ready() && self.mutant != Mutant::ServesAtOnce {
            return;
        }
        let Some(serves) = version(&reader.replica) else { return };
        let truth = world.truth[reader.replica.applied_to() as usize];
        let reverts = reader.served.is_some_and(|it| serves < it);
        world.is_bad |= reverts || truth != Some(serves);
        // A reader that starts anew must not serve a sheet that was replaced when it
        // began to read, unless the platform is away and a peer's copy stands in.
        let is_old = reader.served.is_none() && !reader.replica.is_ready();
        world.is_bad |= is_old;
        reader.served = Some(serves);
    }
}

impl World {
    fn land(&mut self, place: usize) {
        let payload = self.in_flight.remove(place);
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
        self.truth.push(version(&reader));
        let Some(in_force) = reader.in_force() else { return };
        let sheet = &in_force.sheet.sheet;
        if self.history.last() != Some(sheet) {
            self.is_bad |= self.history.contains(sheet);
            self.history.push(sheet.clone());
        }
    }
}

const SPEC: Spec =
    Spec { mutant: Mutant::Nothing, publications: 2, snapshots: 1, restarts: 1, trims: 1 };

#[test]
fn readers_agree_and_never_revert() {
    assert_safe("sheets", &SPEC.check());
}

macro_rules! caught {
    ($($name:ident: $spec:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_caught(stringify!($name), &$spec.check());
        }
    )* };
}

caught! {
    mutant_without_base: Spec { mutant: Mutant::NoBase, ..SPEC };
    mutant_trusts_any_snapshot: Spec { mutant: Mutant::SnapshotUnchecked, trims: 2, ..SPEC };
    mutant_takes_any_copy: Spec { mutant: Mutant::CopyUnchecked, ..SPEC };
    mutant_republishes_as_a_sheet: Spec { mutant: Mutant::SnapshotAsSheet, ..SPEC };
    mutant_serves_at_once: Spec { mutant: Mutant::ServesAtOnce, ..SPEC };
}

//! The replicated configuration: the same records give the same sheet on every instance, and the
//! version in force never decreases.

use std::sync::Arc;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tanagergauge_core::{
    Name,
    edit::Edit,
    log::{LogRecord, Page},
    record::{Base, Body, Publication, SheetRecord, Snapshot},
    sheet::{Goal, Sheet, Tier},
    sheet_replica::{Effect, Rejection, Rules, SheetReplica},
};

const RULES: Rules = Rules { parse, check };

fn parse(text: &str) -> Result<Sheet, Vec<Name>> {
    Ok(Sheet { sheet: Name::from(text), ..Sheet::default() })
}

fn check(sheet: &Sheet) -> Vec<Name> {
    let is_invalid = sheet.sheet.as_str() == "invalid";
    is_invalid.then(|| Name::from("the sheet is invalid")).into_iter().collect()
}

fn publication(publication_id: u128, base: Base, text: &str) -> SheetRecord {
    let body = Body::Whole(Name::from(text));
    SheetRecord::Publication(Publication { publication_id, base, body })
}

/// Sheet "a", and sheet "b" that replaces it.
fn two_publications() -> [SheetRecord; 2] {
    [publication(1, Base::First, "a"), publication(2, Base::Version(0), "b")]
}

fn snapshot(version: u64, next_offset: u64, text: &str) -> Snapshot {
    let sheet = Arc::new(parse(text).unwrap());
    Snapshot { version, publication_id: 0, next_offset, sheet }
}

fn page(first_offset: u64, records: &[SheetRecord]) -> Page {
    let records: Vec<LogRecord> = records
        .iter()
        .enumerate()
        .map(|(at, it)| LogRecord {
            offset: first_offset + at as u64,
            appended_unix_ms: 1_000 * (first_offset + at as u64),
            payload: it.encode(),
        })
        .collect();
    Page { first_offset, next_offset: first_offset + records.len() as u64, records }
}

fn version(replica: &SheetReplica) -> Option<u64> {
    replica.in_force().map(|it| it.version)
}

fn text(replica: &SheetReplica) -> Option<&str> {
    replica.in_force().map(|it| it.sheet.sheet.as_str())
}

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => { $(#[test] fn $name() { $body })* };
}

cases! {
    first_sheet_is_accepted: {
        let mut replica = SheetReplica::new(RULES);
        let effects = replica.apply_page(&page(0, &[publication(7, Base::First, "a")]));
        assert_eq!(effects, [Effect::Accepted { version: 0, publication_id: 7 }]);
        assert!(replica.is_ready());
    };
    second_of_two_racing_sheets_is_rejected: {
        let mut replica = SheetReplica::new(RULES);
        let records = [
            publication(1, Base::First, "a"),
            publication(2, Base::Version(0), "b"),
            publication(3, Base::Version(0), "c"),
        ];
        let effects = replica.apply_page(&page(0, &records));
        let rejection =
            Rejection::StaleBase { base: Base::Version(0), in_force: Some(1) };
        assert_eq!(effects[2], Effect::Rejected { offset: 2, publication_id: 3, rejection });
        assert_eq!(text(&replica), Some("b"));
    };
    publication_appended_twice_is_accepted_once: {
        let mut replica = SheetReplica::new(RULES);
        let twice = publication(2, Base::Version(0), "b");
        replica.apply_page(&page(0, &[publication(1, Base::First, "a"), twice.clone(), twice]));
        assert_eq!(version(&replica), Some(1));
    };
    invalid_sheet_is_rejected: {
        let mut replica = SheetReplica::new(RULES);
        let records =
            [publication(1, Base::First, "a"), publication(2, Base::Version(0), "invalid")];
        let effects = replica.apply_page(&page(0, &records));
        assert!(matches!(
            &effects[1],
            Effect::Rejected { rejection: Rejection::Unsound(findings), .. } if findings.len() == 1
        ));
        assert_eq!(version(&replica), Some(0));
    };
    edit_that_removes_a_missing_entry_is_rejected: {
        let mut replica = SheetReplica::new(RULES);
        let edits = vec![Edit::SetGoal(Goal::Goodput), Edit::RemoveClass(Name::from("none"))];
        let body = Body::Edits(edits);
        let edits = Publication { publication_id: 2, base: Base::Version(0), body };
        let records = [publication(1, Base::First, "a"), SheetRecord::Publication(edits)];
        replica.apply_page(&page(0, &records));
        assert_eq!(version(&replica), Some(0));
        assert_eq!(replica.in_force().unwrap().sheet.goal, Goal::Attainment);
    };
    unreadable_record_is_skipped: {
        let mut replica = SheetReplica::new(RULES);
        let mut read = page(0, &two_publications());
        read.records[1].payload[0] = 99;
        assert_eq!(replica.apply_page(&read)[1], Effect::Unreadable { offset: 1 });
        assert_eq!(
            (version(&replica), replica.next_offset(), replica.applied_to()),
            (Some(0), 2, 2)
        );
    };
    replica_is_not_ready_until_caught_up: {
        let mut replica = SheetReplica::new(RULES);
        let mut read = page(0, &two_publications());
        let rest = read.records.pop().unwrap();
        replica.apply_page(&read);
        assert!(!replica.is_ready());
        replica.apply_page(&Page { records: vec![rest], ..read });
        assert!(replica.is_ready());
    };
    replica_with_a_gap_waits_for_a_snapshot: {
        let mut replica = SheetReplica::new(RULES);
        let records = [
            publication(2, Base::Version(5), "b"),
            SheetRecord::Snapshot(snapshot(5, 10, "a")),
            publication(3, Base::Version(10), "c"),
        ];
        replica.apply_page(&page(10, &records[..1]));
        assert_eq!((version(&replica), replica.is_ready()), (None, false));
        replica.apply_page(&page(10, &records));
        assert_eq!((text(&replica), replica.is_ready()), (Some("c"), true));
    };
    snapshot_that_does_not_close_the_gap_is_ignored: {
        let mut replica = SheetReplica::new(RULES);
        replica.apply_page(&page(10, &[SheetRecord::Snapshot(snapshot(5, 9, "a"))]));
        assert_eq!(version(&replica), None);
        assert!(replica.has_gap());
    };
    snapshot_is_ignored_without_a_gap: {
        let mut replica = SheetReplica::new(RULES);
        let old = SheetRecord::Snapshot(snapshot(0, 1, "a"));
        let [first, second] = two_publications();
        let records = [first, second, old];
        replica.apply_page(&page(0, &records));
        assert_eq!(text(&replica), Some("b"));
    };
    older_snapshot_of_a_peer_is_ignored: {
        let mut replica = SheetReplica::new(RULES);
        replica.apply_page(&page(0, &two_publications()));
        assert_eq!(replica.adopt(&snapshot(0, 1, "a")), []);
        assert_eq!(text(&replica), Some("b"));
    };
    snapshot_of_a_peer_makes_a_new_replica_ready: {
        let mut replica = SheetReplica::new(RULES);
        replica.adopt(&snapshot(4, 6, "a"));
        assert_eq!(
            (text(&replica), replica.is_ready(), replica.next_offset()),
            (Some("a"), true, 6)
        );
        replica.apply_page(&page(6, &[publication(9, Base::Version(4), "b")]));
        assert_eq!(text(&replica), Some("b"));
    };
    publications_after_a_gap_are_not_applied: {
        let mut replica = SheetReplica::new(RULES);
        replica.apply_page(&page(0, &[publication(1, Base::First, "a")]));
        replica.apply_page(&page(5, &[publication(2, Base::Version(0), "b")]));
        assert_eq!(
            (text(&replica), replica.has_gap(), replica.is_ready()),
            (Some("a"), true, true)
        );
    };
    operator_can_restart_without_history: {
        let mut replica = SheetReplica::new(RULES);
        let twice = publication(1, Base::Before(10), "a");
        replica.apply_page(&page(10, &[twice.clone(), twice]));
        assert_eq!((version(&replica), replica.has_gap()), (Some(10), false));
    };
    restart_is_ignored_after_a_conflicting_publication: {
        let mut replica = SheetReplica::new(RULES);
        let records =
            [publication(1, Base::Version(3), "b"), publication(2, Base::Before(10), "a")];
        replica.apply_page(&page(10, &records));
        assert_eq!((version(&replica), replica.has_gap()), (None, true));
    };
    page_of_a_shrunken_log_is_ignored: {
        let mut replica = SheetReplica::new(RULES);
        replica.apply_page(&page(0, &two_publications()));
        let effects = replica.apply_page(&page(0, &[publication(3, Base::First, "c")]));
        assert_eq!(effects, [Effect::LogShrank { next_offset: 1 }]);
        assert_eq!(text(&replica), Some("b"));
    };
    snapshot_is_due_after_half_of_the_retention_time: {
        let mut replica = SheetReplica::new(RULES);
        replica.apply_page(&page(0, &[publication(1, Base::First, "a")]));
        assert_eq!(replica.due_snapshot(4_999, 10_000), None);
        let due = replica.due_snapshot(5_000, 10_000).unwrap();
        assert_eq!((due.version, due.next_offset), (0, 1));
        replica.apply_page(&page(1, &[SheetRecord::Snapshot(due)]));
        assert_eq!(replica.due_snapshot(5_000, 10_000), None);
        assert!(replica.due_snapshot(6_000, 10_000).is_some());
    };
    edits_between_two_sheets_turn_one_into_the_other: {
        let mut old = parse("a").unwrap();
        let tier = |name: &str| Tier { name: Name::from(name) };
        old.tiers = vec![tier("x"), tier("y")];
        let new = Sheet { goal: Goal::Goodput, tiers: vec![tier("y")], ..parse("b").unwrap() };
        let edits = Edit::between(&old, &new);
        edits.iter().for_each(|it| it.apply(&mut old).unwrap());
        assert_eq!(old, new);
    };
}

/// A record to append, relative to the state of the stream at that point. `back` counts records
/// from the end of the stream.
#[derive(Clone, Copy, Debug)]
enum Append {
    /// A publication that replaces the sheet in force.
    Replace,
    /// A publication with an earlier record, which may be no sheet, as its base.
    Stale { back: u8 },
    /// An invalid sheet.
    Invalid,
    /// A snapshot of an earlier state.
    Snapshot { back: u8 },
    /// A publication that replaces any sheet below an offset.
    Restart { back: u8 },
    /// A record that cannot be decoded.
    Garbage,
}

impl Arbitrary for Append {
    fn arbitrary(g: &mut Gen) -> Append {
        let back = u8::arbitrary(g) % 6;
        *g.choose(&[
            Append::Replace,
            Append::Replace,
            Append::Stale { back },
            Append::Invalid,
            Append::Snapshot { back },
            Append::Snapshot { back: 0 },
            Append::Restart { back },
            Append::Garbage,
        ])
        .unwrap()
    }
}

/// A stream, and the states of a replica that reads all of it.
struct History {
    records: Vec<LogRecord>,
    /// The state after all records below each offset.
    states: Vec<Option<(u64, Name)>>,
}

fn state(replica: &SheetReplica) -> Option<(u64, Name)> {
    replica.in_force().map(|it| (it.version, it.sheet.sheet.clone()))
}

impl History {
    fn new(appends: &[Append]) -> History {
        let mut replica = SheetReplica::new(RULES);
        let mut history = History { records: Vec::new(), states: vec![None] };
        let mut snapshots = vec![None];
        for append in appends {
            let offset = history.records.len() as u64;
            let payload = history.payload(*append, &snapshots);
            history.records.push(LogRecord { offset, appended_unix_ms: offset, payload });
            replica.apply_page(&history.page(0, offset, 1));
            history.states.push(state(&replica));
            snapshots.push(replica.snapshot());
        }
        history
    }

    fn payload(&self, append: Append, snapshots: &[Option<Snapshot>]) -> Vec<u8> {
        let end = self.records.len();
        let version = self.states[end].as_ref().map(|it| it.0);
        let current = version.map_or(Base::First, Base::Version);
        let name = format!("sheet {end}");
        let record = match append {
            Append::Replace => publication(end as u128, current, &name),
            Append::Stale { back } => publication(
                end as u128,
                Base::Version(end.saturating_sub(back.into()) as u64),
                &name,
            ),
            Append::Invalid => publication(end as u128, current, "invalid"),
            Append::Restart { back } => publication(
                end as u128,
                Base::Before(end.saturating_sub(back.into()) as u64),
                &name,
            ),
            Append::Snapshot { back } => match &snapshots[end.saturating_sub(back.into())] {
                Some(it) => SheetRecord::Snapshot(it.clone()),
                None => return Vec::new(),
            },
            Append::Garbage => return vec![1, 255],
        };
        record.encode()
    }

    fn page(&self, first_offset: usize, from: u64, limit: usize) -> Page {
        let from = (from as usize).max(first_offset).min(self.records.len());
        let to = (from + limit).min(self.records.len());
        Page {
            first_offset: first_offset as u64,
            next_offset: self.records.len() as u64,
            records: self.records[from..to].to_vec(),
        }
    }
}

/// A replica that loses records, reads in pages and installs snapshots of peers has, at each
/// offset, the state of a replica that reads the whole stream. Its version never decreases.
#[test]
fn replicas_agree_wherever_they_start() {
    fn property(appends: Vec<Append>, trims: Vec<u8>, limits: Vec<u8>, copies: Vec<u8>) -> bool {
        let history = History::new(&appends);
        let mut replica = SheetReplica::new(RULES);
        let mut first_offset = 0;
        let mut version_before = None;
        let limits = limits.iter().map(|it| usize::from(it % 4) + 1);
        for (at, limit) in limits.enumerate() {
            let max_trim = if at % 8 == 0 { 16 } else { 4 };
            let trim = usize::from(trims.get(at).copied().unwrap_or(0) % max_trim);
            first_offset = (first_offset + trim).min(history.records.len());
            if let Some(copy) = copies.get(at).filter(|it| *it % 5 == 0) {
                let to = (usize::from(*copy) / 5).min(history.records.len());
                let mut peer = SheetReplica::new(RULES);
                peer.apply_page(&history.page(0, 0, to));
                peer.snapshot().map(|it| replica.adopt(&it));
            }
            replica.apply_page(&history.page(first_offset, replica.next_offset(), limit));
            let current = state(&replica);
            let agrees =
                current.is_none() || current == history.states[replica.applied_to() as usize];
            if !agrees || current.as_ref().map(|it| it.0) < version_before {
                return false;
            }
            version_before = current.map(|it| it.0);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(3_000)
        .quickcheck(property as fn(Vec<Append>, Vec<u8>, Vec<u8>, Vec<u8>) -> bool);
}

/// Arbitrary payloads do not make a replica panic, and all of them count as read.
#[test]
fn arbitrary_payloads_do_not_panic() {
    fn property(payloads: Vec<Vec<u8>>) -> bool {
        let mut replica = SheetReplica::new(RULES);
        let records: Vec<LogRecord> = payloads
            .into_iter()
            .enumerate()
            .map(|(at, mut payload)| {
                // The format version, without which the rest is not decoded.
                payload.insert(0, 1);
                LogRecord { offset: at as u64, appended_unix_ms: 0, payload }
            })
            .collect();
        let next_offset = records.len() as u64;
        replica.apply_page(&Page { first_offset: 0, next_offset, records });
        replica.applied_to() == next_offset
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 5))
        .tests(2_000)
        .quickcheck(property as fn(Vec<Vec<u8>>) -> bool);
}

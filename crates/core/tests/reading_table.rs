//! Copies of an instance's readings only advance, and converge.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tanagergauge_core::{
    publisher::Publisher,
    reading::{Reading, Subject, Tag, amount_of, level_of},
    reading_table::{ReadingDelta, ReadingTable},
};

#[derive(Clone, Debug)]
enum Step {
    Publish(Vec<(u8, u8)>),
    Copy { from: usize, to: usize, limit: usize },
    Send { from: usize, to: usize, limit: usize },
    Deliver { sent: usize },
    Forget { copy: usize },
    Restart,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 12 {
            0 if bool::arbitrary(g) => Step::Restart,
            0 => Step::Forget { copy: 1 + usize::arbitrary(g) % 3 },
            1..=3 => Step::Publish(Vec::arbitrary(g)),
            4..=5 => Step::Send {
                from: usize::arbitrary(g) % 4,
                to: 1 + usize::arbitrary(g) % 3,
                limit: 1 + usize::arbitrary(g) % 4,
            },
            6..=7 => Step::Deliver { sent: usize::arbitrary(g) },
            _ => Step::Copy {
                from: usize::arbitrary(g) % 4,
                to: 1 + usize::arbitrary(g) % 3,
                limit: 1 + usize::arbitrary(g) % 4,
            },
        }
    }
}

/// A delta in transit; it may arrive late and more than once.
struct Sent {
    to: usize,
    delta: ReadingDelta,
}

fn reading(subject: u8, value: u8) -> Reading {
    let subject = Subject::AccountUse(Tag([subject % 6, 0, 0, 0]));
    Reading { subject, value: u32::from(value) }
}

/// ReadingTable 0 is the original, the others are copies of it or of each other.
fn run(steps: &[Step]) -> Option<Vec<ReadingTable>> {
    let mut tables = vec![
        ReadingTable::new(1),
        ReadingTable::default(),
        ReadingTable::default(),
        ReadingTable::default(),
    ];
    let mut starts = 1;
    let mut sent: Vec<Sent> = Vec::new();
    for step in steps {
        match step {
            Step::Publish(changes) => {
                let changes: Vec<_> = changes.iter().map(|(s, v)| reading(*s, *v)).collect();
                tables[0].publish(&changes);
            }
            Step::Copy { from, to, limit } => copy(&mut tables, *from, *to, *limit)?,
            Step::Send { from, to, limit } => {
                let delta = tables[*from].delta(tables[*to].version(), *limit, |_| true);
                sent.extend(delta.map(|delta| Sent { to: *to, delta }));
            }
            Step::Deliver { sent: index } if !sent.is_empty() => {
                let late = &sent[index % sent.len()];
                let before = tables[late.to].version();
                tables[late.to].merge(&late.delta);
                (tables[late.to].version() >= before).then_some(())?;
            }
            Step::Deliver { .. } => (),
            Step::Forget { copy } => tables[*copy] = ReadingTable::default(),
            Step::Restart => {
                starts += 1;
                tables[0] = ReadingTable::new(starts);
            }
        }
    }
    Some(tables)
}

/// Brings a copy up to date; `None` if its version went back.
fn copy(tables: &mut [ReadingTable], from: usize, to: usize, limit: usize) -> Option<()> {
    let before = tables[to].version();
    if let Some(delta) = tables[from].delta(before, limit, |_| true) {
        tables[to].merge(&delta);
    }
    (tables[to].version() >= before).then_some(())
}

fn same_readings(a: &ReadingTable, b: &ReadingTable) -> bool {
    a.version() == b.version() && a.iter().eq(b.iter())
}

macro_rules! properties {
    ($(fn $name:ident($($arg:ident: $type:ty),*) -> bool $body:block)*) => {$(
        #[test]
        fn $name() {
            fn property($($arg: $type),*) -> bool $body
            QuickCheck::new()
                .rng(Gen::from_size_and_seed(50, 1))
                .tests(300)
                .quickcheck(property as fn($($type),*) -> bool);
        }
    )*};
}

properties! {
    fn copies_never_go_back(steps: Vec<Step>) -> bool {
        run(&steps).is_some()
    }

    fn copies_of_copies_converge(steps: Vec<Step>, limit: u8) -> bool {
        let mut tables = run(&steps).unwrap();
        let limit = 1 + usize::from(limit % 3);
        for _ in 0..steps.len() + 2 {
            for to in 1..4 {
                copy(&mut tables, to - 1, to, limit).unwrap();
            }
        }
        tables.iter().all(|it| same_readings(it, &tables[0]))
    }

    fn a_copy_at_the_latest_version_is_complete(steps: Vec<Step>) -> bool {
        let tables = run(&steps).unwrap();
        let end = tables[0].version();
        tables.iter().filter(|it| it.version() == end).all(|it| same_readings(it, &tables[0]))
    }

    fn a_level_is_accurate_to_a_tenth(amount: u32) -> bool {
        let amount = f64::from(amount);
        let back = amount_of(level_of(amount));
        amount < 1.0 && back == 0.0 || (back / amount - 1.0).abs() < 0.1
    }

    fn every_reading_is_published_eventually(values: Vec<u8>) -> bool {
        let mut table = ReadingTable::new(1);
        let mut publisher = Publisher::default();
        let small = reading(0, 1);
        publisher.stage(small, &table);
        for round in 0..2_000_u32 {
            for (index, value) in values.iter().take(5).enumerate() {
                let value = value.wrapping_add((round % 250) as u8);
                publisher.stage(reading(1 + index as u8, value), &table);
            }
            let taken = publisher.take(1, &table);
            table.publish(&taken);
            if taken.contains(&small) {
                return true;
            }
        }
        false
    }
}

#[test]
fn a_delta_that_leaves_a_gap_is_ignored() {
    let mut table = ReadingTable::new(1);
    table.publish(&[reading(0, 1)]);
    let seen = table.version();
    table.publish(&[reading(1, 2)]);
    let delta = table.delta(seen, 10, |_| true).unwrap();
    let mut empty = ReadingTable::default();
    assert!(!empty.merge(&delta));
    assert!(empty.merge(&table.delta(empty.version(), 10, |_| true).unwrap()));
    assert!(same_readings(&empty, &table));
}

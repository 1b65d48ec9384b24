//! Merging of facts is commutative, associative, idempotent and monotonic.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tanagergauge_core::{
    Member, MemberState, Name,
    fact::{Epoch, Fact, QuarantineRecord},
    fact_set::FactSet,
};

const NOW_UNIX_MS: u64 = 1_000;

#[derive(Clone, Debug)]
struct AnyFact(Fact);

impl Arbitrary for AnyFact {
    fn arbitrary(g: &mut Gen) -> AnyFact {
        let name = Name::from(*g.choose(&["a", "b", "c", "d"]).unwrap());
        AnyFact(match u8::arbitrary(g) % 3 {
            0 => Fact::Member { name, member: any_member(g) },
            1 => Fact::Endpoint { name, epoch: Epoch(u32::from(u8::arbitrary(g) % 8)) },
            _ => {
                Fact::Quarantine { key: [u8::arbitrary(g) % 3; 16], quarantine: any_quarantine(g) }
            }
        })
    }
}

fn any_member(g: &mut Gen) -> Member {
    let state = *g.choose(&[MemberState::Live, MemberState::Leaving, MemberState::Gone]).unwrap();
    let is_gone = state == MemberState::Gone;
    Member {
        incarnation: u64::arbitrary(g) % 3,
        refutation: u32::arbitrary(g) % 3,
        state,
        forget_unix_ms: if is_gone { 500 + u64::arbitrary(g) % 1000 } else { 0 },
        availability_zone: Name::from("tartu"),
        address: ([127, 0, 0, 1], u16::arbitrary(g) % 3).into(),
        control_address: ([127, 0, 0, 1], 9).into(),
    }
}

fn any_quarantine(g: &mut Gen) -> QuarantineRecord {
    let count = usize::arbitrary(g) % 12;
    let findings = (0..count).map(|_| Name::from(format!("e{}", u8::arbitrary(g) % 16))).collect();
    QuarantineRecord { forget_unix_ms: 500 + u64::arbitrary(g) % 1000, findings }
}

fn merge_all(facts: &[AnyFact]) -> FactSet {
    let mut merged = FactSet::default();
    for fact in facts {
        merged.merge(&fact.0, NOW_UNIX_MS);
    }
    merged
}

/// Whether `new` includes or supersedes all facts of `old`.
fn is_included(old: &FactSet, new: &FactSet) -> bool {
    let mut merged = new.clone();
    old.iter().all(|it| !merged.merge(&it, NOW_UNIX_MS))
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
    fn merging_is_commutative(facts: Vec<AnyFact>, seed: u64) -> bool {
        let mut shuffled = facts.clone();
        let len = shuffled.len().max(1) as u64;
        for index in 0..shuffled.len() {
            let other = (seed.wrapping_mul(index as u64 + 7) >> 3) % len;
            shuffled.swap(index, other as usize);
        }
        merge_all(&facts) == merge_all(&shuffled)
    }

    fn merging_sets_is_associative(a: Vec<AnyFact>, b: Vec<AnyFact>, c: Vec<AnyFact>) -> bool {
        let merge = |left: &FactSet, right: &FactSet| {
            let mut merged = left.clone();
            for fact in right.iter() {
                merged.merge(&fact, NOW_UNIX_MS);
            }
            merged
        };
        let (a, b, c) = (merge_all(&a), merge_all(&b), merge_all(&c));
        merge(&merge(&a, &b), &c) == merge(&a, &merge(&b, &c))
    }

    fn merging_is_idempotent(facts: Vec<AnyFact>) -> bool {
        let once = merge_all(&facts);
        let mut twice = once.clone();
        let changes = facts.iter().filter(|it| twice.merge(&it.0, NOW_UNIX_MS)).count();
        changes == 0 && once == twice
    }

    fn stale_facts_do_not_revert_newer_ones(facts: Vec<AnyFact>, stale: Vec<AnyFact>) -> bool {
        let before = merge_all(&facts);
        let mut after = before.clone();
        for fact in &stale {
            after.merge(&fact.0, NOW_UNIX_MS);
        }
        is_included(&before, &after)
    }

    fn differing_facts_are_found_by_hashes(ours: Vec<AnyFact>, theirs: Vec<AnyFact>) -> bool {
        let ours = merge_all(&ours);
        let mut theirs = merge_all(&theirs);
        if ours == theirs {
            return ours.differing(theirs.hashes()).is_empty();
        }
        for fact in ours.differing(theirs.hashes()) {
            theirs.merge(&fact, NOW_UNIX_MS);
        }
        is_included(&ours, &theirs)
    }

    fn incremental_hashes_match_recomputed_ones(facts: Vec<AnyFact>, later_unix_ms: u64) -> bool {
        let mut merged = merge_all(&facts);
        merged.expire(NOW_UNIX_MS + later_unix_ms % 1000);
        let mut rebuilt = FactSet::default();
        for fact in merged.iter() {
            rebuilt.merge(&fact, 0);
        }
        merged.hashes() == rebuilt.hashes()
    }
}

#[test]
fn an_expired_fact_is_not_added_again() {
    let quarantine = QuarantineRecord { forget_unix_ms: 2_000, findings: vec!["e1".into()] };
    let fact = Fact::Quarantine { key: [1; 16], quarantine };
    let mut facts = FactSet::default();
    assert!(facts.merge(&fact, 1_000));
    facts.expire(2_000);
    assert!(facts.quarantines().is_empty());
    assert!(!facts.merge(&fact, 2_000));
}

#[test]
fn an_endpoint_returns_only_with_a_greater_epoch() {
    let mut facts = FactSet::default();
    let name = Name::from("libretto-1");
    let with = |epoch| Fact::Endpoint { name: name.clone(), epoch };
    let left = Epoch::default().to_leaving();
    assert!(facts.merge(&with(left), 0));
    assert!(!facts.merge(&with(Epoch::default()), 0));
    assert!(facts.epoch(&name).is_leaving());
    assert!(facts.merge(&with(left.to_returned()), 0));
    assert!(!facts.merge(&with(left), 0));
    assert!(!facts.epoch(&name).is_leaving());
}

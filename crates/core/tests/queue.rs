//! The queue's rule: strict tiers, bounds, floors and fair accounts.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tanagergauge_core::{
    Name, Reason,
    account_shares::AccountShares,
    queue::{
        DispatchContext, DispatchRule, Entry, NextEntry, PushOutcome, Queue, QueueSettings,
        RoomQuery,
    },
};

const MAX_BYTES: usize = 400;
const MAX_ENTRIES: usize = 12;
const TARGETS: [&str; 2] = ["libretto", "rewrite"];
const ACCOUNTS: [&str; 3] = ["pit", "booth", "house"];

#[derive(Clone, Debug)]
enum Op {
    PushOutcome { tier_rank: usize, account: usize, target: usize, bytes: usize, patience_ms: u64 },
    NextEntry { busy: Option<usize> },
    Remove { nth: usize },
    Pass { ms: u64 },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let number = |g: &mut Gen, limit: u64| u64::arbitrary(g) % limit;
        match number(g, 8) {
            0..=3 => Op::PushOutcome {
                tier_rank: number(g, 4) as usize,
                account: number(g, 3) as usize,
                target: number(g, 2) as usize,
                bytes: number(g, 120) as usize,
                patience_ms: number(g, 5_000),
            },
            4..=5 => Op::NextEntry { busy: [None, Some(0), Some(1)][number(g, 3) as usize] },
            6 => Op::Remove { nth: number(g, 20) as usize },
            _ => Op::Pass { ms: number(g, 2_000) },
        }
    }
}

/// A queue beside the plain list of what must be in it.
struct Checked {
    queue: Queue,
    settings: QueueSettings,
    shares: AccountShares,
    waiting: BTreeMap<u64, Entry>,
    last_id: u64,
    now_ms: u64,
    /// Tiers served since they were last looked at.
    served: BTreeSet<usize>,
}

impl Checked {
    fn new(settings: QueueSettings) -> Checked {
        let mut shares = AccountShares::new(30_000);
        for account in ACCOUNTS {
            shares.set_share(&Name::from(account), 30.0);
        }
        let queue = Queue::new(settings.clone());
        Checked {
            queue,
            settings,
            shares,
            waiting: BTreeMap::new(),
            last_id: 0,
            now_ms: 1_000,
            served: BTreeSet::new(),
        }
    }

    fn step(&mut self, op: &Op) -> Result<(), String> {
        match *op {
            Op::PushOutcome { tier_rank, account, target, bytes, patience_ms } => {
                let start_by_ms = self.now_ms + patience_ms;
                let entry = self.entry(tier_rank, account, target, bytes, start_by_ms);
                self.push(entry)
            }
            Op::NextEntry { busy } => self.next(busy),
            Op::Remove { nth } => {
                let id = self.waiting.keys().nth(nth).copied();
                let removed = id.and_then(|id| self.queue.remove(id));
                self.take(removed.as_ref())
            }
            Op::Pass { ms } => {
                self.now_ms += ms;
                Ok(())
            }
        }?;
        self.bounds()
    }

    fn entry(
        &mut self,
        tier_rank: usize,
        account: usize,
        target: usize,
        bytes: usize,
        start_by_ms: u64,
    ) -> Entry {
        self.last_id += 1;
        Entry {
            id: self.last_id,
            class: Name::from(format!("class-{tier_rank}")),
            tier_rank,
            floor_percent: 10,
            account: Name::from(ACCOUNTS[account]),
            target: Name::from(TARGETS[target]),
            bytes,
            arrived_ms: self.now_ms,
            start_by_ms,
            first_token_start_by_ms: start_by_ms,
            cost_tokens: 10,
            is_resumption: false,
        }
    }

    fn push(&mut self, entry: Entry) -> Result<(), String> {
        match self.queue.push(entry.clone(), &self.shares, self.now_ms) {
            PushOutcome::Queued => {}
            PushOutcome::QueuedWithEvictions(out) => {
                for it in &out {
                    if it.tier_rank < entry.tier_rank {
                        return Err(format!("{it:?} pushed out by the lower {entry:?}"));
                    }
                    self.take(Some(it))?;
                }
            }
            PushOutcome::Refused(_) => return self.refused(&entry),
        }
        self.waiting.insert(entry.id, entry);
        Ok(())
    }

    /// A refusal holds only if it would hold with all lower-tier work taken away.
    fn refused(&self, entry: &Entry) -> Result<(), String> {
        let kept = self.waiting.values().filter(|it| it.tier_rank <= entry.tier_rank);
        let (count, bytes) = kept.fold((0, 0), |(n, bytes), it| (n + 1, bytes + it.bytes));
        let fits =
            count < self.settings.max_entries && bytes + entry.bytes <= self.settings.max_bytes;
        if fits { Err(format!("{entry:?} refused for lower tiers' sake")) } else { Ok(()) }
    }

    fn next(&mut self, busy: Option<usize>) -> Result<(), String> {
        let supply = DispatchContext { now_ms: self.now_ms, slot_interval_ms: 100 };
        let can = |it: &Entry| busy.is_none_or(|busy| it.target.as_str() != TARGETS[busy]);
        match self.queue.next(supply, &self.shares, |offer, _| takes(offer, can)) {
            NextEntry::Dispatch(entry, rule) => {
                let above = self.waiting.values().any(|it| {
                    it.tier_rank < entry.tier_rank && can(it) && rule == DispatchRule::Strict
                });
                if above {
                    return Err(format!("{entry:?} went before a higher tier"));
                }
                self.shares.charge(&entry.account, 10.0, self.now_ms);
                self.take(Some(&entry))
            }
            NextEntry::Expired(entry) if entry.start_by_ms >= self.now_ms => {
                Err(format!("{entry:?} expired too early"))
            }
            NextEntry::Expired(entry) => self.take(Some(&entry)),
            NextEntry::Wait { .. } if self.waiting.values().any(can) => {
                Err("waits although an entry could go".to_owned())
            }
            NextEntry::Wait { .. } => Ok(()),
        }
    }

    fn take(&mut self, entry: Option<&Entry>) -> Result<(), String> {
        match entry {
            Some(it) if self.waiting.remove(&it.id).as_ref() != Some(it) => {
                Err(format!("{it:?} came out but was not in"))
            }
            _ => Ok(()),
        }
    }

    fn bounds(&self) -> Result<(), String> {
        let bytes: usize = self.waiting.values().map(|it| it.bytes).sum();
        let agrees = self.queue.len() == self.waiting.len() && self.queue.bytes() == bytes;
        let is_bounded = self.queue.len() <= MAX_ENTRIES && bytes <= MAX_BYTES;
        if agrees && is_bounded { Ok(()) } else { Err(format!("{bytes} bytes queued")) }
    }
}

fn takes(offer: RoomQuery<'_>, can: impl Fn(&Entry) -> bool) -> bool {
    match offer {
        RoomQuery::AnyOfTier { .. } => true,
        RoomQuery::Entry(entry) => can(entry),
    }
}

fn small() -> QueueSettings {
    QueueSettings {
        max_bytes: MAX_BYTES,
        max_entries: MAX_ENTRIES,
        floor_window_ms: 1_000_000,
        ..QueueSettings::default()
    }
}

const SEED: u64 = 20_261_204;
const SLOT_MS: u64 = 100;
const WINDOW_MS: u64 = 5_000;

/// Runs a property on the same cases every time. Returns whether it held for all of them.
fn holds<A: Arbitrary + std::fmt::Debug>(property: fn(A) -> Result<bool, String>) -> bool {
    let random = Gen::from_size_and_seed(60, SEED);
    let result = QuickCheck::new().rng(random).tests(150).quicktest(property);
    if let Err(it) = &result {
        println!("broken: {it:?}");
    }
    result.is_ok()
}

/// Names each property, and the same with its mechanism switched off, which must be found out.
macro_rules! properties {
    ($($name:ident: $on:expr, off: $off:expr;)*) => {
        $(#[test]
        fn $name() {
            assert!(holds($on), "must hold");
            assert!(!holds($off), "must not hold with the mechanism off");
        })*
    };
}

properties! {
    strict_tiers_and_bounds: |ops| follow(&small(), ops),
        off: |ops| follow(&QueueSettings { tiers: false, ..small() }, ops);
    byte_bound: |ops| follow(&small(), ops),
        off: |ops| follow(&QueueSettings { max_bytes: usize::MAX, ..small() }, ops);
    every_class_progresses: |arrivals| progresses(true, arrivals),
        off: |arrivals| progresses(false, arrivals);
    floors_spare_feasible_deadlines: |batch| spares(SLOT_MS, batch),
        off: |batch| spares(0, batch);
    shares_are_kept: |bursts| keeps_shares(true, bursts),
        off: |bursts| keeps_shares(false, bursts);
}

fn follow(settings: &QueueSettings, ops: Vec<Op>) -> Result<bool, String> {
    let mut checked = Checked::new(settings.clone());
    ops.iter().try_for_each(|it| checked.step(it))?;
    Ok(true)
}

/// One slot frees every [`SLOT_MS`] while the top tier alone asks for more than that. Each of
/// the numbers is the tier of an arrival.
fn progresses(floors: bool, arrivals: Vec<u8>) -> Result<bool, String> {
    let settings = QueueSettings { floors, floor_window_ms: WINDOW_MS, ..QueueSettings::default() };
    let mut checked = Checked::new(settings);
    let mut served_ms = BTreeMap::new();
    for slot in 0..200 {
        checked.now_ms += SLOT_MS;
        let rank = arrivals.get(slot % arrivals.len().max(1)).map_or(1, |it| usize::from(it % 4));
        for (rank, patience_ms) in [(0, 600), (0, 600), (rank, 60_000)] {
            let start_by_ms = checked.now_ms + patience_ms;
            let entry = checked.entry(rank, 0, 0, 1, start_by_ms);
            checked.push(entry)?;
        }
        let before: BTreeSet<usize> = checked.waiting.values().map(|it| it.tier_rank).collect();
        serve(&mut checked)?;
        for rank in before {
            let left = checked.waiting.values().filter(|it| it.tier_rank == rank).count();
            let was_served = checked.served.remove(&rank) || left == 0;
            let since_ms = served_ms.entry(rank).or_insert(checked.now_ms);
            if was_served {
                *since_ms = checked.now_ms;
            }
            if checked.now_ms - *since_ms > WINDOW_MS + 4 * SLOT_MS {
                return Err(format!("tier {rank} starved since {since_ms}"));
            }
        }
    }
    Ok(true)
}

/// Hands out what has expired and one entry.
fn serve(checked: &mut Checked) -> Result<Option<Entry>, String> {
    let supply = DispatchContext { now_ms: checked.now_ms, slot_interval_ms: SLOT_MS };
    loop {
        match checked.queue.next(supply, &checked.shares, |_, _| true) {
            NextEntry::Dispatch(entry, _) => {
                checked.take(Some(&entry))?;
                checked.served.insert(entry.tier_rank);
                checked.shares.charge(&entry.account, 10.0, checked.now_ms);
                return Ok(Some(entry));
            }
            NextEntry::Expired(entry) => checked.take(Some(&entry))?,
            NextEntry::Wait { .. } => return Ok(None),
        }
    }
}

/// Of a batch that waits together, floors make none of the top tier late which would be in time
/// without them.
fn spares(believed_slot_ms: u64, batch: Vec<(bool, u8)>) -> Result<bool, String> {
    let with = late(true, believed_slot_ms, &batch);
    let without = late(false, believed_slot_ms, &batch);
    if with.is_subset(&without) { Ok(true) } else { Err(format!("{with:?} / {without:?}")) }
}

fn late(floors: bool, slot_interval_ms: u64, batch: &[(bool, u8)]) -> BTreeSet<u64> {
    let settings = QueueSettings { floors, floor_window_ms: u64::MAX / 2, ..small_floors() };
    let mut checked = Checked::new(settings);
    for &(is_top, patience) in batch {
        let start_by_ms = checked.now_ms + u64::from(patience) * SLOT_MS / 2;
        let rank = usize::from(!is_top);
        let mut entry = checked.entry(rank, 0, 0, 1, start_by_ms);
        entry.floor_percent = 50;
        let _ = checked.queue.push(entry, &checked.shares, checked.now_ms);
    }
    let mut late = BTreeSet::new();
    while !checked.queue.is_empty() {
        let supply = DispatchContext { now_ms: checked.now_ms, slot_interval_ms };
        match checked.queue.next(supply, &checked.shares, |_, _| true) {
            NextEntry::Expired(entry) if entry.tier_rank == 0 => drop(late.insert(entry.id)),
            NextEntry::Expired(_) => {}
            _ => checked.now_ms += SLOT_MS,
        }
    }
    late
}

fn small_floors() -> QueueSettings {
    QueueSettings { max_entries: 1_000, ..QueueSettings::default() }
}

/// Two accounts with shares of 30 and 10 in 100 that always have work get tokens 3 to 1,
/// whichever bursts they come in.
fn keeps_shares(shares: bool, bursts: Vec<u8>) -> Result<bool, String> {
    let mut checked = Checked::new(QueueSettings { shares, ..QueueSettings::default() });
    checked.shares.set_share(&Name::from(ACCOUNTS[1]), 10.0);
    let mut served = [0_u32; 2];
    for slot in 0..200 {
        checked.now_ms += SLOT_MS;
        let burst = bursts.get(slot % bursts.len().max(1)).map_or(2, |it| 1 + usize::from(it % 4));
        for account in [0].into_iter().chain(std::iter::repeat_n(1, burst)) {
            let start_by_ms = checked.now_ms + 1_000_000;
            let entry = checked.entry(1, account, 0, 1, start_by_ms);
            checked.push(entry)?;
        }
        if let Some(entry) = serve(&mut checked)? {
            served[usize::from(entry.account.as_str() == ACCOUNTS[1])] += 1;
        }
    }
    let share = f64::from(served[0]) / f64::from(served[0] + served[1]);
    if (share - 0.75).abs() <= 0.02 { Ok(true) } else { Err(format!("{served:?}")) }
}

/// Which of two of one tier goes first, the older of which has missed its first target.
fn first_of_two(late_last: bool) -> u64 {
    let mut checked = Checked::new(QueueSettings { late_last, ..QueueSettings::default() });
    for first_token_start_by_ms in [1_050, 9_000] {
        let entry = checked.entry(1, 0, 0, 1, 100_000);
        let entry = Entry { first_token_start_by_ms, ..entry };
        checked.push(entry).unwrap();
    }
    checked.now_ms += 100;
    let waiting = checked.queue.len();
    let first = serve(&mut checked).unwrap().map(|it| it.id);
    assert_eq!(waiting - 1, checked.queue.len());
    first.unwrap()
}

#[test]
fn what_can_still_be_on_time_goes_before_what_is_late() {
    assert_eq!(first_of_two(true), 2);
    assert_eq!(first_of_two(false), 1, "by arrival with the mechanism off");
}

#[test]
fn an_account_that_floods_is_pushed_out_of_its_own_tier() {
    let mut checked = Checked::new(small());
    for _ in 0..MAX_ENTRIES {
        let entry = checked.entry(1, 0, 0, 1, 100_000);
        assert_eq!(checked.queue.push(entry, &checked.shares, 1_000), PushOutcome::Queued);
    }
    let flood = checked.entry(1, 0, 0, 1, 100_000);
    let refused = checked.queue.push(flood, &checked.shares, 1_000);
    assert_eq!(refused, PushOutcome::Refused(Reason::QueueFull));
    let other = checked.entry(1, 1, 0, 1, 100_000);
    let pushed = checked.queue.push(other, &checked.shares, 1_000);
    assert!(
        matches!(pushed, PushOutcome::QueuedWithEvictions(out) if out[0].id == MAX_ENTRIES as u64)
    );
}

#[test]
fn a_started_entry_is_never_pushed_out() {
    let mut checked = Checked::new(small());
    for _ in 0..MAX_ENTRIES {
        let mut entry = checked.entry(3, 0, 0, 1, 100_000);
        entry.is_resumption = true;
        assert_eq!(checked.queue.push(entry, &checked.shares, 1_000), PushOutcome::Queued);
    }
    let urgent = checked.entry(0, 1, 0, 1, 100_000);
    let refused = checked.queue.push(urgent, &checked.shares, 1_000);
    assert_eq!(refused, PushOutcome::Refused(Reason::QueueFull));
}

//! The retries of all instances together stay within the windowed budget, although the instances do
//! not communicate.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use tanagergauge_core::windowed_retry_budget::{RetryWindowSettings, WindowedRetryBudget};

const SETTINGS: RetryWindowSettings =
    RetryWindowSettings { ratio: 0.2, slack: 52.0, window_ms: 10_000 };

#[derive(Clone, Debug)]
enum Op {
    Request(usize),
    Retry(usize),
    Advance(u64),
    Restart(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let instance = usize::arbitrary(g) % INSTANCES;
        match u8::arbitrary(g) % 16 {
            0..=5 => Op::Request(instance),
            6..=12 => Op::Retry(instance),
            13..=14 => Op::Advance(u64::arbitrary(g) % 700),
            _ => Op::Restart(instance),
        }
    }
}

const INSTANCES: usize = 6;

/// In every window, the retries of all instances stay below ratio times requests plus slack, even
/// if each instance restarts up to once per window and loses its record of past retries.
fn stays_within_budget(ops: Vec<Op>) -> bool {
    let mut now_ms = 100_000;
    let mut budgets = vec![WindowedRetryBudget::new(SETTINGS, 0); INSTANCES];
    let mut last_restart_ms = [0u64; INSTANCES];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for op in ops {
        match op {
            Op::Request(it) => {
                budgets[it].record_request(now_ms);
                requests.push(now_ms);
            }
            Op::Retry(it) => {
                if budgets[it].try_acquire(INSTANCES, now_ms) {
                    retries.push(now_ms);
                }
            }
            Op::Advance(ms) => now_ms += ms,
            Op::Restart(it) if now_ms > last_restart_ms[it] + SETTINGS.window_ms => {
                budgets[it] = WindowedRetryBudget::new(SETTINGS, now_ms);
                last_restart_ms[it] = now_ms;
            }
            Op::Restart(_) => {}
        }
        let within = |times: &[u64]| {
            times.iter().filter(|it| **it + SETTINGS.window_ms >= now_ms).count() as f64
        };
        if within(&retries) > SETTINGS.ratio * within(&requests) + SETTINGS.slack {
            return false;
        }
    }
    true
}

#[test]
fn the_fleet_keeps_its_budget() {
    let mut check = QuickCheck::new().tests(300).rng(Gen::from_size_and_seed(800, 4));
    check.quickcheck(stays_within_budget as fn(Vec<Op>) -> bool);
}

#[test]
fn a_new_instance_spends_at_most_a_quarter_of_its_slack() {
    let mut budget = WindowedRetryBudget::new(SETTINGS, 50_000);
    let taken = (0..100).filter(|_| budget.try_acquire(1, 50_001)).count();
    assert_eq!(taken, 10, "the process before a restart may have spent the rest");
    for _ in 0..10 {
        budget.record_request(50_002);
    }
    let taken = (0..100).filter(|_| budget.try_acquire(1, 50_003)).count();
    assert_eq!(taken, 2, "retries earned by requests are not reduced");
    let taken = (0..100).filter(|_| budget.try_acquire(1, 60_100)).count();
    assert_eq!(taken, 41, "the second window has the full slack");
}

#[test]
fn checking_availability_consumes_nothing() {
    let mut budget = WindowedRetryBudget::new(SETTINGS, 0);
    assert!((0..1_000).all(|_| budget.is_available(6, 20_000)));
    let taken = (0..1_000).filter(|_| budget.try_acquire(6, 20_000)).count();
    assert_eq!(taken, 6, "four fifths of one sixth of the slack");
}

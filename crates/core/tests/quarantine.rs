//! Requests that crash endpoints are quarantined; others that ran there at the time are not.

use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    Name,
    quarantine::{Fingerprint, Quarantine, QuarantineSettings, QuarantineVerdict},
};

const NOW_MS: u64 = 1_000_000;
const SEED: u64 = 20_261_204;

fn quarantine(instance: &str) -> Quarantine {
    Quarantine::new(Name::from(instance), QuarantineSettings::default())
}

fn fingerprint(content: &str) -> Fingerprint {
    Fingerprint::new("pit", "libretto", content.as_bytes())
}

fn lose(quarantine: &mut Quarantine, endpoint: &str, contents: &[&str], now_ms: u64) -> u64 {
    let running: Vec<_> = contents.iter().map(|it| fingerprint(it)).collect();
    quarantine.record_endpoint_loss(&Name::from(endpoint), &running, now_ms)
}

#[test]
fn two_lost_endpoints_quarantine_until_the_losses_expire() {
    let mut quarantine = quarantine("a");
    lose(&mut quarantine, "engine-1", &["culprit"], NOW_MS);
    lose(&mut quarantine, "engine-1", &["culprit"], NOW_MS + 1);
    assert!(matches!(
        quarantine.check(fingerprint("culprit"), NOW_MS + 2),
        QuarantineVerdict::Trial { .. }
    ));
    lose(&mut quarantine, "engine-2", &["culprit"], NOW_MS + 1_000);
    let verdict = quarantine.check(fingerprint("culprit"), NOW_MS + 1_001);
    let QuarantineVerdict::Quarantined { endpoints, until_ms } = verdict else {
        panic!("{verdict:?}")
    };
    assert_eq!(endpoints, [Name::from("engine-1"), Name::from("engine-2")]);
    assert!(matches!(
        quarantine.check(fingerprint("culprit"), until_ms),
        QuarantineVerdict::Trial { .. }
    ));
    let late_ms = until_ms + 600_000;
    assert_eq!(quarantine.check(fingerprint("culprit"), late_ms), QuarantineVerdict::Run);
}

#[test]
fn a_bystander_that_completes_is_cleared() {
    let mut quarantine = quarantine("a");
    lose(&mut quarantine, "engine-1", &["culprit", "bystander"], NOW_MS);
    quarantine.record_completed(fingerprint("bystander"), NOW_MS + 10);
    lose(&mut quarantine, "engine-2", &["culprit", "bystander"], NOW_MS + 20);
    let culprit = quarantine.check(fingerprint("culprit"), NOW_MS + 30);
    assert!(matches!(culprit, QuarantineVerdict::Quarantined { .. }));
    let bystander = quarantine.check(fingerprint("bystander"), NOW_MS + 30);
    assert!(matches!(bystander, QuarantineVerdict::Trial { .. }), "{bystander:?}");
    assert_eq!(quarantine.check(fingerprint("another"), NOW_MS + 30), QuarantineVerdict::Run);
}

#[test]
fn one_instance_at_a_time_tries_a_suspect() {
    let mut a = quarantine("a");
    let mut b = quarantine("b");
    lose(&mut a, "engine-1", &["culprit"], NOW_MS);
    b.merge(&a.take_changes());
    let from_ms = NOW_MS + 10 + QuarantineSettings::default().announce_ms;
    assert_eq!(a.check(fingerprint("culprit"), NOW_MS + 10), QuarantineVerdict::Trial { from_ms });
    assert!(matches!(
        b.check(fingerprint("culprit"), NOW_MS + 11),
        QuarantineVerdict::Trial { .. }
    ));
    let (from_a, from_b) = (a.take_changes(), b.take_changes());
    a.merge(&from_b);
    b.merge(&from_a);
    assert_eq!(a.check(fingerprint("culprit"), from_ms), QuarantineVerdict::Trial { from_ms });
    assert!(matches!(b.check(fingerprint("culprit"), from_ms), QuarantineVerdict::Wait { .. }));
    a.trial_began(fingerprint("culprit"));
    assert!(matches!(a.check(fingerprint("culprit"), from_ms + 1), QuarantineVerdict::Wait { .. }));
}

/// A request that is retried at any instance takes down at most two endpoints, if the instances
/// exchange their findings within the announcement time.
#[test]
fn a_culprit_takes_down_two_endpoints_at_most() {
    fn lost(announce_ms: u64, order: &[u8]) -> usize {
        let settings = QuarantineSettings { announce_ms, ..QuarantineSettings::default() };
        let names = ["a", "b", "c"].map(Name::from);
        let mut fleet = names.map(|it| Quarantine::new(it, settings));
        let mut pending = Vec::new();
        let mut lost = 0;
        let mut report_ms = 0;
        for (step, number) in order.iter().enumerate() {
            let now_ms = NOW_MS + step as u64 * 100;
            let at = usize::from(number % 3);
            let culprit = fingerprint("culprit");
            let may_run = now_ms >= report_ms
                && match fleet[at].check(culprit, now_ms) {
                    QuarantineVerdict::Run => true,
                    QuarantineVerdict::Trial { from_ms } => from_ms <= now_ms,
                    QuarantineVerdict::Wait { .. } | QuarantineVerdict::Quarantined { .. } => false,
                };
            if may_run {
                lost += 1;
                let endpoint = format!("engine-{lost}");
                report_ms = lose(&mut fleet[at], &endpoint, &["culprit"], now_ms);
            }
            for it in &mut fleet {
                let changes = it.take_changes();
                pending.push(changes);
            }
            if step % 4 == 3 {
                let received: Vec<_> = pending.drain(..).flatten().collect();
                fleet.iter_mut().for_each(|it| it.merge(&received));
            }
        }
        lost
    }
    fn announced(order: Vec<u8>) -> bool {
        lost(1_000, &order) <= 2
    }
    fn unannounced(order: Vec<u8>) -> bool {
        lost(0, &order) <= 2
    }
    let check = || QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(300);
    assert!(check().quicktest(announced as fn(Vec<u8>) -> bool).is_ok());
    let off = check().quicktest(unannounced as fn(Vec<u8>) -> bool);
    assert!(off.is_err(), "without announced trials more endpoints must be lost");
}

/// Merging findings gives the same result in any order, and however often they are received.
#[test]
fn merging_is_commutative_and_idempotent() {
    fn property(losses: Vec<(u8, u8, u16)>) -> bool {
        let mut parts = ["a", "b", "c"].map(quarantine);
        for (at, endpoint, ms) in losses {
            let part = &mut parts[usize::from(at % 3)];
            let content = ["x", "y"][usize::from(endpoint % 2)];
            let at_ms = NOW_MS + u64::from(ms);
            lose(part, &format!("engine-{}", endpoint % 5), &[content], at_ms);
            if ms % 7 == 0 {
                part.record_completed(fingerprint(content), at_ms + 1);
            }
        }
        let known = parts.each_ref().map(Quarantine::snapshot);
        let merged = |order: [usize; 4]| {
            let mut all = quarantine("d");
            order.iter().for_each(|&it| all.merge(&known[it]));
            let mut snapshot = all.snapshot();
            snapshot.sort_by_key(|(key, _)| *key);
            snapshot
        };
        merged([0, 1, 2, 0]) == merged([2, 1, 0, 2]) && merged([1, 1, 2, 0]) == merged([0, 1, 2, 2])
    }
    let check = QuickCheck::new().rng(Gen::from_size_and_seed(30, SEED)).tests(200);
    let mut check = check;
    let result = check.quicktest(property as fn(Vec<(u8, u8, u16)>) -> bool);
    assert!(result.is_ok(), "{result:?}");
}

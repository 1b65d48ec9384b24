//! Requests that crash endpoints are found even if each crash is seen by another instance.

use tanagergauge_core::{
    Name,
    quarantine::{Fingerprint, QuarantineSettings},
    suspects::Suspects,
    update_log::{SyncCursors, UpdateLog},
};

const NOW_MS: u64 = 1_000_000;
const SETTINGS: QuarantineSettings =
    QuarantineSettings { retention_ms: 600_000, announce_ms: 0, loss_limit: 3 };

fn suspects(instance: &str) -> Suspects {
    Suspects::new(Name::from(instance), SETTINGS)
}

fn fingerprint(content: &str) -> Fingerprint {
    Fingerprint::new("pit", "libretto", content.as_bytes())
}

fn crash(suspects: &mut Suspects, endpoint: &str, content: &str, now_ms: u64) {
    let endpoint = Name::from(endpoint);
    suspects.record_interrupted(&endpoint, fingerprint(content), now_ms);
    suspects.record_endpoint_loss(&endpoint, now_ms + 50);
}

/// Sends the updates of one instance from `position` on to another.
fn send_updates(from: &Suspects, to: &mut Suspects, position: &mut u64) {
    let updates = from.updates_since(*position);
    *position = updates.next;
    to.merge(updates.suspects);
}

#[test]
fn crashes_seen_by_three_instances_add_up_at_all_instances() {
    let mut instances = ["a", "b", "c"].map(suspects);
    for (at, it) in instances.iter_mut().enumerate() {
        crash(it, &format!("engine-{at}"), "culprit", NOW_MS + at as u64 * 1_000);
    }
    let [a, mut hub, c] = instances;
    send_updates(&a, &mut hub, &mut 0);
    assert!(!hub.is_quarantined(fingerprint("culprit"), NOW_MS + 3_000));
    send_updates(&c, &mut hub, &mut 0);
    let mut other = suspects("d");
    send_updates(&hub, &mut other, &mut 0);
    for it in [&hub, &other] {
        assert!(it.is_quarantined(fingerprint("culprit"), NOW_MS + 3_000));
        assert!(!it.is_quarantined(fingerprint("bystander"), NOW_MS + 3_000));
    }
}

/// A broken connection alone does not show that the engine crashed.
#[test]
fn an_interruption_at_a_live_engine_is_no_crash() {
    let mut suspects = suspects("a");
    for at in 0..10 {
        suspects.record_interrupted(
            &Name::from(format!("engine-{at}")),
            fingerprint("unlucky"),
            NOW_MS,
        );
    }
    assert!(suspects.is_empty());
    // One of the engines is shut down much later.
    suspects.record_endpoint_loss(&Name::from("engine-1"), NOW_MS + 60_000);
    assert!(suspects.is_empty());
}

#[test]
fn a_request_that_completes_is_cleared_at_all_instances() {
    let (mut a, mut b) = (suspects("a"), suspects("b"));
    let mut position = 0;
    for at in 0..3 {
        crash(&mut a, &format!("engine-{at}"), "bystander", NOW_MS + at * 100);
    }
    send_updates(&a, &mut b, &mut position);
    assert!(b.is_quarantined(fingerprint("bystander"), NOW_MS + 500));
    a.record_completed(fingerprint("bystander"), NOW_MS + 1_000);
    send_updates(&a, &mut b, &mut position);
    assert!(!b.is_quarantined(fingerprint("bystander"), NOW_MS + 1_001));
}

#[test]
fn updates_are_sent_once_and_again_after_a_restart() {
    let mut hub = suspects("hub");
    crash(&mut hub, "engine-1", "culprit", NOW_MS);
    let updates = hub.updates_since(0);
    assert_eq!(updates.suspects.len(), 1);
    assert!(hub.updates_since(updates.next).suspects.is_empty());
    // The peer's position is from before the hub restarted.
    assert_eq!(hub.updates_since(900).suspects.len(), 1);
    // Suspects that are known already cause no update.
    hub.merge(updates.suspects);
    assert_eq!(hub.updates_since(0).next, updates.next);
}

#[test]
fn updates_are_bounded() {
    let mut hub = suspects("hub");
    for at in 0..2_000 {
        crash(&mut hub, &format!("engine-{}", at / 40), &format!("request-{at}"), NOW_MS + at);
    }
    assert!(hub.updates_since(0).suspects.len() <= 512);
}

#[test]
fn suspicions_expire() {
    let mut hub = suspects("hub");
    crash(&mut hub, "engine-1", "culprit", NOW_MS);
    hub.expire(NOW_MS + SETTINGS.retention_ms - 1);
    assert!(!hub.is_empty());
    hub.expire(NOW_MS + SETTINGS.retention_ms + 51);
    assert!(hub.is_empty());
}

#[test]
fn a_restarted_peer_is_sent_everything_again() {
    let cursors = SyncCursors::default().advance(7, 40);
    assert_eq!(cursors, SyncCursors { acked_by_peer: 7, received_from_peer: 40 });
    assert_eq!(cursors.advance(9, 40), SyncCursors { acked_by_peer: 9, received_from_peer: 40 });
    // The position of the peer's own updates went back: it restarted and lost what it was sent.
    assert_eq!(cursors.advance(9, 2), SyncCursors { acked_by_peer: 0, received_from_peer: 2 });
}

#[test]
fn an_update_log_is_bounded_and_continues_at_a_position() {
    let mut updates = UpdateLog::new(3);
    updates.extend(0..5);
    assert_eq!(updates.end(), 5);
    assert!(updates.since(0).eq(&[2, 3, 4]));
    assert!(updates.since(4).eq(&[4]));
    assert!(updates.since(5).eq(&[]));
}

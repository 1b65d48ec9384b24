//! Requests that crash endpoints are found though each crash is at another instance.

use tanagergauge_core::{
    Name,
    news::{Heard, News},
    quarantine::{Fingerprint, QuarantineSettings},
    suspects::Suspects,
};

const NOW_MS: u64 = 1_000_000;
const SETTINGS: QuarantineSettings =
    QuarantineSettings { memory_ms: 600_000, settle_ms: 0, loss_limit: 3 };

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

/// One instance hears what another knows.
fn hear(from: &Suspects, to: &mut Suspects, heard: &mut u64) {
    let news = from.updates_since(*heard);
    *heard = news.next;
    to.merge(news.suspects);
}

#[test]
fn three_crashes_at_three_instances_quarantine_at_all() {
    let mut instances = ["a", "b", "c"].map(suspects);
    for (at, it) in instances.iter_mut().enumerate() {
        crash(it, &format!("engine-{at}"), "culprit", NOW_MS + at as u64 * 1_000);
    }
    let [a, mut hub, c] = instances;
    hear(&a, &mut hub, &mut 0);
    assert!(!hub.is_quarantined(fingerprint("culprit"), NOW_MS + 3_000));
    hear(&c, &mut hub, &mut 0);
    let mut other = suspects("d");
    hear(&hub, &mut other, &mut 0);
    for it in [&hub, &other] {
        assert!(it.is_quarantined(fingerprint("culprit"), NOW_MS + 3_000));
        assert!(!it.is_quarantined(fingerprint("bystander"), NOW_MS + 3_000));
    }
}

/// Engines lose answers, but go on serving.
#[test]
fn a_broken_answer_of_an_engine_that_lives_is_no_crash() {
    let mut suspects = suspects("a");
    for at in 0..10 {
        suspects.record_interrupted(
            &Name::from(format!("engine-{at}")),
            fingerprint("unlucky"),
            NOW_MS,
        );
    }
    assert!(suspects.is_empty());
    // Its engine is shut down much later.
    suspects.record_endpoint_loss(&Name::from("engine-1"), NOW_MS + 60_000);
    assert!(suspects.is_empty());
}

#[test]
fn a_request_that_runs_whole_is_cleared_everywhere() {
    let (mut a, mut b) = (suspects("a"), suspects("b"));
    let mut heard = 0;
    for at in 0..3 {
        crash(&mut a, &format!("engine-{at}"), "bystander", NOW_MS + at * 100);
    }
    hear(&a, &mut b, &mut heard);
    assert!(b.is_quarantined(fingerprint("bystander"), NOW_MS + 500));
    a.record_completed(fingerprint("bystander"), NOW_MS + 1_000);
    hear(&a, &mut b, &mut heard);
    assert!(!b.is_quarantined(fingerprint("bystander"), NOW_MS + 1_001));
}

#[test]
fn news_is_told_once_and_again_after_a_restart() {
    let mut hub = suspects("hub");
    crash(&mut hub, "engine-1", "culprit", NOW_MS);
    let news = hub.updates_since(0);
    assert_eq!(news.suspects.len(), 1);
    assert!(hub.updates_since(news.next).suspects.is_empty());
    // The peer had heard more of the hub's earlier incarnation.
    assert_eq!(hub.updates_since(900).suspects.len(), 1);
    // What a peer knows already is no news to anyone.
    hub.merge(news.suspects);
    assert_eq!(hub.updates_since(0).next, news.next);
}

#[test]
fn a_storm_of_crashes_stays_bounded() {
    let mut hub = suspects("hub");
    for at in 0..2_000 {
        crash(&mut hub, &format!("engine-{}", at / 40), &format!("request-{at}"), NOW_MS + at);
    }
    assert!(hub.updates_since(0).suspects.len() <= 512);
}

#[test]
fn a_suspect_is_forgotten_after_its_time() {
    let mut hub = suspects("hub");
    crash(&mut hub, "engine-1", "culprit", NOW_MS);
    hub.expire(NOW_MS + SETTINGS.memory_ms - 1);
    assert!(!hub.is_empty());
    hub.expire(NOW_MS + SETTINGS.memory_ms + 51);
    assert!(hub.is_empty());
}

#[test]
fn a_peer_that_started_anew_is_told_everything_again() {
    let heard = Heard::default().after(7, 40);
    assert_eq!(heard, Heard { by_peer: 7, from_peer: 40 });
    assert_eq!(heard.after(9, 40), Heard { by_peer: 9, from_peer: 40 });
    // Its own news is shorter than before: it remembers nothing of what it was told.
    assert_eq!(heard.after(9, 2), Heard { by_peer: 0, from_peer: 2 });
}

#[test]
fn news_is_bounded_and_goes_on_where_a_listener_left() {
    let mut news = News::new(3);
    news.add(0..5);
    assert_eq!(news.next(), 5);
    assert!(news.since(0).eq(&[2, 3, 4]));
    assert!(news.since(4).eq(&[4]));
    assert!(news.since(5).eq(&[]));
}

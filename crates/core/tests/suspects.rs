//! Requests that crash endpoints are found even if each crash is seen by another instance.

use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    Name,
    prompt_part::PromptPart,
    quarantine::{Fingerprint, QuarantineSettings},
    request_fingerprints::RequestFingerprints,
    suspects::{QuarantineCause, Suspects},
    update_log::{LogPosition, SyncCursors, UpdateLog},
};

const NOW_MS: u64 = 1_000_000;
/// Id of the update log of an instance.
const LOG: u64 = 5;
const SETTINGS: QuarantineSettings =
    QuarantineSettings { retention_ms: 600_000, announce_ms: 0, loss_limit: 3, part_loss_limit: 3 };

fn suspects(instance: &str) -> Suspects {
    Suspects::new(Name::from(instance), SETTINGS, LOG)
}

/// A request without a prompt.
fn plain(content: &str) -> RequestFingerprints {
    prompt(content, &[])
}

/// A request with a prompt of these parts.
fn prompt(content: &str, parts: &[u64]) -> RequestFingerprints {
    let request = Fingerprint::new("pit", "libretto", content.as_bytes());
    let parts: Vec<_> = parts.iter().map(|id| PromptPart { id: *id, tokens: 100 }).collect();
    RequestFingerprints::new(request, "engines", &parts)
}

fn is_quarantined(suspects: &Suspects, request: &RequestFingerprints, now_ms: u64) -> bool {
    suspects.quarantine_cause(request, now_ms).is_some()
}

fn crash(suspects: &mut Suspects, endpoint: &str, content: &str, now_ms: u64) {
    crash_with(suspects, endpoint, &[plain(content)], now_ms);
}

/// An endpoint crashes while these requests run there.
fn crash_with(
    suspects: &mut Suspects,
    endpoint: &str,
    running: &[RequestFingerprints],
    now_ms: u64,
) {
    let endpoint = Name::from(endpoint);
    for it in running {
        suspects.record_interrupted(&endpoint, it.clone(), now_ms, now_ms);
    }
    suspects.record_endpoint_loss(&endpoint, now_ms + 50);
}

/// Sends the updates of one instance from `position` on to another.
fn send_updates(from: &Suspects, to: &mut Suspects, position: &mut LogPosition) {
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
    send_updates(&a, &mut hub, &mut LogPosition::default());
    assert!(!is_quarantined(&hub, &plain("culprit"), NOW_MS + 3_000));
    send_updates(&c, &mut hub, &mut LogPosition::default());
    let mut other = suspects("d");
    send_updates(&hub, &mut other, &mut LogPosition::default());
    for it in [&hub, &other] {
        assert!(is_quarantined(it, &plain("culprit"), NOW_MS + 3_000));
        assert!(!is_quarantined(it, &plain("bystander"), NOW_MS + 3_000));
    }
}

/// A broken connection alone does not show that the engine crashed.
#[test]
fn an_interruption_at_a_live_engine_is_no_crash() {
    let mut suspects = suspects("a");
    for at in 0..10 {
        suspects.record_interrupted(
            &Name::from(format!("engine-{at}")),
            plain("unlucky"),
            NOW_MS,
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
    let mut position = LogPosition::default();
    for at in 0..3 {
        crash(&mut a, &format!("engine-{at}"), "bystander", NOW_MS + at * 100);
    }
    send_updates(&a, &mut b, &mut position);
    assert!(is_quarantined(&b, &plain("bystander"), NOW_MS + 500));
    a.record_completed(&plain("bystander"), NOW_MS + 1_000);
    send_updates(&a, &mut b, &mut position);
    assert!(!is_quarantined(&b, &plain("bystander"), NOW_MS + 1_001));
}

/// The requests have nothing in common but part 7.
#[test]
fn a_part_that_crashes_endpoints_is_found_in_ever_new_requests() {
    let mut instances = ["a", "b", "c"].map(suspects);
    for (at, it) in instances.iter_mut().enumerate() {
        let at = at as u64;
        let request = prompt(&format!("request-{at}"), &[100 + at, 7, 200 + at, 300 + at]);
        crash_with(it, &format!("engine-{at}"), &[request], NOW_MS + at * 1_000);
    }
    let [a, mut hub, c] = instances;
    let request = prompt("new", &[1, 7, 2, 3]);
    send_updates(&a, &mut hub, &mut LogPosition::default());
    assert_eq!(hub.quarantine_cause(&request, NOW_MS + 3_000), None);
    send_updates(&c, &mut hub, &mut LogPosition::default());
    assert_eq!(hub.quarantine_cause(&request, NOW_MS + 3_000), Some(QuarantineCause::Part(1)));
    // The last part of a prompt is its own: an equal id there is another text.
    assert!(!is_quarantined(&hub, &prompt("sound", &[1, 2, 7]), NOW_MS + 3_000));
    assert!(!is_quarantined(&hub, &prompt("sound", &[100, 200, 300]), NOW_MS + 3_000));
}

/// Part 1 is in all requests that crash, and in sound ones too seldom to have been cleared.
#[test]
fn a_part_that_another_suspect_explains_is_not_blamed() {
    let mut suspects = suspects("a");
    for at in 0..4 {
        let culprit = prompt(&format!("culprit-{at}"), &[1, 7, 200 + at]);
        let beside = prompt(&format!("beside-{at}"), &[1, 80 + at, 300 + at]);
        crash_with(&mut suspects, &format!("engine-{at}"), &[culprit, beside], NOW_MS + at * 1_000);
    }
    let now_ms = NOW_MS + 5_000;
    assert!(is_quarantined(&suspects, &prompt("culprit", &[1, 7, 2]), now_ms));
    assert!(!is_quarantined(&suspects, &prompt("sound", &[1, 9, 2]), now_ms));
    assert!(!is_quarantined(&suspects, &prompt("sound", &[9, 80, 2]), now_ms));
    // Which of the two parts is to blame is known once the other one has completed.
    assert!(!is_quarantined(&suspects, &prompt("culprit", &[9, 7, 2]), now_ms));
    suspects.record_completed(&prompt("sound", &[1, 9, 3]), now_ms);
    assert!(is_quarantined(&suspects, &prompt("culprit", &[9, 7, 2]), now_ms + 1));
    assert!(!is_quarantined(&suspects, &prompt("sound", &[1, 9, 2]), now_ms + 1));
}

/// Sound requests that are sent to endpoints a little after these crashed are interrupted there too.
#[test]
fn requests_at_endpoints_that_had_crashed_before_explain_nothing() {
    let mut suspects = suspects("a");
    for at in 0..3 {
        let (endpoint, now_ms) = (format!("engine-{at}"), NOW_MS + at * 1_000);
        let culprit = prompt(&format!("culprit-{at}"), &[7, 200 + at]);
        crash_with(&mut suspects, &endpoint, &[culprit], now_ms);
        let sound = prompt(&format!("sound-{at}"), &[1, 300 + at]);
        crash_with(&mut suspects, &endpoint, &[sound], now_ms + 400);
    }
    let now_ms = NOW_MS + 3_000;
    assert!(is_quarantined(&suspects, &prompt("culprit", &[7, 2]), now_ms));
    assert!(!is_quarantined(&suspects, &prompt("sound", &[1, 2]), now_ms));
}

/// Parts that are in use everywhere are not to blame when many endpoints fail at once.
#[test]
fn endpoints_that_fail_together_count_as_one_crash() {
    let mut suspects = suspects("a");
    for at in 0..20 {
        let running: Vec<_> =
            (0..4).map(|it| prompt(&format!("{at}-{it}"), &[it, 10 + it, 100 + at])).collect();
        crash_with(&mut suspects, &format!("engine-{at}"), &running, NOW_MS + at * 10);
    }
    for part in 0..4 {
        let request = prompt("new", &[part, 10 + part, 5]);
        assert!(!is_quarantined(&suspects, &request, NOW_MS + 1_000));
    }
}

#[test]
fn updates_are_sent_once_and_again_after_a_restart() {
    let mut hub = suspects("hub");
    crash(&mut hub, "engine-1", "culprit", NOW_MS);
    let updates = hub.updates_since(LogPosition::default());
    assert_eq!(updates.suspects.len(), 1);
    assert!(hub.updates_since(updates.next).suspects.is_empty());
    // The peer's position is from before the hub restarted.
    let before = LogPosition { log: LOG - 1, offset: 1 };
    assert_eq!(hub.updates_since(before).suspects.len(), 1);
    // Suspects that are known already cause no update.
    hub.merge(updates.suspects);
    assert_eq!(hub.updates_since(LogPosition::default()).next, updates.next);
}

#[test]
fn updates_are_bounded() {
    let mut hub = suspects("hub");
    for at in 0..2_000 {
        crash(&mut hub, &format!("engine-{}", at / 40), &format!("request-{at}"), NOW_MS + at);
    }
    assert!(hub.updates_since(LogPosition::default()).suspects.len() <= 512);
}

/// However many endpoints fail at once, messages stay small, and in the end all suspects are sent.
#[test]
fn many_suspects_are_sent_in_several_messages() {
    let mut hub = suspects("hub");
    for at in 0..400 {
        crash(&mut hub, &format!("engine-{}", at / 10), &format!("request-{at}"), NOW_MS + at);
    }
    let (mut peer, mut position) = (suspects("peer"), LogPosition::default());
    for _ in 0..13 {
        let updates = hub.updates_since(position);
        assert!(updates.suspects.len() <= 32, "{} in a message", updates.suspects.len());
        position = updates.next;
        peer.merge(updates.suspects);
    }
    assert_eq!(peer.len(), hub.len());
    assert!(hub.updates_since(position).suspects.is_empty());
}

/// A part that is in use everywhere when many endpoints fail at once.
#[test]
fn few_losses_of_a_suspect_are_kept() {
    let mut suspects = suspects("a");
    for at in 0..50 {
        let request = prompt(&format!("request-{at}"), &[1, 100 + at]);
        crash_with(&mut suspects, &format!("engine-{at}"), &[request], NOW_MS + at);
    }
    let updates = suspects.updates_since(LogPosition::default());
    assert!(updates.suspects.iter().all(|it| it.suspicion.findings().len() <= 8));
}

/// The findings about a request that completes again and again stay small.
#[test]
fn losses_that_were_cleared_are_dropped() {
    let mut suspects = suspects("a");
    for at in 0..100 {
        crash(&mut suspects, &format!("engine-{at}"), "bystander", NOW_MS + at * 1_000);
        suspects.record_completed(&plain("bystander"), NOW_MS + at * 1_000 + 500);
    }
    let updates = suspects.updates_since(LogPosition::default());
    assert!(updates.suspects.iter().all(|it| it.suspicion.findings().len() <= 2));
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
fn a_peer_that_is_behind_gets_the_most_suspected() {
    let mut hub = suspects("hub");
    for at in 0..3 {
        crash(&mut hub, &format!("engine-{at}"), "culprit", NOW_MS + at * 1_000);
    }
    for at in 0..2_000 {
        crash(&mut hub, "engine-9", &format!("bystander-{at}"), NOW_MS + 5_000);
    }
    let mut started = suspects("started");
    send_updates(&hub, &mut started, &mut LogPosition::default());
    assert!(is_quarantined(&started, &plain("culprit"), NOW_MS + 6_000));
}

/// Instances that exchange updates with a hub, in messages that may be lost.
struct Exchange {
    hub: Suspects,
    members: Vec<(Suspects, SyncCursors)>,
    /// Number of processes so far; each has a log of its own.
    processes: u64,
}

impl Exchange {
    fn new(members: usize) -> Exchange {
        let mut exchange = Exchange { hub: suspects("hub"), members: Vec::new(), processes: 0 };
        for _ in 0..members {
            let member = exchange.start();
            exchange.members.push((member, SyncCursors::default()));
        }
        exchange.hub = exchange.start();
        exchange
    }

    fn start(&mut self) -> Suspects {
        self.processes += 1;
        Suspects::new(Name::from("instance"), SETTINGS, self.processes)
    }

    /// A member's report, and the hub's response if the report arrives.
    fn report(&mut self, member: usize, report_arrives: bool, response_arrives: bool) {
        let (member, cursors) = &mut self.members[member];
        let updates = member.updates_since(cursors.acked_by_peer);
        if !report_arrives {
            return;
        }
        self.hub.merge(updates.suspects);
        let response = self.hub.updates_since(cursors.received_from_peer);
        if response_arrives {
            *cursors = cursors.advance(updates.next, response.next);
            member.merge(response.suspects);
        }
    }

    fn restart_hub(&mut self) {
        self.hub = self.start();
    }

    fn restart_member(&mut self, member: usize) {
        let started = self.start();
        self.members[member] = (started, SyncCursors::default());
    }
}

/// Whatever messages are lost and whichever processes restart: what one instance still knows, all
/// know after every member has reported three times.
#[test]
fn updates_reach_all_instances_in_spite_of_lost_messages_and_restarts() {
    fn check(steps: Vec<(u8, u8)>) -> bool {
        const MEMBERS: usize = 3;
        let mut exchange = Exchange::new(MEMBERS);
        let mut now_ms = NOW_MS;
        for (crash_count, (step, fate)) in steps.into_iter().enumerate() {
            let member = usize::from(step) % MEMBERS;
            now_ms += 1_000;
            match step / 32 {
                0 => exchange.restart_hub(),
                1 => exchange.restart_member(member),
                2 | 3 => {
                    let endpoint = format!("engine-{crash_count}");
                    crash(&mut exchange.members[member].0, &endpoint, "culprit", now_ms);
                }
                _ => exchange.report(member, fate % 4 > 0, fate % 3 > 0),
            }
        }
        let members = exchange.members.iter();
        let known = members.filter_map(|(it, _)| suspicion_size(it)).max();
        // The first report shows that the hub restarted, the second tells it what it lost.
        for member in (0..3 * MEMBERS).map(|it| it % MEMBERS) {
            exchange.report(member, true, true);
        }
        exchange.members.iter().all(|(it, _)| suspicion_size(it) >= known)
    }
    let generator = Gen::from_size_and_seed(60, 20_261_204);
    QuickCheck::new().rng(generator).tests(2_000).quickcheck(check as fn(Vec<(u8, u8)>) -> bool);
}

/// Number of losses that count against the request `culprit`; `None` if it is not suspected.
fn suspicion_size(suspects: &Suspects) -> Option<usize> {
    let updates = suspects.updates_since(LogPosition::default());
    let culprit =
        updates.suspects.into_iter().find(|it| it.fingerprint == plain("culprit").request);
    culprit.map(|it| it.suspicion.findings().len())
}

#[test]
fn a_restarted_peer_is_sent_everything_again() {
    let position = |log, offset| LogPosition { log, offset };
    let cursors = SyncCursors::default().advance(position(LOG, 7), position(1, 40));
    let expected =
        SyncCursors { acked_by_peer: position(LOG, 7), received_from_peer: position(1, 40) };
    assert_eq!(cursors, expected);
    let cursors = cursors.advance(position(LOG, 9), position(1, 40));
    assert_eq!(cursors.acked_by_peer, position(LOG, 9));
    // The peer's updates are in another log, though a longer one: it restarted and lost what it
    // was sent.
    let cursors = cursors.advance(position(LOG, 9), position(2, 50));
    let expected =
        SyncCursors { acked_by_peer: LogPosition::default(), received_from_peer: position(2, 50) };
    assert_eq!(cursors, expected);
}

#[test]
fn an_update_log_is_bounded_and_continues_at_a_position() {
    let mut updates = UpdateLog::new(LOG, 3);
    updates.extend(0..3);
    let since = |updates: &UpdateLog<i32>, log, offset| {
        let since = updates.since(LogPosition { log, offset });
        since.map(|it| it.entries.copied().collect::<Vec<_>>())
    };
    assert_eq!(since(&updates, LOG, 1), Some(vec![1, 2]));
    assert_eq!(since(&updates, LOG + 1, 1), Some(vec![0, 1, 2]));
    updates.extend(3..5);
    assert_eq!(updates.end(), LogPosition { log: LOG, offset: 5 });
    assert_eq!(since(&updates, LOG, 0), None);
    assert_eq!(since(&updates, LOG, 4), Some(vec![4]));
    assert_eq!(since(&updates, LOG, 5), Some(vec![]));
    assert_eq!(since(&updates, LOG + 1, 4), None);
}

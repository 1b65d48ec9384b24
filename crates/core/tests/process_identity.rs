//! Whether the process that answers for an endpoint is the one of its entry.

use tanagergauge_core::process_identity::{
    ENTRY_WRITTEN_AGAIN_MS, ENTRY_WRITTEN_MS, ListCurrency, ProcessIdentity,
};

const DOUBT_MS: u64 = 10_000;
/// When an entry is written of a process that accepted a connection at [`DOUBT_MS`].
const WRITTEN_MS: u64 = DOUBT_MS + ENTRY_WRITTEN_MS;

fn doubted() -> ProcessIdentity {
    let mut identity = ProcessIdentity::default();
    assert!(identity.is_proven() && identity.record_disconnect(DOUBT_MS));
    identity
}

/// A list that was confirmed at a time, after a gap that ended at another one; 0 if there was none.
fn list(confirmed_ms: u64, gap_end_ms: u64) -> ListCurrency {
    ListCurrency { confirmed_ms, gap_end_ms: (gap_end_ms > 0).then_some(gap_end_ms) }
}

macro_rules! cases {
    ($($name:ident: $identity:ident, $event:expr => $is_proven:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut $identity = doubted();
            $event;
            assert_eq!($identity.is_proven(), $is_proven);
        }
    )*};
}

cases! {
    an_answer_on_an_older_connection_is_proof: it, it.record_answer(DOUBT_MS - 1, DOUBT_MS + 1) => true;
    an_answer_on_a_later_connection_is_not: it, it.record_answer(DOUBT_MS, DOUBT_MS + 1) => false;
    an_answer_to_an_earlier_request_is_not: it, it.record_answer(1, DOUBT_MS) => false;
    an_answer_between_two_doubts_is_not:
        it, { it.record_disconnect(DOUBT_MS + 9); it.record_answer(1, DOUBT_MS + 5) } => false;
    an_answer_of_the_process_before_a_restart_is_not:
        it, { it.record_restart(); it.record_answer(1, DOUBT_MS + 5) } => false;
    an_entry_that_stays_the_same_is_proof:
        it, it.record_unchanged_entry(DOUBT_MS, list(WRITTEN_MS, 0), WRITTEN_MS) => true;
    an_entry_that_may_not_be_written_yet_is_not:
        it, it.record_unchanged_entry(DOUBT_MS, list(WRITTEN_MS - 1, 0), WRITTEN_MS) => false;
    a_connection_from_before_the_doubt_shows_nothing:
        it, it.record_unchanged_entry(DOUBT_MS - 1, list(WRITTEN_MS, 0), WRITTEN_MS) => false;
    an_entry_right_after_the_store_was_away_is_no_proof:
        it, it.record_unchanged_entry(
            DOUBT_MS, list(WRITTEN_MS + 9, WRITTEN_MS + 10 - ENTRY_WRITTEN_AGAIN_MS), WRITTEN_MS) => false;
    a_report_of_later_is: it, it.record_shown(DOUBT_MS + 1) => true;
    a_report_of_before_is_not: it, it.record_shown(DOUBT_MS) => false;
    an_entry_that_is_repeated_is_no_proof_by_itself:
        it, { repeat(&mut it); it.record_unchanged_entry(DOUBT_MS, list(WRITTEN_MS, 0), WRITTEN_MS) } => false;
    an_entry_that_is_not_repeated_any_more_is_none:
        it, { repeat(&mut it); wait(&mut it, DOUBT_MS, 5_000); } => false;
    an_entry_that_is_repeated_later_is:
        it, {
            repeat(&mut it);
            wait(&mut it, DOUBT_MS, 100);
            it.record_repeat(4, WRITTEN_MS + 100);
            wait(&mut it, DOUBT_MS, 200);
        } => true;
    an_entry_that_is_repeated_before_the_next_connection_is_not:
        it, {
            repeat(&mut it);
            wait(&mut it, DOUBT_MS, 100);
            it.record_repeat(4, WRITTEN_MS + 100);
            wait(&mut it, DOUBT_MS + 150, 600);
        } => false;
    an_entry_whose_number_falls_back_is_not:
        it, {
            repeat(&mut it);
            wait(&mut it, DOUBT_MS, 100);
            it.record_repeat(3, WRITTEN_MS + 100);
            wait(&mut it, DOUBT_MS, 200);
        } => false;
    an_entry_that_was_repeated_long_ago_is_proof_as_others:
        it, { repeat(&mut it); wait(&mut it, DOUBT_MS, 6_000); } => true;
    an_entry_of_a_process_that_started_later_is_proof_as_others:
        it, { repeat(&mut it); it.record_restart(); wait(&mut it, DOUBT_MS, 100); } => true;
    an_entry_later_is:
        it, it.record_unchanged_entry(
            DOUBT_MS, list(WRITTEN_MS + 10, WRITTEN_MS + 10 - ENTRY_WRITTEN_AGAIN_MS), WRITTEN_MS) => true;
}

/// The entry has been repeated every 1.2 s until the doubt.
fn repeat(identity: &mut ProcessIdentity) {
    for sequence in 1..=3 {
        identity.record_repeat(sequence, DOUBT_MS - 1_200 * (3 - sequence));
    }
}

/// Looks at the entry by a connection, with a current list, until a time after [`WRITTEN_MS`].
fn wait(identity: &mut ProcessIdentity, accepted_ms: u64, until_ms: u64) {
    for now_ms in (WRITTEN_MS..=WRITTEN_MS + until_ms).step_by(20) {
        identity.record_unchanged_entry(accepted_ms, list(now_ms, 0), now_ms);
    }
}

macro_rules! connections {
    ($($name:ident: $identity:expr, $opened_ms:expr, $list_ms:expr => $is_shown:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($identity.is_shown_on($opened_ms, list($list_ms, 0)), $is_shown);
        }
    )*};
}

fn shown(at_ms: u64) -> ProcessIdentity {
    let mut identity = ProcessIdentity::default();
    identity.record_shown(at_ms);
    identity
}

connections! {
    a_new_connection_shows_nothing: ProcessIdentity::default(), 1_000, 1_000 => false;
    a_list_shows_the_process_of_a_connection: ProcessIdentity::default(), 1_000, 1_000 + ENTRY_WRITTEN_MS => true;
    a_list_in_between_does_not: ProcessIdentity::default(), 1_000, 999 + ENTRY_WRITTEN_MS => false;
    a_report_shows_the_process_of_older_connections: shown(2_000), 2_000, 0 => true;
    a_report_shows_nothing_of_later_ones: shown(2_000), 2_001, 0 => false;
    a_connection_of_before_a_doubt_is_shown_by_a_list: doubted(), DOUBT_MS - 1, WRITTEN_MS => true;
    a_connection_of_after_a_doubt_is_not: doubted(), DOUBT_MS, WRITTEN_MS => false;
}

#[test]
fn what_is_told_late_raises_no_doubt_again() {
    let mut identity = doubted();
    assert!(identity.record_unchanged_entry(DOUBT_MS, list(WRITTEN_MS, 0), WRITTEN_MS));
    assert!(!identity.record_disconnect(DOUBT_MS + 50) && identity.is_proven());
    assert!(identity.record_disconnect(WRITTEN_MS) && !identity.is_proven());
}

#[test]
fn what_peers_tell_again_keeps_no_doubt_up() {
    let mut identity = doubted();
    assert!(!identity.record_told_disconnect(DOUBT_MS + 50));
    assert!(identity.record_unchanged_entry(DOUBT_MS + 1, list(WRITTEN_MS + 1, 0), WRITTEN_MS + 1));
    assert!(!identity.record_told_disconnect(DOUBT_MS + 50) && identity.is_proven());
}

#[test]
fn only_older_connections_lead_to_the_process() {
    let identity = doubted();
    assert!(identity.is_reached_by(DOUBT_MS - 1) && !identity.is_reached_by(DOUBT_MS));
}

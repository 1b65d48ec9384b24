//! What is told apart after the store came back from an older copy: eras, and old reports from new
//! ones.

use bytes::Bytes;
use tanagergauge_core::{
    Name,
    compacted_log::{CatchUp, CatchUpPlan, CompactedLog, Record},
    endpoint_reports::{EndpointReports, KnownReport, ReportNumber},
    store_era::{EraChange, era_after_lost_history},
};

fn number(incarnation: u64, sequence: u64) -> ReportNumber {
    ReportNumber { incarnation, sequence }
}

#[test]
fn an_answers_era_is_compared_with_the_known_one() {
    assert_eq!(EraChange::of(2, Some(2)), EraChange::None);
    assert_eq!(EraChange::of(2, Some(3)), EraChange::Began);
    assert_eq!(EraChange::of(2, Some(1)), EraChange::Outdated);
    assert_eq!(EraChange::of(2, None), EraChange::None);
}

#[test]
fn a_store_without_eras_has_come_back_if_it_ends_earlier() {
    assert_eq!(era_after_lost_history(0, Some(9), None, 8), 1);
    assert_eq!(era_after_lost_history(0, Some(9), None, 9), 0);
    assert_eq!(era_after_lost_history(0, None, None, 8), 0);
    assert_eq!(era_after_lost_history(3, Some(9), Some(3), 8), 3);
    assert_eq!(era_after_lost_history(3, Some(9), Some(4), 12), 4);
}

#[test]
fn reports_of_a_copy_are_recognized() {
    let (endpoint, value) = (Name::from("i-1"), Bytes::from_static(b"leaving"));
    let mut reports = EndpointReports::default();
    reports.record(&endpoint, number(5, 7), &value);
    let live = Some(KnownReport::Live(value));
    assert_eq!(reports.known("i-1", number(5, 7)), live);
    assert_eq!(reports.known("i-1", number(4, 9)), live);
    assert_eq!(reports.known("i-1", number(5, 8)), None);
    assert_eq!(reports.known("i-1", number(6, 1)), None);
    assert_eq!(reports.known("i-2", number(1, 1)), None);
    reports.record_gone("i-1", 1_000);
    assert_eq!(reports.known("i-1", number(5, 7)), Some(KnownReport::Gone));
    assert_eq!(reports.known("i-1", number(5, 8)), None);
}

#[test]
fn what_a_peer_knows_of_endpoints_that_are_gone_is_believed_unless_a_newer_report_is_known() {
    let (endpoint, value) = (Name::from("i-1"), Bytes::from_static(b"ready"));
    let (mut peer, mut own) = (EndpointReports::default(), EndpointReports::default());
    peer.record(&endpoint, number(5, 7), &value);
    assert_eq!(peer.gone(&endpoint), None);
    peer.record_gone("i-1", 1_000);
    let gone = peer.gone(&endpoint).expect("it is gone");
    assert!(own.record_gone_at_peer(&gone, 1_000));
    assert_eq!(own.known("i-1", number(5, 7)), Some(KnownReport::Gone));
    assert_eq!(own.known("i-1", number(5, 8)), None);
    own.record(&endpoint, number(5, 8), &value);
    assert!(!own.record_gone_at_peer(&gone, 1_000));
    assert_eq!(own.known("i-1", number(5, 8)), Some(KnownReport::Live(value)));
}

#[test]
fn endpoints_that_are_gone_for_long_are_forgotten() {
    let mut reports = EndpointReports::default();
    for name in ["i-1", "i-2"] {
        reports.record(&Name::from(name), number(1, 1), &Bytes::new());
    }
    reports.record_gone("i-1", 1_000);
    reports.record_gone("i-2", 601_001);
    assert_eq!(reports.known("i-1", number(1, 1)), None);
    assert_eq!(reports.known("i-2", number(1, 1)), Some(KnownReport::Gone));
}

#[test]
fn a_new_history_knows_nothing_of_the_one_before() {
    let record = |key: &str, offset| Record {
        key: Name::from(key),
        value: Some(Bytes::from_static(b"x")),
        offset,
    };
    let mut log = CompactedLog::default();
    log.put(record("a", 40), true);
    log.advance_to(41);
    log.begin_era(2, 5);
    assert_eq!((log.era(), log.end(), log.len()), (2, Some(5), 0));
    assert!(log.is_newer("a", 3));
    log.put(record("a", 3), true);
    // A reader of another history gets everything, whatever its offset.
    let records = vec![record("a", 3)];
    let complete = CatchUp { records, is_complete: true };
    assert_eq!(log.plan_complete(true), CatchUpPlan::Records(complete));
}

//! Whether one software version alone may have begun the streams that callers take up.

use tanagergauge_core::{
    Name,
    update_log::LogPosition,
    version_history::{
        ENTRIES_WRITTEN_AGAIN_MS, SoleVersion, UNIX_TIME_MARGIN_MS, VERSION_RETENTION_MS,
        VersionHistory, VersionRecord,
    },
};

const UNIX_MS: u64 = 1_700_000_000_000;
const START_MS: u64 = 100;
/// When a process that started at [`START_MS`] has seen all by itself.
const LATER_MS: u64 = START_MS + VERSION_RETENTION_MS;

fn tekstur() -> Name {
    Name::from("tekstur")
}

/// Observes these versions, and no others, as listed.
fn observe(history: &mut VersionHistory, versions: &[&str], now_ms: u64) {
    let versions: Vec<(Name, Name)> =
        versions.iter().map(|it| (tekstur(), Name::from(*it))).collect();
    history.observe(versions.iter().map(|(service, version)| (service, version)), now_ms);
}

/// Observes these versions at intervals.
fn watch(history: &mut VersionHistory, versions: &[&str], from_ms: u64, until_ms: u64) {
    (from_ms..until_ms).step_by(250).for_each(|it| observe(history, versions, it));
    observe(history, versions, until_ms);
}

/// An instance that started at [`START_MS`] and observed these versions then.
fn started(versions: &[&str]) -> VersionHistory {
    let mut history = VersionHistory::new(1, START_MS);
    observe(&mut history, versions, START_MS);
    history
}

/// The same, after it has seen them for long.
fn long_running(versions: &[&str]) -> VersionHistory {
    let mut history = started(versions);
    history.apply_records(Vec::new(), UNIX_MS, START_MS);
    watch(&mut history, versions, START_MS, LATER_MS);
    history
}

fn sole(history: &VersionHistory, now_ms: u64) -> SoleVersion {
    history.sole_version("tekstur", Some(0), now_ms)
}

fn one(version: &str) -> SoleVersion {
    SoleVersion::One(Name::from(version))
}

/// The records that it would write, which are then stored.
fn store(history: &mut VersionHistory, now_ms: u64) -> Vec<(Name, VersionRecord)> {
    let records = history.records_to_store(UNIX_MS, now_ms);
    for (service, record) in &records {
        history.record_stored(service, record);
    }
    records
}

/// An instance that starts `dark_ms` after the records were written at [`UNIX_MS`], and lists these.
fn restarted(
    records: Vec<(Name, VersionRecord)>,
    dark_ms: u64,
    versions: &[&str],
) -> VersionHistory {
    let mut history = started(versions);
    history.apply_records(records, UNIX_MS + dark_ms, START_MS);
    history
}

/// The same, and the store has come back from a copy since.
fn restarted_after_copy(records: Vec<(Name, VersionRecord)>, versions: &[&str]) -> VersionHistory {
    let mut history = started(versions);
    history.record_era(2);
    history.apply_records(records, UNIX_MS + 2_000, START_MS);
    watch(&mut history, versions, START_MS, START_MS + ENTRIES_WRITTEN_AGAIN_MS);
    history
}

macro_rules! cases {
    ($($name:ident: $history:expr, at $now_ms:expr => $sole:expr;)*) => {$(
        #[test]
        fn $name() {
            let history: VersionHistory = $history;
            assert_eq!(sole(&history, $now_ms), $sole);
        }
    )*};
}

cases! {
    a_start_alone_tells_nothing: started(&["v1"]), at LATER_MS - 1 => SoleVersion::Unknown;
    one_version_is_sole_once_it_was_seen_for_long: {
        let mut history = started(&["v1"]);
        watch(&mut history, &["v1"], START_MS, LATER_MS);
        history
    }, at LATER_MS => one("v1");
    two_listed_versions_are_several: long_running(&["v1", "v2"]), at LATER_MS => SoleVersion::Several;
    a_version_without_a_name_counts: long_running(&["", "v1"]), at LATER_MS => SoleVersion::Several;
    the_first_start_of_a_deployment_knows_all: {
        let mut history = started(&["v1"]);
        history.record_first_start();
        history
    }, at START_MS => one("v1");
    a_version_that_left_counts_for_a_while: {
        let mut history = long_running(&["v1", "v2"]);
        observe(&mut history, &["v2"], LATER_MS + 10);
        history
    }, at LATER_MS + VERSION_RETENTION_MS - 1 => SoleVersion::Several;
    a_version_that_left_long_ago_does_not: {
        let mut history = long_running(&["v1", "v2"]);
        watch(&mut history, &["v2"], LATER_MS + 10, LATER_MS + VERSION_RETENTION_MS);
        history
    }, at LATER_MS + VERSION_RETENTION_MS => one("v2");
    after_a_kill_of_all_one_version_is_sole:
        restarted(store(&mut long_running(&["v1"]), LATER_MS), 2_000, &["v1"]),
        at START_MS => one("v1");
    after_a_kill_of_all_in_a_rollout_there_are_several:
        restarted(store(&mut long_running(&["v1", "v2"]), LATER_MS), 2_000, &["v1", "v2"]),
        at START_MS => SoleVersion::Several;
    a_version_that_left_while_all_were_dark_counts:
        restarted(store(&mut long_running(&["v1"]), LATER_MS), 60_000, &["v2"]),
        at LATER_MS - 1 => SoleVersion::Several;
    a_version_that_left_while_all_were_dark_counts_a_minute_later:
        restarted(store(&mut long_running(&["v1"]), LATER_MS), 1_000, &["v2"]),
        at START_MS + 61_000 => SoleVersion::Several;
    a_version_that_left_before_the_kill_counts: {
        let mut killed = long_running(&["v1", "v2"]);
        observe(&mut killed, &["v2"], LATER_MS + 1_000);
        restarted(store(&mut killed, LATER_MS + 1_000), VERSION_RETENTION_MS, &["v2"])
    }, at START_MS => SoleVersion::Several;
    a_version_that_left_long_before_the_start_does_not: {
        let mut killed = long_running(&["v1", "v2"]);
        observe(&mut killed, &["v2"], LATER_MS + 1_000);
        let dark_ms = VERSION_RETENTION_MS + UNIX_TIME_MARGIN_MS;
        restarted(store(&mut killed, LATER_MS + 1_000), dark_ms, &["v2"])
    }, at START_MS => one("v2");
    a_record_of_a_young_instance_is_not_complete: {
        let mut killed = started(&["v1"]);
        killed.apply_records(Vec::new(), UNIX_MS, START_MS);
        restarted(store(&mut killed, START_MS), 20_000, &["v1"])
    }, at START_MS => SoleVersion::Unknown;
    a_record_of_an_instance_that_was_young_long_ago_is: {
        let mut killed = started(&["v1"]);
        killed.apply_records(Vec::new(), UNIX_MS, START_MS);
        let dark_ms = VERSION_RETENTION_MS + UNIX_TIME_MARGIN_MS;
        restarted(store(&mut killed, START_MS), dark_ms, &["v1"])
    }, at START_MS => one("v1");
    a_record_from_before_a_copy_is_not_complete_at_once:
        restarted_after_copy(store(&mut long_running(&["v1"]), LATER_MS), &["v1"]),
        at START_MS + ENTRIES_WRITTEN_AGAIN_MS - 1 => SoleVersion::Unknown;
    a_record_from_before_a_copy_is_complete_once_servers_have_written_again:
        restarted_after_copy(store(&mut long_running(&["v1"]), LATER_MS), &["v1"]),
        at START_MS + ENTRIES_WRITTEN_AGAIN_MS => one("v1");
    a_version_that_is_written_again_after_a_copy_counts: {
        let records = store(&mut long_running(&["v1"]), LATER_MS);
        let mut history = restarted_after_copy(records, &["v1"]);
        observe(&mut history, &["v1", "v2"], START_MS + ENTRIES_WRITTEN_AGAIN_MS - 1);
        history
    }, at START_MS + ENTRIES_WRITTEN_AGAIN_MS => SoleVersion::Several;
    a_record_of_the_stores_era_is_complete: {
        let mut killed = long_running(&["v1"]);
        killed.record_era(2);
        restarted_after_copy(store(&mut killed, LATER_MS), &["v1"])
    }, at START_MS => one("v1");
    an_instance_that_starts_learns_from_a_peer: {
        let mut history = started(&["v1"]);
        let updates = long_running(&["v1"]).updates_since(LogPosition::default(), LATER_MS);
        history.merge(updates.services, START_MS);
        history
    }, at START_MS => one("v1");
    an_instance_that_starts_learns_of_a_version_that_left: {
        let mut peer = long_running(&["v1", "v2"]);
        observe(&mut peer, &["v2"], LATER_MS + 1_000);
        let mut history = started(&["v2"]);
        let updates = peer.updates_since(LogPosition::default(), LATER_MS + 1_000);
        history.merge(updates.services, START_MS);
        history
    }, at START_MS => SoleVersion::Several;
}

#[test]
fn an_old_list_tells_nothing() {
    let history = long_running(&["v1"]);
    assert_eq!(history.sole_version("tekstur", Some(1_500), LATER_MS), one("v1"));
    assert_eq!(history.sole_version("tekstur", Some(1_501), LATER_MS), SoleVersion::Unknown);
    assert_eq!(history.sole_version("tekstur", None, LATER_MS), SoleVersion::Unknown);
    assert_eq!(history.sole_version("another", Some(0), LATER_MS), SoleVersion::Unknown);
}

#[test]
fn a_process_that_was_stopped_waits_for_a_new_list() {
    let mut history = long_running(&["v1"]);
    let stopped_ms = LATER_MS + 1_001;
    // Before the list is observed again, and after it, by an answer that waited for the process.
    assert_eq!(sole(&history, stopped_ms), SoleVersion::Unknown);
    observe(&mut history, &["v1"], stopped_ms);
    assert_eq!(sole(&history, stopped_ms + 299), SoleVersion::Unknown);
    observe(&mut history, &["v1"], stopped_ms + 500);
    assert_eq!(history.sole_version("tekstur", Some(300), stopped_ms + 500), SoleVersion::Unknown);
    assert_eq!(history.sole_version("tekstur", Some(200), stopped_ms + 500), one("v1"));
}

#[test]
fn what_peers_tell_each_other_ends() {
    let (mut a, mut b) = (long_running(&["v1"]), started(&["v1", "v2"]));
    let [mut from_a, mut from_b] = [LogPosition::default(); 2];
    for _ in 0..3 {
        let updates = a.updates_since(from_a, LATER_MS);
        from_a = updates.next;
        b.merge(updates.services, START_MS);
        let updates = b.updates_since(from_b, START_MS);
        from_b = updates.next;
        a.merge(updates.services, LATER_MS);
    }
    assert_eq!(a.updates_since(from_a, LATER_MS).services, []);
    assert_eq!(b.updates_since(from_b, START_MS).services, []);
    assert_eq!(
        [sole(&a, LATER_MS), sole(&b, START_MS)],
        [SoleVersion::Several, SoleVersion::Several]
    );
}

#[test]
fn the_record_is_written_only_when_listed_versions_change() {
    let mut history = started(&["v1"]);
    assert_eq!(history.records_to_store(UNIX_MS, START_MS), [], "records were not read yet");
    history.apply_records(Vec::new(), UNIX_MS, START_MS);
    assert_eq!(store(&mut history, START_MS).len(), 1);
    for now_ms in [START_MS + 1, LATER_MS, 2 * LATER_MS] {
        observe(&mut history, &["v1"], now_ms);
        assert_eq!(store(&mut history, now_ms), []);
    }
    observe(&mut history, &["v1", "v2"], 2 * LATER_MS);
    let records = store(&mut history, 2 * LATER_MS);
    assert_eq!(records.len(), 1);
    // Another hub hears that this one has written it.
    let mut other = long_running(&["v1", "v2"]);
    assert_eq!(other.records_to_store(UNIX_MS, LATER_MS).len(), 1);
    other.merge(history.updates_since(LogPosition::default(), 2 * LATER_MS).services, LATER_MS);
    assert_eq!(other.records_to_store(UNIX_MS, LATER_MS), []);
    // The store came back from a copy, with or without the record.
    history.record_era(2);
    let in_next_era = store(&mut history, 2 * LATER_MS);
    assert_eq!(in_next_era.iter().map(|(_, it)| it.era).collect::<Vec<_>>(), [2]);
    history.apply_records(records, UNIX_MS, 2 * LATER_MS);
    assert_eq!(store(&mut history, 2 * LATER_MS), in_next_era);
    history.apply_records(Vec::new(), UNIX_MS, 2 * LATER_MS);
    assert_eq!(store(&mut history, 2 * LATER_MS), in_next_era);
}

/// Guards against ORDER: a list that was confirmed before a stream was asked for, or by an answer that was on
/// its way then, may lack the version at which the stream began.
#[test]
fn a_list_is_confirmed_since_a_question_by_what_was_read_after_it() {
    let is_confirmed =
        |list_age_ms, now_ms| VersionHistory::is_confirmed_since(list_age_ms, 1_000, now_ms);
    assert!(!is_confirmed(None, 2_000));
    assert!(!is_confirmed(Some(0), 1_000));
    assert!(!is_confirmed(Some(0), 1_099));
    assert!(is_confirmed(Some(0), 1_100));
    assert!(!is_confirmed(Some(901), 2_000));
    assert!(is_confirmed(Some(900), 2_000));
    assert!(!is_confirmed(Some(5_000), 2_000));
}

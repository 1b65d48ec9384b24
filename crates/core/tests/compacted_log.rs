//! Readers of a log that pass its newest records on to each other.

use bytes::Bytes;
use quickcheck::quickcheck;
use tanagergauge_core::{
    Name,
    compacted_log::{CatchUpPlan, CompactedLog, Record},
};

fn record(key: u8, value: Option<u8>, offset: u64) -> Record {
    let value = value.map(|it| Bytes::from(vec![it]));
    Record { key: Name::from(key.to_string()), value, offset }
}

fn live(log: &CompactedLog) -> Vec<Record> {
    let mut records = log.changed_since(0);
    records.retain(|it| it.value.is_some());
    records.sort_by(|a, b| a.key.cmp(&b.key));
    records
}

fn apply(reader: &mut CompactedLog, it: Record) {
    if reader.is_newer(&it.key, it.offset) {
        reader.put(it, true);
    }
}

/// Brings one reader up to date with another.
fn catch_up(reader: &mut CompactedLog, source: &CompactedLog) {
    let Some(end) = source.end() else { return };
    let missing = source.catch_up(reader.end().unwrap_or(0));
    let listed: Vec<Name> = missing.records.iter().map(|it| it.key.clone()).collect();
    if missing.is_complete {
        for key in reader.keys_not_in(&listed) {
            reader.put(Record { key, value: None, offset: end }, true);
        }
    }
    missing.records.into_iter().for_each(|it| apply(reader, it));
    reader.advance_to(end);
}

/// A log in which the records of each key set it and delete it by turns.
fn records(keys: impl IntoIterator<Item = u8>) -> Vec<Record> {
    let mut lives = [false; 256];
    let records = keys.into_iter().enumerate().map(|(at, key)| {
        let lives = &mut lives[usize::from(key)];
        *lives = !*lives;
        record(key, lives.then_some(at as u8), at as u64 + 1)
    });
    records.collect()
}

quickcheck! {
    /// A reader that catches up has the same live records as its source, however far behind it
    /// was.
    fn a_reader_that_catches_up_has_the_same_records(keys: Vec<u8>, catches_up: Vec<bool>) -> bool {
        let (mut source, mut reader) = (CompactedLog::default(), CompactedLog::default());
        let mut catches_up = catches_up.into_iter().cycle();
        for it in records(keys) {
            let offset = it.offset;
            source.put(it, true);
            source.advance_to(offset + 1);
            if catches_up.next().unwrap_or(true) {
                catch_up(&mut reader, &source);
                if live(&reader) != live(&source) {
                    return false;
                }
            }
        }
        true
    }
}

/// Over weeks endpoints come and go, each under a name of its own. Their tombstones must not
/// accumulate.
#[test]
fn tombstones_are_bounded() {
    let (mut source, mut reader) = (CompactedLog::default(), CompactedLog::default());
    for at in 0..20_000u64 {
        let key = Name::from(format!("i-{at}"));
        let value = Some(Bytes::from_static(b"x"));
        source.put(Record { key: key.clone(), value, offset: 2 * at + 1 }, true);
        if at % 1_000 == 0 {
            catch_up(&mut reader, &source);
        }
        source.put(Record { key, value: None, offset: 2 * at + 2 }, true);
        source.advance_to(2 * at + 3);
    }
    assert!(source.len() <= 256, "{}", source.len());
    catch_up(&mut reader, &source);
    assert_eq!(live(&reader), live(&source));
    assert!(reader.len() <= 256, "{}", reader.len());
}

/// A store that is behind lists a key that was deleted and whose tombstone was forgotten.
#[test]
fn an_old_record_does_not_restore_a_deleted_key() {
    let mut log = CompactedLog::default();
    for at in 0..2_000u64 {
        let key = Name::from(format!("i-{at}"));
        log.put(Record { key, value: None, offset: at + 1 }, true);
        log.advance_to(at + 2);
    }
    assert!(!log.is_newer("i-3", 3));
    assert!(log.is_newer("i-3", 2_001));
    assert!(log.is_newer("i-new", 2_001));
}

/// A new reader and a source with a long list, with and without access to the store.
#[test]
fn a_long_list_is_sent_only_to_a_reader_without_the_store() {
    let mut source = CompactedLog::default();
    for at in 0..401u64 {
        let (key, value) = (Name::from(format!("i-{at}")), Some(Bytes::from_static(b"x")));
        source.put(Record { key, value, offset: at + 1 }, true);
    }
    source.advance_to(402);
    assert_eq!(source.plan_catch_up(0, true), CatchUpPlan::ReadStore);
    let CatchUpPlan::Records(all) = source.plan_catch_up(0, false) else {
        panic!("a reader without the store is sent all records")
    };
    assert_eq!((all.records.len(), all.is_complete), (401, true));
    // A reader that is only a little behind is sent the changes.
    let value = Some(Bytes::from_static(b"y"));
    source.put(Record { key: "i-7".into(), value, offset: 402 }, true);
    source.advance_to(403);
    let CatchUpPlan::Records(changes) = source.plan_catch_up(402, true) else {
        panic!("a reader that is a little behind is sent the changes")
    };
    assert_eq!((changes.records.len(), changes.is_complete), (1, false));
}

/// A peer's list that is older than the own one must not bring a key back that was deleted in between.
#[test]
fn an_older_list_does_not_restore_a_key_that_a_newer_one_lacks() {
    let mut log = CompactedLog::default();
    apply(&mut log, record(1, Some(1), 3));
    log.mark_complete_to(10);
    for older in [record(2, Some(2), 5), record(3, None, 9)] {
        apply(&mut log, older);
    }
    log.mark_complete_to(8);
    assert_eq!(live(&log).len(), 1, "only the key of the newer list");
    apply(&mut log, record(2, Some(2), 10));
    assert_eq!(live(&log).len(), 2, "what is written later counts");
    assert_eq!(log.end(), Some(10));
}

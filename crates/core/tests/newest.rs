//! The newest records of a log, handed on between its readers.

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

fn live(newest: &CompactedLog) -> Vec<Record> {
    let mut records = newest.changed_since(0);
    records.retain(|it| it.value.is_some());
    records.sort_by(|a, b| a.key.cmp(&b.key));
    records
}

fn take(reader: &mut CompactedLog, it: Record) {
    if reader.is_newer(&it.key, it.offset) {
        reader.put(it, true);
    }
}

/// One reader takes in what another has and it lacks.
fn follow(reader: &mut CompactedLog, source: &CompactedLog) {
    let Some(end) = source.end() else { return };
    let lacking = source.catch_up(reader.end().unwrap_or(0));
    let listed: Vec<Name> = lacking.records.iter().map(|it| it.key.clone()).collect();
    if lacking.is_complete {
        for key in reader.keys_not_in(&listed) {
            reader.put(Record { key, value: None, offset: end }, true);
        }
    }
    lacking.records.into_iter().for_each(|it| take(reader, it));
    reader.advance_to(end);
}

/// A log in which keys come and go; the second of each pair of a key's records drops it.
fn log(keys: impl IntoIterator<Item = u8>) -> Vec<Record> {
    let mut lives = [false; 256];
    let records = keys.into_iter().enumerate().map(|(at, key)| {
        let lives = &mut lives[usize::from(key)];
        *lives = !*lives;
        record(key, lives.then_some(at as u8), at as u64 + 1)
    });
    records.collect()
}

quickcheck! {
    /// Whenever a reader follows, it holds what its source holds, however far behind it was.
    fn a_reader_that_follows_holds_the_same(keys: Vec<u8>, follows: Vec<bool>) -> bool {
        let (mut source, mut reader) = (CompactedLog::default(), CompactedLog::default());
        let mut follows = follows.into_iter().cycle();
        for it in log(keys) {
            let offset = it.offset;
            source.put(it, true);
            source.advance_to(offset + 1);
            if follows.next().unwrap_or(true) {
                follow(&mut reader, &source);
                if live(&reader) != live(&source) {
                    return false;
                }
            }
        }
        true
    }
}

/// Endpoints come and go for weeks, each under a name of its own.
#[test]
fn dropped_keys_are_forgotten_in_the_end() {
    let (mut source, mut reader) = (CompactedLog::default(), CompactedLog::default());
    for at in 0..20_000u64 {
        let key = Name::from(format!("i-{at}"));
        let value = Some(Bytes::from_static(b"x"));
        source.put(Record { key: key.clone(), value, offset: 2 * at + 1 }, true);
        if at % 1_000 == 0 {
            follow(&mut reader, &source);
        }
        source.put(Record { key, value: None, offset: 2 * at + 2 }, true);
        source.advance_to(2 * at + 3);
    }
    assert!(source.len() <= 256, "{}", source.len());
    follow(&mut reader, &source);
    assert_eq!(live(&reader), live(&source));
    assert!(reader.len() <= 256, "{}", reader.len());
}

/// A store that is behind lists a key that was dropped, and the dropping is forgotten.
#[test]
fn a_forgotten_key_is_not_brought_back_by_an_old_record() {
    let mut newest = CompactedLog::default();
    for at in 0..2_000u64 {
        let key = Name::from(format!("i-{at}"));
        newest.put(Record { key, value: None, offset: at + 1 }, true);
        newest.advance_to(at + 2);
    }
    assert!(!newest.is_newer("i-3", 3));
    assert!(newest.is_newer("i-3", 2_001));
    assert!(newest.is_newer("i-new", 2_001));
}

/// A reader that starts beside a source with a long list, with and without the store.
#[test]
fn a_long_list_is_handed_on_only_to_who_has_no_store() {
    let mut source = CompactedLog::default();
    for at in 0..401u64 {
        let (key, value) = (Name::from(format!("i-{at}")), Some(Bytes::from_static(b"x")));
        source.put(Record { key, value, offset: at + 1 }, true);
    }
    source.advance_to(402);
    assert_eq!(source.plan_catch_up(0, true), CatchUpPlan::ReadStore);
    let CatchUpPlan::Records(all) = source.plan_catch_up(0, false) else {
        panic!("it has no store")
    };
    assert_eq!((all.records.len(), all.is_complete), (401, true));
    // One that is hardly behind is told what is new.
    let value = Some(Bytes::from_static(b"y"));
    source.put(Record { key: "i-7".into(), value, offset: 402 }, true);
    source.advance_to(403);
    let CatchUpPlan::Records(news) = source.plan_catch_up(402, true) else { panic!("one record") };
    assert_eq!((news.records.len(), news.is_complete), (1, false));
}

//! The platform's log and list and the faults they can be told to have.

use crate::client::{open, send};
use serde_json::Value;
use tanagergauge_standins::{
    Platform, PlatformSettings,
    platform::{Availability, Entry, EntryKind, EntryState},
};

const APPEND: &str = "POST /v1/log/sheets HTTP/1.1";

async fn platform(settings: PlatformSettings) -> Platform {
    Platform::start(settings).await.unwrap()
}

async fn read(platform: &Platform, query: &str) -> Value {
    let head = format!("GET /v1/log/sheets?{query} HTTP/1.1");
    let answer = send(platform.address(), &head, "").await.unwrap();
    serde_json::from_str(answer.body()).unwrap()
}

#[tokio::test]
async fn records_come_back_in_order_with_their_offsets() {
    let platform = platform(PlatformSettings::default()).await;
    for offset in 0..3 {
        let answer = send(platform.address(), APPEND, "abc").await.unwrap();
        assert_eq!(answer.body(), format!("{{\"offset\":{offset}}}"));
    }
    let answer = read(&platform, "from=1&limit=1").await;
    assert_eq!((&answer["first_offset"], &answer["next_offset"]), (&0.into(), &3.into()));
    assert_eq!(answer["records"].as_array().unwrap().len(), 1);
    assert_eq!(answer["records"][0]["offset"], 1);
    assert_eq!(answer["records"][0]["payload_base64"], "YWJj");
}

#[tokio::test]
async fn offsets_go_on_where_records_have_gone() {
    let settings = PlatformSettings { max_records: 2, ..PlatformSettings::default() };
    let platform = platform(settings).await;
    for _ in 0..5 {
        platform.append("sheets", "x");
    }
    assert_eq!(read(&platform, "from=0").await["first_offset"], 3);
    platform.trim("sheets", 5);
    assert_eq!(read(&platform, "from=0").await["first_offset"], 5);
    assert_eq!(platform.append("sheets", "x"), 5);
}

#[tokio::test]
async fn a_read_waits_for_the_next_append() {
    let platform = platform(PlatformSettings::default()).await;
    let (answer, ()) = tokio::join!(read(&platform, "from=0&wait_ms=60000"), async {
        tokio::task::yield_now().await;
        platform.append("sheets", "x");
    });
    assert_eq!(answer["records"][0]["offset"], 0);
}

#[tokio::test]
async fn a_lost_answer_leaves_its_record() {
    let platform = platform(PlatformSettings::default()).await;
    platform.switch(|it| it.lost_answers = 1);
    let lost = send(platform.address(), APPEND, "x").await;
    assert!(lost.is_err() || lost.unwrap().0.is_empty());
    assert_eq!(platform.records("sheets").len(), 1);
    assert_eq!(send(platform.address(), APPEND, "x").await.unwrap().status(), "200");
}

#[tokio::test]
async fn a_slow_append_takes_effect_after_its_caller_left() {
    let platform = platform(PlatformSettings::default()).await;
    platform.switch(|it| it.delay_ms = 50);
    let stream = open(platform.address(), APPEND, "x").await.unwrap();
    while platform.received_appends() == 0 {
        tokio::task::yield_now().await;
    }
    drop(stream);
    platform.wait_for_appends(1).await;
}

#[tokio::test]
async fn an_outage_is_seen_and_ends() {
    let platform = platform(PlatformSettings::default()).await;
    platform.switch(|it| it.log = Availability::Unavailable);
    assert_eq!(send(platform.address(), APPEND, "x").await.unwrap().status(), "503");
    platform.refuse().await;
    assert!(send(platform.address(), APPEND, "x").await.is_err());
    platform.switch(|it| it.log = Availability::Up);
    platform.accept().await;
    assert_eq!(send(platform.address(), APPEND, "x").await.unwrap().status(), "200");
    assert_eq!(platform.appends(), 1);
}

#[tokio::test]
async fn appends_beyond_the_limit_are_refused() {
    let settings = PlatformSettings { max_appends_per_s: 0, ..PlatformSettings::default() };
    let platform = platform(settings).await;
    assert_eq!(send(platform.address(), APPEND, "x").await.unwrap().status(), "429");
    assert_eq!(platform.appends(), 0);
}

#[tokio::test]
async fn the_list_lags() {
    let entry = |state| Entry {
        name: "surtitle-1".to_owned(),
        kind: EntryKind::Endpoint,
        address: "127.0.0.1:1".parse().unwrap(),
        control_address: None,
        availability_zone: "tallinn".to_owned(),
        state,
    };
    let state = async |platform: &Platform| {
        let answer = send(platform.address(), "GET /v1/list HTTP/1.1", "").await.unwrap();
        let list: Value = serde_json::from_str(answer.body()).unwrap();
        list["entries"][0]["state"].clone()
    };
    let prompt = platform(PlatformSettings::default()).await;
    prompt.set_entries(vec![entry(EntryState::Live)]);
    prompt.set_entries(vec![entry(EntryState::Leaving)]);
    assert_eq!(state(&prompt).await, "leaving");
    let settings = PlatformSettings { list_lag_ms: 600_000, ..PlatformSettings::default() };
    let late = platform(settings).await;
    late.set_entries(vec![entry(EntryState::Live)]);
    assert_eq!(state(&late).await, Value::Null);
}

//! Planned stops of instances: nothing in progress is cut, and new work is refused.

use std::net::SocketAddr;

use tanagergauge_core::Outcome;
use tanagergauge_standins::EngineSettings;
use tanagergauge_testenv::{
    Answer, Call, DEFERRED_CLASS, Fleet, FleetOptions, PUBLISH_CLASS, RawConnection, URGENT_CLASS,
    eventually,
};
use tokio::task::JoinSet;
use uuid::Uuid;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Tokens of a long stream.
const LONG_TOKENS: u32 = 400;

/// Exit code of a stop that a second signal cut short.
const CUT_SHORT: i32 = 3;

fn stream(act: usize) -> Call {
    Call::chat(URGENT_CLASS, &format!("act {act}")).max_tokens(LONG_TOKENS).stream()
}

/// Fails unless the answer is whole and the request's own.
fn assert_own(call: &Call, answer: &Answer) {
    assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    assert!(answer.is_finished());
    assert_eq!(answer.text(), call.expected_text());
}

/// Waits until the instance takes no new connection.
async fn closed(address: SocketAddr) {
    eventually("its port is closed", async || {
        !Call::get("/healthz").send(address).await.is_connected
    })
    .await;
}

#[tokio::test]
async fn long_streams_are_finished_and_new_work_is_refused() {
    let mut fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    let address = fleet.instances[0].address();
    let mut open = Vec::new();
    for act in 0..4 {
        let call = stream(act);
        let mut reading = call.open(address).await;
        assert!(reading.read_text(50).await);
        open.push((call, reading));
    }
    fleet.engines[0].switch(|it| it.hang = true);
    fleet.instances[0].terminate();
    closed(address).await;
    assert!(fleet.instances[0].is_running(), "it left its streams");
    fleet.engines[0].switch(|it| it.hang = false);
    for (call, reading) in open {
        assert_own(&call, &reading.finish().await);
    }
    assert_eq!(fleet.instances[0].wait_ended().await.code(), Some(0));
    assert_eq!(fleet.engines[0].records().len(), 4);
}

#[tokio::test]
async fn it_turns_unready_first_and_serves_while_the_balancer_notices() {
    let options = FleetOptions { notice_ms: 60_000, ..FleetOptions::default() };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    let instance = &fleet.instances[0];
    instance.terminate();
    eventually("it is unready", async || !instance.is_ready().await).await;
    let call = stream(0);
    assert_own(&call, &call.send(instance.address()).await);
}

#[tokio::test]
async fn a_publish_in_progress_is_answered() {
    let mut fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    fleet.services[0].switch(|it| it.hold = true);
    let address = fleet.instances[0].address();
    let call = Call::service(PUBLISH_CLASS, "publish", "cue").key(&Uuid::now_v7().to_string());
    let publishing = tokio::spawn(async move { call.send(address).await });
    eventually("it runs", async || !fleet.services[0].runs().is_empty()).await;
    fleet.instances[0].terminate();
    closed(address).await;
    assert!(fleet.instances[0].is_running(), "it left its request");
    fleet.services[0].switch(|it| it.hold = false);
    let answer = publishing.await.unwrap();
    assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    assert_eq!(fleet.instances[0].wait_ended().await.code(), Some(0));
    assert_eq!(fleet.services[0].runs().len(), 1);
}

#[tokio::test]
async fn queued_work_is_finished_or_truthfully_refused() {
    let slow = EngineSettings { slots: 1, decode_tokens_per_s: 200.0, ..EngineSettings::default() };
    let options = FleetOptions { engines: vec![slow], ..FleetOptions::default() };
    let mut fleet = Fleet::start(BINARY, options).await.unwrap();
    let address = fleet.instances[0].address();
    let mut calls = JoinSet::new();
    for act in 0..8 {
        let call = Call::chat(DEFERRED_CLASS, &format!("act {act}")).max_tokens(40);
        let call = call.id(&format!("queued-{act}"));
        calls.spawn(async move { (call.send(address).await, call, format!("queued-{act}")) });
    }
    eventually("one runs", async || !fleet.engines[0].records().is_empty()).await;
    fleet.instances[0].terminate();
    for (answer, call, id) in calls.join_all().await {
        // A connection that came too late was refused, and nothing was sent on it.
        let is_told_not_run = answer.outcome() == Some(Outcome::NotRun) || !answer.is_connected;
        if is_told_not_run {
            assert!(fleet.engines[0].records().iter().all(|it| it.request_id != id));
        } else {
            assert_own(&call, &answer);
        }
    }
    assert_eq!(fleet.instances[0].wait_ended().await.code(), Some(0));
}

#[tokio::test]
async fn an_idle_connection_does_not_hold_up_the_stop() {
    let mut fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    let mut idle = RawConnection::open(fleet.instances[0].address()).await.unwrap();
    idle.write("GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n").await;
    eventually("it answers others", async || fleet.instances[0].is_ready().await).await;
    fleet.instances[0].terminate();
    assert_eq!(fleet.instances[0].wait_ended().await.code(), Some(0));
    assert_eq!(idle.read_to_end().await.status(), Some(200));
}

#[tokio::test]
async fn a_second_signal_cuts_the_stop_short() {
    let mut fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    let call = stream(0);
    let mut reading = call.open(fleet.instances[0].address()).await;
    assert!(reading.read_text(50).await);
    fleet.engines[0].switch(|it| it.hang = true);
    fleet.instances[0].terminate();
    closed(fleet.instances[0].address()).await;
    fleet.instances[0].terminate();
    assert_eq!(fleet.instances[0].wait_ended().await.code(), Some(CUT_SHORT));
    assert!(!reading.finish().await.is_finished());
}

/// Sends a request through the instances in turn until one gives an answer, as a
/// balancer does. That none of those before ran it, the count of runs shows.
async fn send_around(addresses: &[SocketAddr], first: usize, call: &Call) -> Answer {
    let mut answer = Answer::default();
    for turn in 0..addresses.len() {
        answer = call.send(addresses[(first + turn) % addresses.len()]).await;
        if answer.status != 0 && answer.outcome() != Some(Outcome::NotRun) {
            return answer;
        }
    }
    answer
}

#[tokio::test]
async fn a_rolling_stop_under_load_cuts_nothing() {
    let options = FleetOptions {
        instances: 3,
        engines: vec![EngineSettings::default(); 2],
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(BINARY, options).await.unwrap();
    for stopped in 0..3 {
        let addresses: Vec<_> = fleet.instances.iter().map(|it| it.address()).collect();
        let mut calls = JoinSet::new();
        for act in 0..12 {
            let addresses = addresses.clone();
            let call = stream(12 * stopped + act).max_tokens(100);
            calls.spawn(async move { (send_around(&addresses, act, &call).await, call) });
        }
        let before = 12 * stopped;
        eventually("some run", async || {
            fleet.engines.iter().map(|it| it.records().len()).sum::<usize>() > before
        })
        .await;
        fleet.instances[stopped].terminate();
        for (answer, call) in calls.join_all().await {
            assert_own(&call, &answer);
        }
        assert_eq!(fleet.instances[stopped].wait_ended().await.code(), Some(0));
        fleet.restart(stopped).await.unwrap();
    }
    let runs: usize = fleet.engines.iter().map(|it| it.records().len()).sum();
    assert_eq!(runs, 36, "each stream ran once");
}

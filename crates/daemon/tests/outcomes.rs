//! What callers are told about their requests, against what endpoints ran.

use tanagergauge_core::{Outcome, Reason};
use tanagergauge_standins::{EngineFaults, EngineSettings, Flow, Leaving, RunEnd, RunRecord};
use tanagergauge_testenv::{
    Answer, Call, DEFERRED_CLASS, Fleet, FleetOptions, LOOKUP_CLASS, PUBLISH_CLASS, RawEndpoint,
    URGENT_CLASS, eventually,
};
use uuid::Uuid;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Length of the answers, in tokens.
const TOKENS: u32 = 24;

/// Silence after which an endpoint's stream is given up, in milliseconds.
const STREAM_IDLE_MS: u64 = 400;

/// Step between the places at which answers are cut, in bytes.
const CUT_STEP_BYTES: u64 = 131;

async fn fleet(engines: usize, services: usize) -> Fleet {
    let options = FleetOptions {
        engines: vec![EngineSettings::default(); engines],
        services,
        limits: format!("stream_idle_ms: {STREAM_IDLE_MS}"),
        // So that every engine has its turn, and every failure its retry.
        more: "policy: { routing: round-robin, retry_budget: false }".to_owned(),
        ..FleetOptions::default()
    };
    Fleet::start(BINARY, options).await.unwrap()
}

fn chat(prompt: &str) -> Call {
    Call::chat(URGENT_CLASS, prompt).max_tokens(TOKENS)
}

fn publish(cue: &str) -> Call {
    Call::service(PUBLISH_CLASS, "publish", cue.to_owned()).key(&Uuid::now_v7().to_string())
}

fn lookup(cue: &str) -> Call {
    Call::service(LOOKUP_CLASS, "lookup", cue.to_owned())
}

async fn send(fleet: &Fleet, call: &Call) -> Answer {
    call.send(fleet.instances[0].address()).await
}

fn engine_runs(fleet: &Fleet) -> Vec<RunRecord> {
    fleet.engines.iter().flat_map(|it| it.records()).collect()
}

fn service_runs(fleet: &Fleet) -> usize {
    fleet.services.iter().map(|it| it.runs().len()).sum()
}

/// Fails unless the answer is whole and the request's own.
fn assert_own(call: &Call, answer: &Answer) {
    assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    assert!(answer.is_finished(), "{answer:?}");
    assert_eq!(answer.text(), call.expected_text());
}

/// Fails unless the caller was told that the outcome is unknown, and got no more
/// than the beginning of its own answer.
fn assert_unknown(call: &Call, answer: &Answer) {
    assert_eq!(answer.outcome(), Some(Outcome::Unknown), "{answer:?}");
    assert!(!answer.is_stream() || !answer.is_complete, "{answer:?}");
    assert!(!answer.is_stream() || !answer.is_finished(), "{answer:?}");
    assert!(call.expected_text().starts_with(&answer.text()), "{answer:?}");
}

/// The cut places from the first byte on until an answer passes whole.
async fn cut_everywhere(fleet: &Fleet, mut check: impl AsyncFnMut(u64)) -> u64 {
    let mut cuts = 0;
    loop {
        let bytes = cuts * CUT_STEP_BYTES;
        fleet.engine_proxies[0].switch(|it| it.cut_answer_after_bytes = Some(bytes));
        let before = fleet.engine_proxies[0].down_bytes();
        check(bytes).await;
        if fleet.engine_proxies[0].down_bytes() - before < bytes {
            return cuts;
        }
        cuts += 1;
        fleet.engine_proxies[0].sever().await;
    }
}

macro_rules! unknown_after_running {
    ($($name:ident: $call:expr, $fault:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet(1, 2).await;
            for proxy in fleet.service_proxies.iter().chain(&fleet.engine_proxies) {
                proxy.switch($fault);
            }
            let call = $call;
            let answer = send(&fleet, &call).await;
            assert_unknown(&call, &answer);
            let runs = service_runs(&fleet) + engine_runs(&fleet).len();
            assert!(runs >= 1);
            assert!(runs == 1 || !call.bytes().starts_with(b"cue once"), "{runs} runs");
        }
    )*};
}

unknown_after_running! {
    a_publish_cut_after_its_last_byte: publish("cue once"), |it| it.cut_after_request = true;
    a_publish_whose_answer_is_lost: publish("cue once"), |it| it.cut_answer_after_bytes = Some(0);
    a_publish_whose_answer_is_cut: publish("cue once"), |it| it.cut_answer_after_bytes = Some(150);
    a_lookup_cut_after_its_last_byte: lookup("cue"), |it| it.cut_after_request = true;
    a_completion_cut_after_its_last_byte: chat("act one"), |it| it.cut_after_request = true;
    a_stream_cut_after_its_last_byte: chat("act one").stream(), |it| it.cut_after_request = true;
    a_completion_whose_answer_is_cut: chat("act one"), |it| it.cut_answer_after_bytes = Some(300);
}

macro_rules! not_run_at_all {
    ($($name:ident: $call:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet(2, 2).await;
            let proxies = || fleet.service_proxies.iter().chain(&fleet.engine_proxies);
            for proxy in proxies() {
                proxy.refuse().await;
            }
            let answer = send(&fleet, &$call).await;
            assert_eq!(answer.outcome(), Some(Outcome::NotRun), "{answer:?}");
            for proxy in proxies() {
                proxy.heal().await;
            }
            // Whatever came late would have come before this one.
            let after = lookup("after");
            assert_eq!(send(&fleet, &after).await.outcome(), Some(Outcome::Answered));
            assert_eq!(service_runs(&fleet), 1);
            assert!(engine_runs(&fleet).is_empty());
        }
    )*};
}

not_run_at_all! {
    a_publish_no_service_takes: publish("cue");
    a_lookup_no_service_takes: lookup("cue");
    a_completion_no_engine_takes: chat("act one");
    a_stream_no_engine_takes: chat("act one").stream();
}

macro_rules! answered_by_another {
    ($($name:ident: $call:expr, $fault:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet(2, 1).await;
            let fault: fn(&mut EngineFaults) = $fault;
            fleet.engines[0].switch(fault);
            for act in 0..4 {
                let call: Call = $call(&format!("act {act}"));
                assert_own(&call, &send(&fleet, &call).await);
            }
            let counter = "tanagergauge_retries_total";
            assert!(fleet.instances[0].counter(counter, "reason").await > 0);
        }
    )*};
}

fn streamed(prompt: &str) -> Call {
    chat(prompt).stream()
}

answered_by_another! {
    a_completion_answered_by_nonsense: chat, |it| it.nonsense = true;
    a_stream_of_nonsense: streamed, |it| it.nonsense = true;
    a_crossed_completion: chat, |it| it.crossed = true;
    a_crossed_stream: streamed, |it| it.crossed = true;
    a_refused_completion: chat, |it| it.refuses = true;
    a_completion_refused_by_a_leaving_engine: chat, |it| it.leaving = Leaving::Refuses;
    a_completion_that_breaks_off: chat, |it| it.die_after_tokens = Some(9);
    a_stream_that_breaks_off: streamed, |it| it.die_after_tokens = Some(9);
    a_stream_with_a_stray_chunk: streamed, |it| it.stray_chunk_at_token = Some(9);
}

macro_rules! never_taken_as_an_answer {
    ($($name:ident: $call:expr, $reason:ident, $fault:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet(1, 1).await;
            let fault: fn(&mut EngineFaults) = $fault;
            fleet.engines[0].switch(fault);
            let call: Call = $call("act one");
            let answer = send(&fleet, &call).await;
            assert_unknown(&call, &answer);
            assert_eq!(answer.reason(), Some(Reason::$reason), "{answer:?}");
            let label = format!("reason=\"{}\"", Reason::$reason);
            eventually("the reason is counted", async || {
                fleet.instances[0].counter("tanagergauge_refusals_total", &label).await == 1
            })
            .await;
        }
    )*};
}

never_taken_as_an_answer! {
    only_nonsense: chat, BadAnswer, |it| it.nonsense = true;
    only_a_stream_of_nonsense: streamed, BadAnswer, |it| it.nonsense = true;
    only_a_crossed_completion: chat, WrongAnswer, |it| it.crossed = true;
    only_a_crossed_stream: streamed, WrongAnswer, |it| it.crossed = true;
    only_a_stray_chunk: streamed, WrongAnswer, |it| it.stray_chunk_at_token = Some(5);
    only_half_a_stream: streamed, EndpointBroke, |it| it.die_after_tokens = Some(5);
    only_half_a_completion: chat, EndpointBroke, |it| it.die_after_tokens = Some(5);
}

macro_rules! no_answer_at_all {
    ($($name:ident: $bytes:literal, $reason:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let engine = RawEndpoint::start($bytes).await.unwrap();
            let service = RawEndpoint::start($bytes).await.unwrap();
            let options = FleetOptions {
                engines: Vec::new(),
                services: 0,
                more_engines: vec![engine.address()],
                more_services: vec![service.address()],
                ..FleetOptions::default()
            };
            let fleet = Fleet::start(BINARY, options).await.unwrap();
            for call in [publish("cue"), lookup("cue"), chat("act"), chat("act").stream()] {
                let answer = send(&fleet, &call).await;
                assert_eq!(answer.outcome(), Some(Outcome::Unknown), "{answer:?}");
                assert_eq!(answer.reason(), Some(Reason::$reason), "{answer:?}");
            }
        }
    )*};
}

/// Each test has an endpoint answer one request and then write a refusal without an id on the kept
/// connection, where it may be that of another request.
macro_rules! stale_refusals {
    ($($name:ident: $refusal:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let first = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
            let service = RawEndpoint::start_kept(&[first, $refusal]).await.unwrap();
            let options = FleetOptions {
                services: 0,
                more_services: vec![service.address()],
                ..FleetOptions::default()
            };
            let fleet = Fleet::start(BINARY, options).await.unwrap();
            let answer = send(&fleet, &lookup("cue")).await;
            assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
            let answer = send(&fleet, &lookup("cue")).await;
            assert_eq!(answer.outcome(), Some(Outcome::Unknown), "{answer:?}");
            assert_eq!(answer.reason(), Some(Reason::WrongAnswer), "{answer:?}");
        }
    )*};
}

stale_refusals! {
    a_503_without_an_id_on_a_kept_connection:
        b"HTTP/1.1 503 S\r\nx-not-run: true\r\ncontent-length: 2\r\n\r\n{}";
    a_429_without_an_id_on_a_kept_connection:
        b"HTTP/1.1 429 S\r\nx-not-run: true\r\ncontent-length: 2\r\n\r\n{}";
}

no_answer_at_all! {
    an_answer_whose_end_cannot_be_told: b"HTTP/1.1 200 OK\r\n\r\n{}", BadAnswer;
    an_answer_with_a_coding_that_does_not_tell_its_end:
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n{}", BadAnswer;
    an_answer_shorter_than_it_says:
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", EndpointBroke;
    an_answer_that_is_no_http: b"\x00\xff what\r\n\r\n", EndpointBroke;
    an_answer_with_half_a_head: b"HTTP/1.1 200 OK\r\ncontent-le", EndpointBroke;
    no_bytes_at_all: b"", EndpointBroke;
}

#[tokio::test]
async fn a_cut_answer_never_looks_finished_wherever_it_is_cut() {
    let fleet = fleet(1, 1).await;
    for make in [chat, streamed] {
        // Another prompt each time, so that none is taken for one that crashes engines.
        let cuts = cut_everywhere(&fleet, async |bytes| {
            let call = make(&format!("act cut at {bytes}"));
            let answer = send(&fleet, &call).await;
            match answer.outcome() {
                Some(Outcome::Answered) => assert_own(&call, &answer),
                _ => assert_unknown(&call, &answer),
            }
        })
        .await;
        assert!(cuts > 3, "{cuts} cuts");
    }
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_without_gap_or_repeat_wherever_it_is_cut() {
    let fleet = fleet(2, 1).await;
    let call = chat("act one").stream();
    // Each place twice, so that both engines are the first in turn.
    let cuts = cut_everywhere(&fleet, async |_| {
        for _ in 0..2 {
            assert_own(&call, &send(&fleet, &call).await);
        }
    })
    .await;
    assert!(cuts > 3, "{cuts} cuts");
    let resumed = engine_runs(&fleet).iter().filter(|it| it.resumed_from_token > 0).count();
    assert!(resumed > 0);
}

#[tokio::test]
async fn a_stream_survives_the_crash_of_its_engine() {
    let fleet = fleet(2, 1).await;
    let call = chat("act one").max_tokens(200).stream();
    let mut reading = call.open(fleet.instances[0].address()).await;
    assert!(reading.read_text(100).await);
    let first = usize::from(fleet.engines[0].records().is_empty());
    fleet.engines[first].crash().await;
    assert_own(&call, &reading.finish().await);
    let resumed = &fleet.engines[1 - first].records()[0];
    assert!(resumed.resumed_from_token > 0);
    assert_eq!((resumed.attempt, resumed.end), (2, RunEnd::Finished));
    assert_eq!(resumed.resumed_from_token + resumed.generated_tokens, 200);
}

#[tokio::test]
async fn a_silent_engine_is_left_and_its_stream_goes_on() {
    let fleet = fleet(2, 1).await;
    let call = chat("act one").max_tokens(200).stream();
    let mut reading = call.open(fleet.instances[0].address()).await;
    assert!(reading.read_text(100).await);
    let first = usize::from(fleet.engines[0].records().is_empty());
    fleet.engines[first].switch(|it| it.hang = true);
    assert_own(&call, &reading.finish().await);
}

#[tokio::test]
async fn an_engine_that_starts_anew_cannot_resume() {
    let fleet = fleet(2, 1).await;
    for engine in &fleet.engines {
        engine.switch(|it| (it.die_after_tokens, it.ignores_resume) = (Some(9), true));
    }
    let call = chat("act one").stream();
    let answer = send(&fleet, &call).await;
    assert_unknown(&call, &answer);
    assert_eq!(engine_runs(&fleet).len(), 2);
}

#[tokio::test]
async fn a_late_answer_reaches_nobody_else() {
    let fleet = fleet(1, 1).await;
    fleet.service_proxies[0].switch(|it| it.down = Flow::Hold);
    let late = publish("late").deadline_ms(300);
    let answer = send(&fleet, &late).await;
    assert_eq!(answer.outcome(), Some(Outcome::Unknown), "{answer:?}");
    assert_eq!((answer.status, service_runs(&fleet)), (504, 1));
    fleet.service_proxies[0].heal().await;
    for cue in ["one", "two", "three"] {
        let answer = send(&fleet, &lookup(cue)).await;
        let hash = blake3::hash(cue.as_bytes()).to_string();
        assert_eq!(answer.json().unwrap()["body_blake3"], hash, "{answer:?}");
    }
    assert_eq!(service_runs(&fleet), 4);
}

#[tokio::test]
async fn a_run_whose_caller_left_is_cancelled() {
    let fleet = fleet(1, 1).await;
    let long = Call::chat(DEFERRED_CLASS, "act one").max_tokens(1_000_000).deadline_ms(600_000);
    for call in [long.clone(), long.stream()] {
        let runs = engine_runs(&fleet).len();
        let address = fleet.instances[0].address();
        let reading = tokio::spawn(async move { call.open(address).await.finish().await });
        eventually("it runs", async || {
            engine_runs(&fleet).get(runs).is_some_and(|it| it.generated_tokens > 0)
        })
        .await;
        reading.abort();
        eventually("it is cancelled", async || engine_runs(&fleet)[runs].end == RunEnd::Cancelled)
            .await;
    }
}

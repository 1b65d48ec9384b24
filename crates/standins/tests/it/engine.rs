//! The model engine and the faults it can be told to have.

use crate::client::{Raw, open, send};
use tanagergauge_standins::{
    Engine, EngineSettings, Leaving, RunEnd,
    answer::{ChatRequest, answer_text, expected_text},
};

const HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nX-Request-Id: r1\r\nX-Attempt: 2";

fn body(text: &str, more: &str) -> String {
    format!(r#"{{"model":"m","messages":[{{"role":"user","content":"{text}"}}]{more}}}"#)
}

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

async fn chat(engine: &Engine, body: &str) -> Raw {
    send(engine.address(), HEAD, body).await.unwrap()
}

#[tokio::test]
async fn a_whole_answer_is_the_requests_own() {
    let engine = engine().await;
    let body = body("act one", r#","max_tokens":5"#);
    let answer = chat(&engine, &body).await;
    let expected = expected_text(body.as_bytes(), 0).unwrap();
    assert_eq!(answer.status(), "200");
    assert!(answer.body().contains(&format!("\"content\":\"{expected}\"")), "{answer:?}");
    assert!(answer.body().contains("\"completion_tokens\":5"));
    assert!(answer.has_header("x-request-id: r1") && answer.has_header("x-attempt: 2"));
}

#[tokio::test]
async fn a_resumed_stream_continues_exactly() {
    let engine = engine().await;
    let whole = body("act two", r#","stream":true,"max_tokens":20"#);
    let rest = body(
        "act two",
        r#","stream":true,"max_tokens":20,"resume":{"delivered_tokens":8,"text":"x"}"#,
    );
    let hash = serde_json::from_str::<ChatRequest>(&whole).unwrap().hash();
    let first = chat(&engine, &whole).await;
    assert!(first.is_whole() && first.body().contains("data: [DONE]"));
    assert_eq!(first.streamed_text(), answer_text(hash, 0..20));
    let second = chat(&engine, &rest).await;
    assert_eq!(second.streamed_text(), answer_text(hash, 8..20));
    assert!(second.has_header("x-resumed-from: 8"));
}

#[tokio::test]
async fn a_run_that_dies_leaves_a_broken_stream() {
    let engine = engine().await;
    engine.switch(|it| it.die_after_tokens = Some(3));
    let answer = chat(&engine, &body("act", r#","stream":true,"max_tokens":20"#)).await;
    assert!(!answer.is_whole() && !answer.body().contains("[DONE]"), "{answer:?}");
    let record = &engine.records()[0];
    assert_eq!((record.end, record.generated_tokens), (RunEnd::Died, 3));
}

macro_rules! cancelled_when_closed {
    ($($name:ident: $more:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let engine = engine().await;
            let stream = open(engine.address(), HEAD, &body("act", $more)).await.unwrap();
            while engine.records().first().is_none_or(|it| it.generated_tokens == 0) {
                tokio::task::yield_now().await;
            }
            drop(stream);
            while engine.records()[0].end == RunEnd::Running {
                tokio::task::yield_now().await;
            }
            assert_eq!(engine.records()[0].end, RunEnd::Cancelled);
        }
    )*};
}

cancelled_when_closed! {
    a_stream_is_cancelled_by_its_callers_leaving: r#","stream":true,"max_tokens":1000000"#;
    a_whole_answer_is_cancelled_by_its_callers_leaving: r#","max_tokens":1000000"#;
}

#[tokio::test]
async fn a_marked_prompt_takes_the_engine_down_until_it_is_revived() {
    let engine = engine().await;
    engine.switch(|it| it.crash_marker = Some("boom".to_owned()));
    let broken = send(engine.address(), HEAD, &body("boom", "")).await;
    assert!(broken.is_err() || broken.unwrap().0.is_empty());
    assert_eq!(engine.records()[0].end, RunEnd::Died);
    while send(engine.address(), HEAD, &body("fine", "")).await.is_ok() {
        tokio::task::yield_now().await;
    }
    engine.revive().await;
    assert_eq!(chat(&engine, &body("fine", "")).await.status(), "200");
}

#[tokio::test]
async fn the_more_urgent_of_those_waiting_goes_first() {
    let settings = EngineSettings { slots: 1, ..EngineSettings::default() };
    let engine = Engine::start(settings).await.unwrap();
    engine.switch(|it| it.hang = true);
    let address = engine.address();
    let head = |rank| format!("{HEAD}\r\nX-Priority: {rank}");
    let mut sent = Vec::new();
    for rank in [5, 3, 0] {
        sent.push(open(address, &head(rank), &body("act", r#","max_tokens":500"#)).await.unwrap());
        while engine.records().len() < sent.len() {
            tokio::task::yield_now().await;
        }
    }
    engine.switch(|it| it.hang = false);
    while !engine.records().iter().any(|it| it.generated_tokens > 0) {
        tokio::task::yield_now().await;
    }
    let first = engine.records().into_iter().find(|it| it.generated_tokens > 0).unwrap();
    assert_eq!(first.priority, Some(0));
}

#[tokio::test]
async fn a_known_prefix_costs_less() {
    let engine = engine().await;
    let text = "long libretto ".repeat(50);
    chat(&engine, &body(&text, r#","max_tokens":1"#)).await;
    chat(&engine, &body(&format!("{text}and more"), r#","max_tokens":1"#)).await;
    let records = engine.records();
    assert_eq!(records[0].cached_tokens, 0);
    assert!(records[1].cached_tokens >= 160, "{records:?}");
}

#[tokio::test]
async fn an_engine_that_ignores_resume_starts_anew() {
    let engine = engine().await;
    engine.switch(|it| it.ignores_resume = true);
    let more = r#","stream":true,"max_tokens":9,"resume":{"delivered_tokens":8}"#;
    let answer = chat(&engine, &body("act", more)).await;
    assert!(!answer.has_header("x-resumed-from: 8"));
    assert!(answer.streamed_text().starts_with("answer-"));
}

#[tokio::test]
async fn a_stray_chunk_has_another_id() {
    let engine = engine().await;
    engine.switch(|it| it.stray_chunk_at_token = Some(2));
    let answer = chat(&engine, &body("act", r#","stream":true,"max_tokens":4"#)).await;
    assert_eq!(answer.body().matches("chatcmpl-stray-1").count(), 1, "{answer:?}");
    assert_eq!(answer.body().matches("chatcmpl-r1-2").count(), 4);
}

macro_rules! faulty {
    ($($name:ident: $change:expr => $check:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let engine = engine().await;
            engine.switch($change);
            let request = body("act", r#","max_tokens":4"#);
            let answer = chat(&engine, &request).await;
            let own = expected_text(request.as_bytes(), 0).unwrap();
            let check: fn(&Engine, &Raw, &str) -> bool = $check;
            assert!(check(&engine, &answer, &own), "{answer:?}");
        }
    )*};
}

faulty! {
    crossed_answers_carry_other_ids: |it| it.crossed = true =>
        |_, answer, own| answer.has_header("x-request-id: another") && !answer.body().contains(own);
    nonsense_cannot_be_parsed: |it| it.nonsense = true =>
        |_, answer, _| serde_json::from_str::<serde_json::Value>(answer.body()).is_err();
    a_refusal_says_so_and_runs_nothing: |it| it.refuses = true =>
        |engine, answer, _| answer.has_header("x-not-run: true") && engine.records().is_empty();
    a_leaving_engine_says_so_and_runs: |it| it.leaving = Leaving::Announces =>
        |engine, answer, own| answer.has_header("x-leaving: true")
            && answer.body().contains(own) && engine.load().leaving;
    a_leaving_engine_refuses: |it| it.leaving = Leaving::Refuses =>
        |engine, answer, _| answer.has_header("x-leaving: true")
            && answer.has_header("x-not-run: true") && engine.records().is_empty();
}

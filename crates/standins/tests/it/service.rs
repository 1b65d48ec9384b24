//! The plain service and the faults it can be told to have.

use crate::client::send;
use tanagergauge_standins::{Leaving, Service};

const HEAD: &str = "POST /cues?act=1 HTTP/1.1\r\nX-Request-Id: r1\r\nIdempotency-Key: k1";

#[tokio::test]
async fn every_run_is_recorded_and_answered_with_its_own() {
    let service = Service::start().await.unwrap();
    let answer = send(service.address(), HEAD, "cue 7").await.unwrap();
    let run = &service.runs()[0];
    assert_eq!(run.idempotency_key.as_deref(), Some("k1"));
    assert_eq!(run.call, "POST /cues?act=1");
    assert_eq!(run.body_blake3, blake3::hash(b"cue 7").to_string());
    assert!(answer.body().contains(&run.body_blake3));
    assert!(answer.has_header("x-request-id: r1"));
}

#[tokio::test]
async fn a_dropped_answer_leaves_its_run() {
    let service = Service::start().await.unwrap();
    service.switch(|it| it.drops_after_run = true);
    let dropped = send(service.address(), HEAD, "cue 7").await;
    assert!(dropped.is_err() || dropped.unwrap().0.is_empty());
    assert_eq!(service.runs().len(), 1);
}

#[tokio::test]
async fn a_held_run_is_answered_when_let_go() {
    let service = Service::start().await.unwrap();
    service.switch(|it| it.hold = true);
    let (answer, ()) = tokio::join!(send(service.address(), HEAD, "cue 7"), async {
        while service.runs().is_empty() {
            tokio::task::yield_now().await;
        }
        service.switch(|it| it.hold = false);
    });
    assert_eq!(answer.unwrap().status(), "200");
}

macro_rules! refuses {
    ($($name:ident: $change:expr => $status:literal, $header:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let service = Service::start().await.unwrap();
            service.switch($change);
            let answer = send(service.address(), HEAD, "cue 7").await.unwrap();
            assert_eq!(answer.status(), $status);
            assert!(answer.has_header("x-not-run: true") && answer.has_header($header));
            assert!(service.runs().is_empty());
        }
    )*};
}

refuses! {
    for_want_of_capacity: |it| it.refuses = true => "429", "x-request-id: r1";
    because_it_leaves: |it| it.leaving = Leaving::Refuses => "503", "x-leaving: true";
}

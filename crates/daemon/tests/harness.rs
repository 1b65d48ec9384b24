//! The harness itself: real processes that start, freeze, go on and end.

use tanagergauge_core::Outcome;
use tanagergauge_testenv::{Call, Fleet, FleetOptions, LOOKUP_CLASS, URGENT_CLASS, eventually};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

#[tokio::test]
async fn every_kind_of_request_is_answered_through_every_instance() {
    let options = FleetOptions { instances: 2, ..FleetOptions::default() };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    for instance in &fleet.instances {
        let calls = [
            Call::chat(URGENT_CLASS, "act one").max_tokens(7),
            Call::chat(URGENT_CLASS, "act one").max_tokens(7).stream(),
        ];
        for call in calls {
            let answer = call.send(instance.address()).await;
            assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
            assert!(answer.is_finished());
            assert_eq!(answer.text(), call.expected_text());
        }
        let answer = Call::service(LOOKUP_CLASS, "act/1", "cue").send(instance.address()).await;
        assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    }
    assert_eq!(fleet.engines[0].records().len(), 4);
    assert_eq!(fleet.services[0].runs()[0].call, "POST /act/1");
}

#[tokio::test]
async fn processes_freeze_go_on_die_and_come_back() {
    let mut fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    let address = fleet.instances[0].address();
    fleet.instances[0].freeze();
    let call = Call::chat(URGENT_CLASS, "act one").max_tokens(7);
    let (answer, ()) = tokio::join!(call.send(address), async {
        // A frozen process still has its connections taken by the system.
        tokio::net::TcpStream::connect(address).await.unwrap();
        assert!(fleet.engines[0].records().is_empty());
        fleet.instances[0].thaw();
    });
    assert_eq!(answer.text(), call.expected_text());
    fleet.instances[0].kill();
    assert!(!call.send(address).await.is_connected);
    fleet.restart(0).await.unwrap();
    let answer = call.send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::Answered));
}

#[tokio::test]
async fn counters_are_read_by_label() {
    let fleet = Fleet::start(BINARY, FleetOptions::default()).await.unwrap();
    let instance = &fleet.instances[0];
    assert_eq!(instance.counter("tanagergauge_refusals_total", "unknown_class").await, 0);
    Call::chat("no-such-class", "act").send(instance.address()).await;
    eventually("the refusal is counted", async || {
        instance.counter("tanagergauge_refusals_total", "unknown_class").await == 1
    })
    .await;
}

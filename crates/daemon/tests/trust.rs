//! Who may speak to an instance, and keys that change without a stop.

mod support;

use std::time::{SystemTime, UNIX_EPOCH};

use hyper::Method;
use serde_json::{Value, json};
use support::{Client, control};
use tanagergauge_core::Name;
use tanagergauge_daemon::{
    keyring::{KeyRing, Rights},
    operator::{EVENTS, EventsQuestion, Explanation, PEER_EXPLAIN, STATUS, Status},
    peers::SHEET,
    rpc::RpcError,
    seal::{Direction, Route, Sealed, Stamp},
};
use tanagergauge_testenv::{
    Call, FLEET_KEY, Fleet, FleetOptions, Instance, OPERATOR_KEY, TestKey, default_keys,
    eventually, key_file,
};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

async fn fleet(instances: usize) -> Fleet {
    let options = FleetOptions { instances, ..FleetOptions::default() };
    Fleet::start(BINARY, options).await.unwrap()
}

fn now_unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

async fn refusals(instance: &Instance, reason: &str) -> u64 {
    instance.counter("tanagergauge_control_refusals_total", reason).await
}

/// Posts any JSON document to a control address.
async fn post(instance: &Instance, document: &Value) -> Value {
    let call = Call::new(Method::POST, "/")
        .header("Content-Type", "application/json")
        .body(document.to_string());
    call.send(control(instance)).await.json().unwrap_or_default()
}

fn question(sealed: &Sealed) -> Value {
    json!({"jsonrpc": "2.0", "id": 1, "method": STATUS, "params": [sealed]})
}

fn sealed_for(instance: &Instance) -> Sealed {
    let ring = KeyRing::parse(&key_file(&default_keys())).unwrap();
    let key = ring.sealing(Rights::Read, 1).unwrap();
    let from = Name::from("operator-1");
    let stamp = Stamp { from: &from, now_unix_ms: now_unix_ms(), nonce: [3; 16] };
    let asked = control(instance);
    let route = Route { direction: Direction::Question, method: STATUS, asked };
    Sealed::new(key, stamp, route, &[])
}

#[tokio::test]
async fn keys_that_do_not_hold_are_refused_and_counted() {
    let mut keys = default_keys();
    keys.push(TestKey { not_after_unix_ms: now_unix_ms(), ..TestKey::read("expired", 2) });
    keys.push(TestKey { not_before_unix_ms: u64::MAX >> 2, ..TestKey::read("early", 2) });
    let options = FleetOptions { keys, ..FleetOptions::default() };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    let instance = &fleet.instances[0];
    assert!(Client::operator().status(instance).await.is_ok());
    let cases = [
        ("wrong_mac", TestKey::read(OPERATOR_KEY, 2)),
        ("unknown_key", TestKey::read("stranger", 1)),
        ("key_not_valid", TestKey::read("expired", 2)),
        ("key_not_valid", TestKey::read("early", 2)),
    ];
    for (reason, key) in cases {
        let before = refusals(instance, reason).await;
        let refused = Client::new(Rights::Read, &[key]).status(instance).await;
        assert_eq!(refused.unwrap_err(), RpcError::Refused(reason.to_owned()));
        assert_eq!(refusals(instance, reason).await, before + 1);
    }
}

#[tokio::test]
async fn operators_may_look_but_not_speak_as_peers() {
    let fleet = fleet(1).await;
    let instance = &fleet.instances[0];
    let operator = Client::operator();
    let events = EventsQuestion { limit: 5 };
    let events: Vec<tanagergauge_daemon::journal::Event> =
        operator.call(control(instance), EVENTS, &events).await.unwrap();
    assert!(!events.is_empty());
    let sheet = operator.call::<(), ()>(control(instance), SHEET, &()).await;
    assert_eq!(sheet.unwrap_err(), RpcError::Refused("not_allowed".to_owned()));
    let question = Name::from("some-request");
    let peer = operator.call::<Name, Explanation>(control(instance), PEER_EXPLAIN, &question).await;
    assert_eq!(peer.unwrap_err(), RpcError::Refused("not_allowed".to_owned()));
    assert_eq!(refusals(instance, "not_allowed").await, 2);
}

#[tokio::test]
async fn messages_without_a_seal_are_refused() {
    let fleet = fleet(1).await;
    let instance = &fleet.instances[0];
    for params in [json!([]), json!([{}]), json!([{"key_id": FLEET_KEY}]), json!("text")] {
        let document = json!({"jsonrpc": "2.0", "id": 1, "method": STATUS, "params": params});
        let answer = post(instance, &document).await;
        assert_eq!(answer["result"], Value::Null, "{answer}");
        assert_ne!(answer["error"], Value::Null, "{answer}");
    }
}

#[tokio::test]
async fn a_message_is_taken_once_and_only_by_the_instance_it_was_sealed_for() {
    let fleet = fleet(2).await;
    let [first, second] = [&fleet.instances[0], &fleet.instances[1]];
    let document = question(&sealed_for(first));
    let answer = post(first, &document).await;
    let _: Sealed = serde_json::from_value(answer["result"].clone()).unwrap();
    let again = post(first, &document).await;
    assert_eq!(again["error"]["message"], "replayed");
    let elsewhere = post(second, &document).await;
    assert_eq!(elsewhere["error"]["message"], "wrong_mac");
}

#[tokio::test]
async fn a_message_from_before_a_restart_is_refused() {
    let mut fleet = fleet(1).await;
    let old = sealed_for(&fleet.instances[0]);
    fleet.restart(0).await.unwrap();
    let instance = &fleet.instances[0];
    let from = Name::from("operator-1");
    let ring = KeyRing::parse(&key_file(&default_keys())).unwrap();
    let key = ring.sealing(Rights::Read, 1).unwrap();
    let stamp = Stamp { from: &from, now_unix_ms: old.sent_unix_ms, nonce: [3; 16] };
    let asked = control(instance);
    let route = Route { direction: Direction::Question, method: STATUS, asked };
    let answer = post(instance, &question(&Sealed::new(key, stamp, route, &[]))).await;
    assert_eq!(answer["error"]["message"], "not_fresh");
}

#[tokio::test]
async fn without_keys_nobody_is_trusted_and_callers_are_served() {
    let options = FleetOptions { keys: Vec::new(), ..FleetOptions::default() };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    let instance = &fleet.instances[0];
    let refused = Client::operator().status(instance).await;
    assert_eq!(refused.unwrap_err(), RpcError::Refused("unknown_key".to_owned()));
    assert!(instance.is_ready().await);
}

#[tokio::test]
async fn keys_change_without_a_stop() {
    let mut fleet = fleet(3).await;
    let operator = Client::operator();
    let meets = |it: &Status| it.members.len() == 3;
    eventually("instances meet", async || operator.all(&fleet, meets).await).await;
    let reads = TestKey::read(OPERATOR_KEY, 1);
    let old = TestKey { not_before_unix_ms: 1, ..TestKey::peer(FLEET_KEY, 0) };
    let accepted = TestKey::peer("fleet-2", 2);
    let sealing = TestKey { not_before_unix_ms: 2, ..accepted.clone() };
    change_keys(&fleet, &[old.clone(), accepted, reads.clone()], 1).await;
    change_keys(&fleet, &[old, sealing.clone(), reads.clone()], 2).await;
    let at_switch = messages(&fleet).await;
    change_keys(&fleet, &[sealing, reads], 3).await;
    eventually("gossip goes on under the new key", async || {
        messages(&fleet).await.iter().zip(&at_switch).all(|(now, then)| *now > then + 10)
    })
    .await;
    assert!(operator.all(&fleet, |it| it.members.iter().all(|it| !it.is_suspect)).await);
    for instance in &fleet.instances {
        assert_eq!(refusals(instance, "").await, 0, "{}", instance.settings.name);
        let with_old = Client::new(Rights::Peer, &default_keys()).status(instance).await;
        assert_eq!(with_old.unwrap_err(), RpcError::Refused("unknown_key".to_owned()));
    }
    fleet.restart(2).await.unwrap();
    let has_news = |it: &Status| it.members.iter().all(|it| !it.is_suspect) && meets(it);
    eventually("a fresh instance joins with the new key alone", async || {
        operator.all(&fleet, has_news).await
    })
    .await;
}

/// Writes keys and waits until all instances have read them, for the `times`th time.
async fn change_keys(fleet: &Fleet, keys: &[TestKey], times: usize) {
    fleet.set_keys(keys).unwrap();
    eventually("the keys are read", async || {
        let is_read = |it: &String| it.contains("took in changed keys");
        fleet.instances.iter().all(|it| it.log().iter().filter(|it| is_read(it)).count() == times)
    })
    .await;
}

/// Calls that each instance has sent or received.
async fn messages(fleet: &Fleet) -> Vec<u64> {
    let mut messages = Vec::new();
    for instance in &fleet.instances {
        messages.push(instance.counter("tanagergauge_control_messages_total", "peers").await);
    }
    messages
}

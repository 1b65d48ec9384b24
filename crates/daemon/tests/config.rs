//! The configuration at real processes: the same everywhere, and never an older one.

mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use support::Client;
use tanagergauge_core::{
    Name,
    record::{Base, Body, Publication, SheetRecord, Snapshot},
    sheet::Sheet,
};
use tanagergauge_testenv::{Call, Fleet, FleetOptions, LOOKUP_CLASS, eventually};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Time in which an accepted sheet is to be in force at every instance that is reached.
const IN_FORCE: Duration = Duration::from_secs(5);

async fn fleet(instances: usize) -> Fleet {
    let zones = ["zone-1", "zone-2", "zone-3"].map(str::to_owned);
    let options =
        FleetOptions { instances, availability_zones: zones.to_vec(), ..FleetOptions::default() };
    Fleet::start(BINARY, options).await.unwrap()
}

/// The tests' sheet under another name.
fn named(fleet: &Fleet, name: &str) -> Sheet {
    Sheet { sheet: Name::from(name), ..fleet.plan.sheet() }
}

fn record(sheet: &Sheet, base: Base, publication_id: u128) -> Vec<u8> {
    let text = serde_json::to_string(sheet).unwrap();
    let body = Body::Whole(Name::from(text));
    SheetRecord::Publication(Publication { publication_id, base, body }).encode()
}

async fn version(fleet: &Fleet, at: usize) -> Option<u64> {
    let status = Client::operator().status(&fleet.instances[at]).await;
    status.ok().and_then(|it| it.sheet_version)
}

async fn wait_all(fleet: &Fleet, wanted: u64) {
    eventually("the sheet is in force everywhere", async || {
        Client::operator().all(fleet, |it| it.sheet_version == Some(wanted)).await
    })
    .await;
}

/// The control address of another instance, as a line of settings.
fn peer(fleet: &Fleet, at: usize) -> String {
    format!("\npeers: [\"{}\"]", fleet.instances[at].control_address().unwrap())
}

#[tokio::test]
async fn of_two_racing_sheets_all_take_the_same() {
    let mut fleet = fleet(3).await;
    let first = version(&fleet, 0).await.unwrap();
    for round in 0..5 {
        let base = Base::Version(fleet.publish(&named(&fleet, &format!("round {round}"))));
        let ours = fleet.platform.append("sheets", record(&named(&fleet, "ours"), base, 1));
        fleet.platform.append("sheets", record(&named(&fleet, "theirs"), base, 2));
        fleet.platform.append("sheets", record(&named(&fleet, "ours"), base, 1));
        wait_all(&fleet, ours).await;
        assert!(ours > first);
        let next = Base::Version(ours);
        let next = fleet.platform.append("sheets", record(&named(&fleet, "next"), next, 3));
        wait_all(&fleet, next).await;
        fleet.set_version(next);
    }
}

#[tokio::test]
async fn a_sheet_is_in_force_at_all_instances_in_time() {
    let mut fleet = fleet(6).await;
    for round in 0..5 {
        let sheet = named(&fleet, &format!("round {round}"));
        let begun = Instant::now();
        let offset = fleet.publish(&sheet);
        wait_all(&fleet, offset).await;
        let took = begun.elapsed();
        println!("in force at 6 instances after {} ms", took.as_millis());
        assert!(took < IN_FORCE, "{took:?}");
    }
}

#[tokio::test]
async fn a_late_snapshot_does_not_bring_an_old_sheet_back() {
    let mut fleet = fleet(2).await;
    let old = version(&fleet, 0).await.unwrap();
    let sheet = Arc::new(fleet.plan.sheet());
    let new = fleet.publish(&named(&fleet, "new"));
    wait_all(&fleet, new).await;
    let snapshot = Snapshot { version: old, publication_id: 1, next_offset: old + 1, sheet };
    fleet.platform.append("sheets", SheetRecord::Snapshot(snapshot).encode());
    let newest = fleet.publish(&named(&fleet, "newest"));
    wait_all(&fleet, newest).await;
    fleet.restart(1).await.unwrap();
    assert_eq!(version(&fleet, 1).await, Some(newest));
}

#[tokio::test]
async fn a_fresh_instance_waits_for_a_snapshot_of_a_trimmed_stream() {
    let mut fleet = fleet(2).await;
    let old = version(&fleet, 0).await.unwrap();
    let new = fleet.publish(&named(&fleet, "new"));
    wait_all(&fleet, new).await;
    fleet.instances[0].kill();
    fleet.instances[1].kill();
    fleet.platform.trim("sheets", new + 1);
    let start = fleet.instances[0].settings.clone();
    let instance = tanagergauge_testenv::Instance::start(BINARY.as_ref(), fleet.dir(), start);
    fleet.instances[0] = instance.await.unwrap();
    let stale = Snapshot {
        version: old,
        publication_id: 1,
        next_offset: old + 1,
        sheet: Arc::new(fleet.plan.sheet()),
    };
    fleet.platform.append("sheets", SheetRecord::Snapshot(stale).encode());
    eventually("the old snapshot is read", async || {
        fleet.instances[0].log().iter().any(|it| it.contains("not whole"))
    })
    .await;
    assert!(!fleet.instances[0].is_ready().await);
    let sheet = Arc::new(named(&fleet, "new"));
    let good = Snapshot { version: new, publication_id: 2, next_offset: new + 1, sheet };
    fleet.platform.append("sheets", SheetRecord::Snapshot(good).encode());
    fleet.instances[0].wait_ready().await;
    assert_eq!(version(&fleet, 0).await, Some(new));
}

#[tokio::test]
async fn without_the_platform_a_fresh_instance_asks_its_peers() {
    let mut fleet = fleet(3).await;
    let new = fleet.publish(&named(&fleet, "new"));
    wait_all(&fleet, new).await;
    fleet.platform.refuse().await;
    // One after the other, until every process is another one.
    for at in 0..3 {
        let peer = peer(&fleet, (at + 1) % 3);
        fleet.instances[at].settings.more.push_str(&peer);
        fleet.restart(at).await.unwrap();
        assert_eq!(version(&fleet, at).await, Some(new));
        let call = Call::service(LOOKUP_CLASS, "lookup", "cue");
        assert_eq!(call.send(fleet.instances[at].address()).await.status, 200);
    }
}

#[tokio::test]
async fn without_platform_and_peers_a_fresh_instance_is_not_ready() {
    let mut fleet = fleet(1).await;
    fleet.platform.refuse().await;
    fleet.instances[0].kill();
    let start = fleet.instances[0].settings.clone();
    let instance = tanagergauge_testenv::Instance::start(BINARY.as_ref(), fleet.dir(), start);
    fleet.instances[0] = instance.await.unwrap();
    let call = Call::service(LOOKUP_CLASS, "lookup", "cue");
    let answer = call.send(fleet.instances[0].address()).await;
    assert_eq!((answer.status, answer.header("x-outcome")), (503, Some("not-run")));
    assert!(!fleet.instances[0].is_ready().await);
    fleet.platform.accept().await;
    fleet.instances[0].wait_ready().await;
}

#[tokio::test]
async fn an_instance_cut_off_keeps_its_sheet_and_catches_up() {
    let mut fleet = fleet(2).await;
    let old = version(&fleet, 0).await.unwrap();
    fleet.platform_proxies[0].refuse().await;
    fleet.platform_proxies[1].refuse().await;
    let mut last = old;
    for round in 0..5 {
        last = fleet.publish(&named(&fleet, &format!("round {round}")));
    }
    assert_eq!(version(&fleet, 0).await, Some(old));
    fleet.platform_proxies[0].heal().await;
    eventually("one catches up and tells the other", async || {
        let seen = version(&fleet, 1).await.unwrap();
        assert!(seen == old || seen == last, "an intermediate sheet is in force");
        seen == last
    })
    .await;
    wait_all(&fleet, last).await;
}

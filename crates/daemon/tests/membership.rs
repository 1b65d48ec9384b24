//! Instances find each other, hear of leaving endpoints, and go on when cut off.

mod support;

use std::time::{Duration, Instant};

use support::{Client, control};
use tanagergauge_core::{MemberState, Name, Outcome};
use tanagergauge_daemon::operator::{EXPLAIN, Explanation, Status};
use tanagergauge_standins::{EngineSettings, Entry, Leaving, platform::EntryState};
use tanagergauge_testenv::{
    Call, Fleet, FleetOptions, Instance, LOOKUP_CLASS, URGENT_CLASS, eventually,
};
use tokio::net::TcpListener;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Time after which a leaving endpoint gets no new work.
const LEAVE_BOUND: Duration = Duration::from_secs(3);

async fn fleet(instances: usize, zones: usize, engines: usize) -> Fleet {
    let options = FleetOptions {
        instances,
        engines: vec![EngineSettings::default(); engines],
        availability_zones: (1..=zones).map(|it| format!("zone-{it}")).collect(),
        control_proxies: true,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(BINARY, options).await.unwrap();
    let operator = Client::operator();
    eventually("instances meet", async || {
        operator.all(&fleet, |it| it.members.len() == instances).await
    })
    .await;
    fleet
}

fn has_left(status: &Status, endpoint: &str) -> bool {
    status.leaving_endpoints.iter().any(|it| it.as_str() == endpoint)
}

async fn platform_down(fleet: &Fleet) {
    for proxy in &fleet.platform_proxies {
        proxy.refuse().await;
        proxy.sever().await;
    }
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_work_after_the_bound_while_the_list_is_down() {
    let fleet = fleet(3, 1, 2).await;
    platform_down(&fleet).await;
    // It goes on running what it gets, so that only instances keep work from it.
    fleet.engines[0].switch(|it| it.leaving = Leaving::Announces);
    let left = Instant::now();
    let mut sent = 0;
    while left.elapsed() < LEAVE_BOUND + Duration::from_secs(2) {
        let instance = &fleet.instances[sent % 3];
        let answer = Call::chat(URGENT_CLASS, "act").max_tokens(1).send(instance.address()).await;
        assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
        sent += 1;
    }
    let late = fleet.engines[0]
        .records()
        .iter()
        .filter(|it| it.arrived.into_std() > left + LEAVE_BOUND)
        .count();
    assert_eq!(late, 0, "of {sent}");
}

#[tokio::test]
async fn every_instance_hears_within_the_bound_what_one_was_told_by_an_endpoint() {
    let fleet = fleet(6, 3, 2).await;
    platform_down(&fleet).await;
    let operator = Client::operator();
    fleet.engines[0].switch(|it| it.leaving = Leaving::Announces);
    let left = Instant::now();
    eventually("all have heard", async || {
        operator.all(&fleet, |it| has_left(it, "libretto-0")).await
    })
    .await;
    let elapsed = left.elapsed();
    assert!(elapsed < LEAVE_BOUND, "{elapsed:?}");
    println!("all six instances had heard after {elapsed:?}");
}

#[tokio::test]
async fn an_endpoint_that_is_back_gets_work_again_and_a_stale_list_changes_nothing() {
    let fleet = fleet(2, 1, 1).await;
    let operator = Client::operator();
    fleet.engines[0].switch(|it| it.leaving = Leaving::Announces);
    eventually("it left", async || operator.all(&fleet, |it| has_left(it, "libretto-0")).await)
        .await;
    fleet.engines[0].switch(|it| it.leaving = Leaving::No);
    eventually("it is back", async || operator.all(&fleet, |it| !has_left(it, "libretto-0")).await)
        .await;
    let listed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut entries = fleet.platform.entries();
    for entry in &mut entries {
        if entry.name == "libretto-0" {
            entry.state = EntryState::Leaving;
        }
    }
    let unknown = Entry {
        name: "unknown".to_owned(),
        control_address: Some(listed.local_addr().unwrap()),
        ..entries[0].clone()
    };
    entries.push(unknown);
    fleet.platform.set_entries(entries);
    // Whoever reads the list calls an instance there that it does not know.
    for _ in 0..2 {
        drop(listed.accept().await.unwrap());
    }
    assert!(operator.all(&fleet, |it| !has_left(it, "libretto-0")).await);
    let answer = Call::chat(URGENT_CLASS, "act").max_tokens(1);
    let answer = answer.send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::Answered));
}

#[tokio::test]
async fn cut_zones_go_on_and_heal_without_going_back() {
    let fleet = fleet(2, 2, 2).await;
    let operator = Client::operator();
    platform_down(&fleet).await;
    for proxy in &fleet.control_proxies {
        proxy.refuse().await;
        proxy.sever().await;
    }
    fleet.engines[0].switch(|it| it.leaving = Leaving::Announces);
    let [inside, outside] = [&fleet.instances[0], &fleet.instances[1]];
    eventually("its own zone knows", async || knows_left(inside)).await;
    let polls = async || outside.counter("tanagergauge_control_messages_total", "endpoints").await;
    let before = polls().await;
    eventually("the other zone goes on", async || polls().await > before + 1).await;
    assert!(!knows_left(outside));
    for instance in &fleet.instances {
        let answer = Call::service(LOOKUP_CLASS, "act/1", "cue").send(instance.address()).await;
        assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    }
    for proxy in &fleet.control_proxies {
        proxy.heal().await;
    }
    eventually("the other zone has heard", async || knows_left(outside)).await;
    eventually("both see both", async || {
        operator.all(&fleet, |it| has_left(it, "libretto-0") && it.members.len() == 2).await
    })
    .await;
}

/// Whether an instance has logged that the first engine leaves.
fn knows_left(instance: &Instance) -> bool {
    instance.log().iter().any(|it| it.contains("endpoint_leaving") && it.contains("libretto-0"))
}

#[tokio::test]
async fn a_fresh_instance_is_ready_from_a_peer_while_the_platform_is_down() {
    let mut fleet = fleet(2, 1, 1).await;
    let operator = Client::operator();
    let version = operator.status(&fleet.instances[1]).await.unwrap().sheet_version;
    let peer = control(&fleet.instances[1]);
    platform_down(&fleet).await;
    fleet.instances[0].settings.more += &format!("\npeers: [\"{peer}\"]\n");
    fleet.restart(0).await.unwrap();
    let status = operator.status(&fleet.instances[0]).await.unwrap();
    assert_eq!(status.sheet_version, version);
    let answer = Call::chat(URGENT_CLASS, "act").max_tokens(1);
    let answer = answer.send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::Answered));
}

#[tokio::test]
async fn an_instance_cut_from_the_log_alone_gets_the_new_sheet_from_a_peer() {
    let mut fleet = fleet(3, 3, 1).await;
    let operator = Client::operator();
    let proxy = &fleet.platform_proxies[2];
    proxy.refuse().await;
    proxy.sever().await;
    let version = fleet.publish(&fleet.plan.sheet());
    let published = Instant::now();
    eventually("the sheet is in force everywhere", async || {
        operator.all(&fleet, |it| it.sheet_version == Some(version)).await
    })
    .await;
    let elapsed = published.elapsed();
    println!("in force at the instance without the log after {elapsed:?}");
    // The log comes back with all that it has; nothing is older than what is in force.
    fleet.platform_proxies[2].heal().await;
    for _ in 0..20 {
        assert!(operator.all(&fleet, |it| it.sheet_version == Some(version)).await);
    }
}

#[tokio::test]
async fn a_planned_stop_is_told_to_peers() {
    let mut fleet = fleet(3, 1, 1).await;
    let operator = Client::operator();
    fleet.instances[2].terminate();
    fleet.instances[2].wait_ended().await;
    let gone = |status: &Status| {
        let stopped = status.members.iter().find(|it| it.instance.as_str() == "instance-2");
        stopped.is_some_and(|it| it.state == MemberState::Gone)
    };
    for instance in &fleet.instances[..2] {
        eventually("it is known to be gone", async || {
            operator.status(instance).await.is_ok_and(|it| gone(&it))
        })
        .await;
    }
}

#[tokio::test]
async fn any_instance_explains_a_request_of_any_other() {
    let mut fleet = fleet(3, 3, 1).await;
    let operator = Client::operator();
    let call = Call::chat(URGENT_CLASS, "act").max_tokens(1).id("who-1");
    call.send(fleet.instances[0].address()).await;
    let question = Name::from("who-1");
    let asked = control(&fleet.instances[1]);
    let explained: Explanation = operator.call(asked, EXPLAIN, &question).await.unwrap();
    assert_eq!(explained.found.len(), 1, "{explained:?}");
    assert_eq!(explained.found[0].instance.as_str(), "instance-0");
    assert_eq!((explained.asked, explained.silent.len()), (3, 0));
    fleet.instances[2].kill();
    let explained: Explanation = operator.call(asked, EXPLAIN, &question).await.unwrap();
    assert_eq!(explained.found.len(), 1);
    assert_eq!(explained.silent, [Name::from("instance-2")]);
}

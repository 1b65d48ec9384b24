//! A leaving endpoint gets no new work after three seconds, and nothing it runs is cut.

use std::time::Duration;

use tanagergauge_core::Outcome;
use tanagergauge_standins::{
    EngineSettings, Leaving, RunEnd,
    platform::{Availability, EntryState},
};
use tanagergauge_testenv::{Call, Fleet, FleetOptions, LOOKUP_CLASS, URGENT_CLASS, eventually};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Time after which a leaving endpoint gets no new work.
const GRACE: Duration = Duration::from_millis(3_000);

/// Time over which work goes on after that.
const WATCH: Duration = Duration::from_millis(1_500);

/// Pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(20);

async fn fleet() -> Fleet {
    let options = FleetOptions {
        instances: 3,
        engines: vec![EngineSettings::default(); 2],
        services: 2,
        ..FleetOptions::default()
    };
    Fleet::start(BINARY, options).await.unwrap()
}

/// Sends requests of both kinds through every instance for a time. All are answered.
async fn send_for(fleet: &Fleet, time: Duration) {
    let until = Instant::now() + time;
    for act in 0.. {
        send_round(fleet, &|part| chat(act, part)).await;
        send_round(fleet, &|part| lookup(act, part)).await;
        if Instant::now() >= until {
            return;
        }
        sleep(PAUSE).await;
    }
}

fn chat(act: usize, part: usize) -> Call {
    Call::chat(URGENT_CLASS, &format!("act {act} part {part}")).max_tokens(2)
}

fn lookup(act: usize, part: usize) -> Call {
    Call::service(LOOKUP_CLASS, "lookup", format!("act {act} part {part}"))
}

/// Sends several requests at once through every instance, so that every endpoint that may
/// be used is.
async fn send_round(fleet: &Fleet, call: &impl Fn(usize) -> Call) {
    let mut calls = JoinSet::new();
    for instance in &fleet.instances {
        for part in 0..3 {
            let address = instance.address();
            let call = call(part);
            calls.spawn(async move { (call.send(address).await, call) });
        }
    }
    for (answer, call) in calls.join_all().await {
        assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
        assert_eq!(answer.text(), call.expected_text());
    }
}

fn is_used(fleet: &Fleet) -> bool {
    !fleet.engines[0].records().is_empty() && !fleet.services[0].runs().is_empty()
}

/// Marks the endpoints numbered 0 as leaving on the list.
fn list_as_leaving(fleet: &Fleet) {
    let mut entries = fleet.platform.entries();
    let addresses = [fleet.engine_proxies[0].address(), fleet.service_proxies[0].address()];
    for entry in entries.iter_mut().filter(|it| addresses.contains(&it.address)) {
        entry.state = EntryState::Leaving;
    }
    fleet.platform.set_entries(entries);
}

/// Fails if an endpoint numbered 0 got work later than allowed.
fn assert_left_alone(fleet: &Fleet, left: Instant) {
    let allowed = left + GRACE;
    let late_runs = fleet.engines[0].records().iter().filter(|it| it.arrived > allowed).count();
    let late_calls = fleet.services[0].runs().iter().filter(|it| it.arrived > allowed).count();
    assert_eq!((late_runs, late_calls), (0, 0));
    let is_watched = fleet.engines[1].records().iter().any(|it| it.arrived > allowed);
    assert!(is_watched, "there was work to give");
}

macro_rules! left_alone {
    ($($name:ident: $leave:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            eventually("all are used", async || {
                send_for(&fleet, PAUSE).await;
                is_used(&fleet)
            })
            .await;
            let leave: fn(&Fleet) = $leave;
            leave(&fleet);
            let left = Instant::now();
            send_for(&fleet, GRACE + WATCH).await;
            assert_left_alone(&fleet, left);
        }
    )*};
}

fn announce(fleet: &Fleet, leaving: Leaving) {
    fleet.engines[0].switch(|it| it.leaving = leaving);
    fleet.services[0].switch(|it| it.leaving = leaving);
}

left_alone! {
    learnt_from_answers: |it| announce(it, Leaving::Announces);
    learnt_from_refusals: |it| announce(it, Leaving::Refuses);
    learnt_from_answers_of_endpoints_without_load_reports: |it| {
        it.engines[0].switch(|it| it.no_load_reports = true);
        it.services[0].switch(|it| it.no_load_reports = true);
        announce(it, Leaving::Announces);
    };
    learnt_from_the_list: list_as_leaving;
    learnt_from_answers_while_the_list_is_down: |it| {
        it.platform.switch(|it| it.list = Availability::Hangs);
        announce(it, Leaving::Announces);
    };
    learnt_from_answers_while_the_whole_platform_is_down: |it| {
        it.platform.switch(|it| {
            it.list = Availability::Unavailable;
            it.log = Availability::Unavailable;
        });
        announce(it, Leaving::Announces);
    };
}

#[tokio::test]
async fn an_instance_without_traffic_learns_it_too() {
    let fleet = fleet().await;
    announce(&fleet, Leaving::Announces);
    sleep(GRACE).await;
    let left = Instant::now() - GRACE;
    // The first request that each instance sends at all.
    send_for(&fleet, WATCH).await;
    assert_left_alone(&fleet, left);
}

#[tokio::test]
async fn what_a_leaving_endpoint_runs_is_finished_there() {
    let fleet = fleet().await;
    let mut open = Vec::new();
    for act in 0..6 {
        let prompt = format!("long act {act}");
        let call = Call::chat(URGENT_CLASS, &prompt).max_tokens(1_500).stream();
        let mut reading = call.open(fleet.instances[act % 3].address()).await;
        assert!(reading.read_text(50).await);
        open.push((call, reading));
    }
    announce(&fleet, Leaving::Refuses);
    list_as_leaving(&fleet);
    for (call, reading) in open {
        let answer = reading.finish().await;
        assert!(answer.is_finished(), "{answer:?}");
        assert_eq!(answer.text(), call.expected_text());
    }
    let records = fleet.engines[0].records();
    assert!(!records.is_empty());
    assert!(records.iter().all(|it| it.end == RunEnd::Finished), "{records:?}");
}

#[tokio::test]
async fn an_endpoint_that_stays_after_all_gets_work_again() {
    let fleet = fleet().await;
    announce(&fleet, Leaving::Announces);
    send_for(&fleet, GRACE).await;
    announce(&fleet, Leaving::No);
    eventually("it gets work again", async || {
        let runs = fleet.engines[0].records().len();
        send_for(&fleet, PAUSE).await;
        fleet.engines[0].records().len() > runs
    })
    .await;
}

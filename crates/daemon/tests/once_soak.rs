//! Non-repeatable requests under seeded faults, judged from outside.
//!
//! `SOAK_REQUESTS=10000 SOAK_SEED=2 cargo test -p tanagergauge-daemon --test once_soak
//! -- --nocapture` is the longer run; without them a short one of a fixed seed.

use std::{
    collections::HashMap,
    env,
    net::SocketAddr,
    str::FromStr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tanagergauge_core::{Outcome, Reason};
use tanagergauge_testenv::{Call, Fleet, FleetOptions, PUBLISH_CLASS, TOKEN};
use uuid::Uuid;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

const INSTANCES: usize = 3;
const CALLERS: usize = 16;
/// Sendings of one key at most.
const SENDINGS: usize = 3;
const DEADLINE_MS: u64 = 600;
/// How long each fault lasts, in milliseconds.
const FAULT_MS: u64 = 150;

/// What callers share.
struct Board {
    addresses: Mutex<Vec<SocketAddr>>,
    left: AtomicUsize,
    told: Mutex<Vec<Told>>,
}

/// What one sending was told.
struct Told {
    key: String,
    outcome: Option<Outcome>,
    reason: Option<Reason>,
    /// The key in the answer, if there is one.
    receipt: Option<String>,
}

fn setting<T: FromStr>(name: &str, default: T) -> T {
    env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

impl Board {
    fn address(&self, random: &mut StdRng) -> SocketAddr {
        self.addresses.lock().unwrap()[random.random_range(0..INSTANCES)]
    }

    fn take(&self) -> bool {
        let less = |it: usize| it.checked_sub(1);
        self.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, less).is_ok()
    }
}

async fn key(board: &Board, random: &mut StdRng) -> String {
    if random.random_bool(0.5) {
        return Uuid::now_v7().to_string();
    }
    let call = Call::new(Method::POST, "/v1/tickets").token(TOKEN);
    let answer = call.send(board.address(random)).await;
    let ticket = answer.json().and_then(|it| it["ticket"].as_str().map(str::to_owned));
    ticket.unwrap_or_else(|| Uuid::now_v7().to_string())
}

/// Sends keys, each again through any instance until something certain is told.
async fn caller(board: Arc<Board>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    while board.take() {
        let key = key(&board, &mut random).await;
        for _ in 0..SENDINGS {
            let call = Call::service(PUBLISH_CLASS, "publish", key.clone())
                .key(&key)
                .deadline_ms(DEADLINE_MS);
            let answer = call.send(board.address(&mut random)).await;
            let outcome = answer.outcome().filter(|_| answer.is_finished());
            let receipt = answer.json().and_then(|it| Some(it["idempotency_key"].as_str()?.into()));
            let told = Told { key: key.clone(), outcome, reason: answer.reason(), receipt };
            board.told.lock().unwrap().push(told);
            if matches!(outcome, Some(Outcome::Answered)) && random.random_bool(0.8) {
                break;
            }
        }
    }
}

/// One fault, chosen by the seed, and its end.
async fn fault(fleet: &mut Fleet, board: &Board, random: &mut StdRng) {
    let at = random.random_range(0..INSTANCES);
    let service = random.random_range(0..fleet.services.len());
    let pause = Duration::from_millis(FAULT_MS);
    match random.random_range(0..9) {
        0 => fleet.platform.switch(|it| it.lost_answers = 5),
        1 => fleet.platform_proxies[at].refuse().await,
        2 => fleet.platform.switch(|it| it.delay_ms = 100),
        3 => fleet.services[service].switch(|it| it.drops_after_run = true),
        4 => fleet.services[service].switch(|it| it.refuses = true),
        5 => fleet.service_proxies[service].switch(|it| it.cut_after_request = true),
        6 => fleet.service_proxies[service].switch(|it| it.cut_answer_after_bytes = Some(60)),
        7 => {
            fleet.instances[at].freeze();
            tokio::time::sleep(pause).await;
            fleet.instances[at].thaw();
        }
        _ => {
            fleet.instances[at].kill();
            fleet.restart(at).await.unwrap();
            board.addresses.lock().unwrap()[at] = fleet.instances[at].address();
        }
    }
    tokio::time::sleep(pause).await;
    fleet.platform_proxies[at].heal().await;
    fleet.service_proxies[service].heal().await;
    fleet.platform.switch(|it| *it = Default::default());
    fleet.services[service].switch(|it| *it = Default::default());
}

fn judge(fleet: &Fleet, told: &[Told]) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in fleet.services.iter().flat_map(|it| it.runs()) {
        *runs.entry(run.idempotency_key.unwrap_or_default()).or_default() += 1;
    }
    let twice = runs.values().filter(|it| **it > 1).count();
    let ran = |it: &&Told| runs.contains_key(&it.key);
    let with = |outcome| told.iter().filter(move |it| it.outcome == outcome);
    let denied = with(Some(Outcome::NotRun)).filter(ran).count();
    let answered = || with(Some(Outcome::Answered));
    let foreign = answered().filter(|it| it.receipt.as_ref() != Some(&it.key)).count();
    let unrun = answered().filter(|it| !ran(it)).count();
    println!(
        "{} keys ran, {twice} twice; told answered {} ({foreign} foreign, {unrun} that did not run), \
         not run {} ({denied} that ran), unknown {}, nothing {}",
        runs.len(),
        answered().count(),
        with(Some(Outcome::NotRun)).count(),
        with(Some(Outcome::Unknown)).count(),
        with(None).count(),
    );
    let mut reasons: HashMap<String, usize> = HashMap::new();
    for reason in told.iter().filter_map(|it| it.reason) {
        *reasons.entry(reason.to_string()).or_default() += 1;
    }
    println!("{reasons:?}");
    assert_eq!((twice, denied, foreign, unrun), (0, 0, 0, 0));
    assert!(answered().count() * 4 > told.len(), "too few answers to show anything");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_runs_twice_and_nobody_is_misled() {
    let seed = setting("SOAK_SEED", 1);
    let requests = setting("SOAK_REQUESTS", 400);
    let options = FleetOptions { instances: INSTANCES, services: 2, ..FleetOptions::default() };
    let mut fleet = Fleet::start(BINARY, options).await.unwrap();
    let board = Arc::new(Board {
        addresses: Mutex::new(fleet.instances.iter().map(|it| it.address()).collect()),
        left: AtomicUsize::new(requests),
        told: Mutex::default(),
    });
    let callers: Vec<_> = (0..CALLERS as u64)
        .map(|it| tokio::spawn(caller(Arc::clone(&board), seed * 1000 + it)))
        .collect();
    let mut random = StdRng::seed_from_u64(seed);
    while !callers.iter().all(|it| it.is_finished()) {
        fault(&mut fleet, &board, &mut random).await;
    }
    // Whatever is still on its way would have run by now.
    tokio::time::sleep(Duration::from_millis(2 * DEADLINE_MS)).await;
    println!("seed {seed}, {requests} keys");
    judge(&fleet, &board.told.lock().unwrap());
}

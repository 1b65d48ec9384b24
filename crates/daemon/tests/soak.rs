//! Seeded faults at random, and all promises checked from outside records.
//!
//! `TANAGERGAUGE_SOAK_S` sets how long it runs, in seconds, and
//! `TANAGERGAUGE_SOAK_SEED` the seed.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    env,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tanagergauge_core::{Outcome, Reason};
use tanagergauge_standins::{
    EngineSettings, Flow, PlatformSettings, RunRecord, ServiceRun, platform::Availability,
};
use tanagergauge_testenv::{
    Answer, Call, DEFERRED_CLASS, Fleet, FleetOptions, LOOKUP_CLASS, PUBLISH_CLASS, URGENT_CLASS,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use uuid::Uuid;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

const INSTANCES: usize = 3;
const ENGINES: usize = 3;
const SERVICES: usize = 2;

/// Callers that send one request after the other.
const CALLERS: usize = 12;

/// Times that a caller sends the same request, each through another instance.
const SENDS: usize = 4;

/// Length of the run where nothing else is said, in seconds.
const DEFAULT_S: u64 = 8;
const DEFAULT_SEED: u64 = 1;

/// How long callers wait for a plain service, in milliseconds.
const SERVICE_DEADLINE_MS: u64 = 2_500;

/// Time for what is still on its way to arrive after the last fault.
const SETTLE: Duration = Duration::from_millis(1_000);

/// Random numbers from a seed.
#[derive(Clone)]
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut word = self.0;
        word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (word ^ (word >> 31)) % sides
    }

    fn index(&mut self, length: usize) -> usize {
        usize::try_from(self.roll(length as u64)).unwrap_or(0)
    }
}

/// A fault, and which of the parts it hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillInstance(usize),
    FreezeInstance(usize),
    CutPlatform(usize),
    LogDown,
    LogHangs,
    LostLogAnswers,
    CrashEngine(usize),
    HangEngine(usize),
    CutEngineAnswers(usize, u64),
    CutServiceRequests(usize),
    CutServiceAnswers(usize),
    DelayServiceAnswers(usize),
    DelayServiceRequests(usize),
    CrashService(usize),
}

impl Fault {
    fn draw(dice: &mut Dice) -> Fault {
        match dice.roll(14) {
            0 => Fault::KillInstance(dice.index(INSTANCES)),
            1 => Fault::FreezeInstance(dice.index(INSTANCES)),
            2 => Fault::CutPlatform(dice.index(INSTANCES)),
            3 => Fault::LogDown,
            4 => Fault::LogHangs,
            5 => Fault::LostLogAnswers,
            6 => Fault::CrashEngine(dice.index(ENGINES)),
            7 => Fault::HangEngine(dice.index(ENGINES)),
            8 => Fault::CutEngineAnswers(dice.index(ENGINES), dice.roll(4_000)),
            9 => Fault::CutServiceRequests(dice.index(SERVICES)),
            10 => Fault::CutServiceAnswers(dice.index(SERVICES)),
            11 => Fault::DelayServiceAnswers(dice.index(SERVICES)),
            12 => Fault::DelayServiceRequests(dice.index(SERVICES)),
            _ => Fault::CrashService(dice.index(SERVICES)),
        }
    }

    async fn begin(self, fleet: &mut Fleet) {
        let set_log = |log| fleet.platform.switch(|it| it.log = log);
        match self {
            Fault::KillInstance(i) => fleet.instances[i].kill(),
            Fault::FreezeInstance(i) => fleet.instances[i].freeze(),
            Fault::CutPlatform(i) => fleet.platform_proxies[i].refuse().await,
            Fault::LogDown => set_log(Availability::Unavailable),
            Fault::LogHangs => set_log(Availability::Hangs),
            Fault::LostLogAnswers => fleet.platform.switch(|it| it.lost_answers = 3),
            Fault::CrashEngine(i) => fleet.engines[i].crash().await,
            Fault::HangEngine(i) => fleet.engines[i].switch(|it| it.hang = true),
            Fault::CutEngineAnswers(i, bytes) => {
                fleet.engine_proxies[i].switch(|it| it.cut_answer_after_bytes = Some(bytes));
            }
            Fault::CutServiceRequests(i) => {
                fleet.service_proxies[i].switch(|it| it.cut_after_request = true);
            }
            Fault::CutServiceAnswers(i) => {
                fleet.service_proxies[i].switch(|it| it.cut_answer_after_bytes = Some(0));
            }
            Fault::DelayServiceAnswers(i) => {
                fleet.service_proxies[i].switch(|it| it.down = Flow::Hold);
            }
            Fault::DelayServiceRequests(i) => {
                fleet.service_proxies[i].switch(|it| it.up = Flow::Hold);
            }
            Fault::CrashService(i) => fleet.services[i].crash().await,
        }
    }

    async fn end(self, fleet: &mut Fleet, addresses: &Addresses) {
        match self {
            Fault::KillInstance(i) => {
                fleet.restart_unready(i).await.unwrap();
                *addresses.lock().unwrap() = all_addresses(fleet);
            }
            Fault::FreezeInstance(i) => fleet.instances[i].thaw(),
            Fault::CutPlatform(i) => fleet.platform_proxies[i].heal().await,
            Fault::LogDown | Fault::LogHangs => {
                fleet.platform.switch(|it| it.log = Availability::Up);
            }
            Fault::LostLogAnswers => fleet.platform.switch(|it| it.lost_answers = 0),
            Fault::CrashEngine(i) => fleet.engines[i].revive().await,
            Fault::HangEngine(i) => fleet.engines[i].switch(|it| it.hang = false),
            Fault::CutEngineAnswers(i, _) => fleet.engine_proxies[i].heal().await,
            Fault::CutServiceRequests(i)
            | Fault::CutServiceAnswers(i)
            | Fault::DelayServiceAnswers(i)
            | Fault::DelayServiceRequests(i) => fleet.service_proxies[i].heal().await,
            Fault::CrashService(i) => fleet.services[i].revive().await,
        }
    }
}

type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

fn all_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.instances.iter().map(|it| it.address()).collect()
}

/// Brings about faults, one or two at a time, until the time is over.
async fn shake(fleet: &mut Fleet, addresses: &Addresses, dice: &mut Dice, until: Instant) -> usize {
    let mut faults = 0;
    while Instant::now() < until {
        let first = Fault::draw(dice);
        let second = Some(Fault::draw(dice)).filter(|it| *it != first && dice.roll(3) == 0);
        let both = [Some(first), second].into_iter().flatten();
        for fault in both.clone() {
            fault.begin(fleet).await;
            faults += 1;
        }
        sleep(Duration::from_millis(200 + dice.roll(600))).await;
        for fault in both {
            fault.end(fleet, addresses).await;
        }
        sleep(Duration::from_millis(100 + dice.roll(300))).await;
    }
    faults
}

/// One sending of a request, and what the caller got.
struct Sent {
    call: Call,
    id: String,
    key: Option<String>,
    answer: Answer,
    /// When the answer had come.
    told: Instant,
}

impl Sent {
    fn is_publish(&self) -> bool {
        self.key.is_some()
    }

    fn is_completion(&self) -> bool {
        !self.call.expected_text().is_empty() && !self.is_stream()
    }

    fn is_stream(&self) -> bool {
        self.answer.is_stream()
    }
}

/// Sends requests one after the other until the time is over.
async fn call(addresses: Addresses, mut dice: Dice, until: Instant) -> Vec<Sent> {
    let mut sent = Vec::new();
    while Instant::now() < until {
        let (call, key) = draw_call(&mut dice);
        let first = dice.index(INSTANCES);
        for turn in 0..SENDS {
            let address = addresses.lock().unwrap()[(first + turn) % INSTANCES];
            let id = Uuid::now_v7().to_string();
            let call = call.clone().id(&id);
            let answer = call.send(address).await;
            let is_over = answer.outcome() == Some(Outcome::Answered) || !call_is_retried(&key);
            sent.push(Sent { call, id, key: key.clone(), answer, told: Instant::now() });
            if is_over {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
    sent
}

/// Callers send again only what carries a key.
fn call_is_retried(key: &Option<String>) -> bool {
    key.is_some()
}

fn draw_call(dice: &mut Dice) -> (Call, Option<String>) {
    let text = format!("part {}", Uuid::now_v7());
    let tokens = 5 + u32::try_from(dice.roll(100)).unwrap_or(0);
    let call = match dice.roll(8) {
        0 => Call::chat(URGENT_CLASS, &text).max_tokens(tokens),
        1 => Call::chat(URGENT_CLASS, &text).max_tokens(tokens).stream(),
        2 => Call::chat(DEFERRED_CLASS, &text).max_tokens(2 * tokens).stream(),
        3 => Call::service(LOOKUP_CLASS, "lookup", text).deadline_ms(SERVICE_DEADLINE_MS),
        _ => {
            let key = Uuid::now_v7().to_string();
            let call = Call::service(PUBLISH_CLASS, "publish", text).key(&key);
            return (call.deadline_ms(SERVICE_DEADLINE_MS), Some(key));
        }
    };
    (call, None)
}

/// What the endpoints ran.
struct Ran {
    engines: HashMap<String, Vec<RunRecord>>,
    by_id: HashMap<String, usize>,
    by_key: HashMap<String, Vec<ServiceRun>>,
}

impl Ran {
    fn read(fleet: &Fleet) -> Ran {
        let mut ran =
            Ran { engines: HashMap::new(), by_id: HashMap::new(), by_key: HashMap::new() };
        for run in fleet.engines.iter().flat_map(|it| it.records()) {
            ran.engines.entry(run.request_id.clone()).or_default().push(run);
        }
        for run in fleet.services.iter().flat_map(|it| it.runs()) {
            *ran.by_id.entry(run.request_id.clone()).or_default() += 1;
            if let Some(key) = run.idempotency_key.clone() {
                ran.by_key.entry(key).or_default().push(run);
            }
        }
        ran
    }

    fn has_run(&self, id: &str) -> bool {
        self.engines.contains_key(id) || self.by_id.contains_key(id)
    }
}

/// What was found wrong.
#[derive(Debug, Default, PartialEq, Eq)]
struct Findings {
    run_twice: Vec<String>,
    not_run_but_ran: Vec<String>,
    answered_but_not_run: Vec<String>,
    foreign_or_truncated: Vec<String>,
    /// "Not run" was said of a key after an earlier sending of it had run.
    refused_after_running: Vec<String>,
}

/// The key, if "not run" was said of it after an earlier sending of it had run.
fn refused_after_running(sent: &Sent, ran: &Ran) -> Option<String> {
    let key = sent.key.as_ref().filter(|_| sent.answer.outcome() == Some(Outcome::NotRun))?;
    let runs = ran.by_key.get(key)?;
    runs.iter()
        .any(|it| it.arrived < sent.told)
        .then(|| format!("{key}: {:?}", sent.answer.reason()))
}

fn check(sent: &[Sent], ran: &Ran) -> Findings {
    let mut findings = Findings::default();
    let twice = ran.by_key.iter().filter(|it| it.1.len() > 1);
    findings.run_twice.extend(twice.map(|(key, runs)| format!("{key}: {runs:?}")));
    let late = sent.iter().filter_map(|it| refused_after_running(it, ran));
    findings.refused_after_running.extend(late);
    for it in sent {
        let outcome = it.answer.outcome();
        if outcome == Some(Outcome::NotRun) && ran.has_run(&it.id) {
            findings.not_run_but_ran.push(it.id.clone());
        }
        if let (Some(Outcome::Answered), Some(key)) = (outcome, &it.key)
            && !ran.by_key.contains_key(key)
        {
            findings.answered_but_not_run.push(key.clone());
        }
        if !is_own(it) {
            findings.foreign_or_truncated.push(format!("{}: {:?}", it.id, it.answer));
        }
    }
    findings.not_run_but_ran.extend(all_refused(sent).filter(|it| ran.by_key.contains_key(it)));
    findings
}

/// Keys of which every sending was told "not run".
fn all_refused(sent: &[Sent]) -> impl Iterator<Item = String> {
    let mut refused: HashMap<String, bool> = HashMap::new();
    for it in sent {
        if let Some(key) = &it.key {
            let is_refused =
                it.answer.outcome() == Some(Outcome::NotRun) || !it.answer.is_connected;
            *refused.entry(key.clone()).or_insert(true) &= is_refused;
        }
    }
    refused.into_iter().filter(|it| it.1).map(|it| it.0)
}

/// Whether what the caller took for its answer is whole and its own.
fn is_own(sent: &Sent) -> bool {
    let Sent { call, answer, .. } = sent;
    if answer.outcome() != Some(Outcome::Answered) {
        let is_part = call.expected_text().starts_with(&answer.text());
        return is_part && !(answer.is_stream() && answer.is_finished());
    }
    let expected = call.expected_text();
    if !expected.is_empty() {
        return answer.is_finished() && answer.text() == expected;
    }
    let hash = blake3::hash(&call.bytes()).to_string();
    answer.json().is_some_and(|it| it["body_blake3"] == hash.as_str())
}

fn number(variable: &str, default: u64) -> u64 {
    env::var(variable).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

async fn start() -> Fleet {
    let options = FleetOptions {
        instances: INSTANCES,
        engines: vec![EngineSettings::default(); ENGINES],
        services: SERVICES,
        platform: PlatformSettings { max_appends_per_s: 300, ..PlatformSettings::default() },
        limits: "stream_idle_ms: 1000".to_owned(),
        ..FleetOptions::default()
    };
    Fleet::start(BINARY, options).await.unwrap()
}

fn summary(sent: &[Sent], faults: usize) -> String {
    let keys: HashSet<_> = sent.iter().filter_map(|it| it.key.as_ref()).collect();
    let count = |outcome| sent.iter().filter(|it| it.answer.outcome() == outcome).count();
    format!(
        "{faults} faults; {} sendings; {} requests that may not be repeated; \
         answered {}, not run {}, unknown {}, told nothing {}",
        sent.len(),
        keys.len(),
        count(Some(Outcome::Answered)),
        count(Some(Outcome::NotRun)),
        count(Some(Outcome::Unknown)),
        count(None),
    )
}

/// How often callers were told each reason.
fn reasons(sent: &[Sent]) -> BTreeMap<Reason, usize> {
    let mut reasons = BTreeMap::new();
    for reason in sent.iter().filter_map(|it| it.answer.reason()) {
        *reasons.entry(reason).or_default() += 1;
    }
    reasons
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_promises_hold_under_faults() {
    let mut dice = Dice(number("TANAGERGAUGE_SOAK_SEED", DEFAULT_SEED));
    let time = Duration::from_secs(number("TANAGERGAUGE_SOAK_S", DEFAULT_S));
    let mut fleet = start().await;
    let addresses = Arc::new(Mutex::new(all_addresses(&fleet)));
    let until = Instant::now() + time;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call(Arc::clone(&addresses), Dice(dice.roll(u64::MAX)), until));
    }
    let faults = shake(&mut fleet, &addresses, &mut dice, until).await;
    let sent: Vec<Sent> = callers.join_all().await.into_iter().flatten().collect();
    sleep(SETTLE).await;
    let findings = check(&sent, &Ran::read(&fleet));
    eprintln!("{}", summary(&sent, faults));
    eprintln!("reasons: {:?}", reasons(&sent));
    assert_eq!(findings, Findings::default());
    assert!(faults > 0, "there were no faults");
    for is_kind in [Sent::is_publish, Sent::is_completion, Sent::is_stream] {
        let is_answered = |it: &&Sent| it.answer.outcome() == Some(Outcome::Answered);
        assert!(sent.iter().filter(is_answered).any(is_kind), "a kind was never answered");
    }
}

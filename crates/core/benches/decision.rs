//! Cost of one scheduling decision in an availability zone with 210 endpoints, and with ten times
//! as many.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tanagergauge_core::{
    Name,
    action::Action,
    job::{AttemptEnd, Job},
    prefix_index::PrefixHashes,
    quarantine::Fingerprint,
    request_fingerprints::RequestFingerprints,
    scheduler::{Scheduler, SchedulerSettings},
    sheet::{AvailabilityZone, ClientAccount, Endpoint, OutputPrior, Sheet, TargetKind},
};

const ACCOUNTS: usize = 390;
const MODELS: usize = 19;
const TIERS: usize = 7;
const SLOTS: u32 = 8;
const QUEUED: u64 = 2_000;
const NOW_MS: u64 = 1_000_000;

fn sheet(endpoints: usize) -> Sheet {
    let zone = AvailabilityZone { name: "zone".into(), region: "region".into() };
    let endpoint = |at: usize| Endpoint {
        name: Name::from(format!("engine-{at}")),
        availability_zone: "zone".into(),
        address: ([127, 0, (at / 250) as u8, (at % 250) as u8], 80).into(),
        kind: TargetKind::Model,
        serves: vec![model(at), model(at * 7 + 1)],
        slots: SLOTS,
        checks_fencing: false,
        checks_orders: false,
    };
    let account = |at: usize| ClientAccount {
        name: account(at),
        share_percent: 100.0 / ACCOUNTS as f64,
        credentials: Vec::new(),
        classes: Vec::new(),
    };
    Sheet {
        availability_zones: vec![zone],
        endpoints: (0..endpoints).map(endpoint).collect(),
        client_accounts: (0..ACCOUNTS).map(account).collect(),
        ..Sheet::default()
    }
}

fn model(at: usize) -> Name {
    Name::from(format!("model-{}", at % MODELS))
}

fn account(at: usize) -> Name {
    Name::from(format!("account-{}", at % ACCOUNTS))
}

struct Workload {
    scheduler: Scheduler,
    models: Vec<Name>,
    accounts: Vec<Name>,
    classes: Vec<Name>,
    last_id: u64,
    running: Vec<u64>,
    sent: u64,
    /// Advances by a millisecond with every request.
    now_ms: u64,
}

impl Workload {
    fn new(endpoints: usize) -> Workload {
        let settings = SchedulerSettings::default();
        let name = Name::from("instance");
        let scheduler = Scheduler::new(settings, &sheet(endpoints), &name, "zone", NOW_MS);
        Workload {
            scheduler,
            models: (0..MODELS).map(model).collect(),
            accounts: (0..ACCOUNTS).map(account).collect(),
            classes: (0..TIERS).map(|it| Name::from(format!("class-{it}"))).collect(),
            last_id: 0,
            running: Vec::new(),
            sent: 0,
            now_ms: NOW_MS,
        }
    }

    fn submit(&mut self) {
        self.last_id += 1;
        self.now_ms += 1;
        let number = self.last_id.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        let at = number as usize;
        let job = Job {
            id: self.last_id,
            attempt: 1,
            kind: TargetKind::Model,
            target: self.models[at % MODELS].clone(),
            class: self.classes[at % TIERS].clone(),
            tier_rank: at % TIERS,
            floor_percent: 3,
            prior: OutputPrior::default(),
            first_token_ms: 500,
            account: self.accounts[at % ACCOUNTS].clone(),
            bytes: 4_000,
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + 10_000_000,
            delivered_tokens: 0,
            limit_tokens: None,
            is_stream: true,
            prefix: PrefixHashes(vec![number % 500, number]),
            fingerprints: RequestFingerprints::without_parts(Fingerprint::new(
                "account",
                "model",
                &number.to_le_bytes(),
            )),
            avoid: Vec::new(),
            is_suspect: false,
        };
        self.scheduler.submit(job, self.now_ms, number);
    }

    /// Handles refusals, then one decision.
    fn next(&mut self) -> Action {
        let mut action = self.scheduler.next_action(self.now_ms, self.last_id);
        while matches!(action, Action::Refuse(..)) {
            action = self.scheduler.next_action(self.now_ms, self.last_id);
        }
        if let Action::Send(id, _) = action {
            self.running.push(id);
            self.sent += 1;
        }
        action
    }

    fn finish_one(&mut self) {
        let at = self.last_id as usize * 7 % self.running.len();
        let id = self.running.swap_remove(at);
        self.scheduler.record_end(id, AttemptEnd::Answered, 120, self.now_ms);
    }

    /// Sends requests until no endpoint has room, then fills the queue.
    fn fill(&mut self) {
        while self.scheduler.waiting() < QUEUED as usize {
            self.submit();
            while !matches!(self.next(), Action::Wait { .. }) {}
        }
    }
}

/// With half of the slots in use, a request arrives and is sent, and an earlier one ends.
fn bench_with_room(criterion: &mut Criterion, endpoints: usize) {
    let mut workload = Workload::new(endpoints);
    for _ in 0..endpoints * SLOTS as usize / 2 {
        workload.submit();
        workload.next();
    }
    criterion.bench_function(&format!("room/{endpoints} endpoints"), |bencher| {
        bencher.iter(|| {
            workload.submit();
            black_box(workload.next());
            workload.finish_one();
        });
    });
}

/// With all slots in use and a long queue, a request ends, another arrives and a queued one is
/// sent.
fn bench_when_full(criterion: &mut Criterion, endpoints: usize) {
    let mut workload = Workload::new(endpoints);
    workload.fill();
    let before = (workload.last_id, workload.sent);
    criterion.bench_function(&format!("full/{endpoints} endpoints"), |bencher| {
        bencher.iter(|| {
            workload.finish_one();
            workload.submit();
            black_box(workload.next());
        });
    });
    let (submitted, sent) = (workload.last_id - before.0, workload.sent - before.1);
    println!("full/{endpoints} endpoints: {sent} sent of {submitted} submitted");
}

fn decisions(criterion: &mut Criterion) {
    for endpoints in [210, 2_100] {
        bench_with_room(criterion, endpoints);
        bench_when_full(criterion, endpoints);
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);

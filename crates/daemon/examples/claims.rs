//! Measures claims on idempotency keys: claims in one append, and delay over the log's own.
//!
//! `cargo run --release -p tanagergauge-daemon --example claims` offers claims at several
//! rates, open loop, to one instance's claimer before a stand-in log on loopback.

use std::time::Duration;

use ractor::{Actor, ActorRef};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tanagergauge_core::{
    Name,
    claim::{Claim, claims_stream},
    key::{KeyId, KeyLimits, RequestDigest},
    owner::Owner,
};
use tanagergauge_daemon::{
    claimer::{self, Claimer},
    clock::{Clock, unix_ms},
    platform::Platform,
};
use tanagergauge_standins::{Platform as Log, PlatformSettings};
use tokio::{sync::oneshot, time::Instant};

/// Claims a second that are offered.
const RATES: [u64; 6] = [1, 10, 50, 100, 430, 2000];
/// Time that each rate is offered.
const RUN: Duration = Duration::from_secs(10);
/// Time the log takes for a request before it has effect, in milliseconds.
const LOG_DELAYS_MS: [u64; 2] = [2, 20];
/// Least time between two appends, in milliseconds.
const SPACING_MS: u64 = 16;
/// Appends that measure the log's own latency.
const PROBES: usize = 100;
/// Seed of the arrivals.
const SEED: u64 = 7;

const LIMITS: KeyLimits =
    KeyLimits { max_age_ms: 600_000, max_skew_ms: 5000, clock_error_ms: 1000 };

/// Latencies in milliseconds, sorted.
struct Latencies(Vec<f64>);

impl Latencies {
    fn new(mut values: Vec<f64>) -> Latencies {
        values.sort_by(f64::total_cmp);
        Latencies(values)
    }

    fn percentile(&self, percent: usize) -> f64 {
        let last = self.0.len().saturating_sub(1);
        self.0.get(last * percent / 100).copied().unwrap_or(f64::NAN)
    }
}

fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

/// Time from an append to its being read by an open poll.
async fn probe(log: &Log) -> Latencies {
    let mut values = Vec::new();
    for offset in 0..PROBES as u64 {
        let begun = Instant::now();
        let reader = Platform::new(log.address());
        let wait = Duration::from_secs(5);
        let read = tokio::spawn(async move { reader.read("probe", offset, 1, wait).await });
        // The poll is open before the append, as the claimer's is.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let paused_ms = elapsed_ms(begun);
        let writer = Platform::new(log.address());
        tokio::spawn(async move { writer.append("probe", vec![0; 40]).await });
        read.await.expect("the reader ends").expect("the log answers");
        values.push(elapsed_ms(begun) - paused_ms);
    }
    Latencies::new(values)
}

async fn start_claimer(log: &Log) -> ActorRef<claimer::Message> {
    let arguments = claimer::Arguments {
        partition: 0,
        platform: Platform::new(log.address()),
        owner: Owner { instance: Name::from("instance-1"), incarnation: 1 },
        limits: LIMITS,
        spacing_ms: SPACING_MS,
        clock: Clock::start(),
    };
    Actor::spawn(None, Claimer, arguments).await.expect("the claimer starts").0
}

/// Offers claims at times that do not depend on earlier answers.
async fn offer(claimer: &ActorRef<claimer::Message>, rate: u64) -> Latencies {
    let mut random = StdRng::seed_from_u64(SEED);
    let begun = Instant::now();
    let mut at = begun;
    let mut tasks = Vec::new();
    while at < begun + RUN {
        let unit: f64 = random.random();
        at += Duration::from_secs_f64(-(1.0 - unit).ln() / rate as f64);
        let text = format!("{rate} {}", tasks.len());
        let claim = Claim {
            key: KeyId::new(&Name::from("account"), &text),
            key_unix_ms: unix_ms(),
            digest: RequestDigest::new("publish", "POST", "/", text.as_bytes()),
        };
        let claimer = claimer.clone();
        tokio::time::sleep_until(at).await;
        tasks.push(tokio::spawn(async move {
            let (reply, standing) = oneshot::channel();
            claimer.send_message(claimer::Message::Claim(claim, reply)).ok()?;
            standing.await.ok()?;
            Some(elapsed_ms(at))
        }));
    }
    let mut values = Vec::new();
    for task in tasks {
        values.extend(task.await.ok().flatten());
    }
    Latencies::new(values)
}

async fn measure(log_delay_ms: u64) {
    let log = Log::start(PlatformSettings::default()).await.expect("a port is free");
    log.switch(|it| it.delay_ms = log_delay_ms);
    let own = probe(&log).await;
    let (own_p50, own_p99) = (own.percentile(50), own.percentile(99));
    println!("log delay {log_delay_ms} ms: append and read-back p50 {own_p50:.1} p99 {own_p99:.1}");
    println!(
        "rate/s  claims  appends/s  claims/append  bytes/claim  p50 ms  p99 ms  added p50  p99"
    );
    for rate in RATES {
        let claimer = start_claimer(&log).await;
        let before = log.appends();
        let latencies = offer(&claimer, rate).await;
        claimer.stop(None);
        let claims = latencies.0.len();
        let appends = log.appends() - before;
        let records = log.records(&claims_stream(0));
        let own_records = &records[records.len() - appends as usize..];
        let bytes: usize = own_records.iter().map(|it| it.payload.len()).sum();
        let (p50, p99) = (latencies.percentile(50), latencies.percentile(99));
        println!(
            "{rate:6}  {claims:6}  {:9.1}  {:13.1}  {:11.1}  {p50:6.1}  {p99:6.1}  {:9.1}  {:.1}",
            appends as f64 / RUN.as_secs_f64(),
            claims as f64 / appends as f64,
            bytes as f64 / claims as f64,
            p50 - own_p50,
            p99 - own_p50,
        );
    }
}

#[tokio::main]
async fn main() {
    for log_delay_ms in LOG_DELAYS_MS {
        measure(log_delay_ms).await;
    }
}

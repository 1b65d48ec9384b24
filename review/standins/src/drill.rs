//! In a drill the store is away for a moment and comes back from a copy some seconds old, and all
//! instances are killed meanwhile. Clients take their streams up again.
//!
//! Rule ORDER: not more than two streams hold events from servers of two software versions.

mod instance;
mod model_server;
mod record;
mod stream_client;
mod support;

use std::{
    env,
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use instance::{Instance, Ports, TemporaryDirectory, ZONES};
use model_server::{ModelServer, ServersStore};
use record::Record;
use stream_client::{Stream, run_stream};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Streams that the rule allows to hold events of two versions.
const ALLOWED_MIXED: usize = 2;
/// Servers that run the older software, and those that a rollout adds.
const OLD_SERVERS: usize = 4;
const NEW_SERVERS: usize = 2;
/// Clients that have one stream each at any time.
const CLIENTS: usize = 60;
/// Time from the first start to the copy.
const COPY_AFTER: Duration = Duration::from_millis(2_500);
/// Time from the copy to the rollout.
const ROLLOUT_AFTER: Duration = Duration::from_millis(500);
/// Time from the rollout to the drill.
const DRILL_AFTER: Duration = Duration::from_millis(4_850);
/// Time for which the store is away.
const STORE_AWAY: Duration = Duration::from_millis(300);
/// Time for which the instances are down.
const INSTANCES_DOWN: Duration = Duration::from_millis(560);
/// Time with traffic after it.
const AFTER: Duration = Duration::from_secs(8);
const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// The manifest: one service of model servers, and a route as the sheet's `line-rewrite`.
fn manifest() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"rewrite","host":"booth.example","pathPrefix":"/rewrite/",
        "kind":"stream","timeoutMs":15000,"goalMs":400,"priority":0,"service":"tekstur","attempts":2,
        "public":false,"sticky":false,"resumable":true,"gapGoalMs":150}}],
        "services":[{{"name":"tekstur","healthPath":"/healthz","maxConns":610}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
        "tenants":[{{"name":"huka270","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

#[tokio::main]
async fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create());
    let directory = TemporaryDirectory::create();
    let store = Arc::new(ServersStore::start().await);
    store.store.put_manifest(&manifest());
    let mut servers = Vec::new();
    for number in 0..OLD_SERVERS {
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()].0);
        servers.push(ModelServer::start(&id, "tekstur", zone, "v1", &store, &record).await);
    }
    let ports: Vec<Ports> = ZONES.iter().map(|_| Ports::free()).collect();
    let mut instances = start_instances(&directory, &ports, store.store.address);
    for it in &mut instances {
        it.wait_until_ready().await;
    }
    let fronts: Vec<SocketAddr> = instances.iter().map(|it| it.front).collect();
    sleep(COPY_AFTER).await;
    let copy = store.store.copy();
    record.line("the copy is made");
    sleep(ROLLOUT_AFTER).await;
    for number in OLD_SERVERS..OLD_SERVERS + NEW_SERVERS {
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()].0);
        servers.push(ModelServer::start(&id, "tekstur", zone, "v2", &store, &record).await);
    }
    let drill = Instant::now() + DRILL_AFTER;
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let mut fronts = fronts.clone();
        fronts.rotate_left(client % ports.len());
        let (record, has_ended) = (Arc::clone(&record), Arc::clone(&has_ended));
        clients.spawn(run_client(client, fronts, record, has_ended));
    }
    sleep_until(drill).await;
    if has_trouble {
        store.set_away(true);
        instances.clear();
        record.line("the store is away, and all instances are killed");
        sleep(STORE_AWAY).await;
        store.store.restore(&copy);
        store.set_away(false);
        // The operator writes again what it wrote.
        store.store.put_manifest(&manifest());
        record.line("the store is back from the copy");
        sleep(INSTANCES_DOWN - STORE_AWAY).await;
        instances = start_instances(&directory, &ports, store.store.address);
        record.line("the instances start again");
    }
    sleep(AFTER).await;
    has_ended.store(true, Ordering::Relaxed);
    let streams: Vec<Stream> = clients.join_all().await.into_iter().flatten().collect();
    drop(instances);
    judge(&streams, &record)
}

fn start_instances(
    directory: &TemporaryDirectory,
    ports: &[Ports],
    store: SocketAddr,
) -> Vec<Instance> {
    let seeds: Vec<SocketAddr> = ports.iter().map(|it| it.control).collect();
    let start = |(ports, zone): (&Ports, (&str, &str))| {
        Instance::start(directory, &format!("front-{}-1", zone.0), zone, *ports, store, &seeds)
    };
    ports.iter().zip(ZONES).map(start).collect()
}

/// Requests one stream after the other.
async fn run_client(
    client: usize,
    fronts: Vec<SocketAddr>,
    record: Arc<Record>,
    has_ended: Arc<AtomicBool>,
) -> Vec<Stream> {
    let mut streams = Vec::new();
    // Clients do not start in step.
    sleep(Duration::from_millis(1_000 + 50 * client as u64)).await;
    while !has_ended.load(Ordering::Relaxed) {
        let name = format!("c{client}-s{}", streams.len());
        streams.push(run_stream(&name, "/rewrite/line", KEY, &fronts, &record).await);
    }
    streams
}

fn judge(streams: &[Stream], record: &Record) -> ExitCode {
    let count = |condition: fn(&Stream) -> bool| streams.iter().filter(|it| condition(it)).count();
    let mixed = count(Stream::is_mixed);
    record.print(&format!(
        "{} streams, {} whole, {} taken up by their clients, {} refused at least once",
        streams.len(),
        count(Stream::is_whole),
        count(|it| it.taken_up > 0),
        count(|it| it.refused > 0),
    ));
    record.print(&format!(
        "{mixed} streams hold events of two software versions; the rule allows {ALLOWED_MIXED}"
    ));
    if count(Stream::is_whole) * 2 < streams.len() {
        record.print("the case did not run: under half of the streams were whole");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(mixed > ALLOWED_MIXED))
}

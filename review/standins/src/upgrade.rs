//! While the store is away, a server crashes and is back soon under its id and address, with the next
//! version of its software. Clients take their streams up again.
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
use tokio::{task::JoinSet, time::sleep};

/// Streams that the rule allows to hold events of two versions.
const ALLOWED_MIXED: usize = 2;
/// Servers of the service, as on the users' sheet.
const SERVERS: usize = 12;
/// Instances in each zone.
const INSTANCES_PER_ZONE: usize = 2;
/// Clients that have one stream each at any time.
const CLIENTS: usize = 150;
/// Time with traffic before the crash.
const BEFORE: Duration = Duration::from_secs(8);
/// Time for which the store is away.
const STORE_AWAY: Duration = Duration::from_millis(4_500);
/// Time from then to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(1_000);
/// Time for which the server that crashed is away.
const AWAY: Duration = Duration::from_millis(360);
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
    // A rollout is on its way: one server of twelve still runs the older software.
    let mut servers = Vec::new();
    for (number, version) in enumerate_versions() {
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()].0);
        servers.push(ModelServer::start(&id, "tekstur", zone, version, &store, &record).await);
    }
    let ports: Vec<Ports> = (0..ZONES.len() * INSTANCES_PER_ZONE).map(|_| Ports::free()).collect();
    let seeds: Vec<SocketAddr> = ports.iter().take(3).map(|it| it.control).collect();
    let mut instances: Vec<Instance> = ports
        .iter()
        .enumerate()
        .map(|(number, ports)| {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("front-{}-{}", zone.0, number / ZONES.len() + 1);
            Instance::start(&directory, &name, zone, *ports, store.store.address, &seeds)
        })
        .collect();
    for it in &mut instances {
        it.wait_until_ready().await;
    }
    let fronts: Vec<SocketAddr> = instances.iter().map(|it| it.front).collect();
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let (fronts, record) = (rotated(&fronts, client), Arc::clone(&record));
        clients.spawn(run_client(client, fronts, record, Arc::clone(&has_ended)));
    }
    sleep(BEFORE).await;
    if has_trouble {
        // With `STORE=serves` the crash is the only disruption.
        let store_stays = env::var("STORE").as_deref() == Ok("serves");
        record.line(if store_stays { "the store serves on" } else { "the store is away" });
        store.set_away(!store_stays);
        sleep(CRASH_AFTER).await;
        servers[0].crash();
        sleep(AWAY).await;
        servers[0].start_again("v2").await;
        sleep(STORE_AWAY - CRASH_AFTER - AWAY).await;
        record.line("the store is back");
        store.set_away(false);
    }
    sleep(AFTER).await;
    has_ended.store(true, Ordering::Relaxed);
    let streams: Vec<Stream> = clients.join_all().await.into_iter().flatten().collect();
    judge(&streams, &record)
}

/// Numbers of the servers, and the software that each runs at first.
fn enumerate_versions() -> impl Iterator<Item = (usize, &'static str)> {
    (0..SERVERS).map(|number| (number, if number == 0 { "v1" } else { "v2" }))
}

fn rotated(fronts: &[SocketAddr], by: usize) -> Vec<SocketAddr> {
    let mut fronts = fronts.to_vec();
    let count = fronts.len();
    fronts.rotate_left(by % count);
    fronts
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
    sleep(Duration::from_millis(20 * client as u64)).await;
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

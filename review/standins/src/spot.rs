//! A server says that it leaves and is gone two seconds later, with streams at work that have neither a
//! length nor chunks.
//!
//! Rule ORDER: no stream ends as complete before its last piece.

mod instance;
mod record;
mod support;

use std::{
    env,
    io::{BufRead, BufReader, ErrorKind},
    net::SocketAddr,
    process::{Child, Command, ExitCode, Stdio},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime},
};

use instance::{Instance, Ports, TemporaryDirectory, ZONES};
use record::Record;
use support::store::FakeStore;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// The program of a server.
const SERVER: &str = "target/review/release/unframed-server";
/// Number of servers.
const SERVERS: usize = 8;
/// Number of events of each stream, as in the server.
const EVENTS: usize = 50;
/// Clients that have one stream each at any time.
const CLIENTS: usize = 96;
/// Time limit of a request, as on the users' sheet.
const TIME_LIMIT: Duration = Duration::from_secs(6);
/// `heartbeatMs` of the pages.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time with traffic before the server says that it leaves.
const BEFORE: Duration = Duration::from_secs(8);
/// Time from then until it is gone.
const NOTICE: Duration = Duration::from_secs(2);
/// Time with traffic after that.
const AFTER: Duration = Duration::from_secs(3);
const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// The manifest: one service, and a route of streams that may not be resumed. With `KIND`, for instance
/// `idempotent`, the route is of that kind, so that its answers are no streams to the instance.
fn manifest() -> String {
    let kind = env::var("KIND").unwrap_or_else(|_| "stream".to_owned());
    format!(
        r#"{{"version":1,"routes":[{{"name":"align","host":"booth.example","pathPrefix":"/align/",
        "kind":"{kind}","timeoutMs":6000,"goalMs":600,"priority":1,"service":"tekstur","attempts":1,
        "public":false,"sticky":false,"resumable":false,"gapGoalMs":250}}],
        "services":[{{"name":"tekstur","healthPath":"/healthz","maxConns":610}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
        "tenants":[{{"name":"huka270","apiKeys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// A server's process; killed on drop.
struct Server {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    child: Child,
    is_leaving: AtomicBool,
    is_gone: AtomicBool,
}

impl Server {
    fn start(number: usize) -> Server {
        let id = format!("i-{number}");
        let mut child = Command::new(SERVER)
            .arg(&id)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the server starts");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output is piped");
        BufReader::new(output).read_line(&mut line).expect("it prints its address");
        let address = line.trim().parse().expect("an address");
        let zone = ZONES[number % ZONES.len()].0;
        let (is_leaving, is_gone) = Default::default();
        Server { id, address, zone, child, is_leaving, is_gone }
    }

    fn report(&self, store: &FakeStore, born: u128, seq: usize) {
        if self.is_gone.load(Ordering::Relaxed) {
            return;
        }
        let is_leaving = self.is_leaving.load(Ordering::Relaxed);
        let state = if is_leaving { "draining" } else { "ready" };
        let Server { id, address, zone, .. } = self;
        let entry = format!(
            r#"{{"service":"tekstur","address":"{address}","zone":"{zone}","version":"v1","slots":128,
            "state":"{state}","coldLeftMs":0,"seq":{seq},"born":{born}}}"#
        );
        store.put("keyed.servers", id, Some(entry));
    }

    /// Ends the process at once (SIGKILL).
    fn kill(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        let killed =
            Command::new("kill").args(["-s", "KILL", &self.child.id().to_string()]).status();
        assert!(killed.is_ok_and(|it| it.success()), "the server is killed");
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// How a stream ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// All events, and the channel ended in order.
    Whole,
    /// The channel ended in order, although events are missing.
    CutButComplete,
    /// The channel was reset, or the final chunk is missing.
    BrokenOff,
    /// Another status than 200, or no channel.
    Failed,
}

#[tokio::main]
async fn main() -> ExitCode {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let says_so = env::var("NOTICE").as_deref() != Ok("0");
    let record = Arc::new(Record::create());
    let directory = TemporaryDirectory::create();
    let store = Arc::new(FakeStore::start().await);
    store.put_manifest(&manifest());
    let servers: Arc<Vec<Server>> = Arc::new((0..SERVERS).map(Server::start).collect());
    tokio::spawn(report(Arc::clone(&servers), Arc::clone(&store)));
    sleep(Duration::from_millis(50)).await;
    let ports: Vec<Ports> = ZONES.iter().map(|_| Ports::free()).collect();
    let seeds: Vec<SocketAddr> = ports.iter().map(|it| it.control).collect();
    let mut instances: Vec<Instance> = ports
        .iter()
        .zip(ZONES)
        .map(|(ports, zone)| {
            let name = format!("front-{}-1", zone.0);
            Instance::start(&directory, &name, zone, *ports, store.address, &seeds)
        })
        .collect();
    for it in &mut instances {
        it.wait_until_ready().await;
    }
    let has_ended = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let front = instances[client % instances.len()].front;
        clients.spawn(run_client(client, front, Arc::clone(&record), Arc::clone(&has_ended)));
    }
    sleep(BEFORE).await;
    if has_trouble {
        if says_so {
            servers[0].is_leaving.store(true, Ordering::Relaxed);
            servers[0].report(&store, 1_700_000_000_000, 1_000_000);
            record.line("server i-0 reports that it is draining");
        }
        sleep(NOTICE).await;
        servers[0].kill();
        record.line("server i-0 is gone");
        // Nobody removes the entry of a process that was killed before it has missed three heartbeats.
        sleep(HEARTBEAT * 3).await;
        store.put("keyed.servers", &servers[0].id, None);
    }
    sleep(AFTER).await;
    has_ended.store(true, Ordering::Relaxed);
    let ends: Vec<End> = clients.join_all().await.into_iter().flatten().collect();
    judge(&ends, &record)
}

/// Writes the servers' entries at each heartbeat.
async fn report(servers: Arc<Vec<Server>>, store: Arc<FakeStore>) {
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
    for seq in 1.. {
        for it in servers.iter() {
            it.report(&store, born.as_millis(), seq);
        }
        sleep(HEARTBEAT).await;
    }
}

/// Requests one stream after the other, each on a new channel.
async fn run_client(
    client: usize,
    front: SocketAddr,
    record: Arc<Record>,
    has_ended: Arc<AtomicBool>,
) -> Vec<End> {
    let mut ends = Vec::new();
    // Clients do not start in step.
    sleep(Duration::from_millis(50 * client as u64)).await;
    while !has_ended.load(Ordering::Relaxed) {
        let id = format!("c{client}-s{}", ends.len());
        let (end, text) = run_stream(&id, front).await;
        record.line(&format!("client {id}: {text}"));
        ends.push(end);
        if end != End::Whole {
            sleep(Duration::from_millis(200)).await;
        }
    }
    ends
}

async fn run_stream(id: &str, front: SocketAddr) -> (End, String) {
    let Ok(mut stream) = TcpStream::connect(front).await else {
        return (End::Failed, "no channel".to_owned());
    };
    let limit_ms = TIME_LIMIT.as_millis();
    let request = format!(
        "POST /align/scene HTTP/1.1\r\nHost: booth.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Deadline-Ms: {limit_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (End::Failed, "no channel".to_owned());
    }
    let mut bytes = Vec::new();
    let channel_end = loop {
        match timeout(TIME_LIMIT, stream.read_buf(&mut bytes)).await {
            Ok(Ok(0)) => break "ended in order",
            Ok(Ok(_)) => {}
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionReset => break "was reset",
            Ok(Err(_)) | Err(_) => break "failed",
        }
        // A chunked answer ends on a channel that stays open.
        if bytes.ends_with(b"\r\n0\r\n\r\n") {
            break "had its final chunk";
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.lines().next().unwrap_or("").to_owned();
    let is_chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
    let events = body.matches("id: ").count();
    let by = body.split(" by ").nth(1).and_then(|it| it.lines().next()).unwrap_or("nobody");
    let is_ended = match channel_end {
        "ended in order" => !is_chunked,
        end => end == "had its final chunk",
    };
    let end = match (status.starts_with("HTTP/1.1 200"), is_ended, events == EVENTS) {
        (false, _, _) => End::Failed,
        (true, true, true) => End::Whole,
        (true, true, false) => End::CutButComplete,
        (true, false, _) => End::BrokenOff,
    };
    let text = format!(
        "{status}, {events} of {EVENTS} events by {by}; the channel {channel_end}: {end:?}"
    );
    (end, text)
}

fn judge(ends: &[End], record: &Record) -> ExitCode {
    let count = |end: End| ends.iter().filter(|it| **it == end).count();
    let cut = count(End::CutButComplete);
    record.print(&format!(
        "{} streams: {} whole, {} broken off visibly, {} failed",
        ends.len(),
        count(End::Whole),
        count(End::BrokenOff),
        count(End::Failed)
    ));
    record.print(&format!("{cut} streams ended as complete before their last event; none may"));
    if count(End::Whole) * 2 < ends.len() {
        record.print("the case did not run: under half of the streams were whole");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(cut > 0))
}

//! Servers of one service that stream events, each naming the software that wrote it, and their callers.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    client::Call,
    http::Message,
    manifest::{Route, manifest},
    record::Record,
    server::{Entry, Handler, Server, chunk, stream_head, write},
    store::Store,
};

/// Key of the only tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// Interval of the servers' heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Events of a stream, and those after which a server that is told so falls silent once.
pub const EVENTS: usize = 30;
const EVENTS_BEFORE_SILENCE: usize = 5;
/// A sound server may fall silent for a second or so.
const SILENCE: Duration = Duration::from_millis(1_100);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

struct Node {
    id: String,
    version: String,
    born: u64,
    address: SocketAddr,
    process: Option<Server>,
    falls_silent: Arc<AtomicBool>,
    /// It reaches the store, and sends heartbeats.
    beats: bool,
    /// When the store took its entry last; `None` once the entry was removed.
    beat_at: Option<Instant>,
}

/// The servers of the service.
#[derive(Clone)]
pub struct Fleet {
    store: Store,
    nodes: Arc<Mutex<Vec<Node>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

/// Sends a stream from the event after `Last-Event-Id` on.
fn respond(
    version: &str,
    falls_silent: &AtomicBool,
    request: &Message,
    stream: &TcpStream,
) -> bool {
    let last: usize = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    if !write(stream, &stream_head(request)) {
        return false;
    }
    for number in last + 1..=EVENTS {
        let event = format!("id: {number}\ndata: {version}-{number}\n\n");
        if !write(stream, &chunk(&event)) {
            return false;
        }
        let is_silent =
            last == 0 && number == EVENTS_BEFORE_SILENCE && falls_silent.load(Ordering::Relaxed);
        sleep(if is_silent { SILENCE } else { EVENT_INTERVAL });
    }
    write(stream, "0\r\n\r\n")
}

impl Node {
    fn start(&mut self) {
        let (version, silent) = (self.version.clone(), Arc::clone(&self.falls_silent));
        let handler: Handler =
            Arc::new(move |request, stream| respond(&version, &silent, request, stream));
        let process = Server::start(self.address, &self.id, handler);
        self.address = process.address;
        self.process = Some(process);
    }

    fn write_entry(&mut self, store: &Store, seq: u64) {
        let entry = Entry {
            service: "tekstur",
            address: self.address,
            version: &self.version,
            slots: 128,
            born: self.born,
            seq,
        };
        store.put("keyed.servers", &self.id, Some(&entry.json()));
        self.beat_at = Some(Instant::now());
    }

    /// Removes the entry after three missed heartbeats, as the platform does.
    fn expire_entry(&mut self, store: &Store) {
        if self.beat_at.is_some_and(|it| it.elapsed() >= 3 * HEARTBEAT) {
            store.put("keyed.servers", &self.id, None);
            self.beat_at = None;
        }
    }
}

impl Fleet {
    /// Starts servers of software v1 with heartbeats, and writes the manifest.
    pub fn start(store: &Store, servers: usize) -> Fleet {
        let route = Route {
            name: "rewrite",
            kind: "stream",
            service: "tekstur",
            timeout_ms: 15_000,
            goal_ms: 400,
            attempts: 2,
            more: r#","sticky":true,"resumable":true,"gapGoalMs":150"#,
        };
        let tenants = format!(r#"{{"name":"huka270","apiKeys":["{KEY}"],"priority":1}}"#);
        store.put_manifest(&manifest(1, &[route], &tenants));
        let node = |at: usize| {
            let mut node = Node {
                id: format!("i-{at}"),
                version: "v1".to_owned(),
                born: unix_ms(),
                address: ([127, 0, 0, 1], 0).into(),
                process: None,
                falls_silent: Arc::default(),
                beats: true,
                beat_at: None,
            };
            node.start();
            node.write_entry(store, 1);
            node
        };
        let nodes = Arc::new(Mutex::new((0..servers).map(node).collect::<Vec<_>>()));
        let fleet = Fleet { store: store.clone(), nodes };
        let beating = fleet.clone();
        thread::spawn(move || {
            for seq in 2.. {
                for at in 0..servers {
                    sleep(HEARTBEAT / servers as u32);
                    let mut nodes = beating.nodes.lock().expect("not poisoned");
                    if nodes[at].beats && nodes[at].process.is_some() {
                        nodes[at].write_entry(&beating.store, seq);
                    }
                    nodes.iter_mut().for_each(|it| it.expire_entry(&beating.store));
                }
            }
        });
        fleet
    }

    /// Whether a server falls silent once in each stream that begins there.
    pub fn set_silent(&self, at: usize, falls_silent: bool) {
        let nodes = self.nodes.lock().expect("not poisoned");
        nodes[at].falls_silent.store(falls_silent, Ordering::Relaxed);
    }

    /// Ends a server's process.
    pub fn end(&self, at: usize) {
        let process = self.nodes.lock().expect("not poisoned")[at].process.take();
        process.expect("it runs").end();
    }

    /// Starts a server again with other software, under its id and address. It is in the list before it
    /// accepts a connection, if it reaches the store.
    pub fn start_again(&self, at: usize, version: &str) {
        let mut nodes = self.nodes.lock().expect("not poisoned");
        let node = &mut nodes[at];
        (node.version, node.born) = (version.to_owned(), unix_ms());
        if node.beats {
            node.write_entry(&self.store, 1);
        }
        node.start();
    }

    /// Cuts a server off from the store, or heals that.
    pub fn cut_from_store(&self, at: usize, is_cut: bool) {
        let mut nodes = self.nodes.lock().expect("not poisoned");
        nodes[at].beats = !is_cut;
        if !is_cut {
            nodes[at].write_entry(&self.store, 1);
        }
    }
}

/// Number of events of an answer by the software that wrote them.
pub fn versions(answer: &Message) -> BTreeMap<String, usize> {
    let mut versions = BTreeMap::new();
    for line in answer.text().lines() {
        if let Some(data) = line.strip_prefix("data: ") {
            let version = data.split('-').next().unwrap_or("").to_owned();
            *versions.entry(version).or_insert(0) += 1;
        }
    }
    versions
}

/// Sends requests at once; returns their ids and answers.
pub fn send_streams(
    record: &Arc<Record>,
    listen: SocketAddr,
    name: &str,
    count: usize,
) -> Vec<(String, Message)> {
    let send = |at: usize| {
        let (record, id) = (Arc::clone(record), format!("{name}-{at}"));
        thread::spawn(move || {
            let mut call = Call::new("POST", "/rewrite/a", &id, KEY);
            call.deadline_ms = 15_000;
            let own_part = 0x91bd_0000u32 + at as u32 * 7919;
            call.headers = vec![
                ("X-Model".to_owned(), "m".to_owned()),
                ("X-Token-Count".to_owned(), "720,90".to_owned()),
                ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:120,{own_part:x}:600")),
            ];
            call.body = format!("rewrite line {at}").into_bytes();
            let answer = call.send(listen).unwrap_or_default();
            record.line(&format!(
                "{id}: status {}, complete {}, events by version {:?}",
                answer.status(),
                answer.is_complete,
                versions(&answer)
            ));
            (id, answer)
        })
    };
    let callers: Vec<_> = (0..count).map(send).collect();
    callers.into_iter().filter_map(|it| it.join().ok()).collect()
}

/// Streams that hold events of two software versions, as violations of ORDER.
pub fn mixed(answers: &[(String, Message)]) -> Vec<String> {
    let mixed = answers.iter().filter(|(_, answer)| versions(answer).len() > 1);
    mixed
        .map(|(id, it)| format!("ORDER {id}: events of {:?} in one answer", versions(it)))
        .collect()
}

//! The actor that asks endpoints of its zone for their load.
//!
//! Each endpoint is watched by few instances of its zone, chosen by rendezvous
//! hashing; the others hear of it by gossip.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, header::HOST};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use serde::Deserialize;
use tanagergauge_core::{
    Name,
    reading::{Reading, Subject, Tag},
    rendezvous,
    sheet::Endpoint,
};
use tokio::{sync::watch, time::timeout};

use crate::{
    clock::Clock, collect::collect, fleet_view::FleetView, meter::Meter, peers, pool::Pool,
    view::View,
};

/// Instances that watch an endpoint.
pub const WATCHERS: usize = 2;
/// Time between two questions of one watcher to one endpoint, in milliseconds.
const POLL_MS: u64 = 2000;
/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Answers in a row that an endpoint is back, before it is believed.
const RETURN_POLLS: u32 = 5;
/// Loads up to this are published as they are, in requests.
const EXACT_LOAD: u32 = 8;

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
    /// Name of this instance.
    pub name: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// The sheet in force.
    pub sheet: watch::Receiver<Option<Arc<View>>>,
    /// The fleet.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Told of what was seen.
    pub peers: ActorRef<peers::Message>,
    /// Told of loads.
    pub on_load: OnLoad,
    /// Counts the traffic.
    pub meter: Arc<Meter>,
    /// Monotonic time.
    pub clock: Clock,
}

/// Told of a load that an endpoint reported.
#[derive(Clone)]
pub struct OnLoad(pub Arc<LoadListener>);

/// What is called with an endpoint's name and its report.
pub type LoadListener = dyn Fn(&Name, LoadReport) + Send + Sync;

impl std::fmt::Debug for OnLoad {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OnLoad")
    }
}

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// When this was true, in milliseconds of the endpoint's Unix time.
    pub as_of_unix_ms: u64,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// Time to look at what is due.
    Tick,
    /// An endpoint answered.
    Reported(Name, LoadReport),
}

/// The actor that asks endpoints for their load.
#[derive(Debug)]
pub struct Watcher;

/// What the actor keeps.
#[derive(Debug)]
pub struct State {
    own: Arguments,
    pool: Arc<Pool>,
    /// Endpoints that this instance watches.
    watched: HashMap<Name, Watched>,
    /// What the assignment was worked out from.
    basis: Basis,
}

#[derive(Debug)]
struct Watched {
    address: SocketAddr,
    due_ms: u64,
    /// Answers in a row that it is not leaving.
    live_polls: u32,
}

#[derive(Debug, Default, PartialEq)]
struct Basis {
    sheet_version: Option<u64>,
    zone_peers: Vec<Name>,
}

impl Actor for Watcher {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        // The handle is not needed: the interval ends with the actor.
        drop(myself.send_interval(TICK, || Message::Tick));
        let pool = Arc::new(Pool::metered(Arc::clone(&arguments.meter)));
        Ok(State { own: arguments, pool, watched: HashMap::new(), basis: Basis::default() })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Tick => {
                state.assign();
                state.poll_due(&myself);
            }
            Message::Reported(name, report) => state.reported(&name, report),
        }
        Ok(())
    }
}

impl State {
    /// Works out which endpoints this instance watches, if anything changed.
    fn assign(&mut self) {
        let sheet = self.own.sheet.borrow_and_update().clone();
        let Some(sheet) = sheet else { return };
        let fleet = Arc::clone(&self.own.fleet.borrow_and_update());
        let basis =
            Basis { sheet_version: Some(sheet.version), zone_peers: fleet.zone_peers.clone() };
        if basis == self.basis {
            return;
        }
        let now_ms = self.own.clock.now_ms();
        let mut watched = HashMap::new();
        let in_zone = |it: &&Endpoint| it.availability_zone == self.own.availability_zone;
        for endpoint in sheet.sheet.endpoints.iter().filter(in_zone) {
            let peers = basis.zone_peers.iter().map(Name::as_str);
            let rank = rendezvous::rank(&endpoint.name, &self.own.name, peers);
            if rank >= WATCHERS {
                continue;
            }
            let kept = self.watched.remove(&endpoint.name);
            let kept = kept.filter(|it| it.address == endpoint.address);
            let fresh = || Watched::new(endpoint, rank, now_ms);
            watched.insert(endpoint.name.clone(), kept.unwrap_or_else(fresh));
        }
        self.watched = watched;
        self.basis = basis;
    }

    fn poll_due(&mut self, myself: &ActorRef<Message>) {
        let now_ms = self.own.clock.now_ms();
        for (name, watched) in &mut self.watched {
            if watched.due_ms > now_ms {
                continue;
            }
            watched.due_ms = now_ms + POLL_MS;
            self.own.meter.message();
            let pool = Arc::clone(&self.pool);
            let (name, address, myself) = (name.clone(), watched.address, myself.clone());
            tokio::spawn(async move {
                if let Some(report) = ask(&pool, address).await {
                    // The actor is gone only when the process stops.
                    let _ = myself.send_message(Message::Reported(name, report));
                }
            });
        }
    }

    fn reported(&mut self, name: &Name, report: LoadReport) {
        (self.own.on_load.0)(name, report);
        let Some(watched) = self.watched.get_mut(name) else { return };
        let was_leaving = self.own.fleet.borrow().is_leaving(name);
        watched.live_polls = if report.leaving { 0 } else { watched.live_polls + 1 };
        let is_back = was_leaving && watched.live_polls >= RETURN_POLLS;
        let load = quantize(report.running.saturating_add(report.waiting));
        let subject = Subject::EndpointLoad(Tag::of(name));
        self.tell(peers::Message::Stage(Reading { subject, value: load }));
        if report.leaving && !was_leaving {
            self.tell(peers::Message::EndpointLeft(name.clone()));
        } else if is_back {
            self.tell(peers::Message::EndpointReturned(name.clone()));
        }
    }

    fn tell(&self, message: peers::Message) {
        // The actor is gone only when the process stops.
        let _ = self.own.peers.send_message(message);
    }
}

impl Watched {
    /// Two watchers ask in turn, and each spreads its questions over time.
    fn new(endpoint: &Endpoint, rank: usize, now_ms: u64) -> Watched {
        let spread_ms = rendezvous::weight("poll", &endpoint.name) % POLL_MS;
        let turn_ms = rank as u64 * POLL_MS / WATCHERS as u64;
        let due_ms = now_ms + (spread_ms + turn_ms) % POLL_MS;
        Watched { address: endpoint.address, due_ms, live_polls: 0 }
    }
}

/// A load in steps of about an eighth, so that small changes need no message.
pub fn quantize(load: u32) -> u32 {
    if load <= EXACT_LOAD {
        return load;
    }
    let step = 1 << load.ilog2().saturating_sub(3);
    load / step * step
}

async fn ask(pool: &Pool, address: SocketAddr) -> Option<LoadReport> {
    let mut connection = pool.get(address, CONNECT_TIMEOUT).await.ok()?;
    let request = Request::get("/load")
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let exchange = async {
        let response = connection.send_request(request).await.ok()?;
        collect(response.into_body(), MAX_ANSWER_BYTES).await.ok()
    };
    let body = timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()?;
    pool.put(address, connection);
    serde_json::from_slice(&body).ok()
}

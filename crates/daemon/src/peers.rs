//! The actor that gossips with peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagergauge_core::{
    Member, MemberState, Name,
    fact::Fact,
    gossip::{Gossip, MAX_MESSAGE_FACTS, Now, Pull, PullResponse, Push, ROUND_MS},
    reading::{Reading, Tag},
    record::Snapshot,
};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::{Clock, unix_ms},
    fleet_view::FleetView,
    follower,
    journal::{Event, EventKind},
    meter::Meter,
    platform::{List, ListItem, ListKind, ListState, Platform},
    rpc::RpcClient,
    shared::Shared,
    view::View,
};

/// Asks a peer for what the sender lacks: [`Pull`], answered by [`PullResponse`].
pub const PULL: &str = "peer_pull";
/// Tells a peer what cannot wait: [`Push`], answered by nothing.
pub const PUSH: &str = "peer_push";
/// Asks a peer for its copy of the configuration: nothing, answered by `Option<Snapshot>`.
pub const SHEET: &str = "peer_sheet";

/// Longest wait for a peer's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest wait for a peer's copy of the configuration.
const SHEET_TIMEOUT: Duration = Duration::from_millis(10_000);
/// How long the log may take to bring a sheet that a peer has already, in milliseconds.
const SHEET_LAG_MS: u64 = 2500;
/// Bytes of the platform's list that an instance reads a second, on average.
const LIST_BYTES_PER_S: u64 = 4_000;
/// About what an entry of the list takes, in bytes.
const LIST_ENTRY_BYTES: u64 = 160;
/// Shortest time between two reads of the list, in milliseconds.
const LIST_MIN_MS: u64 = 1_000;

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
    /// Name of this instance.
    pub name: Name,
    /// Its record.
    pub member: Member,
    /// Addresses to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Calls peers.
    pub rpc: Arc<RpcClient>,
    /// Counts processor time.
    pub meter: Arc<Meter>,
    /// The platform's list.
    pub platform: Arc<Platform>,
    /// Where copies of the configuration go.
    pub follower: ActorRef<follower::Message>,
    /// The sheet in force.
    pub sheet: watch::Receiver<Option<Arc<View>>>,
    /// Where the view of the fleet goes.
    pub view: watch::Sender<Arc<FleetView>>,
    /// Told of facts that are news.
    pub on_news: OnNews,
    /// What requests share: events and time.
    pub shared: Arc<Shared>,
}

/// Told of a fact that is news.
#[derive(Clone)]
pub struct OnNews(pub Arc<dyn Fn(&Fact) + Send + Sync>);

impl std::fmt::Debug for OnNews {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("OnNews")
    }
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// Time for a round.
    Round,
    /// A peer asks.
    Pull(Pull, oneshot::Sender<PullResponse>),
    /// A peer tells what cannot wait.
    Push(Push),
    /// A peer answered.
    Answered(SocketAddr, PullResponse),
    /// An endpoint was seen to leave.
    EndpointLeft(Name),
    /// An endpoint was seen to be back for a while.
    EndpointReturned(Name),
    /// Something was measured.
    Stage(Reading),
    /// Something was found that concerns the fleet.
    Learn(Fact),
    /// This instance leaves, or is gone; the reply comes when peers were told.
    State(MemberState, oneshot::Sender<()>),
    /// The platform's list was read, or not.
    Listed(Option<List>),
}

/// The actor that gossips with peers.
#[derive(Debug)]
pub struct Peers;

/// What the actor keeps.
#[derive(Debug)]
pub struct State {
    gossip: Gossip,
    /// Addresses of the settings and of the platform's list.
    seeds: Vec<SocketAddr>,
    /// A sheet that a peer has and this instance lacks.
    lag: Option<Lag>,
    /// When the list is read next, on this instance's clock.
    list_due_ms: u64,
    /// Number of entries of the newest list that cannot be read.
    unreadable_entries: usize,
    own: Arguments,
}

#[derive(Clone, Copy, Debug)]
struct Lag {
    version: u64,
    since_ms: u64,
    peer: SocketAddr,
}

impl Actor for Peers {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let now = now(&arguments.shared.clock);
        let gossip = Gossip::new(arguments.name.clone(), arguments.member.clone(), now);
        let seeds = arguments.seeds.clone();
        myself.send_message(Message::Round)?;
        // The handle is not needed: the interval ends with the actor.
        drop(myself.send_interval(Duration::from_millis(ROUND_MS), || Message::Round));
        Ok(State {
            gossip,
            seeds,
            lag: None,
            list_due_ms: 0,
            unreadable_entries: 0,
            own: arguments,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let started = Instant::now();
        state.handle(&myself, message);
        state.own.meter.busy(started.elapsed());
        Ok(())
    }
}

impl State {
    fn handle(&mut self, myself: &ActorRef<Message>, message: Message) {
        let now = now(&self.own.shared.clock);
        match message {
            Message::Round => self.round(myself, now),
            Message::Pull(pull, reply) => {
                self.note_sheet(pull.sheet_version, pull.member.control_address, now);
                // A peer that stopped waiting asks again.
                let _ = reply.send(self.gossip.respond(&pull, now, rand::random()));
            }
            Message::Push(push) => {
                let news = self.gossip.merge_facts(&push.facts, now);
                self.spread(&news, false, now);
            }
            Message::Answered(peer, answer) => self.answered(myself, peer, &answer, now),
            Message::EndpointLeft(name) => {
                let fact = self.gossip.mark_endpoint_leaving(&name, now);
                self.spread(fact.as_slice(), true, now);
            }
            Message::EndpointReturned(name) => {
                let fact = self.gossip.mark_endpoint_returned(&name, now);
                self.spread(fact.as_slice(), true, now);
            }
            Message::Stage(reading) => self.gossip.stage(reading),
            Message::Learn(fact) => {
                if self.gossip.add_fact(&fact, now) {
                    self.spread(&[fact], true, now);
                }
            }
            Message::State(state, reply) => self.set_state(state, reply, now),
            Message::Listed(list) => self.listed(myself, list, now),
        }
    }

    fn round(&mut self, myself: &ActorRef<Message>, now: Now) {
        self.read_sheet();
        self.gossip.begin_round(now);
        for target in self.gossip.targets(&self.seeds, now, rand::random) {
            self.pull(myself, target);
        }
        self.fetch_sheet(now);
        self.read_list(myself, now);
        self.publish(now);
    }

    /// Takes in what the sheet in force says of endpoints.
    fn read_sheet(&mut self) {
        let sheet = self.own.sheet.borrow_and_update().clone();
        let Some(sheet) = sheet else { return };
        if self.gossip.sheet_version() == Some(sheet.version) {
            return;
        }
        self.gossip.set_sheet_version(sheet.version);
        let endpoints = &sheet.sheet.endpoints;
        let names: std::collections::HashSet<&str> =
            endpoints.iter().map(|it| it.name.as_str()).collect();
        self.gossip.retain_endpoints(|it| names.contains(it));
        let zone = &self.gossip.member().availability_zone;
        let in_zone = endpoints.iter().filter(|it| it.availability_zone == *zone);
        let models = in_zone
            .filter_map(|it| Some((Tag::of(&it.name), Tag::of(it.serves.first()?))))
            .collect();
        self.gossip.set_models(models);
    }

    fn pull(&self, myself: &ActorRef<Message>, peer: SocketAddr) {
        let pull = self.gossip.pull(peer);
        let rpc = Arc::clone(&self.own.rpc);
        let myself = myself.clone();
        tokio::spawn(async move {
            match rpc.call::<Pull, PullResponse>(peer, PULL, &pull, ANSWER_TIMEOUT).await {
                // The actor is gone only when the process stops.
                Ok(answer) => drop(myself.send_message(Message::Answered(peer, answer))),
                Err(error) => tracing::debug!(%peer, %error, "pulling from a peer failed"),
            }
        });
    }

    fn answered(
        &mut self,
        myself: &ActorRef<Message>,
        peer: SocketAddr,
        answer: &PullResponse,
        now: Now,
    ) {
        let news = self.gossip.apply_response(answer, now);
        self.note_sheet(answer.sheet_version, peer, now);
        let has_more = answer.is_partial && (!news.is_empty() || answer.facts.is_empty());
        self.spread(&news, false, now);
        if has_more {
            self.pull(myself, peer);
        }
    }

    /// Acts on news, and pushes what cannot wait.
    fn spread(&mut self, news: &[Fact], to_other_zones: bool, now: Now) {
        if news.is_empty() {
            return;
        }
        for fact in news {
            (self.own.on_news.0)(fact);
            self.record(fact);
        }
        self.publish(now);
        let urgent = news.iter().filter(|it| !matches!(it, Fact::Member { .. }));
        let facts: Vec<Fact> = urgent.take(MAX_MESSAGE_FACTS).cloned().collect();
        if !facts.is_empty() {
            let push = Push { facts };
            for target in self.gossip.push_targets(to_other_zones, now, rand::random) {
                tokio::spawn(push_to(Arc::clone(&self.own.rpc), target, push.clone()));
            }
        }
    }

    fn set_state(&mut self, state: MemberState, reply: oneshot::Sender<()>, now: Now) {
        let fact = self.gossip.set_state(state, now);
        let targets = self.gossip.push_targets(true, now, rand::random);
        let push = Push { facts: fact.into_iter().collect() };
        let pushes: Vec<_> = targets
            .into_iter()
            .map(|it| tokio::spawn(push_to(Arc::clone(&self.own.rpc), it, push.clone())))
            .collect();
        tokio::spawn(async move {
            for push in pushes {
                // A push that failed is made good by pulls.
                let _ = push.await;
            }
            let _ = reply.send(());
        });
    }

    fn note_sheet(&mut self, theirs: Option<u64>, peer: SocketAddr, now: Now) {
        let Some(version) = theirs.filter(|_| theirs > self.gossip.sheet_version()) else {
            return;
        };
        let since_ms = self.lag.map_or(now.ms, |it| it.since_ms);
        self.lag = Some(Lag { version, since_ms, peer });
    }

    /// Asks a peer for a sheet that the log does not bring.
    fn fetch_sheet(&mut self, now: Now) {
        let Some(lag) = self.lag else { return };
        let own = self.gossip.sheet_version();
        if own >= Some(lag.version) {
            self.lag = None;
            return;
        }
        if own.is_some() && now.ms.saturating_sub(lag.since_ms) < SHEET_LAG_MS {
            return;
        }
        self.lag = None;
        let rpc = Arc::clone(&self.own.rpc);
        let follower = self.own.follower.clone();
        tokio::spawn(async move {
            let asked = rpc.call::<(), Option<Snapshot>>(lag.peer, SHEET, &(), SHEET_TIMEOUT).await;
            match asked {
                // The actor is gone only when the process stops.
                Ok(Some(copy)) => drop(follower.send_message(follower::Message::Adopt(copy))),
                Ok(None) => (),
                Err(error) => {
                    tracing::warn!(peer = %lag.peer, %error, "a peer's sheet was not had")
                }
            }
        });
    }

    /// Reads the platform's list if nobody else of the zone does.
    fn read_list(&mut self, myself: &ActorRef<Message>, now: Now) {
        if now.ms < self.list_due_ms || self.gossip.rendezvous_rank("list", now) > 0 {
            return;
        }
        self.list_due_ms = now.ms + LIST_MIN_MS;
        let platform = Arc::clone(&self.own.platform);
        let myself = myself.clone();
        tokio::spawn(async move {
            let list = platform.list().await.ok();
            // The actor is gone only when the process stops.
            let _ = myself.send_message(Message::Listed(list));
        });
    }

    fn listed(&mut self, myself: &ActorRef<Message>, list: Option<List>, now: Now) {
        let Some(list) = list else { return };
        let list_bytes = list.entries.len() as u64 * LIST_ENTRY_BYTES;
        self.list_due_ms = now.ms + LIST_MIN_MS.max(list_bytes * 1000 / LIST_BYTES_PER_S);
        let mut listed = Vec::new();
        let mut unreadable = 0;
        for item in &list.entries {
            let ListItem::Entry(entry) = item else {
                unreadable += 1;
                continue;
            };
            match entry.kind {
                ListKind::Instance => listed.extend(entry.control_address),
                // Once an endpoint has left, only its own answers bring it back, so
                // that the list, which lags, must not take it away again.
                ListKind::Endpoint if entry.state == ListState::Leaving => {
                    if self.gossip.facts().epoch(&entry.name).0 == 0 {
                        let fact = self.gossip.mark_endpoint_leaving(&entry.name, now);
                        self.spread(fact.as_slice(), true, now);
                    }
                }
                ListKind::Endpoint => (),
            }
        }
        if std::mem::replace(&mut self.unreadable_entries, unreadable) != unreadable {
            tracing::warn!(unreadable, "entries of the list are passed over");
        }
        for address in &listed {
            let mut members = self.gossip.facts().members().values();
            if !members.any(|it| it.control_address == *address) {
                self.pull(myself, *address);
            }
        }
        self.seeds = self.own.seeds.iter().copied().chain(listed).collect();
        self.seeds.sort();
        self.seeds.dedup();
    }

    fn publish(&self, now: Now) {
        let view = FleetView::new(&self.gossip, now);
        self.own.view.send_replace(Arc::new(view));
    }

    fn record(&self, fact: &Fact) {
        let event = match fact {
            Fact::Endpoint { name, epoch } => {
                let detail = if epoch.is_leaving() { "leaving" } else { "back" };
                let detail = Some(detail.to_owned());
                let endpoint = Some(name.clone());
                Event { endpoint, detail, ..Event::new(EventKind::EndpointLeaving) }
            }
            Fact::Member { name, member } => {
                let detail = Some(format!("{name} is {}", member.state));
                Event { detail, ..Event::new(EventKind::PeerChanged) }
            }
            // Whoever keeps the content from endpoints records why.
            Fact::Quarantine { .. } => return,
        };
        self.own.shared.journal.record(event);
    }
}

async fn push_to(rpc: Arc<RpcClient>, peer: SocketAddr, push: Push) {
    if let Err(error) = rpc.call::<Push, ()>(peer, PUSH, &push, ANSWER_TIMEOUT).await {
        tracing::debug!(%peer, %error, "pushing to a peer failed");
    }
}

fn now(clock: &Clock) -> Now {
    Now { ms: clock.now_ms(), unix_ms: unix_ms() }
}

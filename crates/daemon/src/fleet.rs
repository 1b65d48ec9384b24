//! Starts the parts of an instance that speak with peers, operators and endpoints' loads.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use ractor::{Actor, ActorRef};
use tanagergauge_core::{
    Member, MemberState, Name,
    fact::Fact,
    gossip::PullResponse,
    quarantine::{Fingerprint, Suspicion},
};
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    time::timeout,
};

use crate::{
    clock::unix_ms,
    control::{self, ControlContext, ControlMethod},
    dispatcher,
    fleet_view::FleetView,
    follower, forward,
    instance::StartError,
    keyring::{KeyRing, Rights},
    meter::{Meter, Partner},
    operator::{self, Operator},
    peers::{self, OnNews, Peers},
    platform::Platform,
    rpc::RpcClient,
    shared::Shared,
    trust::{KeyFile, Trust},
    watcher::{self, OnLoad, Watcher},
};

/// Pause between two looks at the file of keys, and between exports of the meters.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(1000);
/// Longest wait for peers to hear that this instance leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What control costs, by partner.
#[derive(Clone, Debug)]
pub struct Meters {
    /// Other instances and operators.
    pub peers: Arc<Meter>,
    /// Endpoints asked for their load.
    pub endpoints: Arc<Meter>,
    /// The platform's log and list.
    pub platform: Arc<Meter>,
}

impl Default for Meters {
    fn default() -> Meters {
        Meters {
            peers: Meter::new(Partner::Peers),
            endpoints: Meter::new(Partner::Endpoints),
            platform: Meter::new(Partner::Platform),
        }
    }
}

/// What starting needs.
#[derive(Debug)]
pub struct Arguments {
    /// What requests share.
    pub shared: Arc<Shared>,
    /// The address for peers and operators, already listened on.
    pub listener: TcpListener,
    /// Folds the configuration.
    pub follower: ActorRef<follower::Message>,
    /// What control costs.
    pub meters: Meters,
}

/// The running parts.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Gossips with peers.
    pub peers: ActorRef<peers::Message>,
    /// What is known of the fleet.
    pub view: watch::Receiver<Arc<FleetView>>,
    /// Calls peers.
    pub rpc: Arc<RpcClient>,
    /// Address by which peers and operators reach this instance.
    pub control_address: SocketAddr,
    /// Address it listens on for them; another one behind an address translation.
    pub control_listen: SocketAddr,
}

impl Fleet {
    /// Tells peers that this instance leaves or is gone.
    pub async fn announce(&self, state: MemberState) {
        let (reply, told) = oneshot::channel();
        // The actor is gone only when the process stops.
        if self.peers.send_message(peers::Message::State(state, reply)).is_ok() {
            // Peers that cannot be told notice the silence.
            let _ = timeout(LEAVE_TIMEOUT, told).await;
        }
    }
}

/// Starts the parts.
///
/// # Errors
/// The keys cannot be used, or a part did not start.
pub async fn start(arguments: Arguments) -> Result<Fleet, StartError> {
    let Arguments { shared, listener, follower, meters } = arguments;
    let settings = &shared.settings;
    let listen = settings.control_listen;
    let bound = listener.local_addr().map_err(|error| StartError::Listen(listen, error))?;
    let own = settings.control_address.unwrap_or(bound);
    let trust = start_trust(settings.keys.clone(), settings.instance.clone(), &meters).await?;
    let rpc = Arc::new(RpcClient::new(Arc::clone(&trust), Arc::clone(&meters.peers)));
    let (view_sender, view) = watch::channel(Arc::new(FleetView::default()));
    let member = Member {
        incarnation: unix_ms(),
        refutation: 0,
        state: MemberState::Live,
        forget_unix_ms: 0,
        availability_zone: settings.availability_zone.clone(),
        address: shared.address,
        control_address: own,
    };
    let peers_arguments = peers::Arguments {
        name: settings.instance.clone(),
        member,
        seeds: settings.peers.clone(),
        rpc: Arc::clone(&rpc),
        meter: Arc::clone(&meters.peers),
        platform: Arc::new(Platform::metered(settings.platform.list, Arc::clone(&meters.platform))),
        follower: follower.clone(),
        sheet: shared.view.clone(),
        view: view_sender,
        on_news: on_news(&shared),
        shared: Arc::clone(&shared),
    };
    let (peers, _) = Actor::spawn(None, Peers, peers_arguments)
        .await
        .map_err(|_| StartError::Part("gossip with peers"))?;
    // It is set once, here.
    let _ = shared.peers.set(peers.clone());
    start_watcher(&shared, &peers, &view, &meters).await?;
    let message = dispatcher::Message::Fleet(view.clone(), peers.clone());
    // The actor is gone only when the process stops.
    let _ = shared.dispatcher.send_message(message);
    let fleet = Fleet { peers, view, rpc, control_address: own, control_listen: bound };
    let context = ControlContext { trust, meter: Arc::clone(&meters.peers), own };
    let methods = methods(&shared, &fleet, &follower);
    tokio::spawn(control::serve(listener, context, methods));
    Ok(fleet)
}

async fn start_watcher(
    shared: &Arc<Shared>,
    peers: &ActorRef<peers::Message>,
    view: &watch::Receiver<Arc<FleetView>>,
    meters: &Meters,
) -> Result<(), StartError> {
    let arguments = watcher::Arguments {
        name: shared.settings.instance.clone(),
        availability_zone: shared.settings.availability_zone.clone(),
        sheet: shared.view.clone(),
        fleet: view.clone(),
        peers: peers.clone(),
        on_load: on_load(shared),
        meter: Arc::clone(&meters.endpoints),
        clock: shared.clock,
    };
    let started = Actor::spawn(None, Watcher, arguments).await;
    started.map(|_| ()).map_err(|_| StartError::Part("watch of endpoints"))
}

/// Reads the keys and goes on reading them when they change.
async fn start_trust(
    path: Option<PathBuf>,
    name: Name,
    meters: &Meters,
) -> Result<Arc<Trust>, StartError> {
    let mut file = path.map(KeyFile::new);
    let ring = match &mut file {
        Some(file) => file.read_changed().map_err(StartError::Keys)?.unwrap_or_default(),
        None => KeyRing::default(),
    };
    let trust = Arc::new(Trust::new(name, Rights::Peer, ring));
    tokio::spawn(upkeep(Arc::clone(&trust), file, meters.clone()));
    Ok(trust)
}

async fn upkeep(trust: Arc<Trust>, mut file: Option<KeyFile>, meters: Meters) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        meters.peers.export();
        meters.endpoints.export();
        meters.platform.export();
        match file.as_mut().map(KeyFile::read_changed) {
            Some(Ok(Some(ring))) => {
                tracing::info!("took in changed keys");
                trust.replace(ring);
            }
            Some(Err(error)) => tracing::warn!(%error, "the keys so far stay in use"),
            Some(Ok(None)) | None => (),
        }
    }
}

/// Tells the dispatcher what endpoints report.
fn on_load(shared: &Arc<Shared>) -> OnLoad {
    let dispatcher = shared.dispatcher.clone();
    OnLoad(Arc::new(move |endpoint, report| {
        // The actor is gone only when the process stops.
        let _ = dispatcher.send_message(dispatcher::Message::Load(endpoint.clone(), report));
    }))
}

/// Tells the dispatcher which endpoints take no new work, and which requests are suspected.
fn on_news(shared: &Arc<Shared>) -> OnNews {
    let dispatcher = shared.dispatcher.clone();
    OnNews(Arc::new(move |fact| {
        let message = match fact {
            Fact::Endpoint { name, epoch } if epoch.is_leaving() => {
                dispatcher::Message::Leaving(name.clone())
            }
            Fact::Endpoint { name, .. } => dispatcher::Message::Returned(name.clone()),
            Fact::Quarantine { key, quarantine } => dispatcher::Message::Suspicion(
                Fingerprint::from_bytes(*key),
                Suspicion::from_findings(&quarantine.findings),
            ),
            Fact::Member { .. } => return,
        };
        // The actor is gone only when the process stops.
        let _ = dispatcher.send_message(message);
    }))
}

fn methods(
    shared: &Arc<Shared>,
    fleet: &Fleet,
    follower: &ActorRef<follower::Message>,
) -> Vec<ControlMethod> {
    let mut methods = peer_methods(shared, fleet, follower);
    let operator = Operator {
        shared: Arc::clone(shared),
        fleet: fleet.view.clone(),
        rpc: Arc::clone(&fleet.rpc),
    };
    methods.extend(operator_methods(&operator));
    methods
}

fn peer_methods(
    shared: &Arc<Shared>,
    fleet: &Fleet,
    follower: &ActorRef<follower::Message>,
) -> Vec<ControlMethod> {
    let peers = fleet.peers.clone();
    let pull = ControlMethod::new(peers::PULL, Rights::Peer, move |pull| {
        let (reply, answer) = oneshot::channel();
        // Without the actor the reply is dropped, and the answer is empty.
        let _ = peers.send_message(peers::Message::Pull(pull, reply));
        async move { answer.await.unwrap_or_else(|_| PullResponse::default()) }
    });
    let peers = fleet.peers.clone();
    let push = ControlMethod::new(peers::PUSH, Rights::Peer, move |push| {
        // The actor is gone only when the process stops.
        let _ = peers.send_message(peers::Message::Push(push));
        async move {}
    });
    let follower = follower.clone();
    let sheet = ControlMethod::new(peers::SHEET, Rights::Peer, move |()| {
        let (reply, copy) = oneshot::channel();
        // Without the actor the reply is dropped, and there is no copy.
        let _ = follower.send_message(follower::Message::Copy(reply));
        async move { copy.await.ok().flatten() }
    });
    let shared = Arc::clone(shared);
    let run = ControlMethod::new(forward::RUN, Rights::Peer, move |question| {
        forward::answer(Arc::clone(&shared), question)
    });
    vec![pull, push, sheet, run]
}

fn operator_methods(operator: &Operator) -> Vec<ControlMethod> {
    let asked = operator.clone();
    let status = ControlMethod::new(operator::STATUS, Rights::Read, move |()| {
        let status = asked.status();
        async move { status }
    });
    let asked = operator.clone();
    let events = ControlMethod::new(operator::EVENTS, Rights::Read, move |question| {
        let events = asked.events(&question);
        async move { events }
    });
    let asked = operator.clone();
    let explain = ControlMethod::new(operator::EXPLAIN, Rights::Read, move |request_id| {
        let asked = asked.clone();
        async move { asked.explain(request_id).await }
    });
    let asked = operator.clone();
    let own = ControlMethod::new(operator::PEER_EXPLAIN, Rights::Peer, move |request_id: Name| {
        let events = asked.own_events(&request_id);
        async move { events }
    });
    vec![status, events, explain, own]
}

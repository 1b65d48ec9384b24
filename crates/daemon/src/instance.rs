//! A running instance: starts its parts and stops them in order.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};

use ractor::{Actor, ActorRef};
use tanagergauge_core::MemberState;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    task::JoinHandle,
};

use crate::{
    attainment::Attainment,
    clock::Clock,
    counters,
    dispatcher::{self, Dispatcher},
    fleet::{self, Fleet, Meters},
    follower::{self, Follower},
    front,
    journal::{Event, EventKind, Journal},
    keyring::KeyRingError,
    keys,
    platform::Platform,
    pool::Pool,
    progress::Progress,
    settings::Settings,
    shared::{Phase, Shared},
};

/// Pause between upkeeps of the metrics.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Why an instance could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened on.
    Listen(SocketAddr, io::Error),
    /// The file of keys cannot be used.
    Keys(KeyRingError),
    /// A part could not be started.
    Part(&'static str),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::Keys(error) => error.fmt(f),
            StartError::Part(part) => write!(f, "the {part} did not start"),
        }
    }
}

impl std::error::Error for StartError {}

/// An instance that serves until it is stopped.
#[derive(Debug)]
pub struct Running {
    /// Address for callers.
    pub address: SocketAddr,
    /// Address by which peers and operators reach it.
    pub control_address: SocketAddr,
    /// What its requests share.
    pub shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    front: JoinHandle<()>,
    fleet: Fleet,
}

/// Starts an instance.
///
/// # Errors
/// An address is taken, or a part did not start.
pub async fn start(settings: Settings) -> Result<Running, StartError> {
    counters::install();
    let listener = listen(settings.listen).await?;
    let control_listener = listen(settings.control_listen).await?;
    let address =
        listener.local_addr().map_err(|error| StartError::Listen(settings.listen, error))?;
    let (view_sender, view) = watch::channel(None);
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let clock = Clock::start();
    let dispatcher = start_dispatcher(&settings, clock).await?;
    let shared = Arc::new(Shared {
        clock,
        pool: Pool::default(),
        view,
        dispatcher,
        peers: OnceLock::new(),
        keys: OnceLock::new(),
        address,
        phase,
        streams: Arc::new(Semaphore::new(settings.limits.streams)),
        progress: Progress::default(),
        journal: Journal::default(),
        attainment: Attainment::default(),
        settings,
    });
    let meters = Meters::default();
    let platform_meter = Arc::clone(&meters.platform);
    let log = shared.settings.platform.log;
    let arguments = follower::Arguments {
        platform: Platform::metered(log, Arc::clone(&meters.platform)),
        shared: Arc::clone(&shared),
        view: view_sender,
    };
    let (follower, _) =
        Actor::spawn(None, Follower, arguments).await.map_err(|_| StartError::Part("follower"))?;
    let fleet = fleet::start(fleet::Arguments {
        shared: Arc::clone(&shared),
        listener: control_listener,
        follower,
        meters,
    })
    .await?;
    keys::start(&shared, &fleet, &platform_meter).await?;
    tokio::spawn(upkeep());
    let front = tokio::spawn(front::serve(listener, Arc::clone(&shared)));
    tracing::info!(
        %address,
        control_address = %fleet.control_address,
        control_listen = %fleet.control_listen,
        instance = %shared.settings.instance,
        "listening"
    );
    let control_address = fleet.control_address;
    Ok(Running { address, control_address, shared, phase: phase_sender, front, fleet })
}

impl Running {
    /// Stops gracefully: turns unready, waits for the balancer, finishes what is in progress.
    pub async fn stop(self) {
        self.shared.journal.record(Event::new(EventKind::StopBegun));
        self.phase.send_replace(Phase::Notice);
        self.fleet.announce(MemberState::Leaving).await;
        tokio::time::sleep(Duration::from_millis(self.shared.settings.stop.notice_ms)).await;
        self.phase.send_replace(Phase::Draining);
        // A front that panicked has nothing left to finish.
        let _ = self.front.await;
        self.shared.progress.idle().await;
        self.fleet.announce(MemberState::Gone).await;
    }
}

async fn start_dispatcher(
    settings: &Settings,
    clock: Clock,
) -> Result<ActorRef<dispatcher::Message>, StartError> {
    let arguments = dispatcher::Arguments {
        instance: settings.instance.clone(),
        availability_zone: settings.availability_zone.clone(),
        policy: settings.policy,
        clock,
    };
    let started = Actor::spawn(None, Dispatcher, arguments).await;
    started.map(|(it, _)| it).map_err(|_| StartError::Part("dispatcher"))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|error| StartError::Listen(address, error))
}

async fn upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        counters::upkeep();
    }
}

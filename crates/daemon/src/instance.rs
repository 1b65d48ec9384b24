//! A running instance: starts its parts and stops them in order.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use ractor::Actor;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::{
    clock::Clock,
    counters,
    dispatcher::Dispatcher,
    follower::{self, Follower},
    front,
    journal::{Event, EventKind, Journal},
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
    /// A part could not be started.
    Part(&'static str),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
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
    /// What its requests share.
    pub shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    front: JoinHandle<()>,
}

/// Starts an instance.
///
/// # Errors
/// An address is taken, or a part did not start.
pub async fn start(settings: Settings) -> Result<Running, StartError> {
    counters::install();
    let listener = TcpListener::bind(settings.listen)
        .await
        .map_err(|error| StartError::Listen(settings.listen, error))?;
    let address =
        listener.local_addr().map_err(|error| StartError::Listen(settings.listen, error))?;
    let (view_sender, view) = watch::channel(None);
    let (phase_sender, phase) = watch::channel(Phase::Serving);
    let (dispatcher, _) =
        Actor::spawn(None, Dispatcher, ()).await.map_err(|_| StartError::Part("dispatcher"))?;
    let shared = Arc::new(Shared {
        clock: Clock::start(),
        pool: Pool::default(),
        view,
        dispatcher,
        phase,
        progress: Progress::default(),
        journal: Journal::default(),
        settings,
    });
    let arguments = follower::Arguments {
        platform: Platform::new(shared.settings.platform.log),
        shared: Arc::clone(&shared),
        view: view_sender,
    };
    Actor::spawn(None, Follower, arguments).await.map_err(|_| StartError::Part("follower"))?;
    tokio::spawn(upkeep());
    let front = tokio::spawn(front::serve(listener, Arc::clone(&shared)));
    tracing::info!(%address, instance = %shared.settings.instance, "listening");
    Ok(Running { address, shared, phase: phase_sender, front })
}

impl Running {
    /// Stops gracefully: turns unready, waits for the balancer, finishes what is in progress.
    pub async fn stop(self) {
        self.shared.journal.record(Event::new(EventKind::StopBegun));
        self.phase.send_replace(Phase::Notice);
        tokio::time::sleep(Duration::from_millis(self.shared.settings.stop.notice_ms)).await;
        self.phase.send_replace(Phase::Draining);
        // A front that panicked has nothing left to finish.
        let _ = self.front.await;
        self.shared.progress.idle().await;
    }
}

async fn upkeep() {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        counters::upkeep();
    }
}

//! What all requests of an instance share.

use std::{
    net::SocketAddr,
    sync::{Arc, OnceLock},
};

use ractor::ActorRef;
use tanagergauge_core::{Name, Reason};
use tokio::sync::{Semaphore, watch};

use crate::{
    attainment::Attainment, clock::Clock, dispatcher, journal::Journal, keys::Keys, peers,
    pool::Pool, progress::Progress, refusal::Refusal, settings::Settings, view::View,
};

/// How far a planned stop has come. It only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serving.
    Serving,
    /// Not ready any more, but still accepting while the balancer notices.
    Notice,
    /// Finishing what is in progress.
    Draining,
}

/// What all requests of an instance share.
#[derive(Debug)]
pub struct Shared {
    /// The settings it was started with.
    pub settings: Settings,
    /// Address for callers.
    pub address: SocketAddr,
    /// Monotonic time.
    pub clock: Clock,
    /// Connections to endpoints.
    pub pool: Pool,
    /// The sheet in force; `None` until one is known.
    pub view: watch::Receiver<Option<Arc<View>>>,
    /// The queue.
    pub dispatcher: ActorRef<dispatcher::Message>,
    /// The gossip with peers; set once it has started.
    pub peers: OnceLock<ActorRef<peers::Message>>,
    /// Idempotency keys; set once the instance has started.
    pub keys: OnceLock<Arc<Keys>>,
    /// How far a planned stop has come.
    pub phase: watch::Receiver<Phase>,
    /// Streams that may still be opened.
    pub streams: Arc<Semaphore>,
    /// Requests in progress.
    pub progress: Progress,
    /// The latest decisions.
    pub journal: Journal,
    /// What became of each class's requests.
    pub attainment: Attainment,
}

impl Shared {
    /// An endpoint's own answer says that it takes no new work.
    pub fn endpoint_left(&self, endpoint: &Name) {
        // The actors are gone only when the process stops.
        let _ = self.dispatcher.send_message(dispatcher::Message::Leaving(endpoint.clone()));
        if let Some(peers) = self.peers.get() {
            let _ = peers.send_message(peers::Message::EndpointLeft(endpoint.clone()));
        }
    }

    /// The sheet in force.
    ///
    /// # Errors
    /// None is known yet.
    pub fn view(&self) -> Result<Arc<View>, Refusal> {
        self.view
            .borrow()
            .clone()
            .ok_or_else(|| Refusal::not_run(Reason::NotReady, "no sheet is in force yet"))
    }

    /// The idempotency keys.
    ///
    /// # Errors
    /// The instance is still starting.
    pub fn keys(&self) -> Result<&Arc<Keys>, Refusal> {
        let starting = || Refusal::unknown(Reason::NotReady, "the instance is still starting");
        self.keys.get().ok_or_else(starting)
    }

    /// How far a planned stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.view.borrow().is_some()
    }
}

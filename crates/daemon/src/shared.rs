//! What all requests of an instance share.

use std::sync::Arc;

use ractor::ActorRef;
use tanagergauge_core::Reason;
use tokio::sync::watch;

use crate::{
    clock::Clock, dispatcher, journal::Journal, pool::Pool, progress::Progress, refusal::Refusal,
    settings::Settings, view::View,
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
    /// Monotonic time.
    pub clock: Clock,
    /// Connections to endpoints.
    pub pool: Pool,
    /// The sheet in force; `None` until one is known.
    pub view: watch::Receiver<Option<Arc<View>>>,
    /// The queue.
    pub dispatcher: ActorRef<dispatcher::Message>,
    /// How far a planned stop has come.
    pub phase: watch::Receiver<Phase>,
    /// Requests in progress.
    pub progress: Progress,
    /// The latest decisions.
    pub journal: Journal,
}

impl Shared {
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

    /// How far a planned stop has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Whether the balancer should send requests here.
    pub fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && self.view.borrow().is_some()
    }
}

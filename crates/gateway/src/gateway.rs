//! What an instance believes, shared by its tasks.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, AtomicUsize, Ordering},
};

use tanagergauge_core::{Name, balancer::Balancer, routing::Configuration, suspects::Suspects};
use tokio::sync::{Notify, watch};

use crate::{
    budgets::Budgets, clock, gates::Gates, names::HeaderNames, peers::Peers, pool::Pool,
    settings::Settings, stop::Phase, suspects,
};
use std::sync::Arc;

/// Instances assumed to spend from the fleet's budget until the store has told.
const ASSUMED_INSTANCES: usize = 12;

/// What an instance believes. Locks are held for a decision, never across a wait.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) names: HeaderNames,
    pub(crate) pool: Pool,
    pub(crate) peers: Peers,
    /// How far a planned stop has come.
    pub(crate) phase: watch::Sender<Phase>,
    /// Callers' requests in progress.
    pub(crate) in_progress: AtomicUsize,
    /// Callers' connections that are open.
    pub(crate) connections: AtomicUsize,
    configuration: Mutex<Option<Arc<Configuration>>>,
    balancer: Mutex<Balancer>,
    budgets: Mutex<Budgets>,
    gates: Mutex<Gates>,
    suspects: Mutex<Suspects>,
    /// Told when configuration or endpoints were read.
    informed: Notify,
    /// When the list of endpoints was last confirmed; 0 before it was read.
    endpoints_confirmed_ms: AtomicU64,
}

impl Gateway {
    /// Knows nothing yet.
    pub(crate) fn new(settings: Settings, names: HeaderNames) -> Gateway {
        let balancer = Balancer::new(settings.balance());
        let suspects = Suspects::new(settings.instance.clone(), suspects::settings());
        let budgets = Budgets::new(settings.budget(), ASSUMED_INSTANCES, clock::now_ms());
        Gateway {
            names,
            pool: Pool::default(),
            peers: Peers::default(),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            configuration: Mutex::new(None),
            balancer: Mutex::new(balancer),
            budgets: Mutex::new(budgets),
            gates: Mutex::default(),
            suspects: Mutex::new(suspects),
            informed: Notify::new(),
            endpoints_confirmed_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// The configuration in force.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// Puts a configuration into force, unless one as new is. Returns whether it was newer.
    pub(crate) fn put_configuration(&self, configuration: Configuration) -> bool {
        let mut current = lock(&self.configuration);
        if current.as_ref().is_some_and(|it| it.version >= configuration.version) {
            return false;
        }
        *current = Some(Arc::new(configuration));
        drop(current);
        self.informed.notify_waiters();
        true
    }

    /// Where requests go.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    /// What may be repeated.
    pub(crate) fn budgets(&self) -> MutexGuard<'_, Budgets> {
        lock(&self.budgets)
    }

    /// Who is let in.
    pub(crate) fn gates(&self) -> MutexGuard<'_, Gates> {
        lock(&self.gates)
    }

    /// Which requests crash endpoints.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// The list of endpoints was read up to its end that long ago.
    pub(crate) fn confirm_endpoints(&self, age_ms: u64) {
        let at_ms = clock::now_ms().saturating_sub(age_ms).max(1);
        self.endpoints_confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
        self.informed.notify_waiters();
    }

    /// Age of the list of endpoints, in milliseconds; `None` before it was read.
    pub(crate) fn endpoints_age_ms(&self) -> Option<u64> {
        let at_ms = self.endpoints_confirmed_ms.load(Ordering::Relaxed);
        (at_ms > 0).then(|| clock::now_ms().saturating_sub(at_ms))
    }

    /// Whether it is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether configuration and endpoints are known.
    pub(crate) fn is_informed(&self) -> bool {
        self.configuration().is_some() && self.endpoints_age_ms().is_some()
    }

    /// Waits until configuration and endpoints are known.
    pub(crate) async fn until_informed(&self) {
        while !self.is_informed() {
            self.informed.notified().await;
        }
    }

    /// Whether new connections should come here.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_informed() && !self.is_stopping()
    }

    /// Region of an availability zone; the zone's own name if it is in no region.
    pub(crate) fn region(&self, zone: &Name) -> Name {
        self.settings.regions.get(zone).unwrap_or(zone).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! State shared by all tasks of an instance.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use tanagergauge_core::{
    Name, balancer::Balancer, begun_streams::BegunStreams, engine_speed::SpeedGossip,
    process_identity::ListCurrency, roster::ASSUMED_INSTANCES, routing::Configuration,
    suspects::Suspects, version_history::VersionHistory,
};
use tokio::sync::{Notify, watch};

use crate::{
    admission_controllers::AdmissionControllers,
    body_memory::BodyMemory,
    clock,
    departures::Departures,
    duties::Duties,
    header_names::HeaderNames,
    liveness::LivenessChecks,
    pause::Pauses,
    peers::PeerState,
    pool::Pool,
    process_proof::ProofSearches,
    process_report::{ReportFormat, SilentProcesses},
    retry_budgets::RetryBudgets,
    settings::Settings,
    stop::Phase,
    suspects,
};
use std::sync::Arc;

/// Gap between confirmations of the list of endpoints after which the store may have been away, in
/// milliseconds. A hub reads the list every 700 ms.
const MAX_LIST_GAP_MS: u64 = 1_500;

/// State shared by all tasks of an instance. Locks are never held across an await.
pub(crate) struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) header_names: HeaderNames,
    pub(crate) report_format: ReportFormat,
    pub(crate) silent_processes: SilentProcesses,
    pub(crate) pauses: Pauses,
    pub(crate) pool: Pool,
    pub(crate) peers: PeerState,
    pub(crate) liveness_checks: LivenessChecks,
    pub(crate) proof_searches: ProofSearches,
    pub(crate) body_memory: Arc<BodyMemory>,
    pub(crate) departures: Departures,
    /// Present if the settings name a control service.
    pub(crate) duties: Option<Arc<Duties>>,
    /// Progress of a graceful stop.
    pub(crate) phase: watch::Sender<Phase>,
    /// Number of callers' requests in progress.
    pub(crate) in_progress: AtomicUsize,
    /// Number of open connections from callers.
    pub(crate) connections: AtomicUsize,
    configuration: Mutex<Option<Arc<Configuration>>>,
    balancer: Mutex<Balancer>,
    budgets: Mutex<RetryBudgets>,
    admission: Mutex<AdmissionControllers>,
    suspects: Mutex<Suspects>,
    begun_streams: Mutex<BegunStreams>,
    version_history: Mutex<VersionHistory>,
    speed_gossip: Mutex<SpeedGossip>,
    /// Notified when configuration or endpoints are updated.
    initialized: Notify,
    /// Latest era of the store that was read; 0 if it tells none.
    store_era: watch::Sender<u64>,
    /// Notified when a request waits for a current list of endpoints.
    pub(crate) list_wanted: Notify,
    /// When the list of endpoints was last known to be current; 0 before the first read.
    endpoints_confirmed_ms: AtomicU64,
    /// End of the last gap of [`MAX_LIST_GAP_MS`] between confirmations, or of the last era of the store; 0 if
    /// there was none since the start.
    endpoints_gap_end_ms: AtomicU64,
}

impl Gateway {
    /// State without configuration and endpoints.
    pub(crate) fn new(
        settings: Settings,
        header_names: HeaderNames,
        report_format: ReportFormat,
    ) -> Gateway {
        let balancer = Balancer::new(settings.balance());
        // The time of start tells this process's updates from those of the one before.
        let update_log = clock::unix_ms().max(1);
        let suspects = Suspects::new(settings.instance.clone(), suspects::settings(), update_log);
        let budgets = RetryBudgets::new(settings.budget(), ASSUMED_INSTANCES, clock::now_ms());
        let duties = settings.duties.clone();
        let duties = duties.map(|it| Arc::new(Duties::new(&settings.instance, it)));
        Gateway {
            duties,
            header_names,
            report_format,
            silent_processes: SilentProcesses::default(),
            pauses: Pauses::default(),
            pool: Pool::default(),
            peers: PeerState::default(),
            liveness_checks: LivenessChecks::default(),
            proof_searches: ProofSearches::default(),
            body_memory: Arc::default(),
            departures: Departures::default(),
            phase: watch::Sender::new(Phase::Serving),
            in_progress: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            configuration: Mutex::new(None),
            balancer: Mutex::new(balancer),
            budgets: Mutex::new(budgets),
            admission: Mutex::default(),
            suspects: Mutex::new(suspects),
            begun_streams: Mutex::new(BegunStreams::new(update_log)),
            version_history: Mutex::new(VersionHistory::new(update_log, clock::now_ms())),
            speed_gossip: Mutex::default(),
            initialized: Notify::new(),
            store_era: watch::Sender::new(0),
            list_wanted: Notify::new(),
            endpoints_confirmed_ms: AtomicU64::new(0),
            endpoints_gap_end_ms: AtomicU64::new(0),
            settings,
        }
    }

    /// The current configuration; `None` before the first read.
    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        lock(&self.configuration).clone()
    }

    /// How long a caller's connection may stay idle; `None` before the first read.
    pub(crate) fn idle_timeout(&self) -> Option<Duration> {
        let ms = self.configuration()?.limits.idle_timeout_ms;
        Some(Duration::from_millis(ms))
    }

    /// Replaces the current configuration if `configuration` has a higher version. Returns whether
    /// it did.
    pub(crate) fn put_configuration(&self, configuration: Configuration) -> bool {
        let mut current = lock(&self.configuration);
        if current.as_ref().is_some_and(|it| it.version >= configuration.version) {
            return false;
        }
        self.balancer().speeds_mut().set_services(configuration.services());
        *current = Some(Arc::new(configuration));
        drop(current);
        self.initialized.notify_waiters();
        true
    }

    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        lock(&self.balancer)
    }

    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.budgets)
    }

    pub(crate) fn admission(&self) -> MutexGuard<'_, AdmissionControllers> {
        lock(&self.admission)
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, Suspects> {
        lock(&self.suspects)
    }

    /// Software versions at which streams began.
    pub(crate) fn begun_streams(&self) -> MutexGuard<'_, BegunStreams> {
        lock(&self.begun_streams)
    }

    /// Software versions that were in service.
    pub(crate) fn version_history(&self) -> MutexGuard<'_, VersionHistory> {
        lock(&self.version_history)
    }

    /// Exchange of learned engine speeds with peers.
    pub(crate) fn speed_gossip(&self) -> MutexGuard<'_, SpeedGossip> {
        lock(&self.speed_gossip)
    }

    /// Records that the list of endpoints was current `age_ms` ago.
    pub(crate) fn confirm_endpoints(&self, age_ms: u64) {
        let at_ms = clock::now_ms().saturating_sub(age_ms).max(1);
        let before_ms = self.endpoints_confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
        if before_ms > 0 && at_ms > before_ms + MAX_LIST_GAP_MS {
            self.endpoints_gap_end_ms.fetch_max(at_ms, Ordering::Relaxed);
        }
        self.initialized.notify_waiters();
    }

    /// Time since the list of endpoints was known to be current, in milliseconds; `None` before
    /// the first read.
    pub(crate) fn endpoints_age_ms(&self) -> Option<u64> {
        let at_ms = self.endpoints_confirmed_ms.load(Ordering::Relaxed);
        (at_ms > 0).then(|| clock::now_ms().saturating_sub(at_ms))
    }

    /// How current the list of endpoints is.
    pub(crate) fn list_currency(&self) -> ListCurrency {
        // The confirmation first: a gap that ends in between makes the list look less current.
        let confirmed_ms = self.endpoints_confirmed_ms.load(Ordering::Acquire);
        let gap_end_ms = self.endpoints_gap_end_ms.load(Ordering::Acquire);
        ListCurrency { confirmed_ms, gap_end_ms: (gap_end_ms > 0).then_some(gap_end_ms) }
    }

    /// Records the era of the store's history.
    pub(crate) fn set_store_era(&self, era: u64) {
        self.store_era.send_if_modified(|known| {
            let is_later = era > *known;
            if is_later && *known > 0 {
                self.endpoints_gap_end_ms.fetch_max(clock::now_ms(), Ordering::Relaxed);
            }
            *known = era.max(*known);
            is_later
        });
    }

    /// Latest era of the store that was read.
    pub(crate) fn store_era(&self) -> u64 {
        *self.store_era.borrow()
    }

    /// Waits until the store has come back from a copy since it was at the era `known`, or since the
    /// first read if that is 0.
    pub(crate) async fn wait_for_era_after(&self, known: u64) {
        let mut era = self.store_era.subscribe();
        let mut known = known;
        if known == 0 {
            // Cannot fail: the gateway owns the sender.
            known = era.wait_for(|it| *it > 0).await.map_or(0, |it| *it);
        }
        let _ = era.wait_for(|it| *it > known).await;
    }

    /// Waits until a graceful stop has come to a phase.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut current = self.phase.subscribe();
        // Cannot fail: this gateway owns the sender.
        let _ = current.wait_for(|it| *it >= phase).await;
    }

    /// Whether a graceful stop has come to a phase.
    pub(crate) fn has_reached(&self, phase: Phase) -> bool {
        *self.phase.borrow() >= phase
    }

    /// Whether a graceful stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.has_reached(Phase::Leaving)
    }

    /// Whether both configuration and endpoints have been read.
    pub(crate) fn is_initialized(&self) -> bool {
        self.configuration().is_some() && self.endpoints_age_ms().is_some()
    }

    /// Waits until both configuration and endpoints have been read.
    pub(crate) async fn wait_until_initialized(&self) {
        while !self.is_initialized() {
            self.initialized.notified().await;
        }
    }

    /// Whether load balancers should open new connections to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_initialized() && !self.is_stopping()
    }

    /// Region of an availability zone; the zone's own name if no region is configured for it.
    pub(crate) fn region(&self, zone: &Name) -> Name {
        self.settings.regions.get(zone).unwrap_or(zone).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Follows the configuration and endpoints topics of the store and applies their changes.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tanagergauge_core::{
    store_era::{EraChange, era_after_lost_history},
    store_reads::{FIRST_RESPONSE_WAIT_MS, HubUpdates},
};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    backoff::Backoff,
    clock,
    gateway::Gateway,
    meters,
    request::{fraction, uniform_hash},
    store::{Changes, Decoders, Store, StoreError, Topic, result_label},
    view::StoreView,
};

/// How long a read of the configuration waits for a change (long poll).
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// How long a read of the endpoints' entries waits for a change (long poll).
const ENDPOINTS_WAIT: Duration = Duration::from_millis(1_000);
/// Least time between reads of the endpoints' entries. Every heartbeat of an endpoint changes its
/// entry, so that a long poll would return at once.
const ENDPOINTS_INTERVAL: Duration = Duration::from_millis(700);
/// Least time between two reads for requests that wait for a current list.
const WANTED_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an instance that gets its updates from the hub checks whether it still does.
const HUB_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after the first failed read; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest delay after failed reads.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The store counts as unavailable after failing for this long, in milliseconds.
const LOST_AFTER_MS: u64 = 600;

/// Keeps the local copy of the store's topics and tracks whether the store is available.
pub(crate) struct StoreFollower {
    gateway: Arc<Gateway>,
    decoders: Decoders,
    view: Mutex<StoreView>,
    health: Mutex<StoreHealth>,
}

/// How far a read got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Read {
    /// To the end of the topic.
    Current,
    /// The store holds more, which is read at once.
    Behind,
}

/// Whether the store responds to this instance.
#[derive(Debug, Default)]
struct StoreHealth {
    /// When calls began to fail; `None` while they succeed.
    failing_since_ms: Option<u64>,
    /// Calls have failed for at least [`LOST_AFTER_MS`].
    lost: bool,
}

impl StoreFollower {
    /// A follower that has read nothing.
    pub(crate) fn new(gateway: Arc<Gateway>, decoders: Decoders) -> StoreFollower {
        let (view, health) = Default::default();
        StoreFollower { gateway, decoders, view, health }
    }

    /// Local copy of the topics.
    pub(crate) fn view(&self) -> MutexGuard<'_, StoreView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    pub(crate) fn decoders(&self) -> &Decoders {
        &self.decoders
    }

    /// Whether the store is unavailable to this instance.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.lock_health().lost
    }

    fn lock_health(&self) -> MutexGuard<'_, StoreHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_call<T>(&self, topic: Topic, result: &Result<T, StoreError>) {
        let label = result_label(result);
        meters::store_call(topic, label);
        tracing::debug!(%topic, result = label, "store call ended");
        match result {
            // The store responded, although it has no records at the requested offset.
            Ok(_) | Err(StoreError::HistoryLost | StoreError::HistoryReplaced) => {
                self.record_success();
            }
            Err(error) => self.record_failure(topic, *error),
        }
    }

    fn record_success(&self) {
        let mut health = self.lock_health();
        let since_ms = health.failing_since_ms.take();
        if std::mem::take(&mut health.lost) {
            let away_ms = since_ms.map_or(0, |it| clock::now_ms().saturating_sub(it));
            tracing::info!(away_ms, "store answers again");
            self.view().store_recovered();
        }
    }

    fn record_failure(&self, topic: Topic, error: StoreError) {
        let now_ms = clock::now_ms();
        let mut health = self.lock_health();
        let since_ms = *health.failing_since_ms.get_or_insert(now_ms);
        if !health.lost && now_ms.saturating_sub(since_ms) >= LOST_AFTER_MS {
            health.lost = true;
            let list_age_ms = self.gateway.endpoints_age_ms();
            tracing::warn!(%topic, %error, since_ms, list_age_ms, "store is lost; what is known stays in force");
        }
    }
}

/// Follows the operators' configuration.
pub(crate) async fn configuration<S: Store>(follower: Arc<StoreFollower>, store: Arc<S>) {
    let interval = Duration::ZERO;
    follow(&follower, &*store, Topic::Configuration, CONFIGURATION_WAIT, interval).await;
}

/// Follows the endpoints' entries.
pub(crate) async fn endpoints<S: Store>(follower: Arc<StoreFollower>, store: Arc<S>) {
    follow(&follower, &*store, Topic::Endpoints, ENDPOINTS_WAIT, ENDPOINTS_INTERVAL).await;
}

/// Reads a topic until the process ends, except while the hub forwards its changes.
async fn follow<S: Store>(
    follower: &StoreFollower,
    store: &S,
    topic: Topic,
    wait: Duration,
    interval: Duration,
) {
    let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
    let mut history_lost = false;
    // After one snapshot an empty topic is followed from offset 0: waiting for its first record
    // replaces repeated snapshots.
    let mut read_once = false;
    let mut next_read = Instant::now();
    let (mut last_read, mut last_current) = (next_read, next_read);
    // From 0.5 to 1, so that the members of a zone do not read at the same time.
    let spread = 0.5 + 0.5 * fraction(uniform_hash(&follower.gateway.settings.instance));
    loop {
        follower.view().end_waits(&follower.gateway, &follower.decoders);
        let now = Instant::now();
        let earliest = match follower.gateway.peers.hub_updates() {
            HubUpdates::Current => {
                last_current = now;
                now + HUB_CHECK_INTERVAL
            }
            HubUpdates::Old { read_interval_ms } => {
                let interval = Duration::from_millis(read_interval_ms).mul_f64(spread);
                next_read.max(last_read.max(last_current) + interval)
            }
            HubUpdates::None => next_read,
        };
        if now < earliest {
            sleep_until(earliest.min(now + HUB_CHECK_INTERVAL)).await;
            continue;
        }
        last_read = now;
        let known_end = follower.view().end(topic).or(read_once.then_some(0));
        let end = known_end.filter(|_| !history_lost);
        let result = match end {
            None => read_snapshot(follower, store, topic, history_lost).await,
            Some(from) => read_changes(follower, store, topic, from, wait).await,
        };
        match result {
            Ok(read) => {
                backoff.reset();
                next_read = match read {
                    Read::Current => last_read + interval,
                    Read::Behind => last_read,
                };
                if std::mem::take(&mut history_lost) {
                    next_read = next_read.max(Instant::now() + INITIAL_BACKOFF);
                }
                if !std::mem::replace(&mut read_once, true) {
                    next_read = Instant::now() + Duration::from_millis(FIRST_RESPONSE_WAIT_MS);
                }
            }
            Err(StoreError::HistoryLost | StoreError::HistoryReplaced) if !history_lost => {
                history_lost = true;
                next_read = Instant::now();
            }
            Err(_) => {
                next_read = Instant::now() + backoff.failed();
            }
        }
    }
}

/// Reads the list of endpoints at once, beside [`endpoints`], whenever a request waits for a current one.
pub(crate) async fn wanted_endpoints<S: Store>(follower: Arc<StoreFollower>, store: Arc<S>) {
    let topic = Topic::Endpoints;
    loop {
        follower.gateway.list_wanted.notified().await;
        let end = follower.view().end(topic);
        if let Some(from) = end {
            let read = read_changes(&follower, &*store, topic, from, Duration::ZERO).await;
            tracing::debug!(is_read = read.is_ok(), "list of endpoints read for a request");
        }
        sleep(WANTED_READ_INTERVAL).await;
    }
}

/// Reads a topic as a whole; `history_lost` if the store had no records at the known end.
async fn read_snapshot<S: Store>(
    follower: &StoreFollower,
    store: &S,
    topic: Topic,
    history_lost: bool,
) -> Result<Read, StoreError> {
    let result = store.snapshot(topic).await;
    follower.record_call(topic, &result);
    let mut snapshot = result?;
    let (gateway, decoders) = (&follower.gateway, &follower.decoders);
    let mut view = follower.view();
    if history_lost {
        let (known_era, known_end) = (view.era(topic), view.end(topic));
        let era = era_after_lost_history(known_era, known_end, snapshot.era, snapshot.end);
        snapshot.era = Some(era);
    }
    if !view.apply_snapshot(gateway, decoders, topic, snapshot) {
        return Err(StoreError::Outdated);
    }
    drop(view);
    follower.confirm(topic);
    Ok(Read::Current)
}

async fn read_changes<S: Store>(
    follower: &StoreFollower,
    store: &S,
    topic: Topic,
    from: u64,
    wait: Duration,
) -> Result<Read, StoreError> {
    let known_era = follower.view().era(topic);
    let result = store.changes(topic, from, wait).await.and_then(|changes| {
        match EraChange::of(known_era, changes.era) {
            EraChange::None => Ok(changes),
            EraChange::Began => Err(StoreError::HistoryReplaced),
            EraChange::Outdated => Err(StoreError::Outdated),
        }
    });
    follower.record_call(topic, &result);
    let changes = result?;
    tracing::debug!(%topic, from, records = changes.records.len(), era = changes.era, "changes read");
    // A peer may have told of another era meanwhile; the offset belongs to the one before.
    let changes = Changes { next: changes.next.max(from), era: Some(known_era), ..changes };
    let read = if changes.has_more { Read::Behind } else { Read::Current };
    let (gateway, decoders) = (&follower.gateway, &follower.decoders);
    let is_applied = follower.view().apply_changes(gateway, decoders, topic, changes);
    if is_applied && matches!(read, Read::Current) {
        follower.confirm(topic);
    }
    Ok(read)
}

impl StoreFollower {
    /// Records that a topic was read up to its current end.
    fn confirm(&self, topic: Topic) {
        if topic == Topic::Endpoints {
            self.gateway.confirm_endpoints(0);
        }
    }
}

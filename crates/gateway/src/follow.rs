//! Follows the store: what operators and endpoints write comes into force here.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    clock,
    gateway::Gateway,
    meters,
    store::{Decode, Store, StoreError, Topic},
    view::Views,
};

/// How long a read of the configuration waits for a change.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_500);
/// How long a read of the endpoints' entries waits for a change.
const ENDPOINTS_WAIT: Duration = Duration::from_millis(1_000);
/// Least time between two reads of the endpoints' entries; each of them changes at every
/// heartbeat.
const ENDPOINTS_PACE: Duration = Duration::from_millis(700);
/// How often it is looked whether the hub still reads for this instance.
const HUB_LOOK_EVERY: Duration = Duration::from_millis(200);
/// Pause after a read that failed.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after reads that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The store counts as lost after failing for this long, in milliseconds.
const LOST_AFTER_MS: u64 = 600;

/// What was read from the store, and whether it answers.
pub(crate) struct Following {
    gateway: Arc<Gateway>,
    decode: Decode,
    views: Mutex<Views>,
    link: Mutex<Link>,
}

/// Whether the store answers this instance.
#[derive(Debug, Default)]
struct Link {
    /// When calls began to fail; `None` while they succeed.
    failing_since_ms: Option<u64>,
    /// It was reported as lost.
    lost: bool,
}

impl Following {
    /// Nothing was read yet.
    pub(crate) fn new(gateway: Arc<Gateway>, decode: Decode) -> Following {
        let (views, link) = Default::default();
        Following { gateway, decode, views, link }
    }

    /// Records that were read.
    pub(crate) fn views(&self) -> MutexGuard<'_, Views> {
        self.views.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instance whose beliefs are fed.
    pub(crate) fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// How records are read.
    pub(crate) fn decode(&self) -> &Decode {
        &self.decode
    }

    /// Whether the store does not answer this instance.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.lock_link().lost
    }

    fn lock_link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call_ended<T>(&self, topic: Topic, result: &Result<T, StoreError>) {
        let label = result.as_ref().map_or_else(|error| (*error).into(), |_| "ok");
        meters::store_call(topic.into(), label);
        tracing::debug!(%topic, result = label, "store called");
        match result {
            Ok(_) | Err(StoreError::HistoryLost) => self.answered(),
            Err(error) => self.failed(topic, *error),
        }
    }

    fn answered(&self) {
        let mut link = self.lock_link();
        let since_ms = link.failing_since_ms.take();
        if std::mem::take(&mut link.lost) {
            let away_ms = since_ms.map_or(0, |it| clock::now_ms().saturating_sub(it));
            tracing::info!(away_ms, "store answers again");
            self.views().store_returned();
        }
    }

    fn failed(&self, topic: Topic, error: StoreError) {
        let now_ms = clock::now_ms();
        let mut link = self.lock_link();
        let since_ms = *link.failing_since_ms.get_or_insert(now_ms);
        if !link.lost && now_ms.saturating_sub(since_ms) >= LOST_AFTER_MS {
            link.lost = true;
            let list_age_ms = self.gateway.endpoints_age_ms();
            tracing::warn!(%topic, %error, since_ms, list_age_ms, "store is lost; what is known stays in force");
        }
    }
}

/// Follows the operators' configuration.
pub(crate) async fn configuration<S: Store>(following: Arc<Following>, store: Arc<S>) {
    let pace = Duration::ZERO;
    follow(&following, &*store, Topic::Configuration, CONFIGURATION_WAIT, pace).await;
}

/// Follows the endpoints' entries.
pub(crate) async fn endpoints<S: Store>(following: Arc<Following>, store: Arc<S>) {
    follow(&following, &*store, Topic::Endpoints, ENDPOINTS_WAIT, ENDPOINTS_PACE).await;
}

async fn follow<S: Store>(
    following: &Following,
    store: &S,
    topic: Topic,
    wait: Duration,
    pace: Duration,
) {
    let mut pause = FIRST_PAUSE;
    let mut history_lost = false;
    // A topic in which nothing was written yet is waited for, not read again and again.
    let mut read_once = false;
    loop {
        following.views().expire_lapsed(&following.gateway);
        if following.gateway.peers.hub_reads_store() {
            sleep(HUB_LOOK_EVERY).await;
            continue;
        }
        let next_read = Instant::now() + pace;
        let known_end = following.views().end(topic).or(read_once.then_some(0));
        let end = known_end.filter(|_| !history_lost);
        let step = match end {
            None => read_all(following, store, topic).await,
            Some(from) => read_on(following, store, topic, from, wait).await,
        };
        match step {
            Ok(()) => {
                history_lost = false;
                read_once = true;
                pause = FIRST_PAUSE;
                sleep_until(next_read).await;
            }
            Err(StoreError::HistoryLost) => history_lost = true,
            Err(_) => {
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

async fn read_all<S: Store>(
    following: &Following,
    store: &S,
    topic: Topic,
) -> Result<(), StoreError> {
    let result = store.snapshot(topic).await;
    following.call_ended(topic, &result);
    let snapshot = result?;
    let (gateway, decode) = (&following.gateway, &following.decode);
    following.views().take_snapshot(gateway, decode, topic, snapshot);
    following.confirm(topic);
    Ok(())
}

async fn read_on<S: Store>(
    following: &Following,
    store: &S,
    topic: Topic,
    from: u64,
    wait: Duration,
) -> Result<(), StoreError> {
    let result = store.changes(topic, from, wait).await;
    following.call_ended(topic, &result);
    let changes = result?;
    let next = changes.next.max(from);
    let (gateway, decode) = (&following.gateway, &following.decode);
    following.views().take_changes(gateway, decode, topic, changes.records, next);
    following.confirm(topic);
    Ok(())
}

impl Following {
    fn confirm(&self, topic: Topic) {
        if topic == Topic::Endpoints {
            self.gateway.confirm_endpoints(0);
        }
    }
}

//! Claims, renews and releases the lease of the duties.

use std::{sync::Arc, time::Duration};

use tanagergauge_core::{
    lease::{LeaseAction, LeaseRecord},
    load_reports::name_hash,
};
use tokio::time::sleep;

use super::{Duties, lease_log};
use crate::{boot_clock, clock, gateway::Gateway, meters, store::Store};

/// Interval at which the lease is looked at.
const TICK: Duration = Duration::from_millis(100);
/// How much later than one hub the next one claims, in milliseconds.
const CLAIM_STAGGER_MS: u64 = 300;
/// Time without news of the lease after which a hub reads the store, in milliseconds.
const NEWS_MAX_AGE_MS: u64 = 2_000;
/// Least time between two such reads, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// Claims, renews and releases the lease.
pub(super) struct LeaseTask<S> {
    gateway: Arc<Gateway>,
    duties: Arc<Duties>,
    store: Arc<S>,
    /// When a hub that doesn't hold the lease last read the store.
    read_ms: u64,
    /// Latest era of the store that another topic was read in; 0 before the first.
    store_era: u64,
    /// Token of the term that was last logged.
    logged_token: Option<u64>,
}

/// What to do next.
enum Step {
    Wait,
    Read,
    /// Read, then claim if that is still allowed.
    Claim,
    Renew(LeaseRecord),
    Release,
}

impl<S: Store> LeaseTask<S> {
    pub(super) fn new(gateway: Arc<Gateway>, duties: Arc<Duties>, store: Arc<S>) -> LeaseTask<S> {
        LeaseTask { gateway, duties, store, read_ms: 0, store_era: 0, logged_token: None }
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        loop {
            self.check_era();
            let step = self.next_step();
            self.perform(step).await;
            self.log_change();
            sleep(TICK).await;
        }
    }

    /// Ends the lease if another topic shows that the store was restored. The topic of the lease tells its
    /// own era when it is read again.
    fn check_era(&mut self) {
        let era = self.gateway.store_era();
        if self.store_era > 0 && era > self.store_era {
            self.duties.holder.with_lease(|it, now_ms| {
                if it.era() < era {
                    // Nothing is told to others: the record could land in the new era.
                    let _ = it.release(now_ms);
                }
            });
        }
        self.store_era = self.store_era.max(era);
    }

    fn next_step(&self) -> Step {
        let holder = &self.duties.holder;
        let is_stopping = self.gateway.is_stopping();
        if holder.token().is_some() {
            if is_stopping || holder.is_cut_off() {
                return Step::Release;
            }
            return match holder.with_lease(|it, now_ms| it.next_action(now_ms)) {
                LeaseAction::Append(record) if record.renews.is_some() => Step::Renew(record),
                // The lease ended just now.
                LeaseAction::Append(_) => {
                    holder.with_lease(|it, _| it.abandon_append());
                    Step::Wait
                }
                LeaseAction::Read | LeaseAction::WaitUntil(_) => Step::Wait,
            };
        }
        let Some(rank) = (if is_stopping { None } else { self.hub_rank() }) else {
            return Step::Wait;
        };
        let (now_ms, claim_from_ms, news_ms) = holder.with_lease(|it, now_ms| {
            (now_ms, it.claim_from_ms(), it.newest().map_or(0, |it| it.at_ms))
        });
        if holder.take_heard_release() {
            Step::Read
        } else if now_ms >= claim_from_ms + rank * CLAIM_STAGGER_MS {
            Step::Claim
        } else if now_ms >= news_ms.max(self.read_ms) + NEWS_MAX_AGE_MS
            && now_ms >= self.read_ms + READ_INTERVAL_MS
        {
            Step::Read
        } else {
            Step::Wait
        }
    }

    async fn perform(&mut self, step: Step) {
        match step {
            Step::Wait => {}
            Step::Read => {
                self.read_ms = boot_clock::now_ms();
                let _ = lease_log::read(&*self.store, &self.duties.holder).await;
            }
            Step::Claim => self.claim().await,
            Step::Renew(record) => {
                let holder = &self.duties.holder;
                let end_ms = || holder.with_lease(|it, now_ms| it.token(now_ms).map(|it| it.1));
                let end_before_ms = end_ms();
                let result = lease_log::append(&*self.store, holder, &record).await;
                if end_ms() > end_before_ms {
                    meters::lease_claim("renewed");
                } else {
                    tracing::info!(?result, "renewal of the lease of the duties failed");
                    meters::lease_claim("renewal_failed");
                }
            }
            Step::Release => self.release().await,
        }
    }

    async fn claim(&mut self) {
        let holder = &self.duties.holder;
        self.read_ms = boot_clock::now_ms();
        if let Err(error) = lease_log::read(&*self.store, holder).await {
            tracing::debug!(%error, "cannot read the lease of the duties");
            meters::lease_claim("unreadable");
            sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
            return;
        }
        let LeaseAction::Append(record) = holder.with_lease(|it, now_ms| it.next_action(now_ms))
        else {
            return;
        };
        let result = lease_log::append(&*self.store, holder, &record).await;
        let is_granted = result.is_ok() && holder.token().is_some();
        meters::lease_claim(if is_granted { "granted" } else { "not_granted" });
        if is_granted {
            holder.begin_term();
        } else {
            sleep(Duration::from_millis(READ_INTERVAL_MS)).await;
        }
    }

    /// Gives the lease up, once no call is under way.
    async fn release(&mut self) {
        let holder = &self.duties.holder;
        if !holder.begin_release() {
            return;
        }
        if let Some(record) = holder.with_lease(|it, now_ms| it.release(now_ms)) {
            let is_told = lease_log::append(&*self.store, holder, &record).await.is_ok();
            tracing::info!(is_told, "lease of the duties released");
            meters::lease_claim("released");
        }
        holder.end_release();
    }

    /// Place of this instance among the hubs, by hash; `None` if it is no hub.
    fn hub_rank(&self) -> Option<u64> {
        let settings = &self.gateway.settings;
        let (own, now_ms) = (&settings.instance, clock::now_ms());
        let roster = self.gateway.peers.roster();
        let is_own = |name: &str| name == own.as_str();
        if roster.hub(&settings.availability_zone, own, now_ms).is_some_and(|it| !is_own(&it.name))
        {
            return None;
        }
        let zones = roster.zones();
        let hubs = zones.iter().filter_map(|it| roster.hub(it, own, now_ms));
        let order = (name_hash(own), own.as_str());
        let before = hubs.filter(|it| (name_hash(&it.name), it.name.as_str()) < order).count();
        Some(before as u64)
    }

    fn log_change(&mut self) {
        let token = self.duties.holder.token();
        if token == self.logged_token {
            return;
        }
        match token {
            Some(token) => tracing::info!(token, "lease of the duties is held"),
            None => {
                tracing::info!(token = self.logged_token, "lease of the duties is no longer held")
            }
        }
        self.logged_token = token;
        meters::lease_held(token);
    }
}

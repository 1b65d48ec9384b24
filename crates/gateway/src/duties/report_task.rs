//! Closes windows and, at the holder of the lease, commits and sends reports of usage.

use std::{sync::Arc, time::Duration};

use tanagergauge_core::{
    Name,
    duties::{CallError, CallPermit, Duty, UsageReport},
    roster::Peer,
    usage::{CommittedReport, Scope, Standing},
};
use tokio::time::sleep;

use super::{Duties, usage::Contacts, usage_logs::UsageLogs};
use crate::{
    backoff::Backoff, boot_clock, clock, control_service::ControlService, gateway::Gateway, meters,
    store::Store,
};

/// Interval at which windows are looked at.
const TICK: Duration = Duration::from_millis(100);
/// Delay after the first failed call; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Longest such delay.
const MAX_BACKOFF: Duration = Duration::from_millis(1_200);
/// How long before a report is due the last call begins, in milliseconds.
const DUE_MARGIN_MS: u64 = 150;

/// Time without contact after which counts are written to the store, in milliseconds.
const UNTOLD_AFTER_MS: u64 = 1_500;
/// Time without contact after which a zone doesn't count as reached by the holder, in milliseconds.
const CUT_OFF_AFTER_MS: u64 = 3_000;

/// With which zones an instance is in contact.
#[derive(Clone, Copy, Debug)]
struct Reach {
    is_hub: bool,
    /// Number of zones, its own included.
    zones_reached: usize,
    zones: usize,
}

/// Closes windows, commits and sends reports.
pub(super) struct ReportTask<S, C> {
    gateway: Arc<Gateway>,
    duties: Arc<Duties>,
    store: Arc<S>,
    service: Arc<C>,
    logs: UsageLogs,
    /// Token of the term in which the committed reports were read.
    read_token: Option<u64>,
    /// When that was.
    term_since_ms: u64,
    backoff: Backoff,
    /// No call before then.
    call_from_ms: u64,
    /// The last window that was counted as missed.
    missed: Option<u64>,
}

impl<S: Store, C: ControlService> ReportTask<S, C> {
    pub(super) fn new(
        gateway: Arc<Gateway>,
        duties: Arc<Duties>,
        store: Arc<S>,
        service: Arc<C>,
    ) -> ReportTask<S, C> {
        ReportTask {
            gateway,
            duties,
            store,
            service,
            logs: UsageLogs::new(),
            read_token: None,
            term_since_ms: 0,
            backoff: Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF),
            call_from_ms: 0,
            missed: None,
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(mut self) {
        if !self.duties.settings.has(Duty::UsageReports) {
            return;
        }
        loop {
            sleep(TICK).await;
            self.duties.usage().advance(self.gateway.store_era());
            match self.duties.holder.token() {
                Some(token) => self.report(token).await,
                None => {
                    self.read_token = None;
                    self.write_counts().await;
                }
            }
        }
    }

    /// Writes counts to the store if a hub that needs them can't be told.
    async fn write_counts(&mut self) {
        if let Some(scope) = self.untold_counts() {
            self.logs.write_counts(&*self.store, &self.duties, &scope).await;
        }
    }

    /// Counts that this instance should tell a hub and can't: its own if it has no contact with the hub of
    /// its zone; as the hub those of its zone, if it has no contact with one of the other zones.
    fn untold_counts(&self) -> Option<Scope> {
        let (contacts, source) = {
            let usage = self.duties.usage();
            if usage.is_new() {
                return None;
            }
            (usage.contacts.clone(), usage.source.clone())
        };
        let reach = self.reach(&contacts, UNTOLD_AFTER_MS);
        if reach.zones_reached >= reach.zones {
            return None;
        }
        Some(if reach.is_hub { Scope::Direct } else { Scope::Source(source) })
    }

    /// With which zones this instance exchanged reports in the last `within_ms`. For a member that is its hub,
    /// for all of them; for the hub of the only zone, a member.
    fn reach(&self, contacts: &Contacts, within_ms: u64) -> Reach {
        let settings = &self.gateway.settings;
        let (own, zone) = (&settings.instance, &settings.availability_zone);
        let is_recent = |at_ms: u64| boot_clock::now_ms() < at_ms.saturating_add(within_ms);
        let roster = self.gateway.peers.roster();
        let zones = roster.zones();
        let all = zones.len().max(1);
        let hub = roster.hub(zone, own, clock::now_ms());
        if hub.is_some_and(|it| it.name != *own) {
            let zones_reached = if is_recent(contacts.hub_ms) { all } else { 0 };
            return Reach { is_hub: false, zones_reached, zones: all };
        }
        if zones.len() <= 1 {
            let is_reached = roster.len() <= 1 || is_recent(contacts.member_ms);
            return Reach { is_hub: true, zones_reached: usize::from(is_reached), zones: all };
        }
        let is_reached = |zone: &Name| {
            let contacted = |it: &Peer| contacts.zones.get(&it.name).copied();
            roster.members(zone).filter_map(contacted).any(is_recent)
        };
        let zones_reached = zones.iter().filter(|it| *it == zone || is_reached(it)).count();
        Reach { is_hub: true, zones_reached, zones: all }
    }

    /// Where this instance stands as the holder.
    fn standing(&self) -> Standing {
        let contacts = self.duties.usage().contacts.clone();
        let Reach { zones_reached, zones, .. } = self.reach(&contacts, CUT_OFF_AFTER_MS);
        let window_ms = self.duties.settings.windows().window_ms;
        let is_settled = boot_clock::now_ms() >= self.term_since_ms.saturating_add(window_ms);
        Standing { zones_reached, zones, is_settled }
    }

    async fn report(&mut self, token: u64) {
        if self.read_token != Some(token) {
            if let Err(error) = self.logs.read_reports(&*self.store, &self.duties).await {
                tracing::debug!(%error, "cannot read the committed reports of usage");
                return;
            }
            self.read_token = Some(token);
            self.term_since_ms = boot_clock::now_ms();
        }
        self.commit().await;
        self.send().await;
        self.count_missed();
    }

    async fn commit(&mut self) {
        if !self.gateway.peers.is_list_read() {
            return;
        }
        let standing = self.standing();
        if self.duties.usage().awaits_commit()
            && let Err(error) = self.logs.read_counts(&*self.store, &self.duties).await
        {
            tracing::debug!(%error, "cannot read the counts of instances that reach no hub");
            return;
        }
        let Some(window) = self.duties.usage().window_to_commit(standing) else { return };
        // Another instance may have committed it.
        if let Err(error) = self.logs.read_reports(&*self.store, &self.duties).await {
            tracing::debug!(%error, window, "cannot read the committed reports of usage");
            return;
        }
        let report = {
            let mut usage = self.duties.usage();
            // A store that was restored meanwhile may have lost a report of the window.
            if usage.window_to_commit(standing) != Some(window) {
                return;
            }
            CommittedReport { window, counts: usage.table.totals(window) }
        };
        let result = self.logs.commit(&*self.store, &self.duties, &report).await;
        let is_committed = self.duties.usage().reports.get(window).is_some();
        meters::usage_report(if is_committed { "committed" } else { "not_committed" });
        tracing::debug!(window, is_committed, ?result, "report of usage committed");
    }

    /// Sends the committed reports that are not due yet.
    async fn send(&mut self) {
        while boot_clock::now_ms() >= self.call_from_ms {
            let Some((report, left_ms)) = self.duties.usage().report_to_send(DUE_MARGIN_MS) else {
                return;
            };
            let Some(mut permit) = self.duties.holder.permit() else { return };
            let due_ms = boot_clock::now_ms() + left_ms + DUE_MARGIN_MS;
            permit.deadline_ms = permit.deadline_ms.min(due_ms);
            self.call(&permit, &report).await;
        }
    }

    async fn call(&mut self, permit: &CallPermit, report: &UsageReport) {
        let result = self.service.report_usage(permit, report).await;
        self.duties.holder.record_call(&result);
        meters::control_call(&result);
        let window = report.window;
        match result {
            Ok(()) => {
                self.duties.usage().reports.set_sent(window);
                self.backoff.reset();
                let requests: u64 = report.counts.values().sum();
                let accounts = report.counts.len();
                tracing::info!(
                    window,
                    requests,
                    accounts,
                    token = permit.fencing_token,
                    "usage reported"
                );
                meters::usage_report("sent");
            }
            Err(CallError::Rejected) => {
                self.duties.usage().reports.set_sent(window);
                tracing::error!(window, "the control service rejected a report of usage");
                meters::usage_report("rejected");
            }
            Err(error) => {
                tracing::info!(window, %error, "cannot report usage; retrying");
                let delay = self.backoff.failed();
                self.call_from_ms = boot_clock::now_ms() + delay.as_millis() as u64;
            }
        }
    }

    /// Counts windows whose reports were due and are not sent.
    fn count_missed(&mut self) {
        let missed = self.duties.usage().newest_missed();
        if missed > self.missed {
            tracing::warn!(window = missed, "no report of usage was sent in time");
            meters::usage_window_missed();
            self.missed = missed;
        }
    }
}

//! Usage that this instance counts and learns of.

use std::{collections::HashMap, sync::atomic::Ordering};

use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name,
    duties::{Duty, UsageReport},
    usage::{
        ClockOffsets, Coverage, KEPT_WINDOWS, Reports, Standing, UsageSource, UsageTable,
        WindowTiming, may_commit,
    },
};

use crate::{boot_clock, clock, gateway::Gateway, request::Request};

/// Time after the start after which windows are closed although no peer's clock is known, in
/// milliseconds.
const SYNC_WAIT_MS: u64 = 3_000;

/// Time after the start in which a process need not have exchanged reports yet, in milliseconds.
const NEW_MS: u64 = 1_500;

/// Up to where a receiver has what a process told. The default is a position of no process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct UsagePosition {
    /// Identifies the process and what it leaves out for the receiver.
    pub(super) log: u64,
    /// Sequence number of counts.
    pub(super) counts: u64,
    /// Sequence number of reports.
    pub(super) reports: u64,
}

/// A report of a peer that was not responded to yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedReport {
    /// Time of the peer's clock, which the response repeats.
    pub(super) boot_ms: u64,
    /// The peer needs the counts of all.
    pub(super) wants_counts: bool,
}

/// State of the exchange with a peer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerExchange {
    /// What the peer has of this instance.
    pub(super) acked: UsagePosition,
    /// What this instance has of the peer.
    pub(super) received: UsagePosition,
    /// When counts were last sent to the peer.
    pub(super) sent_ms: u64,
    /// Half of the last round trip to the peer.
    pub(super) delay_ms: u64,
    /// What the response to the peer's last report needs of it.
    pub(super) report: Option<ReceivedReport>,
}

/// When this instance last exchanged reports, in milliseconds.
#[derive(Clone, Debug, Default)]
pub(super) struct Contacts {
    /// With the hub of its zone; 0 for never.
    pub(super) hub_ms: u64,
    /// With a member of its zone, as the hub; 0 for never.
    pub(super) member_ms: u64,
    /// With hubs of other zones.
    pub(super) zones: HashMap<Name, u64>,
}

/// Usage that this instance counts and learns of.
pub(super) struct Usage {
    pub(super) source: UsageSource,
    pub(super) timing: WindowTiming,
    pub(super) table: UsageTable,
    pub(super) reports: Reports,
    pub(super) offsets: ClockOffsets,
    pub(super) peers: HashMap<Name, PeerExchange>,
    /// A peer's clock is known.
    pub(super) is_synchronized: bool,
    pub(super) contacts: Contacts,
    /// Windows before this one are closed; `None` until the clock is corrected.
    open_window: Option<u64>,
    started_ms: u64,
    /// Latest known era of the store.
    era: u64,
    /// Since when that era is known, in corrected Unix milliseconds. What was committed in an earlier one
    /// may be lost.
    era_since_unix_ms: u64,
}

impl Usage {
    pub(super) fn new(source: UsageSource, timing: WindowTiming) -> Usage {
        Usage {
            source,
            timing,
            table: UsageTable::default(),
            reports: Reports::default(),
            offsets: ClockOffsets::default(),
            peers: HashMap::new(),
            is_synchronized: false,
            contacts: Contacts::default(),
            open_window: None,
            started_ms: boot_clock::now_ms(),
            era: 0,
            era_since_unix_ms: clock::unix_ms(),
        }
    }

    /// Corrected Unix time in milliseconds.
    pub(super) fn unix_ms(&mut self) -> u64 {
        let correction_ms = self.offsets.correction_ms(boot_clock::now_ms());
        clock::unix_ms().saturating_add_signed(correction_ms)
    }

    fn count(&mut self, account: &Name) {
        let unix_ms = self.unix_ms();
        let window = self.timing.window_at(unix_ms);
        // Closed windows are final.
        let window = self.open_window.map_or(window, |it| window.max(it));
        self.table.count(&self.source, window, account);
    }

    /// Closes windows that are over, and drops old ones.
    pub(super) fn advance(&mut self, store_era: u64) {
        self.set_era(store_era);
        let is_sure =
            self.is_synchronized || boot_clock::now_ms() >= self.started_ms + SYNC_WAIT_MS;
        let unix_ms = self.unix_ms();
        let window = self.timing.window_at(unix_ms);
        if !is_sure {
            return;
        }
        let open = *self.open_window.get_or_insert(window);
        // A correction by more than a window may go back or forward by any time.
        if window + 1 < open || window > open + 1 {
            tracing::info!(open, window, "the corrected clock has jumped");
        }
        for closed in open.max(window.saturating_sub(1))..window {
            self.table.close(&self.source, closed);
        }
        if window + 1 < open || window > open {
            self.open_window = Some(window);
        }
        self.table.expire(window);
        self.reports.expire(window);
    }

    /// Takes note of the era of the store.
    pub(super) fn set_era(&mut self, era: u64) {
        if era > self.era {
            self.era = era;
            self.era_since_unix_ms = self.unix_ms();
        }
    }

    /// A window that is over and whose counts this instance may commit now.
    pub(super) fn window_to_commit(&mut self, standing: Standing) -> Option<u64> {
        let unix_ms = self.unix_ms();
        let WindowTiming { window_ms, due_ms } = self.timing;
        let oldest = self.timing.window_at(unix_ms.saturating_sub(window_ms + due_ms));
        let current = self.timing.window_at(unix_ms);
        let first_used = self.table.first_used();
        let first_report = self.reports.first();
        let first = first_used.into_iter().chain(first_report).min()?;
        (oldest.max(first)..current).find(|&window| {
            let coverage = self.coverage(window, standing);
            self.reports.get(window).is_none()
                && self.era_since_unix_ms <= self.timing.end_ms(window)
                && may_commit(self.timing, window, coverage, unix_ms)
        })
    }

    /// Latest known era of the store.
    pub(super) fn era(&self) -> u64 {
        self.era
    }

    /// Whether this process started so recently that it need not have exchanged reports yet.
    pub(super) fn is_new(&self) -> bool {
        boot_clock::now_ms() < self.started_ms + NEW_MS
    }

    /// Whether a window is over and its report is neither committed nor due.
    pub(super) fn awaits_commit(&mut self) -> bool {
        let unix_ms = self.unix_ms();
        let WindowTiming { window_ms, due_ms } = self.timing;
        let oldest = self.timing.window_at(unix_ms.saturating_sub(window_ms + due_ms));
        (oldest..self.timing.window_at(unix_ms)).any(|it| self.reports.get(it).is_none())
    }

    /// First window that is kept.
    pub(super) fn oldest_kept(&mut self) -> u64 {
        let unix_ms = self.unix_ms();
        (self.timing.window_at(unix_ms) + 1).saturating_sub(KEPT_WINDOWS)
    }

    /// The oldest committed report that was not sent and is due later than in `margin_ms`, with the time
    /// until then.
    pub(super) fn report_to_send(&mut self, margin_ms: u64) -> Option<(UsageReport, u64)> {
        let unix_ms = self.unix_ms() + margin_ms;
        let timing = self.timing;
        let unsent = self.reports.unsent().map(|it| (it, timing.due_at_ms(it.window)));
        let mut in_time = unsent.filter(|(_, due_ms)| unix_ms < *due_ms);
        in_time.next().map(|(it, due_ms)| (it.report(), due_ms - unix_ms))
    }

    /// The newest window with requests that is due and whose report this instance has not sent nor
    /// learned.
    pub(super) fn newest_missed(&mut self) -> Option<u64> {
        let unix_ms = self.unix_ms();
        let first = self.table.first_used()?;
        let WindowTiming { window_ms, due_ms } = self.timing;
        let due = self.timing.window_at(unix_ms.saturating_sub(window_ms + due_ms));
        (first..due).rev().find(|it| self.reports.get(*it).is_none())
    }

    fn coverage(&self, window: u64, standing: Standing) -> Coverage {
        let closed = self.table.closed_instances(window);
        let mut recent = self.table.instances(window);
        recent.extend(self.table.instances(window.saturating_sub(1)));
        Coverage { closed: closed.len(), recent: recent.len(), standing }
    }
}

/// Whether requests count as usage once their responses begin: all of client accounts, if usage is
/// reported.
fn is_usage(gateway: &Gateway) -> bool {
    let settings = gateway.settings.duties.as_ref();
    settings.is_some_and(|it| it.has(Duty::UsageReports))
}

/// Counts a request of a client account whose response begins; later calls for it have no effect.
pub(crate) fn record_begun(gateway: &Gateway, request: &Request) {
    let (Some(duties), Some(account)) = (&gateway.duties, &request.account) else { return };
    if is_usage(gateway) && !request.is_counted.swap(true, Ordering::Relaxed) {
        duties.usage().count(&account.name);
    }
}

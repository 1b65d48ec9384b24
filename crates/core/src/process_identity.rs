//! Whether the process that answers at an endpoint's address is the one that the endpoint's entry describes.
//!
//! A process may end and another one take its place under the same id and address, with other software,
//! before the entry tells so. A connection ends with its process, so that a refused or ended connection
//! raises a doubt. Two things end it:
//!
//! - a request that was sent later is answered on a connection that was opened before;
//! - a connection that was opened later stays open, and the entry stays the same for longer than a new
//!   process takes to write its own.

/// Time after which a process that accepts connections has written its entry and an instance can have
/// read it, in milliseconds.
pub const ENTRY_WRITTEN_MS: u64 = 400;
/// The same for processes whose writes the store did not take, from when it serves again, in
/// milliseconds. They repeat them with each heartbeat, 1.2 s apart.
pub const ENTRY_WRITTEN_AGAIN_MS: u64 = 2_000;

/// Repeated entries after which an endpoint is taken to repeat its entry as long as it runs.
const MIN_REPEATS: u32 = 2;
/// Time without another one after which it is not taken to do so any more, in milliseconds. Entries whose
/// endpoints are gone are removed before.
const REPEATS_MEMORY_MS: u64 = 6_000;

/// By how much the time of a disconnect may seem later at a peer, in milliseconds.
const MAX_TOLD_LATE_MS: u64 = 300;

/// How current the list of endpoints is; monotonic times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCurrency {
    /// When the list was last confirmed.
    pub confirmed_ms: u64,
    /// End of the last long gap between confirmations, or of the last era of the store; `None` if there
    /// was none since the start.
    pub gap_end_ms: Option<u64>,
}

impl ListCurrency {
    /// Whether the list is of a time by which a process that accepted a connection at `accepted_ms` must have
    /// written its entry.
    pub fn shows_entry_of(self, accepted_ms: u64) -> bool {
        let after_gap_ms = self.gap_end_ms.map_or(0, |it| it + ENTRY_WRITTEN_AGAIN_MS);
        self.is_read_after(accepted_ms) && self.confirmed_ms >= after_gap_ms
    }

    /// The same where only this instance was out of step, and the store was not away.
    pub fn is_read_after(self, accepted_ms: u64) -> bool {
        self.confirmed_ms >= accepted_ms + ENTRY_WRITTEN_MS
    }
}

/// What is known of the identity of an endpoint's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// `None` while nothing hints at another process than that of the entry.
    doubt: Option<Doubt>,
    /// When the entry's process was last shown to be there after a doubt. What is told later of an
    /// earlier time raises no doubt.
    shown_ms: u64,
    repeats: EntryRepeats,
    /// The process has reported that it is that of the entry, and can be asked again.
    reports: bool,
}

/// How an endpoint repeats its entry. Where the store shows that, silence is a sign too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct EntryRepeats {
    /// Repetitions of the process's entry.
    count: u32,
    /// Number of the newest one.
    sequence: u64,
    /// When it was read; monotonic.
    read_ms: u64,
}

impl EntryRepeats {
    fn are_regular(self, now_ms: u64) -> bool {
        self.count >= MIN_REPEATS && now_ms.saturating_sub(self.read_ms) < REPEATS_MEMORY_MS
    }
}

/// The number of the entry at a time after a connection was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Baseline {
    accepted_ms: u64,
    sequence: u64,
}

/// Another process may have taken the place of the one that the entry describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Doubt {
    /// Connections that were opened before this time lead to the entry's process; not later than
    /// `latest_ms`.
    since_ms: u64,
    /// When a connection was last refused or ended.
    latest_ms: u64,
    /// Present while a newer entry is waited for.
    baseline: Option<Baseline>,
}

impl ProcessIdentity {
    /// Records that a connection was refused or ended at a time, or that an answer did not come. Returns
    /// whether that raises a doubt. Times are monotonic.
    pub fn record_disconnect(&mut self, at_ms: u64) -> bool {
        if at_ms < self.shown_ms {
            return false;
        }
        let since_ms = self.doubt.map_or(at_ms, |it| it.since_ms.min(at_ms));
        let latest_ms = self.doubt.map_or(at_ms, |it| it.latest_ms.max(at_ms));
        self.doubt.replace(Doubt { since_ms, latest_ms, baseline: None }).is_none()
    }

    /// As [`ProcessIdentity::record_disconnect`], for what a peer told. It may tell again what it heard from
    /// here, a little later each time.
    pub fn record_told_disconnect(&mut self, at_ms: u64) -> bool {
        let is_known = self.doubt.is_some_and(|it| at_ms <= it.latest_ms + MAX_TOLD_LATE_MS);
        !is_known && self.record_disconnect(at_ms)
    }

    /// Records that the entry was read again, with nothing new but its number.
    pub fn record_repeat(&mut self, sequence: u64, now_ms: u64) {
        if sequence > self.repeats.sequence {
            let count = self.repeats.count.saturating_add(1);
            self.repeats = EntryRepeats { count, sequence, read_ms: now_ms };
        }
    }

    /// Records that the entry describes another process than before. A doubt stays, and no open
    /// connection tells of that process.
    pub fn record_restart(&mut self) {
        self.repeats = EntryRepeats::default();
        self.reports = false;
        if let Some(doubt) = &mut self.doubt {
            doubt.since_ms = 0;
        }
    }

    /// Records an answer to a request that was sent at `sent_ms` on a connection that was opened at
    /// `opened_ms`.
    pub fn record_answer(&mut self, opened_ms: u64, sent_ms: u64) {
        if self.doubt.is_some_and(|it| opened_ms < it.since_ms && sent_ms > it.latest_ms) {
            self.end_doubt(sent_ms);
        }
    }

    fn end_doubt(&mut self, shown_ms: u64) {
        self.doubt = None;
        self.shown_ms = shown_ms;
    }

    /// Ends the doubt if the process that accepted a connection at `accepted_ms`, which is still open,
    /// must have written its entry by now; if the endpoint repeats its entry, once it has done so after that.
    /// Returns whether the identity is proven.
    pub fn record_unchanged_entry(
        &mut self,
        accepted_ms: u64,
        list: ListCurrency,
        now_ms: u64,
    ) -> bool {
        let is_later = self.doubt.is_some_and(|it| accepted_ms >= it.latest_ms);
        let is_written = match self.repeats.are_regular(now_ms) {
            true => self.is_repeated_after(accepted_ms, list),
            false => true,
        };
        if is_later && is_written && list.shows_entry_of(accepted_ms) {
            self.end_doubt(now_ms);
        }
        self.is_proven()
    }

    /// Whether the entry was repeated after a list that was current once a connection was accepted.
    fn is_repeated_after(&mut self, accepted_ms: u64, list: ListCurrency) -> bool {
        let sequence = self.repeats.sequence;
        let Some(doubt) = &mut self.doubt else { return true };
        match doubt.baseline.filter(|it| it.accepted_ms == accepted_ms) {
            Some(baseline) => sequence > baseline.sequence,
            None => {
                let is_current = list.confirmed_ms >= accepted_ms;
                doubt.baseline = is_current.then_some(Baseline { accepted_ms, sequence });
                false
            }
        }
    }

    /// Records that the process which answered at `asked_ms` is that of the entry, by its own report.
    pub fn record_shown(&mut self, asked_ms: u64) {
        self.reports = true;
        if self.doubt.is_none_or(|it| asked_ms > it.latest_ms) {
            self.doubt = None;
            self.shown_ms = self.shown_ms.max(asked_ms);
        }
    }

    /// Whether nothing hints at another process than that of the entry.
    pub fn is_proven(&self) -> bool {
        self.doubt.is_none()
    }

    /// Whether the process can be asked, as it has reported before.
    pub fn reports(&self) -> bool {
        self.reports
    }

    /// Whether a connection that was opened at `opened_ms` is shown to lead to the entry's process: that was
    /// shown later, or the process which accepted it must have written its entry by the time of the list.
    pub fn is_shown_on(&self, opened_ms: u64, list: ListCurrency) -> bool {
        let is_shown = opened_ms <= self.shown_ms || list.is_read_after(opened_ms);
        is_shown && self.is_reached_by(opened_ms)
    }

    /// Whether nothing hints at another process than the entry's on a connection that was opened at
    /// `opened_ms`.
    pub fn is_reached_by(&self, opened_ms: u64) -> bool {
        self.doubt.is_none_or(|it| opened_ms < it.since_ms)
    }

    /// When a connection was last refused or ended, while the doubt lasts.
    pub fn doubted_ms(&self) -> Option<u64> {
        self.doubt.map(|it| it.latest_ms)
    }
}

//! When a window's counts are complete enough to be committed.

/// Time after a window's end at which it is committed if nothing is missing, in milliseconds. Counts pass
/// two instances, each of which sends them within a quarter of a second and reports twice a second or
/// more often.
const MIN_WAIT_MS: u64 = 1_500;
/// How long before a report is due it is committed at the latest, in milliseconds.
const COMMIT_BEFORE_DUE_MS: u64 = 4_000;
/// Least part of the instances that counted lately of which the counts must be final, and of the
/// availability zones that the holder must be in contact with, in percent. A holder that is cut off from
/// most others reports nothing; with fewer that are cut off, these write their counts to the store.
const MIN_PERCENT: usize = 50;

/// Lengths of windows and of the time until a report is due, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowTiming {
    /// Length of a window.
    pub window_ms: u64,
    /// Time from a window's end until its report is due.
    pub due_ms: u64,
}

impl WindowTiming {
    /// Window of a point in time, in Unix milliseconds.
    pub fn window_at(&self, unix_ms: u64) -> u64 {
        unix_ms / self.window_ms
    }

    /// End of a window in Unix milliseconds.
    pub fn end_ms(&self, window: u64) -> u64 {
        (window + 1).saturating_mul(self.window_ms)
    }

    /// When the report of a window is due, in Unix milliseconds.
    pub fn due_at_ms(&self, window: u64) -> u64 {
        self.end_ms(window).saturating_add(self.due_ms)
    }
}

/// By what the completeness of a window's counts is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// Instances whose counts are final.
    pub closed: usize,
    /// Instances that counted in the window or in the one before it, or closed one of them.
    pub recent: usize,
    /// Where the holder stands.
    pub standing: Standing,
}

/// With whom the holder is in contact, and for how long it has held the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Availability zones that the holder is in contact with, its own included.
    pub zones_reached: usize,
    /// All availability zones.
    pub zones: usize,
    /// The term is older than a window, so that the counts of all have arrived.
    pub is_settled: bool,
}

/// Whether the counts of a window may be committed at a time in Unix milliseconds.
pub fn may_commit(timing: WindowTiming, window: u64, coverage: Coverage, unix_ms: u64) -> bool {
    let earliest_ms = timing.end_ms(window) + MIN_WAIT_MS;
    if unix_ms < earliest_ms || unix_ms >= timing.due_at_ms(window) || coverage.closed == 0 {
        return false;
    }
    let Coverage { closed, recent, standing } = coverage;
    let Standing { zones_reached, zones, is_settled } = standing;
    if closed >= recent && zones_reached >= zones && is_settled {
        return true;
    }
    let latest_ms = timing.due_at_ms(window).saturating_sub(COMMIT_BEFORE_DUE_MS);
    unix_ms >= latest_ms.max(earliest_ms)
        && closed * 100 >= recent * MIN_PERCENT
        && zones_reached * 100 >= zones * MIN_PERCENT
        && zones_reached > 0
}

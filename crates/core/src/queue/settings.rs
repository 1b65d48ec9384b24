//! Limits of a queue and its optional mechanisms.

/// Limits of a queue and its optional mechanisms.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum total size of the entries, in bytes.
    pub max_bytes: usize,
    /// A class that waits this long without a dispatch gets one whatever the tiers above it have
    /// queued, in milliseconds.
    pub floor_window_ms: u64,
    /// Dispatch higher tiers first; otherwise in order of arrival.
    pub tiers: bool,
    /// Within a tier, dispatch accounts furthest below their share first; otherwise in order of
    /// arrival.
    pub shares: bool,
    /// Guarantee each class its floor.
    pub floors: bool,
    /// Within a tier, dispatch requests that can still meet their first-token target before those
    /// that cannot.
    pub late_last: bool,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            max_entries: 20_000,
            max_bytes: 16 << 20,
            floor_window_ms: 10_000,
            tiers: true,
            shares: true,
            floors: true,
            late_last: true,
        }
    }
}

impl QueueSettings {
    /// First in, first out over all tiers and accounts, as a baseline for comparison.
    pub fn fifo() -> QueueSettings {
        QueueSettings {
            tiers: false,
            shares: false,
            floors: false,
            late_last: false,
            ..QueueSettings::default()
        }
    }
}

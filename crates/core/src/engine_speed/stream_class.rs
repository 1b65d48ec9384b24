//! Whether streams with an event gap goal are latency-sensitive, decided so that it seldom changes.

/// An event gap goal below this multiple of the learned gap makes streams latency-sensitive: some gaps
/// are longer than the learned percentile.
const SENSITIVE_BELOW: f64 = 1.15;
/// Streams stop being latency-sensitive above this multiple. The 13% between the two keep noise in
/// the estimate from changing the class.
const INSENSITIVE_ABOVE: f64 = 1.3;
/// Shortest time between two changes, in milliseconds: reserved engines take some seconds to empty.
const MIN_DWELL_MS: u64 = 5_000;

/// Class of the streams that share an event gap goal.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamClass {
    latency_sensitive: bool,
    /// When the class changed last; `None` if it has not.
    changed_ms: Option<u64>,
}

impl StreamClass {
    pub(super) fn new(latency_sensitive: bool) -> StreamClass {
        StreamClass { latency_sensitive, changed_ms: None }
    }

    /// Updates the class by the gap of an engine in constant prefill, and returns it.
    pub(super) fn update(&mut self, goal_ms: f64, gap_ms: f64, now_ms: u64) -> bool {
        let has_dwelt = self.changed_ms.is_none_or(|it| now_ms.saturating_sub(it) >= MIN_DWELL_MS);
        let is_other = if self.latency_sensitive {
            goal_ms >= gap_ms * INSENSITIVE_ABOVE
        } else {
            goal_ms < gap_ms * SENSITIVE_BELOW
        };
        if has_dwelt && is_other {
            self.latency_sensitive = !self.latency_sensitive;
            self.changed_ms = Some(now_ms);
        }
        self.latency_sensitive
    }
}

//! Correction of this instance's clock by those of its peers.

use std::collections::BTreeMap;

use crate::Name;

/// How long a peer's offset counts, in milliseconds.
const MAX_AGE_MS: u64 = 10_000;
/// Longest round trip of which half is a usable estimate of the delay, in milliseconds.
const MAX_ROUND_TRIP_MS: u64 = 300;

/// Offsets of peers' clocks from this instance's clock. A few wrong clocks do not change their median.
#[derive(Clone, Debug, Default)]
pub struct ClockOffsets {
    /// Offset and time of its measurement, in milliseconds, by peer.
    peers: BTreeMap<Name, (i64, u64)>,
    /// Offset of a clock that was corrected already, and the time of its measurement.
    reference: Option<(i64, u64)>,
}

impl ClockOffsets {
    /// Offset of a clock that showed `peer_unix_ms` half a round trip ago; `None` if the round trip was too
    /// long.
    pub fn measure(peer_unix_ms: u64, own_unix_ms: u64, round_trip_ms: u64) -> Option<i64> {
        if round_trip_ms > MAX_ROUND_TRIP_MS {
            return None;
        }
        let peer_now_ms = peer_unix_ms.checked_add(round_trip_ms / 2)?;
        i64::try_from(peer_now_ms).ok()?.checked_sub(i64::try_from(own_unix_ms).ok()?)
    }

    /// Records a peer's offset.
    pub fn record(&mut self, peer: &Name, offset_ms: i64, now_ms: u64) {
        self.peers.insert(peer.clone(), (offset_ms, now_ms));
    }

    /// Records the offset of the corrected clock of this zone's hub, which has more peers.
    pub fn record_reference(&mut self, offset_ms: i64, now_ms: u64) {
        self.reference = Some((offset_ms, now_ms));
    }

    /// What to add to this instance's clock: the offset of the reference if there is one, else the median of
    /// the peers' clocks and its own.
    pub fn correction_ms(&mut self, now_ms: u64) -> i64 {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) <= MAX_AGE_MS;
        if let Some((offset_ms, at_ms)) = self.reference
            && is_recent(at_ms)
        {
            return offset_ms;
        }
        self.peers.retain(|_, (_, at_ms)| is_recent(*at_ms));
        let mut offsets: Vec<i64> = self.peers.values().map(|it| it.0).chain([0]).collect();
        offsets.sort_unstable();
        let middle = offsets.len() / 2;
        if offsets.len() % 2 == 1 {
            return offsets[middle];
        }
        let (low, high) = (offsets[middle - 1], offsets[middle]);
        low.saturating_add(high.saturating_sub(low) / 2)
    }
}

//! Round-trip times between this instance and endpoints.

use crate::endpoint::Distance;

/// Weight of the newest sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Longest time to open a connection that counts, in milliseconds: longer ones are due to lost packets.
const MAX_SAMPLE_MS: f64 = 250.0;
/// Times before any was observed, in milliseconds: same availability zone, same region, other region.
const INITIAL_MS: [f64; 3] = [1.0, 3.0, 40.0];

/// Average round-trip time by distance, from the times that connections take to open.
#[derive(Clone, Copy, Debug)]
pub struct RoundTrips {
    average_ms: [f64; 3],
}

impl Default for RoundTrips {
    fn default() -> RoundTrips {
        RoundTrips { average_ms: INITIAL_MS }
    }
}

impl RoundTrips {
    /// Average round-trip time to endpoints at a distance, in milliseconds.
    pub fn round_trip_ms(&self, distance: Distance) -> f64 {
        self.average_ms[index(distance)]
    }

    /// Records how long it took to open a connection.
    pub fn record(&mut self, distance: Distance, took_ms: f64) {
        if (0.0..=MAX_SAMPLE_MS).contains(&took_ms) {
            let average_ms = &mut self.average_ms[index(distance)];
            *average_ms += SAMPLE_WEIGHT * (took_ms - *average_ms);
        }
    }
}

fn index(distance: Distance) -> usize {
    match distance {
        Distance::SameZone => 0,
        Distance::SameRegion => 1,
        Distance::OtherRegion => 2,
    }
}

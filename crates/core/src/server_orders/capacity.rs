//! The number of servers that a service is planned with: rises at once, falls slowly.

/// A need above the planned capacity by no more than this fraction changes nothing; it is within the accuracy
/// of the forecast.
const TOLERANCE: f64 = 0.03;
/// Spare capacity in a changed plan, as a fraction of the need, so that small fluctuations do not change it
/// again: new servers have an empty cache, so changes should be few.
const MARGIN: f64 = 0.05;
/// How long the need has to be lower before fewer servers are planned, in milliseconds. It is longer than
/// the period of 11 s of common oscillations, whose peaks then prevent a reduction.
const LOWER_FOR_MS: u64 = 12_000;
/// Greatest fraction of the servers by which one reduction lowers the plan.
const MAX_REDUCTION: f64 = 0.1;

/// Number of servers that have to remain when any one zone loses its spot servers.
#[derive(Clone, Debug)]
pub struct PlannedCapacity {
    servers: u32,
    /// When the current observation of a possibly lower need began.
    observed_from_ms: Option<u64>,
    /// Greatest need since then.
    highest_need: u32,
}

impl PlannedCapacity {
    /// Starts with what is there.
    pub fn new(servers: u32) -> PlannedCapacity {
        PlannedCapacity { servers, observed_from_ms: None, highest_need: 0 }
    }

    /// The planned number of servers.
    pub fn servers(&self) -> u32 {
        self.servers
    }

    /// Raises the plan to at least this number.
    pub fn raise_to(&mut self, servers: u32) {
        self.servers = self.servers.max(servers);
    }

    /// Takes the need as it is forecast now. A reduction begins only after observations that cover the whole
    /// of [`LOWER_FOR_MS`], all made while the usual demand was known (`may_fall`).
    pub fn update(&mut self, need: u32, may_fall: bool, now_ms: u64) {
        if f64::from(need) > f64::from(self.servers) * (1.0 + TOLERANCE) {
            self.servers = with_margin(need);
            self.observe_from(now_ms);
            return;
        }
        if !may_fall {
            self.observe_from(now_ms);
            return;
        }
        self.highest_need = self.highest_need.max(need);
        let from_ms = *self.observed_from_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(from_ms) < LOWER_FOR_MS {
            return;
        }
        let least = (f64::from(self.servers) * (1.0 - MAX_REDUCTION)).ceil() as u32;
        let lower = with_margin(self.highest_need).max(least);
        if f64::from(lower) <= f64::from(self.servers) * (1.0 - MARGIN) {
            self.servers = lower;
        }
        self.observe_from(now_ms);
    }

    fn observe_from(&mut self, now_ms: u64) {
        self.observed_from_ms = Some(now_ms);
        self.highest_need = 0;
    }
}

fn with_margin(need: u32) -> u32 {
    (f64::from(need) * (1.0 + MARGIN)).ceil() as u32
}

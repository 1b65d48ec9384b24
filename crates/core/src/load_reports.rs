//! Reports of the requests that other instances have in progress at each endpoint.
//!
//! With many instances that each send a small part of a burst, an instance that knows only its
//! own requests overloads some endpoints while others idle, so instances report theirs to each
//! other. Requests wait a few hundred milliseconds, so reports have to be fresher than that, and
//! small enough to be sent that often. With hundreds of instances and thousands of endpoints the reports would grow with both;
//! a report therefore names the busiest endpoints only, and large reports are sent less often.

use std::{cmp::Reverse, collections::HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// How long a report counts, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 1_000;
/// Maximum number of endpoints in one report.
const MAX_REPORT_ENDPOINTS: usize = 256;
/// Bounds of the time between two reports, in milliseconds. The age of reported loads should be
/// small compared with the goals for the time to the first byte.
const INTERVAL_RANGE_MS: (u64, u64) = (100, 500);
/// Maximum traffic of reports at the instance that collects them, in bytes per second.
const REPORT_BYTES_PER_S: u64 = 300_000;
/// Bits of an endpoint's hash in reports: a varint of three bytes, and few collisions among
/// thousands of endpoints.
const ENDPOINT_HASH_BITS: u32 = 21;

/// Requests in progress at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in progress.
    pub running: u32,
    /// Prompt tokens that were sent and whose first byte is outstanding; reports round them up to
    /// a multiple of [`token_units::TOKENS_PER_UNIT`].
    #[serde(rename = "unread_tokens", with = "token_units")]
    pub prefill_tokens: u32,
}

/// Numbers of tokens in coarse units, which take one byte for most loads.
mod token_units {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) const TOKENS_PER_UNIT: u32 = 128;

    pub(super) fn serialize<S: Serializer>(tokens: &u32, serializer: S) -> Result<S::Ok, S::Error> {
        tokens.div_ceil(TOKENS_PER_UNIT).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        u32::deserialize(deserializer).map(|units| units.saturating_mul(TOKENS_PER_UNIT))
    }
}

/// Load at one endpoint, as it stands in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// [`endpoint_hash`] of the endpoint's name, or of a service's name for the demand for it.
    pub endpoint: u32,
    /// What is in progress there.
    pub load: Load,
}

/// Hash by which reports name an endpoint. If two names have the same hash, the load estimates of
/// both are worse; nothing else depends on it.
pub fn endpoint_hash(id: &str) -> u32 {
    name_hash(id) >> (u32::BITS - ENDPOINT_HASH_BITS)
}

/// 32-bit FNV-1a hash of a name.
pub fn name_hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Sums several reports by endpoint, in no particular order.
pub fn sum(reports: impl IntoIterator<Item = EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for it in reports {
        let sum = sums.entry(it.endpoint).or_default();
        sum.running = sum.running.saturating_add(it.load.running);
        sum.prefill_tokens = sum.prefill_tokens.saturating_add(it.load.prefill_tokens);
    }
    sums.into_iter().map(|(endpoint, load)| EndpointLoad { endpoint, load }).collect()
}

/// Limits a report to its busiest endpoints. Receivers take the others to be idle.
pub fn busiest(mut loads: Vec<EndpointLoad>) -> Vec<EndpointLoad> {
    if loads.len() > MAX_REPORT_ENDPOINTS {
        let work = |it: &EndpointLoad| (it.load.prefill_tokens, it.load.running);
        loads.select_nth_unstable_by_key(MAX_REPORT_ENDPOINTS, |it| Reverse(work(it)));
        loads.truncate(MAX_REPORT_ENDPOINTS);
    }
    loads
}

/// Time until the next report, in milliseconds, if the last one and its response took `bytes` and
/// `senders` instances report to the same receiver.
pub fn interval_ms(bytes: usize, senders: usize) -> u64 {
    let bytes = bytes as u64 * senders as u64;
    let (shortest_ms, longest_ms) = INTERVAL_RANGE_MS;
    (bytes * 1_000 / REPORT_BYTES_PER_S).clamp(shortest_ms, longest_ms)
}

/// The newest report of each sender.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    by_sender: HashMap<Name, Report>,
}

#[derive(Clone, Debug)]
struct Report {
    loads: Vec<EndpointLoad>,
    /// Number of instances whose loads are summed in the report.
    instances: u32,
    received_ms: u64,
}

impl LoadReports {
    /// Replaces the report of a sender.
    pub fn put(&mut self, sender: &Name, loads: Vec<EndpointLoad>, instances: u32, now_ms: u64) {
        self.by_sender.insert(sender.clone(), Report { loads, instances, received_ms: now_ms });
    }

    /// Loads of all recent reports, except those of `sender`.
    pub fn loads_excluding<'a>(
        &'a self,
        sender: Option<&'a Name>,
        now_ms: u64,
    ) -> impl Iterator<Item = EndpointLoad> + 'a {
        self.recent(sender, now_ms).flat_map(|it| it.loads.iter().copied())
    }

    /// Number of instances in all recent reports, except those of `sender`.
    pub fn instances_excluding(&self, sender: Option<&Name>, now_ms: u64) -> u32 {
        self.recent(sender, now_ms).map(|it| it.instances).fold(0, u32::saturating_add)
    }

    /// Removes reports that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_sender.retain(|_, it| it.is_recent(now_ms));
    }

    fn recent<'a>(
        &'a self,
        excluded: Option<&'a Name>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Report> {
        let counts = move |name: &Name, it: &Report| excluded != Some(name) && it.is_recent(now_ms);
        self.by_sender.iter().filter(move |(name, it)| counts(name, it)).map(|(_, it)| it)
    }
}

impl Report {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_ms) < REPORT_MAX_AGE_MS
    }
}

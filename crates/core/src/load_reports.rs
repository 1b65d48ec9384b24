//! What other instances have in progress at each endpoint.
//!
//! Load pattern: many instances, each of which sends a small part of a burst, choose by what
//! they sent themselves; some endpoints get several times what others have to wait for. With
//! hundreds of instances and thousands of endpoints reports grow with both, so that they name the
//! busiest endpoints and come less often.

use std::{cmp::Reverse, collections::HashMap};

use serde::{Deserialize, Serialize};

use crate::Name;

/// How long a report counts, in milliseconds.
const REPORT_AGE_MS: u64 = 1_000;
/// Endpoints that one report names at most.
const REPORT_ENDPOINTS: usize = 256;
/// Shortest and longest time between two reports, in milliseconds. What is told should be young
/// beside the goals of requests.
const REPORT_PAUSES_MS: (u64, u64) = (100, 500);
/// What the link of one that collects reports may carry of them, in bytes a second.
const REPORT_BYTES_PER_S: u64 = 200_000;

/// Work in progress at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub running: u32,
    /// Prompt tokens sent whose first byte has not come.
    #[serde(rename = "unread_tokens")]
    pub prefill_tokens: u32,
}

/// Work in progress at an endpoint, named by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// See [`name_hash`].
    pub endpoint: u32,
    /// What is in progress there.
    pub load: Load,
}

/// Short name of an endpoint in reports of load.
pub fn name_hash(id: &str) -> u32 {
    id.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// Sum of several reports.
pub fn sum(parts: impl IntoIterator<Item = EndpointLoad>) -> Vec<EndpointLoad> {
    let mut sums: HashMap<u32, Load> = HashMap::new();
    for it in parts {
        let sum = sums.entry(it.endpoint).or_default();
        sum.running += it.load.running;
        sum.prefill_tokens = sum.prefill_tokens.saturating_add(it.load.prefill_tokens);
    }
    sums.into_iter().map(|(endpoint, load)| EndpointLoad { endpoint, load }).collect()
}

/// The busiest endpoints of a report; the others are taken to be idle.
pub fn busiest(mut loads: Vec<EndpointLoad>) -> Vec<EndpointLoad> {
    if loads.len() > REPORT_ENDPOINTS {
        let work = |it: &EndpointLoad| (it.load.prefill_tokens, it.load.running);
        loads.select_nth_unstable_by_key(REPORT_ENDPOINTS, |it| Reverse(work(it)));
        loads.truncate(REPORT_ENDPOINTS);
    }
    loads
}

/// Time until the next report, in milliseconds, if the last one and its answer took `bytes` and
/// `senders` report to the same instance.
pub fn interval_ms(bytes: usize, senders: usize) -> u64 {
    let bytes = bytes as u64 * senders as u64;
    let (shortest_ms, longest_ms) = REPORT_PAUSES_MS;
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
    /// Instances whose work it holds.
    instances: u32,
    at_ms: u64,
}

impl LoadReports {
    /// Takes in a report.
    pub fn put(&mut self, sender: &Name, loads: Vec<EndpointLoad>, instances: u32, now_ms: u64) {
        self.by_sender.insert(sender.clone(), Report { loads, instances, at_ms: now_ms });
    }

    /// All loads of the reports that count, but for one sender's.
    pub fn loads_excluding<'a>(
        &'a self,
        sender: Option<&'a Name>,
        now_ms: u64,
    ) -> impl Iterator<Item = EndpointLoad> + 'a {
        self.counted(sender, now_ms).flat_map(|it| it.loads.iter().copied())
    }

    /// Instances whose work is in the reports that count.
    pub fn instances_excluding(&self, sender: Option<&Name>, now_ms: u64) -> u32 {
        self.counted(sender, now_ms).map(|it| it.instances).sum()
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_sender.retain(|_, it| now_ms.saturating_sub(it.at_ms) < REPORT_AGE_MS);
    }

    fn counted<'a>(
        &'a self,
        sender: Option<&'a Name>,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Report> {
        let counts = move |name: &Name, it: &Report| {
            sender != Some(name) && now_ms.saturating_sub(it.at_ms) < REPORT_AGE_MS
        };
        self.by_sender.iter().filter(move |(name, it)| counts(name, it)).map(|(_, it)| it)
    }
}

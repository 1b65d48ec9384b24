//! An endpoint, as it is known to those who choose one.

use std::net::SocketAddr;

use crate::{
    Name,
    health::Health,
    load_reports::{Load, name_hash},
    parts::Kept,
};

/// Weight of the newest answer in what is learnt of an endpoint's delay.
const DELAY_WEIGHT: f64 = 0.3;
/// Weight of the newest answer in what is learnt of a plain request's time.
const WORK_WEIGHT: f64 = 0.1;
/// Time in which a learnt delay halves without new evidence, in milliseconds.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;
/// Longest delay that is learnt from one answer, in milliseconds.
const LONGEST_DELAY_MS: f64 = 3_000.0;
/// How long a report of load is used, in milliseconds.
const REPORT_AGE_MS: u64 = 1_500;

/// How far an endpoint is from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// The same availability zone.
    SameZone,
    /// The same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Its name; another start mostly has another.
    pub id: Name,
    /// What it serves.
    pub service: Name,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its region, if known.
    pub region: Name,
    /// How far it is.
    pub distance: Distance,
    /// Requests it runs at once.
    pub slots: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// Start of its process, in milliseconds of Unix time.
    pub incarnation: u64,
}

/// Load that came with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests it runs.
    pub running: u32,
    /// Requests it holds back.
    pub waiting: u32,
}

/// What one instance believes of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) facts: EndpointInfo,
    /// A number spread evenly, for the order of shared parts.
    pub(crate) seed: u64,
    /// Its name in reports of load.
    pub(crate) hash: u32,
    /// Place among its service's endpoints, from 0 to 1, in the order in which they are kept
    /// for streams with tight pauses.
    pub(crate) reservation_order: f64,
    pub(crate) health: Health,
    pub(crate) kept: Kept,
    /// Requests of this instance in progress.
    pub(crate) running: u32,
    /// Prompt tokens sent whose first byte has not come.
    pub(crate) prefill_tokens: f64,
    /// Learnt: time to the first byte over what was expected.
    pub(crate) delay_ms: f64,
    pub(crate) delayed_ms: u64,
    /// Learnt: time of a plain request.
    pub(crate) work_ms: f64,
    pub(crate) report: Option<ServerLoad>,
    pub(crate) reported_ms: u64,
    /// Work of other instances.
    pub(crate) others: Load,
}

impl Endpoint {
    pub(crate) fn new(facts: EndpointInfo, initial_service_ms: f64) -> Endpoint {
        let (seed, hash) = (seed(&facts.id), name_hash(&facts.id));
        Endpoint {
            facts,
            seed,
            hash,
            reservation_order: 1.0,
            health: Health::default(),
            kept: Kept::default(),
            running: 0,
            prefill_tokens: 0.0,
            delay_ms: 0.0,
            delayed_ms: 0,
            work_ms: initial_service_ms,
            report: None,
            reported_ms: 0,
            others: Load::default(),
        }
    }

    pub(crate) fn delay_ms(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.delayed_ms) as f64;
        self.delay_ms * (-passed_ms / DELAY_HALF_LIFE_MS).exp2()
    }

    pub(crate) fn learn_delay(&mut self, excess_ms: f64, now_ms: u64) {
        let delay_ms = self.delay_ms(now_ms);
        let sample_ms = excess_ms.clamp(0.0, LONGEST_DELAY_MS);
        self.delay_ms = delay_ms + DELAY_WEIGHT * (sample_ms - delay_ms);
        self.delayed_ms = now_ms;
    }

    pub(crate) fn learn_work(&mut self, took_ms: f64) {
        self.work_ms += WORK_WEIGHT * (took_ms.min(LONGEST_DELAY_MS) - self.work_ms);
    }

    /// Requests believed to be there.
    pub(crate) fn load(&self, others: f64, now_ms: u64) -> f64 {
        let own = f64::from(self.running) + others;
        match self.report {
            Some(it) if now_ms.saturating_sub(self.reported_ms) < REPORT_AGE_MS => {
                own.max(f64::from(it.running + it.waiting))
            }
            _ => own,
        }
    }
}

fn seed(id: &str) -> u64 {
    id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

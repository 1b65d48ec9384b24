//! An endpoint as the load balancer sees it: what it announces, and what this instance measured.

use std::net::SocketAddr;

use crate::{
    Name,
    engine_speed::{EndpointSpeed, Reading},
    health::Health,
    load_reports::{Load, endpoint_hash},
    prefix_affinity::mix64,
    process_identity::ProcessIdentity,
    prompt_part::CachedParts,
};

/// Weight of the newest sample in the average delay.
const DELAY_WEIGHT: f64 = 0.3;
/// Weight of the newest sample in the average service time.
const SERVICE_WEIGHT: f64 = 0.1;
/// The same for a sample that comes long after the one before.
const STALE_SERVICE_WEIGHT: f64 = 0.9;
/// Time without samples after which the average service time counts less than a new sample, in
/// milliseconds.
const SERVICE_STALE_AFTER_MS: u64 = 3_000;
/// Half-life, without new samples, of what an average service time exceeds the shortest one by, in
/// milliseconds.
const SERVICE_HALF_LIFE_MS: f64 = 1_500.0;
/// Half-life of the average delay without new samples, in milliseconds.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;
/// Samples are capped at this value, in milliseconds.
const MAX_SAMPLE_MS: f64 = 3_000.0;
/// How long a slowness is taken to last, in milliseconds: other work on a machine slows it for some
/// hundred.
const PRESENT_SLOWNESS_MAX_AGE_MS: u64 = 300;
/// How long a slowness that the endpoint returned is used to correct a measured time, in milliseconds. It changes many times a
/// second.
const SLOWNESS_MAX_AGE_MS: u64 = 150;
/// How long a load that the endpoint returned is used, in milliseconds.
const SERVER_LOAD_MAX_AGE_MS: u64 = 1_500;

/// Slowness of its machine from which an engine is avoided at this moment. Less has passed before a request
/// gains by being sent to an engine that has not cached its prompt.
const MIN_PRESENT_SLOWNESS: f64 = 4.0;
/// Factor below which an engine counts as one of usual speed. Smaller differences are within the error of
/// the estimate, and following them would send requests away from the engines that have their prompts cached.
const MIN_TIME_FACTOR: f64 = 1.35;

/// How far an endpoint is from this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// What an endpoint announces of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Its name, which usually changes with every start of its process.
    pub id: Name,
    /// The service that it runs.
    pub service: Name,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Its region; its availability zone's name if that is in no region.
    pub region: Name,
    /// How far it is from this instance.
    pub distance: Distance,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// It is about to stop and must get no new requests.
    pub leaving: bool,
    /// When its process started, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Version of its software; empty if it announces none.
    pub software_version: Name,
    /// It is a spot server, which costs less and may be taken away.
    pub is_spot: bool,
}

/// Load that an endpoint returned with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// How long work takes on its machine at this moment; 1 means as usual. `None` if it reported no
    /// usable value.
    pub slowness: Option<f64>,
}

/// State that this instance keeps of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) info: EndpointInfo,
    /// 64-bit hash of the name, for rendezvous hashing.
    pub(crate) seed: u64,
    /// Hash by which load reports name the endpoint.
    pub(crate) report_hash: u32,
    /// Position among the endpoints of its service, from 0 to 1; those below the reserved share
    /// are reserved for latency-sensitive streams.
    pub(crate) reservation_position: f64,
    pub(crate) health: Health,
    /// Whether its process is the one that `info` describes.
    pub(crate) process: ProcessIdentity,
    pub(crate) cached_parts: CachedParts,
    /// Requests of this instance in progress.
    pub(crate) running: u32,
    /// Prompt tokens that this instance sent and whose first byte is outstanding.
    pub(crate) prefill_tokens: f64,
    /// Moving average of how much later than expected first bytes arrived.
    pub(crate) delay_ms: f64,
    pub(crate) delay_updated_ms: u64,
    /// Moving average of the time that a request without a prompt takes.
    pub(crate) service_ms: f64,
    /// When the newest sample of it came.
    service_updated_ms: Option<u64>,
    pub(crate) server_load: Option<ServerLoad>,
    pub(crate) server_load_ms: u64,
    /// Sum of the loads that peers reported.
    pub(crate) peer_load: Load,
    /// How its times compare with those of its service.
    pub(crate) speed: EndpointSpeed,
    /// Key by which instances tell each other that; another process under the same name has another.
    pub(crate) speed_key: u32,
    /// Latest slowness of its machine that it or a peer told, and when, in milliseconds.
    slowness: Option<(f64, u64)>,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo, initial_service_ms: f64) -> Endpoint {
        let (seed, report_hash) = (fnv1a_64(&info.id), endpoint_hash(&info.id));
        let speed_key = (mix64(seed, info.incarnation) >> 32) as u32;
        Endpoint {
            info,
            seed,
            report_hash,
            reservation_position: 1.0,
            health: Health::default(),
            process: ProcessIdentity::default(),
            cached_parts: CachedParts::default(),
            running: 0,
            prefill_tokens: 0.0,
            delay_ms: 0.0,
            delay_updated_ms: 0,
            service_ms: initial_service_ms,
            service_updated_ms: None,
            server_load: None,
            server_load_ms: 0,
            peer_load: Load::default(),
            speed: EndpointSpeed::default(),
            speed_key,
            slowness: None,
        }
    }

    pub(crate) fn delay_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.delay_updated_ms) as f64;
        self.delay_ms * (-elapsed_ms / DELAY_HALF_LIFE_MS).exp2()
    }

    pub(crate) fn record_delay(&mut self, excess_ms: f64, now_ms: u64) {
        let delay_ms = self.delay_ms(now_ms);
        let sample_ms = excess_ms.clamp(0.0, MAX_SAMPLE_MS);
        self.delay_ms = delay_ms + DELAY_WEIGHT * (sample_ms - delay_ms);
        self.delay_updated_ms = now_ms;
    }

    pub(crate) fn record_service_time(&mut self, took_ms: f64, now_ms: u64) {
        let is_stale = self
            .service_updated_ms
            .is_some_and(|it| now_ms.saturating_sub(it) >= SERVICE_STALE_AFTER_MS);
        let weight = if is_stale { STALE_SERVICE_WEIGHT } else { SERVICE_WEIGHT };
        self.service_ms += weight * (took_ms.min(MAX_SAMPLE_MS) - self.service_ms);
        self.service_updated_ms = Some(now_ms);
    }

    /// The average service time as it is believed now. An endpoint that gets no requests is not
    /// measured, so that a long time is believed less and less: it approaches `shortest_ms`, the
    /// shortest of comparable endpoints.
    pub(crate) fn believed_service_ms(&self, shortest_ms: f64, now_ms: u64) -> f64 {
        if self.running > 0 {
            return self.service_ms;
        }
        let elapsed_ms = now_ms.saturating_sub(self.service_updated_ms.unwrap_or(0)) as f64;
        let excess_ms = (self.service_ms - shortest_ms).max(0.0);
        self.service_ms - excess_ms * (1.0 - (-elapsed_ms / SERVICE_HALF_LIFE_MS).exp2())
    }

    /// Records the slowness of its machine that the endpoint or a peer told.
    pub(crate) fn record_slowness(&mut self, slowness: f64, now_ms: u64) {
        self.slowness = Some((slowness, now_ms));
    }

    /// Factor by which its times are longer than its service's. Small differences do not count, see
    /// [`MIN_TIME_FACTOR`] and [`MIN_PRESENT_SLOWNESS`].
    pub(crate) fn time_factor(&self, now_ms: u64) -> f64 {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < PRESENT_SLOWNESS_MAX_AGE_MS;
        let present = self.slowness.filter(|(_, at_ms)| is_recent(*at_ms)).map(|it| it.0);
        let present = present.filter(|it| *it >= MIN_PRESENT_SLOWNESS);
        let lasting = Some(self.speed.factor()).filter(|it| *it >= MIN_TIME_FACTOR);
        lasting.unwrap_or(1.0) * present.unwrap_or(1.0)
    }

    /// Key by which instances tell each other its present slowness.
    pub(crate) fn slowness_key(&self) -> u32 {
        self.speed_key.wrapping_add(1)
    }

    /// What this instance learned of it, as it is told to peers.
    pub(crate) fn add_readings(&self, now_ms: u64, readings: &mut Vec<Reading>) {
        readings.extend(self.speed.reading(self.speed_key, now_ms));
        self.add_momentary_readings(now_ms, readings);
    }

    /// What the endpoint told of itself just now, as it is told to peers.
    pub(crate) fn add_momentary_readings(&self, now_ms: u64, readings: &mut Vec<Reading>) {
        let slowness = self.slowness(now_ms);
        readings.extend(slowness.and_then(|it| Reading::momentary(self.slowness_key(), it)));
    }

    /// Slowness that the endpoint returned just now, if it did.
    pub(crate) fn slowness(&self, now_ms: u64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.server_load_ms);
        self.server_load.filter(|_| age_ms < SLOWNESS_MAX_AGE_MS)?.slowness
    }

    /// Estimated number of requests at the endpoint: those of this instance and its peers, or what
    /// the endpoint itself returned recently, if that is more.
    pub(crate) fn estimated_requests(&self, peer_running: f64, now_ms: u64) -> f64 {
        let known = f64::from(self.running) + peer_running;
        match self.server_load {
            Some(it) if now_ms.saturating_sub(self.server_load_ms) < SERVER_LOAD_MAX_AGE_MS => {
                known.max(f64::from(it.running + it.waiting))
            }
            _ => known,
        }
    }
}

fn fnv1a_64(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

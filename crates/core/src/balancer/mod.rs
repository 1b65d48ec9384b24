//! Selects the endpoint for a request.
//!
//! In a burst of long prompts that share most of their text, the most expensive mistake is to
//! prefill a prefix that another engine has cached. Every shared prefix therefore has preferred
//! engines, which all instances derive by the same rendezvous hash without exchanging messages.
//! While these respond late, the request goes to the next one in that order.
//!
//! Some engines also carry latency-sensitive streams: streams with a goal for the gap between
//! events that an engine in constant prefill misses. A share of the engines is reserved for
//! them, and long prompts avoid these.

mod choose;
mod cost;
mod learned_speeds;
mod notices;
mod peer_loads;
mod records;

use std::collections::{HashMap, HashSet};

use indexmap::IndexMap;

use crate::{
    Name,
    demand::Demand,
    endpoint::{Endpoint, EndpointInfo},
    endpoint_limits::EndpointLimits,
    endpoint_notices::EndpointNotices,
    engine_speed::{EngineSpeeds, RoundTrips},
    health::{Health, HealthState},
    load_reports::Load,
    part_popularity::PartPopularity,
    prefix_affinity::mix64,
    selection::{BalanceSettings, EndpointCounts},
};

/// Number of endpoints up to which each change orders those of its service at once.
const MAX_ORDERED_AT_ONCE: usize = 512;
/// Salt of the hash that orders engines for reservation, the same at all instances (`quiet` in
/// ASCII).
const RESERVATION_SALT: u64 = 0x0071_7569_6574;

/// State of all endpoints, and the selection among them.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalanceSettings,
    pub(crate) endpoints: IndexMap<Name, Endpoint>,
    /// Demand at this instance, by service.
    pub(crate) demand: HashMap<Name, Demand>,
    /// Sum of the demand at peers, by service.
    pub(crate) peer_demand: HashMap<Name, Load>,
    /// Popularity of shared prompt parts, by service.
    popularity: HashMap<Name, PartPopularity>,
    /// When peers last reported their loads; `None` before the first report.
    peer_loads_ms: Option<u64>,
    /// Limits that endpoints named.
    limits: EndpointLimits,
    /// What endpoints told of requests to come, listed or not.
    pub(crate) notices: EndpointNotices,
    /// Learned speeds of engines.
    speeds: EngineSpeeds,
    /// Learned round-trip times to endpoints.
    round_trips: RoundTrips,
    /// Services whose endpoints have no reservation order since a change.
    unordered: HashSet<Name>,
}

impl Balancer {
    /// Creates a balancer without endpoints.
    pub fn new(settings: BalanceSettings) -> Balancer {
        Balancer {
            settings,
            endpoints: IndexMap::new(),
            demand: HashMap::new(),
            peer_demand: HashMap::new(),
            popularity: HashMap::new(),
            peer_loads_ms: None,
            limits: EndpointLimits::default(),
            notices: EndpointNotices::default(),
            speeds: EngineSpeeds::new(
                settings.learn_speeds,
                learned_speeds::initial_speeds(&settings),
            ),
            round_trips: RoundTrips::default(),
            unordered: HashSet::new(),
        }
    }

    /// Adds an endpoint or updates what it announces. Returns whether anything changed.
    pub fn upsert(&mut self, info: EndpointInfo) -> bool {
        let service = info.service.clone();
        let changed = self.insert_or_update(info);
        if changed {
            self.assign_reservation_positions(&service);
        }
        changed
    }

    fn insert_or_update(&mut self, info: EndpointInfo) -> bool {
        match self.endpoints.get_mut(&info.id) {
            Some(known) if known.info == info => false,
            Some(known) => {
                if known.info.incarnation != info.incarnation {
                    // The process restarted: what was measured and what was cached is gone.
                    let process = known.process;
                    *known = Endpoint::new(info, self.settings.initial_service_ms);
                    known.process = process;
                    known.process.record_restart();
                } else {
                    known.info = info;
                }
                true
            }
            None => {
                let endpoint = Endpoint::new(info, self.settings.initial_service_ms);
                self.endpoints.insert(endpoint.info.id.clone(), endpoint);
                true
            }
        }
    }

    /// Removes an endpoint that is gone. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(gone) = self.endpoints.shift_remove(id) else { return false };
        self.assign_reservation_positions(&gone.info.service);
        true
    }

    /// Orders the endpoints of a service by a hash. A reserved share takes them from the front,
    /// so that few endpoints become reserved or unreserved when the share or the list changes.
    fn assign_reservation_positions(&mut self, service: &Name) {
        if self.endpoints.len() > MAX_ORDERED_AT_ONCE {
            self.unordered.insert(service.clone());
            return;
        }
        self.order_by_reservation(service);
    }

    /// Orders the endpoints of services whose list has changed. With thousands of endpoints, many of which
    /// change at once, that is done before the next request and not for each change.
    pub(super) fn order_unordered(&mut self) {
        for service in std::mem::take(&mut self.unordered) {
            self.order_by_reservation(&service);
        }
    }

    fn order_by_reservation(&mut self, service: &Name) {
        let notices = &self.notices;
        let serves = |it: &&mut Endpoint| it.info.service == *service && !is_leaving(it, notices);
        let mut order: Vec<&mut Endpoint> = self.endpoints.values_mut().filter(serves).collect();
        order.sort_by_key(|it| mix64(RESERVATION_SALT, it.seed));
        let count = order.len() as f64;
        for (at, it) in order.into_iter().enumerate() {
            it.reservation_position = (at as f64 + 0.5) / count;
        }
    }

    /// Forgets what endpoints said and what was measured long ago.
    pub fn expire(&mut self, now_ms: u64) {
        self.limits.expire(now_ms);
        for it in self.endpoints.values_mut() {
            it.speed.update_factor(now_ms);
        }
        let endpoints = &self.endpoints;
        self.notices.expire(|it| endpoints.get(it).map(|it| it.info.incarnation), now_ms);
    }

    /// What an endpoint announces; `None` if it is not in the list or is about to stop.
    pub fn serving_info(&self, id: &str) -> Option<&EndpointInfo> {
        let serving = self.endpoints.get(id).filter(|it| !is_leaving(it, &self.notices));
        serving.map(|it| &it.info)
    }

    /// What an endpoint announces; `None` if it is not in the list.
    pub fn info(&self, id: &str) -> Option<&EndpointInfo> {
        self.endpoints.get(id).map(|it| &it.info)
    }

    /// Limits that endpoints named.
    pub fn limits(&self) -> &EndpointLimits {
        &self.limits
    }

    /// Limits that endpoints named, to update them.
    pub fn limits_mut(&mut self) -> &mut EndpointLimits {
        &mut self.limits
    }

    /// Names of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.keys()
    }

    /// Number of endpoints in each state.
    pub fn endpoint_counts(&self, now_ms: u64) -> EndpointCounts {
        let mut counts = EndpointCounts::default();
        for it in self.endpoints.values() {
            let count = match it.health.state(now_ms) {
                _ if is_leaving(it, &self.notices) => &mut counts.leaving,
                HealthState::Good => &mut counts.good,
                HealthState::Probation => &mut counts.on_probation,
                HealthState::Paused => &mut counts.paused,
            };
            *count += 1;
        }
        counts
    }

    /// Number of endpoints of a service that are not leaving.
    pub fn serving(&self, service: &str) -> usize {
        let serves =
            |it: &&Endpoint| &*it.info.service == service && !is_leaving(it, &self.notices);
        self.endpoints.values().filter(serves).count()
    }

    /// Health of an endpoint, to record results; `None` if the endpoint is unknown.
    pub fn health_mut(&mut self, id: &str) -> Option<&mut Health> {
        self.endpoints.get_mut(id).map(|it| &mut it.health)
    }

    /// Forgets which prompt parts an endpoint has cached, because it lost them.
    pub fn clear_cached_parts(&mut self, id: &str) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.cached_parts.clear();
        }
    }
}

/// Whether an endpoint is about to stop, by its entry or by what it said itself.
pub(crate) fn is_leaving(it: &Endpoint, notices: &EndpointNotices) -> bool {
    it.info.leaving || notices.is_leaving(&it.info.id, it.info.incarnation)
}

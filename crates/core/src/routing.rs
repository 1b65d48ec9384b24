//! The operators' configuration of routes, services and client accounts, and
//! how requests are matched against it.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use crate::{
    Name,
    access::{Access, Credential, Identity},
};

/// Whether a request that may have run can safely be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It can: running it twice has the same effect as running it once.
    Idempotent,
    /// It cannot.
    NonIdempotent,
    /// It cannot, and its response is a stream of events.
    Stream,
    /// Its response is a stream of events, which another endpoint can continue after the last event
    /// that was delivered.
    ResumableStream,
}

impl RetrySafety {
    /// Whether a request that may have run can be sent to another endpoint.
    pub fn allows_resend(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetrySafety::Stream | RetrySafety::ResumableStream)
    }
}

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Its share of the requests, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// Matches requests by host and path, and says where and how they are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Name,
    /// Host of the requests, in lower case and without a port.
    pub host: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// Whether its requests can be sent again after they may have run.
    pub retry_safety: RetrySafety,
    /// Maximum time that a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Goal for the time to the first byte, in milliseconds; 0 if there is none.
    pub goal_ms: u64,
    /// Goal for the gap between two events of a stream, in milliseconds.
    pub event_gap_goal_ms: Option<u64>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that run the requests; at least one.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that may run one request; 0 lets none run.
    pub attempts: u32,
    /// Requests without a credential are accepted.
    pub public: bool,
    /// Requests carry the ids and lengths of the parts of their prompts.
    pub has_prompt_parts: bool,
}

/// Capacity of each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Size of the KV cache, in tokens of prompts and output.
    pub kv_capacity_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// Within which limits, and at which prices, servers of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleLimits {
    /// Least number of servers in each availability zone, of both kinds together.
    pub min: u32,
    /// Greatest number of servers in each availability zone, of both kinds together.
    pub max: u32,
    /// Time from an order until the server serves, in milliseconds.
    pub boot_ms: u64,
    /// Price of a spot server as a fraction of that of an on-demand server; `None` if there are none.
    pub spot_price_ratio: Option<f64>,
    /// Price of an on-demand server for each second, by availability zone.
    pub zone_prices: HashMap<Name, f64>,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes refer to it.
    pub name: Name,
    /// Maximum number of connections that one endpoint accepts in total, whoever opens them, if it is known.
    pub connection_limit: Option<u32>,
    /// Path at which its endpoints respond to health checks, if they do.
    pub health_path: Option<Name>,
    /// Present if its endpoints are engines that run models.
    pub engine: Option<EngineLimits>,
    /// Present if servers of the service may be ordered.
    pub scale: Option<ScaleLimits>,
}

/// The client account that a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Name of the account, as it appears in logs.
    pub name: Name,
    /// Priority, 0 being the most urgent; `None` ranks last. Requests are ranked by the priority
    /// of the account first, and by that of the route among accounts of equal priority.
    pub priority: Option<u8>,
}

/// Limits on callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// How long a keep-alive connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Increases with every change.
    pub version: u64,
    /// By host, the longest prefix first.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    /// Services of routes whose streams may be resumed.
    resumable_services: HashSet<Name>,
    /// Who may send requests.
    access: Access,
    /// Distinct priorities of accounts, ascending.
    account_priorities: Vec<u8>,
    /// Distinct priorities of routes, ascending.
    route_priorities: Vec<u8>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

fn resumable_services(routes: &[Route]) -> HashSet<Name> {
    let resumable = routes.iter().filter(|it| it.retry_safety == RetrySafety::ResumableStream);
    resumable.flat_map(|it| &it.targets).map(|it| it.service.clone()).collect()
}

impl Configuration {
    /// Indexes a configuration for look-ups.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        access: Access,
        limits: CallerLimits,
    ) -> Configuration {
        let account_priorities = ascending(access.accounts().map(account_priority));
        let route_priorities = ascending(routes.iter().map(|it| it.priority));
        let resumable_services = resumable_services(&routes);
        let mut by_host: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        }
        let services = services.into_iter().map(|it| (it.name.clone(), it)).collect();
        Configuration {
            version,
            routes: by_host,
            services,
            resumable_services,
            access,
            account_priorities,
            route_priorities,
            limits,
        }
    }

    /// The route of a host with the longest matching path prefix. A port in `host` is ignored, and
    /// so is its case.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(it.path_prefix.as_str()))
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether streams of a service may be resumed, on any route.
    pub fn has_resumable_streams(&self, service: &str) -> bool {
        self.resumable_services.contains(service)
    }

    /// Rank of a request by its account and route, from 0 for the most urgent to [`MAX_RANK`].
    pub fn rank(&self, route: &Route, account: Option<&ClientAccount>) -> u8 {
        let account = account.map_or(DEFAULT_PRIORITY, account_priority);
        let account_index = self.account_priorities.partition_point(|it| *it < account);
        let route_index = self.route_priorities.partition_point(|it| *it < route.priority);
        let routes = self.route_priorities.len().max(1);
        u8::try_from(account_index * routes + route_index).unwrap_or(u8::MAX).min(MAX_RANK)
    }

    /// Whether credentials are meant for the instance, which then passes none on.
    pub fn reads_credentials(&self) -> bool {
        !matches!(self.access, Access::Open)
    }

    /// Number of keys by which requests are let in; `None` if they need none.
    pub fn key_count(&self) -> Option<usize> {
        self.access.key_count()
    }

    /// Finds the client account of a request by its credential.
    pub fn authenticate(&self, route: &Route, credential: Credential<'_>) -> Identity {
        self.access.identify(credential, route.public)
    }
}

/// Rank of the least urgent requests; lower priorities share it.
pub const MAX_RANK: u8 = 9;

/// Priority of requests without an account, and of accounts without a priority.
const DEFAULT_PRIORITY: u8 = u8::MAX;

fn account_priority(account: &ClientAccount) -> u8 {
    account.priority.unwrap_or(DEFAULT_PRIORITY)
}

fn ascending<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}

/// Duration of one step of an engine in constant prefill, in milliseconds. A step generates one
/// token per stream.
pub(crate) const PREFILL_STEP_MS: f64 = 36.0;
/// Ratio of the longest gap between events to the mean gap.
pub(crate) const GAP_SPREAD: f64 = 1.2;

impl Route {
    /// Whether its streams would miss their event gap goal at an engine in constant prefill.
    pub fn is_latency_sensitive(&self, engine: &EngineLimits) -> bool {
        let gap_ms = f64::from(engine.tokens_per_event) * PREFILL_STEP_MS * GAP_SPREAD;
        self.event_gap_goal_ms.is_some_and(|it| (it as f64) < gap_ms)
    }

    /// Selects the service for a request by weight, from a uniform random number. `None` if the
    /// route has no target with a weight.
    pub fn target(&self, random: u64) -> Option<&Name> {
        let sum: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = random.checked_rem(sum)?;
        for it in &self.targets {
            if left < u64::from(it.weight) {
                return Some(&it.service);
            }
            left -= u64::from(it.weight);
        }
        None
    }
}

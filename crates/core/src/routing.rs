//! The operators' configuration of routes, services and client accounts, and
//! how a request finds its route.

use std::{collections::HashMap, sync::Arc};

use crate::Name;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    NonIdempotent,
    /// A stream that may run once.
    Stream,
    /// A stream that another endpoint may continue after the last event that was delivered.
    ResumableStream,
}

impl RetrySafety {
    /// Whether a request that may have run can be sent to another endpoint.
    pub fn allows_resend(self) -> bool {
        matches!(self, RetrySafety::Idempotent | RetrySafety::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetrySafety::Stream | RetrySafety::ResumableStream)
    }
}

/// A service that takes a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: Name,
    /// Its part of the sum of all weights of the route.
    pub weight: u32,
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Name,
    /// Host that requests name; lower case.
    pub host: Name,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: Name,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// Time to the first byte that earns full credit, in milliseconds.
    pub goal_ms: u64,
    /// Longest pause between events that is on time, in milliseconds.
    pub event_gap_goal_ms: Option<u64>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// At least one.
    pub targets: Vec<Target>,
    /// Endpoints that may run one request.
    pub attempts: u32,
    /// Requests need no credential.
    pub public: bool,
    /// Requests name the parts of their prompts.
    pub has_prompt_parts: bool,
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub kv_capacity_tokens: u64,
    /// Tokens that one event of a stream holds.
    pub tokens_per_event: u32,
}

/// A group of endpoints that do the same.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Name,
    /// Connections that one endpoint takes from all callers.
    pub connection_limit: u32,
    /// Present if its endpoints run models.
    pub engine: Option<EngineLimits>,
}

/// Who a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccount {
    /// Its name.
    pub name: Name,
    /// Goes before the route's priority: of two requests the one of the more urgent account is
    /// the more urgent, and of two of equal accounts the one on the more urgent route.
    pub priority: Option<u8>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// How long a kept connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Rises with every change.
    pub version: u64,
    /// Longest prefix first within a host.
    routes: HashMap<Name, Vec<Arc<Route>>>,
    services: HashMap<Name, Service>,
    /// Empty if requests need no credential.
    accounts_by_key: HashMap<Name, ClientAccount>,
    /// Priorities of accounts, ascending, each once.
    account_priorities: Vec<u8>,
    /// Priorities of routes, ascending, each once.
    route_priorities: Vec<u8>,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

/// Which account a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route or the configuration asks for no credential.
    Anonymous,
    /// The holder of the credential.
    Account(ClientAccount),
    /// The credential is missing or unknown.
    Unauthenticated,
}

impl Configuration {
    /// Arranges a configuration for look-ups.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts_by_key: HashMap<Name, ClientAccount>,
        limits: CallerLimits,
    ) -> Configuration {
        let account_priorities = ascending(accounts_by_key.values().map(account_priority));
        let route_priorities = ascending(routes.iter().map(|it| it.priority));
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
            accounts_by_key,
            account_priorities,
            route_priorities,
            limits,
        }
    }

    /// The route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(it.path_prefix.as_str()))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Rank of a request among all, from 0 for the most urgent to [`MAX_RANK`].
    pub fn rank(&self, route: &Route, account: Option<&ClientAccount>) -> u8 {
        let account = account.map_or(UNNAMED_PRIORITY, account_priority);
        let of_account = place(&self.account_priorities, |it| *it < account);
        let of_route = place(&self.route_priorities, |it| *it < route.priority);
        let routes = self.route_priorities.len().max(1);
        u8::try_from(of_account * routes + of_route).unwrap_or(u8::MAX).min(MAX_RANK)
    }

    /// Whose request it is.
    pub fn authenticate(&self, route: &Route, credential: Option<&str>) -> Identity {
        if self.accounts_by_key.is_empty() {
            return Identity::Anonymous;
        }
        match credential.and_then(|it| self.accounts_by_key.get(it)) {
            Some(account) => Identity::Account(account.clone()),
            None if route.public => Identity::Anonymous,
            None => Identity::Unauthenticated,
        }
    }
}

/// Rank of the least urgent requests.
pub const MAX_RANK: u8 = 9;

/// Priority of an account that names none.
const UNNAMED_PRIORITY: u8 = u8::MAX;

fn account_priority(account: &ClientAccount) -> u8 {
    account.priority.unwrap_or(UNNAMED_PRIORITY)
}

fn ascending<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}

fn place<T>(values: &[T], is_less: impl Fn(&T) -> bool) -> usize {
    values.partition_point(is_less)
}

/// A step of an engine that reads prompts all the time, in milliseconds.
const READING_STEP_MS: f64 = 36.0;
/// How far the longest pause lies above the mean.
const PAUSE_SPREAD: f64 = 1.2;

impl Route {
    /// Whether its pauses would be too long at an engine that reads prompts all the time.
    pub fn is_latency_sensitive(&self, engine: &EngineLimits) -> bool {
        let pause_ms = f64::from(engine.tokens_per_event) * READING_STEP_MS * PAUSE_SPREAD;
        self.event_gap_goal_ms.is_some_and(|it| (it as f64) < pause_ms)
    }

    /// The service that takes a request; `draw` is any number that is spread evenly.
    pub fn target(&self, draw: u64) -> Option<&Name> {
        let sum: u64 = self.targets.iter().map(|it| u64::from(it.weight)).sum();
        let mut left = draw.checked_rem(sum).unwrap_or(0);
        for it in &self.targets {
            if left < u64::from(it.weight) {
                return Some(&it.service);
            }
            left -= u64::from(it.weight);
        }
        self.targets.first().map(|it| &it.service)
    }
}

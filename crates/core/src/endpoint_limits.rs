//! Request limits that endpoints in need name in their responses.
//!
//! A limit is for all instances together, for as long as the endpoint names it, and a fleet of
//! hundreds sends too few requests to one endpoint for each instance to learn of it by itself. So
//! instances tell each other of limits, and divide them without a message: time is divided into
//! tokens, as many a second as the limit, and a hash says which instance owns each. A token can be
//! used for a short time only, so that instances cannot save them up and then all send at once.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{Name, load_reports::name_hash, prefix_affinity::mix64};

/// How long a token can be used, in milliseconds.
const TOKEN_LIFETIME_MS: u64 = 1_000;
/// Most tokens that are examined for one request.
const MAX_TOKENS_EXAMINED: u64 = 256;
/// Larger limits count as this one. Numbers of tokens must fit into 64 bits.
const MAX_REQUESTS_PER_S: f64 = 1e6;
/// Time after which a limit that no response has confirmed is dropped, in milliseconds.
const MAX_AGE_MS: u64 = 8_000;
/// Time after which instances are told that an unchanged limit is still named, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 3_000;
/// How long an update is sent to peers, in milliseconds: several reports, as one may get lost.
const UPDATE_SENT_MS: u64 = 1_500;

/// The limits that are in force.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    by_endpoint: HashMap<Name, Entry>,
    /// `None` until it is known; nothing is sent to an endpoint with a limit before.
    position: Option<FleetPosition>,
}

/// What is known of the limit of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Requests per second that the endpoint takes from all instances; `None` if it has named none
    /// since.
    requests_per_s: Option<f64>,
    /// Unix time of the response, or more, so that it is larger than that of all earlier ones.
    version: u64,
    /// Monotonic time of the last response or update.
    updated_ms: u64,
    /// Monotonic time at which `version` changed.
    version_ms: u64,
    /// Unix time of the newest token that this instance used.
    used_token_ms: u64,
}

/// The place of this instance among all instances, which is the same in the view of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Number of instances before it; less than `instances`.
    pub rank: usize,
    /// Number of instances; at least 1.
    pub instances: usize,
}

/// What a response says of the endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NamedLimit {
    /// Nothing, so that there is none.
    None,
    /// Requests per second that the endpoint takes from all instances.
    RequestsPerS(f64),
    /// Something that can't be read.
    Unreadable,
}

/// A limit as it is sent to peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The endpoint.
    pub endpoint: Name,
    /// Requests per second that it takes from all instances; `None` if it has no limit any more.
    pub requests_per_s: Option<f64>,
    /// Of two updates about an endpoint, the one with the higher version is newer.
    pub version: u64,
}

/// Whether a request may be sent to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The endpoint has no limit.
    Unlimited,
    /// With this token, which names a time as Unix milliseconds.
    Token(u64),
    /// Not without exceeding this instance's share of the limit.
    Wait,
}

impl EndpointLimits {
    /// Records the limit that a response of an endpoint named, in requests per second, or that it
    /// named none. `now_ms` is monotonic. Returns whether that is a change.
    pub fn record_response(
        &mut self,
        endpoint: &Name,
        requests_per_s: Option<f64>,
        now_ms: u64,
        unix_ms: u64,
    ) -> bool {
        let Some(entry) = self.by_endpoint.get_mut(endpoint) else {
            if requests_per_s.is_some() {
                let entry = Entry {
                    requests_per_s,
                    version: unix_ms,
                    updated_ms: now_ms,
                    version_ms: now_ms,
                    used_token_ms: 0,
                };
                self.by_endpoint.insert(endpoint.clone(), entry);
            }
            return requests_per_s.is_some();
        };
        let changed = entry.requests_per_s != requests_per_s;
        let confirms = requests_per_s.is_some()
            && now_ms.saturating_sub(entry.version_ms) >= CONFIRMATION_INTERVAL_MS;
        if changed || confirms {
            entry.requests_per_s = requests_per_s;
            entry.version = unix_ms.max(entry.version.saturating_add(1));
            entry.version_ms = now_ms;
        }
        if requests_per_s.is_some() {
            entry.updated_ms = now_ms;
        }
        changed
    }

    /// Keeps the known limit of an endpoint in force, which a response named in a form that can't be read.
    /// `now_ms` is monotonic.
    pub fn keep(&mut self, endpoint: &str, now_ms: u64) {
        if let Some(entry) = self.by_endpoint.get_mut(endpoint) {
            entry.updated_ms = now_ms;
        }
    }

    /// Merges updates of a peer, except those that name no number of requests. `now_ms` is monotonic.
    pub fn merge(&mut self, updates: Vec<LimitUpdate>, now_ms: u64) {
        for LimitUpdate { endpoint, requests_per_s, version } in updates {
            if requests_per_s.is_some_and(|it| !(it.is_finite() && it >= 0.0)) {
                continue;
            }
            let entry = self.by_endpoint.entry(endpoint).or_insert(Entry {
                requests_per_s: None,
                version: 0,
                updated_ms: now_ms,
                version_ms: now_ms,
                used_token_ms: 0,
            });
            if version > entry.version {
                let used_token_ms = entry.used_token_ms;
                let (updated_ms, version_ms) = (now_ms, now_ms);
                *entry = Entry { requests_per_s, version, updated_ms, version_ms, used_token_ms };
            }
        }
    }

    /// What to tell peers now.
    pub fn updates(&self, now_ms: u64) -> Vec<LimitUpdate> {
        let recent = |it: &Entry| now_ms.saturating_sub(it.version_ms) < UPDATE_SENT_MS;
        let entries = self.by_endpoint.iter().filter(|(_, it)| recent(it));
        let update = |(endpoint, it): (&Name, &Entry)| LimitUpdate {
            endpoint: endpoint.clone(),
            requests_per_s: it.requests_per_s,
            version: it.version,
        };
        entries.map(update).collect()
    }

    /// Drops limits that no response has confirmed for long. `now_ms` is monotonic.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_endpoint.retain(|_, it| now_ms.saturating_sub(it.updated_ms) < MAX_AGE_MS);
    }

    /// Updates the place of this instance among all. Returns whether that is a change.
    pub fn set_position(&mut self, position: FleetPosition) -> bool {
        self.position.replace(position) != Some(position)
    }

    /// Whether a request may be sent to an endpoint.
    pub fn permission(&self, endpoint: &str, unix_ms: u64) -> Permission {
        let Some(entry) = self.by_endpoint.get(endpoint) else { return Permission::Unlimited };
        let Some(requests_per_s) = entry.requests_per_s else { return Permission::Unlimited };
        let Some(position) = self.position else { return Permission::Wait };
        let tokens_per_ms = requests_per_s.min(MAX_REQUESTS_PER_S) / 1_000.0;
        let number_at = |at_ms: u64| (at_ms as f64 * tokens_per_ms) as u64;
        let time_of = |number: u64| (number as f64 / tokens_per_ms) as u64;
        let newest = number_at(unix_ms);
        let oldest = number_at(unix_ms.saturating_sub(TOKEN_LIFETIME_MS)) + 1;
        let oldest = oldest.max(newest.saturating_sub(MAX_TOKENS_EXAMINED));
        // The clock was set back if a token of the future was used.
        let is_unused = |token_ms: &u64| {
            *token_ms > entry.used_token_ms || entry.used_token_ms > unix_ms + TOKEN_LIFETIME_MS
        };
        let owned = (oldest..=newest).filter(|it| position.owns(endpoint, *it));
        owned.map(time_of).find(is_unused).map_or(Permission::Wait, Permission::Token)
    }

    /// Records that a request was sent with a token.
    pub fn record_used(&mut self, endpoint: &str, token_ms: u64) {
        if let Some(entry) = self.by_endpoint.get_mut(endpoint) {
            entry.used_token_ms = token_ms;
        }
    }

    /// Number of limits in force.
    pub fn len(&self) -> usize {
        self.by_endpoint.values().filter(|it| it.requests_per_s.is_some()).count()
    }

    /// Whether no limit is in force.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl FleetPosition {
    /// Whether this instance owns a token of an endpoint.
    fn owns(self, endpoint: &str, token: u64) -> bool {
        let owner = mix64(token, u64::from(name_hash(endpoint))) % self.instances as u64;
        owner == self.rank as u64
    }
}

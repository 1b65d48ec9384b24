//! The sheet: the configuration that operators publish, with request classes, latency targets,
//! priorities, models and endpoints.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A complete sheet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Human-readable name of the sheet.
    pub sheet: Name,
    /// What the deployment optimizes for.
    #[serde(default)]
    pub goal: Goal,
    /// Availability zones with their regions. Names are unique.
    pub availability_zones: Vec<AvailabilityZone>,
    /// Service tiers, most urgent first. Names are unique.
    pub tiers: Vec<Tier>,
    /// Request classes. Names are unique. Their floors sum to at most 100.
    pub classes: Vec<Class>,
    /// Client accounts. Names are unique. Their shares sum to at most 100.
    pub client_accounts: Vec<ClientAccount>,
    /// Models that clients may request. Names are unique.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Endpoints. Names and addresses are unique.
    pub endpoints: Vec<Endpoint>,
    /// Prices of traffic between regions. Traffic between other pairs is free.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// What a deployment optimizes for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Latency targets of the upper tiers, before throughput.
    #[default]
    Attainment,
    /// Goodput, with little wasted work and little paid traffic.
    Goodput,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Unique name.
    pub name: Name,
    /// Name of its region.
    pub region: Name,
}

/// A service tier. Its rank is its index in [`Sheet::tiers`], 0 being the most urgent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Unique name.
    pub name: Name,
}

/// Kind of an endpoint, and of the endpoints that a class of requests needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    #[default]
    Model,
    /// A service that is not a model engine.
    Service,
}

/// A request class with its latency targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name, as sent in the `X-Service-Class` header.
    pub name: Name,
    /// Name of its tier.
    pub tier: Name,
    /// Whether its requests are for a model or for a service.
    #[serde(default)]
    pub kind: TargetKind,
    /// Whether a request may be executed more than once. If not, it needs an idempotency key.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Target for the time to the first token, or to the first byte of a service's answer, in
    /// milliseconds.
    pub first_token_ms: u64,
    /// Target for the time between tokens, in milliseconds. Absent if there is none.
    #[serde(default)]
    pub between_tokens_ms: Option<u64>,
    /// Target for the complete answer, in milliseconds. Also the default deadline.
    pub whole_answer_ms: u64,
    /// Minimum share of dispatches that the class gets under any load, in percent.
    #[serde(default)]
    pub floor_percent: u32,
    /// Expected output lengths until they have been learned from traffic.
    #[serde(default)]
    pub output_tokens: OutputPrior,
}

/// Prior for the output lengths of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutputPrior {
    /// Median length of an answer, in tokens.
    pub p50_tokens: u32,
    /// 95th percentile of the length of an answer, in tokens.
    pub p95_tokens: u32,
}

impl Default for OutputPrior {
    fn default() -> OutputPrior {
        OutputPrior { p50_tokens: 128, p95_tokens: 512 }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Unique name.
    pub name: Name,
    /// Share of the endpoints' capacity when all accounts have more requests than are served, in
    /// percent.
    pub share_percent: f64,
    /// Credentials that authenticate it. Two may be valid at once during rotation.
    pub credentials: Vec<Credential>,
    /// Names of the classes it may use. Empty means all.
    #[serde(default)]
    pub classes: Vec<Name>,
}

impl ClientAccount {
    /// Whether it may use a class.
    pub fn may_use(&self, class: &str) -> bool {
        self.classes.is_empty() || self.classes.iter().any(|it| it.as_str() == class)
    }
}

/// A reference to a caller's credential. Contains only the hash, never the credential itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// BLAKE3 hash of the bearer token, in lower-case hexadecimal.
    pub blake3: Name,
    /// Unix time from which it is no longer accepted, in milliseconds. Absent if it does not
    /// expire.
    #[serde(default)]
    pub not_after_unix_ms: Option<u64>,
}

/// A model that clients may request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name, as sent in the `model` field of the body.
    pub name: Name,
    /// Version to be served. Absent if any version will do.
    #[serde(default)]
    pub version: Option<Name>,
    /// Adapters, requested as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// An endpoint: a model engine or a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Unique name.
    pub name: Name,
    /// Name of its availability zone.
    pub availability_zone: Name,
    /// IP address and port that it listens on.
    pub address: std::net::SocketAddr,
    /// Whether it is a model engine or a service.
    #[serde(default)]
    pub kind: TargetKind,
    /// Names of the models it serves, or of the services.
    pub serves: Vec<Name>,
    /// Number of requests that it runs concurrently without queueing.
    pub slots: u32,
    /// Whether it rejects control requests with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it authenticates the sender of control requests.
    #[serde(default)]
    pub checks_orders: bool,
}

/// The price of traffic from one region to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Region that the traffic leaves.
    pub from: Name,
    /// Region that the traffic enters.
    pub to: Name,
    /// Price per 10^9 bytes, in the currency of the deployment.
    pub per_gigabyte: f64,
}

impl Sheet {
    /// Rank of a tier, 0 being the most urgent. Absent if the sheet has no such tier.
    pub fn tier_rank(&self, tier: &str) -> Option<usize> {
        self.tiers.iter().position(|it| it.name.as_str() == tier)
    }

    /// The class with this name, if there is one.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|it| it.name.as_str() == name)
    }

    /// Region of an availability zone. Absent if the sheet has no such zone.
    pub fn region(&self, availability_zone: &str) -> Option<&Name> {
        self.availability_zones
            .iter()
            .find(|it| it.name.as_str() == availability_zone)
            .map(|it| &it.region)
    }
}

fn yes() -> bool {
    true
}

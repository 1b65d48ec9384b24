//! The operators' sheet: classes, targets, priorities, models and endpoints.

use serde::{Deserialize, Serialize};

use crate::Name;

/// A whole sheet as planners export it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// What the sheet is called, for people.
    pub sheet: Name,
    /// What the deployment weighs most.
    #[serde(default)]
    pub goal: Goal,
    /// Availability zones, each in a region. Names are unique.
    pub availability_zones: Vec<AvailabilityZone>,
    /// Tiers, most urgent first. Names are unique.
    pub tiers: Vec<Tier>,
    /// Classes of requests. Names are unique.
    pub classes: Vec<Class>,
    /// Client accounts. Names are unique; shares sum to at most 100.
    pub client_accounts: Vec<ClientAccount>,
    /// Models that may be asked for. Names are unique.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Endpoints. Names and addresses are unique.
    pub endpoints: Vec<Endpoint>,
    /// Prices of traffic between regions; absent pairs cost nothing.
    #[serde(default)]
    pub prices: Vec<Price>,
}

/// What a deployment weighs most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Goal {
    /// Attainment of the upper tiers before throughput.
    #[default]
    Attainment,
    /// Goodput and little wasted work and paid traffic.
    Goodput,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityZone {
    /// Its name.
    pub name: Name,
    /// The region it lies in.
    pub region: Name,
}

/// A service tier. Its rank is its place in [`Sheet::tiers`]; 0 is the most urgent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: Name,
}

/// What a class's requests ask for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetKind {
    /// A model engine.
    #[default]
    Model,
    /// A plain service.
    Service,
}

/// A class of requests and its targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name, as in the `X-Service-Class` header.
    pub name: Name,
    /// The tier it belongs to.
    pub tier: Name,
    /// What its requests ask for.
    #[serde(default)]
    pub kind: TargetKind,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Target for the first token, or the first byte of a service's answer.
    pub first_token_ms: u64,
    /// Target between tokens; absent where it does not matter.
    #[serde(default)]
    pub between_tokens_ms: Option<u64>,
    /// Target for the whole answer, also the default deadline.
    pub whole_answer_ms: u64,
    /// Share of dispatches the class gets under any load, in percent.
    #[serde(default)]
    pub floor_percent: u32,
    /// What is expected of output lengths until they are learned.
    #[serde(default)]
    pub output_tokens: OutputPrior,
}

/// Expected output lengths of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutputPrior {
    /// Half of the answers are at most this long, in tokens.
    pub p50_tokens: u32,
    /// 95 in 100 of the answers are at most this long, in tokens.
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
    /// Its name.
    pub name: Name,
    /// Its share of the fleet when all ask for more, in percent.
    pub share_percent: f64,
    /// Credentials that name it. Two may hold at once while one replaces the other.
    pub credentials: Vec<Credential>,
    /// Classes it may use; empty for all.
    #[serde(default)]
    pub classes: Vec<Name>,
}

/// A reference to a caller's credential: its hash, never the credential.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Credential {
    /// BLAKE3 of the bearer token, in hexadecimal.
    pub blake3: Name,
    /// The moment it stops being accepted, in milliseconds of Unix time.
    #[serde(default)]
    pub not_after_unix_ms: Option<u64>,
}

/// A model that may be asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name, as in the body's `model` field.
    pub name: Name,
    /// The version that is to be served.
    #[serde(default)]
    pub version: Option<Name>,
    /// Adapters that may be asked for as `model:adapter`.
    #[serde(default)]
    pub adapters: Vec<Name>,
}

/// An endpoint: a model engine or a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Its name.
    pub name: Name,
    /// The availability zone it stands in.
    pub availability_zone: Name,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// What it is.
    #[serde(default)]
    pub kind: TargetKind,
    /// The models it serves; for a plain service, the service's names.
    pub serves: Vec<Name>,
    /// Requests it runs at once without queueing.
    pub slots: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it checks who gives it an order.
    #[serde(default)]
    pub checks_orders: bool,
}

/// The price of traffic from one region to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Region the bytes leave.
    pub from: Name,
    /// Region the bytes enter.
    pub to: Name,
    /// Price of 10^9 bytes, in the deployment's currency.
    pub per_gigabyte: f64,
}

impl Sheet {
    /// Rank of a tier; 0 is the most urgent.
    pub fn tier_rank(&self, tier: &str) -> Option<usize> {
        self.tiers.iter().position(|it| it.name.as_str() == tier)
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|it| it.name.as_str() == name)
    }

    /// The region an availability zone lies in.
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

//! The sheet that tests run on.

use std::net::SocketAddr;

use tanagergauge_core::{
    Name,
    record::{Base, Body, Publication, SheetRecord},
    sheet::{
        AvailabilityZone, Class, ClientAccount, Credential, Endpoint, Model, OutputPrior, Sheet,
        TargetKind, Tier,
    },
};

/// Token of the client account `stage`.
pub const TOKEN: &str = "stage-token";
/// Token of the client account `house`.
pub const OTHER_TOKEN: &str = "house-token";
/// The model that engines serve.
pub const MODEL: &str = "libretto";
/// The plain service.
pub const SERVICE: &str = "cues";
/// A class of model requests in the upper tier.
pub const URGENT_CLASS: &str = "rewrite";
/// A class of model requests in the lower tier.
pub const DEFERRED_CLASS: &str = "draft";
/// A class of service requests that may not be repeated.
pub const PUBLISH_CLASS: &str = "publish";
/// A class of service requests that may be repeated.
pub const LOOKUP_CLASS: &str = "lookup";

/// Target of the whole answer in every class, in milliseconds.
const WHOLE_ANSWER_MS: u64 = 20_000;

/// What changes from test to test.
#[derive(Clone, Debug, Default)]
pub struct SheetPlan {
    /// Availability zones; endpoints stand in them in turn.
    pub availability_zones: Vec<String>,
    /// Addresses and slots of the engines.
    pub engines: Vec<(SocketAddr, u32)>,
    /// Addresses and slots of the plain services.
    pub services: Vec<(SocketAddr, u32)>,
}

impl SheetPlan {
    /// The whole sheet.
    pub fn sheet(&self) -> Sheet {
        Sheet {
            sheet: Name::from("tests"),
            availability_zones: self.availability_zones.iter().map(|it| zone(it)).collect(),
            tiers: ["booth", "backlog"].map(|it| Tier { name: Name::from(it) }).into(),
            classes: vec![
                class(URGENT_CLASS, "booth", TargetKind::Model, true),
                class(DEFERRED_CLASS, "backlog", TargetKind::Model, true),
                class(PUBLISH_CLASS, "booth", TargetKind::Service, false),
                class(LOOKUP_CLASS, "backlog", TargetKind::Service, true),
            ],
            client_accounts: vec![account("stage", TOKEN), account("house", OTHER_TOKEN)],
            models: vec![Model { name: Name::from(MODEL), version: None, adapters: Vec::new() }],
            endpoints: self.endpoints(),
            ..Sheet::default()
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let engines = self.engines.iter().enumerate();
        let engines = engines.map(|(i, it)| self.endpoint(TargetKind::Model, MODEL, i, it));
        let services = self.services.iter().enumerate();
        let services = services.map(|(i, it)| self.endpoint(TargetKind::Service, SERVICE, i, it));
        engines.chain(services).collect()
    }

    fn endpoint(
        &self,
        kind: TargetKind,
        serves: &str,
        number: usize,
        (address, slots): &(SocketAddr, u32),
    ) -> Endpoint {
        let zone = &self.availability_zones[number % self.availability_zones.len()];
        Endpoint {
            name: Name::from(format!("{serves}-{number}")),
            availability_zone: Name::from(zone.as_str()),
            address: *address,
            kind,
            serves: vec![Name::from(serves)],
            slots: *slots,
            checks_fencing: false,
            checks_orders: false,
        }
    }
}

/// The record that publishes a sheet.
pub(crate) fn publication(sheet: &Sheet, base: Base, publication_id: u128) -> Vec<u8> {
    // JSON is YAML, so that the text reads as a planner's would.
    let text = serde_json::to_string(sheet).expect("a sheet can be written");
    let body = Body::Whole(Name::from(text));
    SheetRecord::Publication(Publication { publication_id, base, body }).encode()
}

fn zone(name: &str) -> AvailabilityZone {
    AvailabilityZone { name: Name::from(name), region: Name::from("region") }
}

fn class(name: &str, tier: &str, kind: TargetKind, repeatable: bool) -> Class {
    Class {
        name: Name::from(name),
        tier: Name::from(tier),
        kind,
        repeatable,
        first_token_ms: WHOLE_ANSWER_MS / 2,
        between_tokens_ms: None,
        whole_answer_ms: WHOLE_ANSWER_MS,
        floor_percent: 0,
        output_tokens: OutputPrior::default(),
    }
}

fn account(name: &str, token: &str) -> ClientAccount {
    let blake3 = Name::from(blake3::hash(token.as_bytes()).to_string());
    ClientAccount {
        name: Name::from(name),
        share_percent: 50.0,
        credentials: vec![Credential { blake3, not_after_unix_ms: None }],
        classes: Vec::new(),
    }
}

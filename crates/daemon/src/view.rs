//! The sheet in force, indexed for lookups by a request.

use std::{collections::HashMap, sync::Arc};

use tanagergauge_core::{
    Name,
    sheet::{Class, ClientAccount, Endpoint, Sheet, TargetKind},
};

/// A sheet in force and its indexes. Built once per version, then only read.
#[derive(Debug)]
pub struct View {
    /// Offset in the log of the record that brought the sheet into force.
    pub version: u64,
    /// The sheet.
    pub sheet: Arc<Sheet>,
    /// Classes by name.
    classes: HashMap<Name, Arc<RankedClass>>,
    /// Places in the sheet of each credential's account.
    credentials: HashMap<Name, CredentialPlace>,
    /// Endpoints by what they serve.
    targets: HashMap<Target, Vec<Arc<Endpoint>>>,
}

/// A class with the rank of its tier.
#[derive(Debug)]
pub struct RankedClass {
    /// The class.
    pub class: Class,
    /// Rank of its tier; 0 is the most urgent.
    pub rank: usize,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Model engine or plain service.
    pub kind: TargetKind,
    /// The model's or the service's name.
    pub name: Name,
}

/// What a credential stands for.
#[derive(Debug)]
pub enum CredentialState<'a> {
    /// It names this account.
    Valid(&'a ClientAccount),
    /// It did until it expired.
    Expired,
    /// Nobody's.
    Unknown,
}

#[derive(Debug)]
struct CredentialPlace {
    account: usize,
    not_after_unix_ms: Option<u64>,
}

impl View {
    /// Indexes a checked sheet.
    pub fn new(version: u64, sheet: Arc<Sheet>) -> View {
        let classes = index_classes(&sheet);
        let credentials = index_credentials(&sheet);
        let targets = index_targets(&sheet);
        View { version, sheet, classes, credentials, targets }
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Arc<RankedClass>> {
        self.classes.get(name)
    }

    /// The account a bearer token stands for at a moment.
    pub fn credential(&self, token: &[u8], now_unix_ms: u64) -> CredentialState<'_> {
        let hash = blake3::hash(token).to_hex();
        let Some(place) = self.credentials.get(hash.as_str()) else {
            return CredentialState::Unknown;
        };
        if place.not_after_unix_ms.is_some_and(|it| it <= now_unix_ms) {
            return CredentialState::Expired;
        }
        CredentialState::Valid(&self.sheet.client_accounts[place.account])
    }

    /// The endpoints that serve a target; empty if it is not in the sheet.
    pub fn endpoints(&self, target: &Target) -> &[Arc<Endpoint>] {
        self.targets.get(target).map_or(&[], Vec::as_slice)
    }

    /// Splits a body's `model` into the model served and checks its adapter.
    pub fn model(&self, asked: &str) -> Option<Name> {
        let (name, adapter) = match asked.split_once(':') {
            Some((name, adapter)) => (name, Some(adapter)),
            None => (asked, None),
        };
        let model = self.sheet.models.iter().find(|it| it.name.as_str() == name)?;
        let is_known = adapter.is_none_or(|it| model.adapters.iter().any(|a| a.as_str() == it));
        is_known.then(|| model.name.clone())
    }
}

fn index_classes(sheet: &Sheet) -> HashMap<Name, Arc<RankedClass>> {
    let lowest = sheet.tiers.len();
    sheet
        .classes
        .iter()
        .map(|class| {
            let rank = sheet.tier_rank(&class.tier).unwrap_or(lowest);
            (class.name.clone(), Arc::new(RankedClass { class: class.clone(), rank }))
        })
        .collect()
}

fn index_credentials(sheet: &Sheet) -> HashMap<Name, CredentialPlace> {
    let mut places = HashMap::new();
    for (account, client_account) in sheet.client_accounts.iter().enumerate() {
        for credential in &client_account.credentials {
            let not_after_unix_ms = credential.not_after_unix_ms;
            let place = CredentialPlace { account, not_after_unix_ms };
            places.insert(credential.blake3.clone(), place);
        }
    }
    places
}

fn index_targets(sheet: &Sheet) -> HashMap<Target, Vec<Arc<Endpoint>>> {
    let mut targets: HashMap<Target, Vec<Arc<Endpoint>>> = HashMap::new();
    for endpoint in &sheet.endpoints {
        let endpoint = Arc::new(endpoint.clone());
        for name in &endpoint.serves {
            let target = Target { kind: endpoint.kind, name: name.clone() };
            targets.entry(target).or_default().push(endpoint.clone());
        }
    }
    targets
}

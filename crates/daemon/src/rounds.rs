//! What the policy tells the fleet, and hears from it.

use std::{collections::HashMap, sync::Arc};

use ractor::ActorRef;
use tanagergauge_core::{
    MemberState, Name,
    account_shares::AccountUsage,
    fact::{Fact, QuarantineRecord},
    reading::{Reading, Subject, Tag, level_of},
    scheduler::Scheduler,
    sheet::Sheet,
};
use tokio::sync::watch;

use crate::{fleet_view::FleetView, peers};

/// Time between two tellings of own measurements, in milliseconds.
const TELL_MS: u64 = 1000;

/// About how old peers' readings are when they are heard, in milliseconds.
const READING_AGE_MS: u64 = 500;

/// The name under which the use of all other instances is taken in.
const OTHERS: &str = "others";

/// The policy's connection with the fleet.
#[derive(Debug, Default)]
pub struct Rounds {
    fleet: Option<Connection>,
    told_ms: u64,
    /// What was last told of each endpoint.
    told: HashMap<Name, u32>,
}

#[derive(Debug)]
struct Connection {
    view: watch::Receiver<Arc<FleetView>>,
    peers: ActorRef<peers::Message>,
}

impl Rounds {
    /// The fleet can be heard and told.
    pub fn connect(
        &mut self,
        view: watch::Receiver<Arc<FleetView>>,
        peers: ActorRef<peers::Message>,
    ) {
        self.fleet = Some(Connection { view, peers });
    }

    /// Hears what is new, and tells what is due.
    pub fn round(&mut self, scheduler: &mut Scheduler, sheet: &Sheet, now_ms: u64) {
        self.hear(scheduler, sheet, now_ms);
        self.tell_suspicions(scheduler, now_ms);
        if now_ms >= self.told_ms + TELL_MS {
            self.told_ms = now_ms;
            self.tell_requests(scheduler);
            self.tell_use(scheduler, now_ms);
        }
    }

    /// Tells what is known against requests; that cannot wait.
    pub fn tell_suspicions(&self, scheduler: &mut Scheduler, now_ms: u64) {
        let forget_unix_ms = now_ms + scheduler.quarantine.retention_ms();
        for (fingerprint, suspicion) in scheduler.quarantine.take_changes() {
            let quarantine = QuarantineRecord { forget_unix_ms, findings: suspicion.findings() };
            let fact = Fact::Quarantine { key: fingerprint.bytes(), quarantine };
            self.tell(peers::Message::Learn(fact));
        }
    }

    fn hear(&mut self, scheduler: &mut Scheduler, sheet: &Sheet, now_ms: u64) {
        let Some(connection) = &mut self.fleet else { return };
        if !connection.view.has_changed().unwrap_or(false) {
            return;
        }
        let view = Arc::clone(&connection.view.borrow_and_update());
        let live = view.members.values().filter(|it| it.state == MemberState::Live).count();
        scheduler.set_instance_count(u32::try_from(live).unwrap_or(1));
        hear_requests(scheduler, sheet, &view, now_ms);
        hear_use(scheduler, sheet, &view, now_ms);
    }

    fn tell_requests(&mut self, scheduler: &Scheduler) {
        for (name, requests) in scheduler.own_requests() {
            if self.told.get(name).copied().unwrap_or(0) == requests {
                continue;
            }
            self.told.insert(name.clone(), requests);
            let subject = Subject::OwnRequests(Tag::of(name));
            self.tell(peers::Message::Stage(Reading { subject, value: requests }));
        }
    }

    fn tell_use(&self, scheduler: &mut Scheduler, now_ms: u64) {
        for it in scheduler.shares.snapshot(now_ms) {
            let subject = Subject::AccountUse(Tag::of(&it.account));
            let value = level_of(it.tokens);
            self.tell(peers::Message::Stage(Reading { subject, value }));
        }
    }

    fn tell(&self, message: peers::Message) {
        if let Some(connection) = &self.fleet {
            // The actor is gone only when the process stops.
            let _ = connection.peers.send_message(message);
        }
    }
}

fn hear_requests(scheduler: &mut Scheduler, sheet: &Sheet, view: &FleetView, now_ms: u64) {
    let at_ms = now_ms.saturating_sub(READING_AGE_MS);
    for endpoint in &sheet.endpoints {
        let tag = Tag::of(&endpoint.name);
        let Some(index) = scheduler.endpoints.index(&endpoint.name) else { continue };
        let requests = view.peer_requests.get(&tag).copied().unwrap_or(0);
        scheduler.endpoints.set_peer_requests(index, requests, at_ms);
        if let Some(load) = zone_load(sheet, view, &endpoint.availability_zone, endpoint) {
            scheduler.endpoints.apply_load_report(index, load, at_ms);
        }
    }
}

/// The share of an endpoint in another zone of what is running there for its model.
fn zone_load(
    sheet: &Sheet,
    view: &FleetView,
    zone: &Name,
    endpoint: &tanagergauge_core::sheet::Endpoint,
) -> Option<u32> {
    let model = endpoint.serves.first()?;
    let load = *view.model_loads.get(zone)?.get(&Tag::of(model))?;
    let is_same = |it: &&tanagergauge_core::sheet::Endpoint| {
        it.availability_zone == *zone && it.serves.first() == Some(model)
    };
    let endpoints = sheet.endpoints.iter().filter(is_same).count();
    Some(load / u32::try_from(endpoints.max(1)).ok()?)
}

fn hear_use(scheduler: &mut Scheduler, sheet: &Sheet, view: &FleetView, now_ms: u64) {
    let used = |name: &Name| view.account_use.get(&Tag::of(name)).copied().unwrap_or(0.0);
    let accounts = sheet.client_accounts.iter();
    let uses: Vec<AccountUsage> = accounts
        .map(|it| AccountUsage { account: it.name.clone(), tokens: used(&it.name) })
        .collect();
    scheduler.shares.merge_peer(&Name::from(OTHERS), now_ms, &uses);
}

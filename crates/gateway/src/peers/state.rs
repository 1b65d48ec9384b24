//! What an instance keeps of its peers.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tanagergauge_core::{
    Name,
    load_reports::{self, EndpointLoad, LoadReports},
    news::Heard,
    roster::Roster,
};

use crate::clock;

/// Age up to which what a hub read from the store is as good as a read of one's own, in
/// milliseconds.
const FRESH_MS: u64 = 1_500;
/// Time without a word of the hub after which an instance reads the store itself, in
/// milliseconds.
const HUB_SILENCE_MS: u64 = 700;

/// What an instance keeps of its peers.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    reports: Mutex<Tables>,
    roster: Mutex<Roster>,
    hub: Mutex<HubLink>,
    /// News of requests that crash endpoints, by peer that this instance reports to.
    heard: Mutex<HashMap<Name, Heard>>,
}

/// Reports of work in progress.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// By member of this zone, while this instance is its hub.
    pub(crate) members: LoadReports,
    /// By other zone.
    pub(crate) zones: LoadReports,
}

/// What is known of this zone's hub.
#[derive(Clone, Copy, Debug, Default)]
struct HubLink {
    /// When it last answered; 0 if this instance is the hub, or none answered.
    answered_ms: u64,
    /// Age of what it read from the store then.
    age_ms: u64,
}

impl Tables {
    /// What a member of this zone should know: all that is not its own.
    pub(crate) fn others_of_member(
        &mut self,
        member: &Name,
        own: Vec<EndpointLoad>,
        now_ms: u64,
    ) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let members = self.members.loads_excluding(Some(member), now_ms);
        let loads =
            load_reports::sum(members.chain(self.zones.loads_excluding(None, now_ms)).chain(own));
        let loads = load_reports::busiest(loads);
        let members = self.members.instances_excluding(Some(member), now_ms);
        (loads, 1 + members + self.zones.instances_excluding(None, now_ms))
    }

    /// What the hub of another zone should know: this zone's members.
    pub(crate) fn whole_zone(
        &mut self,
        own: Vec<EndpointLoad>,
        now_ms: u64,
    ) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let loads = load_reports::sum(self.members.loads_excluding(None, now_ms).chain(own));
        let loads = load_reports::busiest(loads);
        (loads, 1 + self.members.instances_excluding(None, now_ms))
    }

    /// What a hub itself should know: all that is not its own.
    pub(crate) fn others_of_hub(&mut self, now_ms: u64) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let members = self.members.loads_excluding(None, now_ms);
        let loads = load_reports::sum(members.chain(self.zones.loads_excluding(None, now_ms)));
        let members = self.members.instances_excluding(None, now_ms);
        (loads, members + self.zones.instances_excluding(None, now_ms))
    }

    fn expire(&mut self, now_ms: u64) {
        self.members.expire(now_ms);
        self.zones.expire(now_ms);
    }
}

impl Peers {
    /// Reports of work in progress.
    pub(crate) fn reports(&self) -> MutexGuard<'_, Tables> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Instances that are known.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was heard between this instance and a peer.
    pub(crate) fn heard(&self, peer: &str) -> Heard {
        self.lock_heard().get(peer).copied().unwrap_or_default()
    }

    /// A peer answered: both have heard more.
    pub(crate) fn set_heard(&self, peer: &Name, heard: Heard) {
        self.lock_heard().insert(peer.clone(), heard);
    }

    fn lock_heard(&self) -> MutexGuard<'_, HashMap<Name, Heard>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The hub answered.
    pub(crate) fn hub_answered(&self, age_ms: u64) {
        *self.lock_hub() = HubLink { answered_ms: clock::now_ms().max(1), age_ms };
    }

    /// This instance is the hub, or the hub did not answer.
    pub(crate) fn no_hub(&self) {
        *self.lock_hub() = HubLink::default();
    }

    /// Whether the hub hands on what it reads from the store, so that this instance need not.
    pub(crate) fn hub_reads_store(&self) -> bool {
        let hub = *self.lock_hub();
        let silence_ms = clock::now_ms().saturating_sub(hub.answered_ms);
        hub.answered_ms > 0 && silence_ms < HUB_SILENCE_MS && hub.age_ms < FRESH_MS
    }

    fn lock_hub(&self) -> MutexGuard<'_, HubLink> {
        self.hub.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

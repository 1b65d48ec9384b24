//! State that an instance keeps about its peers.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use tanagergauge_core::{
    Name,
    live_instances::LiveInstances,
    load_reports::{self, EndpointLoad, LoadReports},
    roster::{Roster, RosterNews, RosterSummary},
    store_reads::{HubUpdates, hub_updates, is_behind},
    update_log::SyncCursors,
};

use super::{
    message::{Position, StoreNews},
    versions::VersionCursors,
};
use crate::clock;

/// State that an instance keeps about its peers.
#[derive(Debug, Default)]
pub(crate) struct PeerState {
    reports: Mutex<PeerReports>,
    roster: Mutex<Roster>,
    hub: Mutex<HubStatus>,
    /// Number of instances that reported their loads recently, this one included.
    live_instances: Mutex<LiveInstances>,
    /// Cursors of the exchange of suspects with each peer that this instance reports to.
    suspect_cursors: Mutex<HashMap<Name, SyncCursors>>,
    /// Cursors of the exchange of software versions with each of them.
    version_cursors: Mutex<HashMap<Name, VersionCursors>>,
    /// What each peer that this instance reports to last told of what it knows.
    peer_knowledge: Mutex<HashMap<Name, PeerKnowledge>>,
    /// The list of instances was read from the store.
    is_list_read: AtomicBool,
}

/// What a peer told of what it knows.
#[derive(Clone, Copy, Debug, Default)]
struct PeerKnowledge {
    roster: RosterSummary,
    /// Up to where it knows the store's topics.
    known: Position,
}

/// Peers' reports of requests in progress.
#[derive(Debug, Default)]
pub(crate) struct PeerReports {
    /// From members of this zone, while this instance is its hub.
    pub(crate) members: LoadReports,
    /// From other zones, one per zone.
    pub(crate) zones: LoadReports,
}

/// State of this zone's hub.
#[derive(Clone, Copy, Debug, Default)]
struct HubStatus {
    /// When it last responded; 0 if this instance is the hub or has had no response.
    responded_ms: u64,
    /// Age of its store data at that time.
    data_age_ms: u64,
    /// Up to where it knew the store's topics at that time.
    known: Position,
    /// Number of instances that it is the hub of.
    members: usize,
}

impl PeerReports {
    /// Loads to send to a member of this zone, and the number of instances they cover: all but the
    /// member. `local` are the loads of this instance.
    pub(crate) fn loads_for_member(
        &mut self,
        member: &Name,
        local: Vec<EndpointLoad>,
        now_ms: u64,
    ) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let members = self.members.loads_excluding(Some(member), now_ms);
        let loads =
            load_reports::sum(members.chain(self.zones.loads_excluding(None, now_ms)).chain(local));
        let loads = load_reports::busiest(loads);
        let members = self.members.instances_excluding(Some(member), now_ms);
        let zones = self.zones.instances_excluding(None, now_ms);
        (loads, members.saturating_add(zones).saturating_add(1))
    }

    /// Loads to send to the hub of another zone, and the number of instances they cover: those of
    /// this zone. `local` are the loads of this instance.
    pub(crate) fn loads_of_zone(
        &mut self,
        local: Vec<EndpointLoad>,
        now_ms: u64,
    ) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let loads = load_reports::sum(self.members.loads_excluding(None, now_ms).chain(local));
        let loads = load_reports::busiest(loads);
        (loads, self.members.instances_excluding(None, now_ms).saturating_add(1))
    }

    /// Loads for this instance as the hub, and the number of instances they cover: all others.
    pub(crate) fn loads_for_hub(&mut self, now_ms: u64) -> (Vec<EndpointLoad>, u32) {
        self.expire(now_ms);
        let members = self.members.loads_excluding(None, now_ms);
        let loads = load_reports::sum(members.chain(self.zones.loads_excluding(None, now_ms)));
        let members = self.members.instances_excluding(None, now_ms);
        (loads, members.saturating_add(self.zones.instances_excluding(None, now_ms)))
    }

    fn expire(&mut self, now_ms: u64) {
        self.members.expire(now_ms);
        self.zones.expire(now_ms);
    }
}

impl PeerState {
    /// Peers' reports of requests in progress.
    pub(crate) fn reports(&self) -> MutexGuard<'_, PeerReports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of instances that reported their loads recently, this one included; 0 before the first
    /// report.
    pub(crate) fn live_instances(&self) -> usize {
        self.lock_live_instances().count()
    }

    /// Records how many other instances reported their loads.
    pub(crate) fn set_other_instances(&self, others: u32) {
        self.lock_live_instances().record(others as usize + 1, clock::now_ms());
    }

    fn lock_live_instances(&self) -> MutexGuard<'_, LiveInstances> {
        self.live_instances.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Cursors of the exchange of suspects with a peer.
    pub(crate) fn suspect_cursors(&self, peer: &str) -> SyncCursors {
        self.lock_suspect_cursors().get(peer).copied().unwrap_or_default()
    }

    /// Updates the cursors of the exchange of suspects with a peer.
    pub(crate) fn set_suspect_cursors(&self, peer: &Name, cursors: SyncCursors) {
        self.lock_suspect_cursors().insert(peer.clone(), cursors);
    }

    /// Cursors of the exchange of software versions with a peer.
    pub(super) fn version_cursors(&self, peer: &str) -> VersionCursors {
        self.lock_version_cursors().get(peer).copied().unwrap_or_default()
    }

    /// Updates the cursors of the exchange of software versions with a peer.
    pub(super) fn set_version_cursors(&self, peer: &Name, cursors: VersionCursors) {
        self.lock_version_cursors().insert(peer.clone(), cursors);
    }

    fn lock_version_cursors(&self) -> MutexGuard<'_, HashMap<Name, VersionCursors>> {
        self.version_cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What to tell a peer of the instances that this one knows.
    pub(crate) fn roster_news_for(&self, peer: &str) -> RosterNews {
        let told = self.peer_knowledge(peer).roster;
        self.roster().news_for(told, clock::now_ms())
    }

    /// Up to where a peer knows the store's topics, if it has to be told of endpoints that are gone by
    /// this instance, which knows up to `own`.
    pub(crate) fn lacks_gone_endpoints(&self, peer: &str, own: Position) -> Option<Position> {
        Some(self.peer_knowledge(peer).known).filter(|it| it.lacks_gone_endpoints(own))
    }

    /// Records what a peer told of what it knows.
    pub(crate) fn record_peer_knowledge(&self, peer: &Name, news: RosterNews, known: Position) {
        let knowledge = PeerKnowledge { roster: news.summary, known };
        self.lock_peer_knowledge().insert(peer.clone(), knowledge);
        self.roster().add_unknown(news.all);
    }

    fn peer_knowledge(&self, peer: &str) -> PeerKnowledge {
        self.lock_peer_knowledge().get(peer).copied().unwrap_or_default()
    }

    fn lock_peer_knowledge(&self) -> MutexGuard<'_, HashMap<Name, PeerKnowledge>> {
        self.peer_knowledge.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the list of instances was read from the store.
    pub(crate) fn set_list_read(&self) {
        self.is_list_read.store(true, Ordering::Relaxed);
    }

    /// Whether the list of instances was read from the store.
    pub(crate) fn is_list_read(&self) -> bool {
        self.is_list_read.load(Ordering::Relaxed)
    }

    fn lock_suspect_cursors(&self) -> MutexGuard<'_, HashMap<Name, SyncCursors>> {
        self.suspect_cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what the hub of `members` instances responded of the store.
    pub(crate) fn record_hub_response(&self, news: &StoreNews, members: usize) {
        let responded_ms = clock::now_ms().max(1);
        let (data_age_ms, known) = (news.age_ms, news.known);
        *self.lock_hub() = HubStatus { responded_ms, data_age_ms, known, members };
    }

    /// Up to where the hub knows the store's topics, if its data is old.
    pub(crate) fn hub_lacks(&self) -> Option<Position> {
        let hub = *self.lock_hub();
        // Without an end it only said that this instance must read the store itself.
        let has_responded = hub.responded_ms > 0 && hub.known.endpoints_end > 0;
        (has_responded && is_behind(hub.data_age_ms)).then_some(hub.known)
    }

    /// Records that this instance is the hub.
    pub(crate) fn clear_hub(&self) {
        *self.lock_hub() = HubStatus::default();
    }

    /// What this instance can expect of its hub.
    pub(crate) fn hub_updates(&self) -> HubUpdates {
        let hub = *self.lock_hub();
        let since_response_ms = clock::now_ms().saturating_sub(hub.responded_ms);
        hub_updates(hub.responded_ms > 0, since_response_ms, hub.data_age_ms, hub.members)
    }

    fn lock_hub(&self) -> MutexGuard<'_, HubStatus> {
        self.hub.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

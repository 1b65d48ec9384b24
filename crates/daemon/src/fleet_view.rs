//! What an instance knows of the fleet, as its other parts read it.

use std::collections::{BTreeMap, BTreeSet};

use tanagergauge_core::{
    Member, Name,
    fact::{Epoch, QuarantineRecord},
    gossip::{Gossip, Now, REPORT_STALE_MS},
    reading::{Subject, Tag, amount_of},
};

/// What an instance knows of the fleet at one moment. Rebuilt each round and at news.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// All instances, this one too.
    pub members: BTreeMap<Name, Member>,
    /// Instances of this zone that have been silent; nothing is sent to them meanwhile.
    pub suspects: BTreeSet<Name>,
    /// Live instances of this zone that were heard of lately, this one too.
    pub zone_peers: Vec<Name>,
    /// Endpoints that have ever left.
    pub endpoints: BTreeMap<Name, Epoch>,
    /// Contents kept away from endpoints.
    pub quarantines: BTreeMap<[u8; 16], QuarantineRecord>,
    /// Requests running and waiting at endpoints of this zone, as their watchers saw it.
    pub endpoint_loads: BTreeMap<Tag, u32>,
    /// Requests running and waiting for each model in other zones.
    pub model_loads: BTreeMap<Name, BTreeMap<Tag, u32>>,
    /// Requests that other instances of this zone have at endpoints.
    pub peer_requests: BTreeMap<Tag, u32>,
    /// Tokens each client account used lately at all other instances.
    pub account_use: BTreeMap<Tag, f64>,
}

impl FleetView {
    /// Reads a gossip state.
    pub fn new(gossip: &Gossip, now: Now) -> FleetView {
        let mut zone_peers: Vec<Name> =
            gossip.live_peers(now).map(|(name, _)| name.clone()).collect();
        zone_peers.push(gossip.name().clone());
        zone_peers.sort();
        let mut view = FleetView {
            members: gossip.facts().members().clone(),
            suspects: gossip.suspects(now).map(|(name, _)| name.clone()).collect(),
            zone_peers,
            endpoints: gossip.facts().endpoints().clone(),
            quarantines: gossip.facts().quarantines().clone(),
            ..FleetView::default()
        };
        view.read_peer_readings(gossip, now);
        view
    }

    /// Whether an endpoint takes no new work.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        self.endpoints.get(endpoint).is_some_and(|it| it.is_leaving())
    }

    fn read_peer_readings(&mut self, gossip: &Gossip, now: Now) {
        let own_zone = &gossip.member().availability_zone;
        for peer in gossip.peer_readings() {
            let is_own_zone = peer.availability_zone == *own_zone;
            let is_fresh = now.ms.saturating_sub(peer.updated_ms) < REPORT_STALE_MS;
            let reports = is_fresh && peer.table.get(Subject::LiveInstances).unwrap_or(0) > 0;
            for reading in peer.table.iter() {
                match reading.subject {
                    Subject::EndpointLoad(tag) if is_own_zone => {
                        self.endpoint_loads.insert(tag, reading.value);
                    }
                    Subject::OwnRequests(tag) if is_own_zone => {
                        *self.peer_requests.entry(tag).or_default() += reading.value;
                    }
                    Subject::AccountUse(tag) if is_own_zone => {
                        *self.account_use.entry(tag).or_default() += amount_of(reading.value);
                    }
                    Subject::ZoneUse(tag) if !is_own_zone && reports => {
                        *self.account_use.entry(tag).or_default() += amount_of(reading.value);
                    }
                    Subject::ModelLoad(tag) if !is_own_zone && reports => {
                        let zone = peer.availability_zone.clone();
                        self.model_loads.entry(zone).or_default().insert(tag, reading.value);
                    }
                    _ => (),
                }
            }
        }
    }
}

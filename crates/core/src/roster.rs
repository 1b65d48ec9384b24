//! The known instances, and which of them is the hub of its availability zone.
//!
//! The members of a zone exchange their state through its hub. Every instance orders the members
//! by the same hash and takes the first that responds; there is no agreement protocol. While a zone
//! has two hubs, a few more messages are sent, but no response is lost.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{Name, endpoint_limits::FleetPosition, load_reports::name_hash};

/// Number of instances that share what is divided among all, until their list was read.
pub const ASSUMED_INSTANCES: usize = 12;

/// Length of the first pause after an instance did not respond, in milliseconds; it doubles with
/// each further failure.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Maximum length of such a pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 16_000;

/// Least time between two requests for the lists of peers, in milliseconds.
const ASK_INTERVAL_MS: u64 = 3_000;

/// An instance and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its name, unique in the fleet.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Address at which it accepts messages of other instances.
    pub control: SocketAddr,
}

#[derive(Clone, Debug)]
struct Entry {
    peer: Peer,
    /// Before this time the instance is not selected as hub.
    paused_until_ms: u64,
    /// Length of the last pause, in milliseconds; 0 after a success.
    pause_ms: u64,
}

/// All known instances.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    by_name: HashMap<Name, Entry>,
    /// When a peer was last asked for its list.
    asked_ms: Option<u64>,
}

/// What instances tell each other of the instances that they know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterNews {
    /// What the sender has and wants.
    pub summary: RosterSummary,
    /// All instances that the sender knows, if it was asked for them.
    pub all: Vec<Peer>,
}

/// How many instances a peer knows, and whether it asks for more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterSummary {
    /// Number of instances that it knows.
    pub known: u32,
    /// It asks for all that the other knows.
    pub asks_for_all: bool,
}

impl Roster {
    /// Adds or updates an instance. It replaces another one at the same address, whose process
    /// must have ended.
    pub fn put(&mut self, peer: Peer) {
        self.by_name.retain(|name, it| it.peer.control != peer.control || *name == peer.name);
        match self.by_name.get_mut(&peer.name) {
            Some(entry) => entry.peer = peer,
            None => {
                let entry = Entry { peer, paused_until_ms: 0, pause_ms: 0 };
                self.by_name.insert(entry.peer.name.clone(), entry);
            }
        }
    }

    /// What to tell a peer that told this last.
    pub fn news_for(&mut self, peer: RosterSummary, now_ms: u64) -> RosterNews {
        let may_ask = self.asked_ms.is_none_or(|it| now_ms >= it + ASK_INTERVAL_MS);
        let asks_for_all = may_ask && peer.known as usize > self.len();
        if asks_for_all {
            self.asked_ms = Some(now_ms);
        }
        let all = self.by_name.values().filter(|_| peer.asks_for_all).map(|it| it.peer.clone());
        let summary = RosterSummary { known: self.len() as u32, asks_for_all };
        RosterNews { summary, all: all.collect() }
    }

    /// Adds the instances that a peer knows and this one does not. What is known stays: it may be
    /// newer.
    pub fn add_unknown(&mut self, peers: Vec<Peer>) {
        for peer in peers {
            let is_known = self
                .by_name
                .values()
                .any(|it| it.peer.name == peer.name || it.peer.control == peer.control);
            if !is_known {
                self.put(peer);
            }
        }
    }

    /// Adds or updates an instance that sent a message, and ends its pause.
    pub fn record_contact(&mut self, peer: Peer) {
        let name = peer.name.clone();
        self.put(peer);
        self.record_success(&name);
    }

    /// Records that an instance responded, which ends its pause.
    pub fn record_success(&mut self, name: &str) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.paused_until_ms = 0;
            it.pause_ms = 0;
        }
    }

    /// Records that an instance did not respond, which pauses it.
    pub fn record_failure(&mut self, name: &str, now_ms: u64) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.pause_ms = (it.pause_ms * 2).clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS);
            it.paused_until_ms = now_ms + it.pause_ms;
        }
    }

    /// The hub of a zone as this instance sees it; `None` if no member is known or all are
    /// paused. This instance, named `own`, is never paused.
    pub fn hub(&self, zone: &str, own: &str, now_ms: u64) -> Option<&Peer> {
        let is_available = |it: &&Entry| now_ms >= it.paused_until_ms || &*it.peer.name == own;
        let members = self.by_name.values().filter(|it| &*it.peer.zone == zone);
        let first = members.filter(is_available).max_by_key(|it| hub_priority(&it.peer));
        first.map(|it| &it.peer)
    }

    /// All availability zones with known instances, sorted.
    pub fn zones(&self) -> Vec<Name> {
        let mut zones: Vec<Name> = self.by_name.values().map(|it| it.peer.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// The known instances of a zone.
    pub fn members(&self, zone: &str) -> impl Iterator<Item = &Peer> {
        self.by_name.values().map(|it| &it.peer).filter(move |it| &*it.zone == zone)
    }

    /// Place of an instance in the order of the names of all. While fewer are known than the
    /// `live_instances` that report their loads, as after a start, the place is that of a hash among
    /// twice as many places, since those of several instances may coincide. Before the list of
    /// instances was read, there may be [`ASSUMED_INSTANCES`].
    pub fn position(&self, name: &str, live_instances: usize, is_list_read: bool) -> FleetPosition {
        let assumed = if is_list_read { 0 } else { ASSUMED_INSTANCES };
        let live_instances = live_instances.max(assumed);
        let is_listed = self.by_name.contains_key(name);
        let known = self.by_name.len() + usize::from(!is_listed);
        if known < live_instances {
            let places = 2 * live_instances;
            return FleetPosition { rank: name_hash(name) as usize % places, instances: places };
        }
        let rank = self.by_name.keys().filter(|it| ***it < *name).count();
        FleetPosition { rank, instances: known }
    }

    /// Number of known instances, paused ones included.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

/// Order in which the members of a zone become its hub, the highest first. The factor is 2^32
/// divided by the golden ratio, which mixes the hash; the name breaks ties.
fn hub_priority(peer: &Peer) -> (u32, &str) {
    (name_hash(&peer.name).wrapping_mul(0x9e37_79b1), &peer.name)
}

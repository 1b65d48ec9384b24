//! Exchange of learned values between instances.
//!
//! Members tell the hub of their zone what they learned, hubs tell each other the sums of their zones,
//! and a hub tells its members the sum of all others. No value comes back to where it was learned, so
//! that none is counted twice.

use std::collections::HashMap;

use super::{
    peer_readings::{PeerReadings, Sum},
    reading::{MOMENTARY, Reading},
    reading_link::{ReadingLink, ReadingMessage},
};
use crate::Name;

/// Peers that were told nothing for this long are forgotten, in milliseconds.
const LINK_MAX_AGE_MS: u64 = 60_000;

/// What a peer is to this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerKind {
    /// Member of the zone that this instance is the hub of.
    Member,
    /// Hub of this instance's zone.
    OwnHub,
    /// Hub of another zone, while this instance is the hub of its own.
    ZoneHub,
}

/// Least time between two times that what peers told is taken over, in milliseconds.
const TAKE_INTERVAL_MS: u64 = 500;

/// State of the exchange with all peers.
#[derive(Clone, Debug, Default)]
pub struct SpeedGossip {
    links: HashMap<Name, ReadingLink>,
    members: PeerReadings,
    zones: PeerReadings,
    own_hub: PeerReadings,
    /// This instance last reported to the hub of its zone, and not as a hub.
    is_member: bool,
    /// Peers told something since it was taken over.
    has_news: bool,
    /// When that was last.
    taken_ms: Option<u64>,
}

impl SpeedGossip {
    /// Builds the next message to a peer. `local` is what this instance learned.
    pub fn message(
        &mut self,
        peer: &Name,
        kind: PeerKind,
        local: &[Reading],
        now_ms: u64,
    ) -> ReadingMessage {
        self.is_member = kind == PeerKind::OwnHub;
        self.expire(now_ms);
        let wants_samples = self.wants_samples(peer, now_ms);
        let mut readings = self.momentary_for(peer, kind, local, now_ms);
        if wants_samples {
            readings.extend(self.samples_for(peer, kind, local));
        }
        self.links.entry(peer.clone()).or_default().message(&readings, now_ms)
    }

    /// Takes over a message of a peer.
    pub fn receive(&mut self, peer: &Name, kind: PeerKind, message: &ReadingMessage, now_ms: u64) {
        self.links.entry(peer.clone()).or_default().record_received(message, now_ms);
        let known = match kind {
            PeerKind::Member => &mut self.members,
            PeerKind::OwnHub => &mut self.own_hub,
            PeerKind::ZoneHub => &mut self.zones,
        };
        known.put(peer, &message.readings, now_ms);
        self.has_news |= !message.readings.is_empty();
    }

    /// Whether what peers told is to be taken over now: there is news, and the last time is long enough ago.
    /// It concerns all endpoints, and a hub gets many messages.
    pub fn take_news(&mut self, now_ms: u64) -> bool {
        let is_due = self.taken_ms.is_none_or(|it| now_ms >= it + TAKE_INTERVAL_MS);
        if !(self.has_news && is_due) {
            return false;
        }
        self.has_news = false;
        self.taken_ms = Some(now_ms);
        true
    }

    /// Whether the next message to a peer compares values that stand for samples.
    pub fn wants_samples(&self, peer: &str, now_ms: u64) -> bool {
        self.links.get(peer).is_none_or(|it| it.wants_samples(now_ms))
    }

    /// Whether a peer sent a message within the last minute.
    pub fn has_received_from(&self, peer: &str) -> bool {
        self.links.get(peer).is_some_and(ReadingLink::has_received)
    }

    /// What all peers learned of a value.
    pub(super) fn sum(&self, key: u32) -> Sum {
        if self.is_member {
            return self.own_hub.sum(key);
        }
        self.members.sum(key).and(self.zones.sum(key))
    }

    /// Momentary value that a peer told just now.
    pub fn momentary(&self, key: u32, now_ms: u64) -> Option<f64> {
        if self.is_member {
            return self.own_hub.momentary(key, "", now_ms);
        }
        let of_member = self.members.momentary(key, "", now_ms);
        of_member.or_else(|| self.zones.momentary(key, "", now_ms))
    }

    /// Number of values that peers told.
    pub fn len(&self) -> usize {
        self.members.len() + self.zones.len() + self.own_hub.len()
    }

    /// Whether no peer told anything.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn expire(&mut self, now_ms: u64) {
        for it in [&mut self.members, &mut self.zones, &mut self.own_hub] {
            it.expire(now_ms);
        }
        self.links.retain(|_, it| it.is_used(now_ms, LINK_MAX_AGE_MS));
    }

    /// Peers whose values a peer is told.
    fn sources(&self, kind: PeerKind) -> Vec<&PeerReadings> {
        match kind {
            PeerKind::Member => vec![&self.members, &self.zones],
            PeerKind::OwnHub => Vec::new(),
            PeerKind::ZoneHub => vec![&self.members],
        }
    }

    fn samples_for(&self, peer: &str, kind: PeerKind, local: &[Reading]) -> Vec<Reading> {
        let mut sums: HashMap<u32, Sum> = HashMap::new();
        for it in local.iter().filter(|it| it.weight != MOMENTARY) {
            sums.entry(it.key).or_default().add(*it, 1.0);
        }
        for source in self.sources(kind) {
            for key in source.keys() {
                let sum = sums.entry(key).or_default();
                *sum = sum.and(source.sum_excluding(key, peer));
            }
        }
        sums.into_iter().filter_map(|(key, sum)| sum.reading(key)).collect()
    }

    fn momentary_for(
        &self,
        peer: &str,
        kind: PeerKind,
        local: &[Reading],
        now_ms: u64,
    ) -> Vec<Reading> {
        let mut readings: HashMap<u32, Reading> = HashMap::new();
        for source in self.sources(kind) {
            for key in source.momentary_keys() {
                let value = source.momentary(key, peer, now_ms);
                let reading = value.and_then(|it| Reading::momentary(key, it));
                readings.extend(reading.map(|it| (key, it)));
            }
        }
        let own = local.iter().filter(|it| it.weight == MOMENTARY);
        readings.extend(own.map(|it| (it.key, *it)));
        readings.into_values().collect()
    }
}

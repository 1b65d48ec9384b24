//! Pulls and their responses.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{
    Gossip, KnownVersion, MAX_MESSAGE_FACTS, MAX_RESPONSE_READINGS, Now, PeerReadings, Pull,
    PullResponse, Update,
};
use crate::{
    fact::Fact,
    reading::{Subject, Tag},
    reading_table::{ReadingTable, TableVersion},
};

/// Rounds for which other zones are told that an instance is no longer the reporter.
const RETRACTION_ROUNDS: u32 = 60;

impl Gossip {
    /// The request to send to the peer at a control address.
    ///
    /// It lists only tables that are not empty; those of other zones belong to their reporters. An
    /// instance of another zone is not asked about this zone.
    pub fn pull(&self, peer: SocketAddr) -> Pull {
        let own_zone = &self.member.availability_zone;
        let mut members = self.facts.members().values();
        let is_in_other_zone =
            members.any(|it| it.control_address == peer && it.availability_zone != *own_zone);
        let is_listed = |it: &PeerReadings| {
            it.table.version() > TableVersion::default()
                && !(is_in_other_zone && it.availability_zone == *own_zone)
        };
        let own = KnownVersion { instance: Tag::of(&self.name), version: self.table.version() };
        let copies = self.peers.iter().filter(|(_, it)| is_listed(it)).map(|(instance, it)| {
            KnownVersion { instance: *instance, version: it.table.version() }
        });
        Pull {
            name: self.name.clone(),
            member: self.member.clone(),
            hashes: *self.facts.hashes(),
            known_versions: copies.chain([own]).collect(),
            sheet_version: self.sheet_version,
        }
    }

    /// Merges the sender's record, and responds with what it lacks.
    pub fn respond(&mut self, pull: &Pull, now: Now, random: u64) -> PullResponse {
        self.merge_fact(
            &Fact::Member { name: pull.name.clone(), member: pull.member.clone() },
            now,
        );
        let mut facts = self.facts.differing(&pull.hashes);
        let mut is_partial = facts.len() > MAX_MESSAGE_FACTS;
        if is_partial {
            // Starts at a random fact, so that repeated pulls get all of them in the end.
            let start = (random % facts.len() as u64) as usize;
            facts.rotate_left(start);
            facts.truncate(MAX_MESSAGE_FACTS);
        }
        let updates = self.updates(pull, random, &mut is_partial);
        PullResponse { facts, updates, is_partial, sheet_version: self.sheet_version }
    }

    /// Applies a response. Returns the facts that were new.
    pub fn apply_response(&mut self, response: &PullResponse, now: Now) -> Vec<Fact> {
        let new_facts = self.merge_facts(&response.facts, now);
        let tag = Tag::of(&self.name);
        for update in &response.updates {
            if update.instance == tag {
                self.table.advance_past(update.delta.version);
            } else {
                self.merge_update(update, now);
            }
        }
        new_facts
    }

    /// Merges facts from a peer. Returns those that were new.
    pub fn merge_facts(&mut self, facts: &[Fact], now: Now) -> Vec<Fact> {
        facts.iter().filter(|it| self.merge_fact(it, now)).cloned().collect()
    }

    fn merge_update(&mut self, update: &Update, now: Now) {
        if let Some(peer) = self.peers.get_mut(&update.instance)
            && peer.table.merge(&update.delta)
        {
            peer.updated_ms = now.ms;
        }
    }

    /// Readings for the sender of a pull. It gets all readings of its own zone, but only from an
    /// instance of that zone, and the global readings of other zones.
    fn updates(&self, pull: &Pull, random: u64, is_partial: &mut bool) -> Vec<Update> {
        let zone = &pull.member.availability_zone;
        let is_same_zone = *zone == self.member.availability_zone;
        let known: BTreeMap<Tag, TableVersion> =
            pull.known_versions.iter().map(|it| (it.instance, it.version)).collect();
        let own = (Tag::of(&self.name), &self.table, &self.member.availability_zone);
        let copies = self.peers.iter().map(|(tag, it)| (*tag, &it.table, &it.availability_zone));
        let mut all: Vec<_> = copies.chain([own]).collect();
        let start = (random % all.len() as u64) as usize;
        all.rotate_left(start);
        let mut updates = Vec::new();
        let mut remaining = MAX_RESPONSE_READINGS;
        for (instance, table, origin_zone) in all {
            let is_from_sender_zone = origin_zone == zone;
            if is_from_sender_zone && !is_same_zone || !is_from_sender_zone && !is_report(table) {
                continue;
            }
            let version = known.get(&instance).copied().unwrap_or_default();
            if remaining == 0 {
                *is_partial |= version < table.version();
                continue;
            }
            let is_wanted = |subject: Subject| is_from_sender_zone || subject.is_global();
            let Some(delta) = table.delta(version, remaining, is_wanted) else { continue };
            *is_partial |= delta.version < table.version();
            remaining = remaining.saturating_sub(delta.changes.len());
            updates.push(Update { instance, delta });
        }
        updates
    }
}

/// Whether an instance's readings are sent to other zones: it is the reporter of its zone, or
/// recently ceased to be.
fn is_report(table: &ReadingTable) -> bool {
    match table.get(Subject::LiveInstances) {
        None => false,
        Some(0) => {
            table.age_rounds(Subject::LiveInstances).is_some_and(|it| it < RETRACTION_ROUNDS)
        }
        Some(_) => true,
    }
}

//! What instances tell each other, and whom they ask.
//!
//! Each round an instance pulls what it lacks from one random peer of its zone;
//! two instances a zone also pull from each other zone. Facts are compared by
//! the hashes of their buckets, readings by the stamps of their ledgers.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    Member, MemberState, Name,
    fact::{Epoch, Fact},
    fact_set::{BucketHashes, FactSet},
    publisher::Publisher,
    reading::{Reading, Subject, Tag, amount_of, level_of},
    reading_table::{ReadingDelta, ReadingTable, TableVersion},
    rendezvous,
};

/// Time between two rounds, in milliseconds.
pub const ROUND_MS: u64 = 1000;
/// Readings that all instances of a zone together publish in a round.
pub const ZONE_READINGS_PER_ROUND: usize = 120;
/// Readings about its whole zone that a zone's reporter publishes in a round.
pub const REPORT_READINGS_PER_ROUND: usize = 8;
/// Readings in one answer, at most, but for the last round of a ledger.
pub const MAX_RESPONSE_READINGS: usize = 400;
/// Facts in one message, at most.
pub const MAX_MESSAGE_FACTS: usize = 64;
/// Instances of a zone that pull from each other zone.
pub const CROSS_ZONE_PULLERS: usize = 2;
/// Peers of the zone that an urgent fact is pushed to, by each who hears of it first.
pub const PUSH_FANOUT: usize = 4;
/// Rounds after its start before an instance reports for its zone: till then it may
/// only not have heard of its peers.
const REPORT_AFTER_ROUNDS: u64 = 10;
/// Rounds for which the end of an instance's reports is passed on.
const RETRACTION_ROUNDS: u32 = 60;
/// Silence after which a report of another zone counts no more, in milliseconds.
pub const REPORT_STALE_MS: u64 = 60_000;
/// Rounds between two pulls of a link.
const CROSS_ZONE_PULL_ROUNDS: u64 = 2;
/// Rounds between two pulls from an address of the settings.
const SEED_ROUNDS: u64 = 30;
/// Rounds between two pulls from a suspected peer.
const SUSPECT_ROUNDS: u64 = 8;
/// Silence after which the zone's reporter calls an instance gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 120_000;
/// How long the record of a gone instance is kept, in milliseconds.
pub const GONE_RETENTION_MS: u64 = 3_600_000;
/// Rounds of silence after which a peer is suspected in the smallest zone.
const SUSPECT_AFTER_ROUNDS: u64 = 6;

/// What an instance knows of the fleet.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Name of this instance.
    name: Name,
    /// Its record; always in `facts` as well.
    member: Member,
    /// All facts.
    facts: FactSet,
    /// This instance's readings.
    table: ReadingTable,
    /// Readings that are still to be published.
    publisher: Publisher,
    /// Peers' readings; only of instances in `facts` that are not gone.
    peers: BTreeMap<Tag, PeerReadings>,
    /// The model each endpoint of this zone serves.
    models: BTreeMap<Tag, Tag>,
    /// Version of the sheet in force here.
    sheet_version: Option<u64>,
    /// Rounds begun.
    rounds: u64,
}

/// A peer's readings as this instance has them.
#[derive(Clone, Debug)]
pub struct PeerReadings {
    /// Name of the peer.
    pub name: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// The readings.
    pub table: ReadingTable,
    /// When the copy last moved, on this instance's clock.
    pub updated_ms: u64,
}

/// Asks a peer for what the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Name of the sender.
    pub name: Name,
    /// Its record.
    pub member: Member,
    /// Hashes of its facts.
    pub hashes: BucketHashes,
    /// How far its copies reach.
    #[serde(rename = "reaches")]
    pub known_versions: Vec<KnownVersion>,
    /// Version of the sheet in force at the sender.
    pub sheet_version: Option<u64>,
}

/// How far a copy of an instance's readings reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// The instance.
    pub instance: Tag,
    /// How far.
    #[serde(rename = "stamp")]
    pub version: TableVersion,
}

/// What the sender of a [`Pull`] lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Facts of buckets that differ, at most [`MAX_MESSAGE_FACTS`].
    pub facts: Vec<Fact>,
    /// Readings.
    pub updates: Vec<Update>,
    /// Whether there was more than the limits allow.
    pub is_partial: bool,
    /// Version of the sheet in force at the answering instance.
    pub sheet_version: Option<u64>,
}

/// What is new in one instance's readings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The instance.
    pub instance: Tag,
    /// The changes.
    pub delta: ReadingDelta,
}

/// Facts that cannot wait for the next pull, at most [`MAX_MESSAGE_FACTS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The facts.
    pub facts: Vec<Fact>,
}

/// The time on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic, in milliseconds.
    pub ms: u64,
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
}

impl Gossip {
    /// An instance that knows only itself.
    pub fn new(name: Name, member: Member, now: Now) -> Gossip {
        let mut facts = FactSet::default();
        facts.merge(&Fact::Member { name: name.clone(), member: member.clone() }, now.unix_ms);
        let start_unix_s = u32::try_from(member.incarnation / 1000).unwrap_or(u32::MAX);
        Gossip {
            name,
            member,
            facts,
            table: ReadingTable::new(start_unix_s),
            publisher: Publisher::default(),
            peers: BTreeMap::new(),
            models: BTreeMap::new(),
            sheet_version: None,
            rounds: 0,
        }
    }

    /// Name of this instance.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// This instance's record.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// All facts.
    pub fn facts(&self) -> &FactSet {
        &self.facts
    }

    /// Peers' readings.
    pub fn peer_readings(&self) -> impl Iterator<Item = &PeerReadings> {
        self.peers.values()
    }

    /// Notes a measurement of this instance, to be published when its turn comes.
    pub fn stage(&mut self, reading: Reading) {
        self.publisher.stage(reading, &self.table);
    }

    /// Sets which model each endpoint of this zone serves.
    pub fn set_models(&mut self, models: BTreeMap<Tag, Tag>) {
        self.models = models;
    }

    /// Sets which sheet is in force here.
    pub fn set_sheet_version(&mut self, version: u64) {
        self.sheet_version = self.sheet_version.max(Some(version));
    }

    /// Version of the sheet in force here.
    pub fn sheet_version(&self) -> Option<u64> {
        self.sheet_version
    }

    /// Forgets endpoints that are in no sheet any more.
    pub fn retain_endpoints(&mut self, is_known: impl Fn(&str) -> bool) {
        self.facts.retain_endpoints(is_known);
    }

    /// Takes in a fact that was not learnt from a peer. Returns whether it was news.
    pub fn add_fact(&mut self, fact: &Fact, now: Now) -> bool {
        self.facts.merge(fact, now.unix_ms)
    }

    /// An endpoint was seen to leave. Returns the fact if it is news.
    pub fn mark_endpoint_leaving(&mut self, endpoint: &Name, now: Now) -> Option<Fact> {
        self.set_epoch(endpoint, self.facts.epoch(endpoint).to_leaving(), now)
    }

    /// An endpoint was seen to be back for a while. Returns the fact if it is news.
    pub fn mark_endpoint_returned(&mut self, endpoint: &Name, now: Now) -> Option<Fact> {
        self.set_epoch(endpoint, self.facts.epoch(endpoint).to_returned(), now)
    }

    /// Moves this instance's own state forward. Returns the fact if it is news.
    pub fn set_state(&mut self, state: MemberState, now: Now) -> Option<Fact> {
        if state <= self.member.state {
            return None;
        }
        self.member.state = state;
        if state == MemberState::Gone {
            self.member.forget_unix_ms = now.unix_ms + GONE_RETENTION_MS;
        }
        self.publish_own_record(now)
    }

    /// Begins a round: publishes readings, judges silence, forgets.
    pub fn begin_round(&mut self, now: Now) {
        self.rounds += 1;
        self.facts.expire(now.unix_ms);
        self.drop_gone_peers();
        let reports = self.rounds > REPORT_AFTER_ROUNDS && self.rendezvous_rank("report", now) == 0;
        if reports {
            self.stage_report();
            self.declare_gone(now);
        } else if self.table.get(Subject::LiveInstances).is_some() {
            self.stage(Reading { subject: Subject::LiveInstances, value: 0 });
        }
        let live = 1 + self.live_peers(now).count();
        let limit = (ZONE_READINGS_PER_ROUND / live).max(1)
            + if reports { REPORT_READINGS_PER_ROUND } else { 0 };
        let changes = self.publisher.take(limit, &self.table);
        self.table.publish(&changes);
    }

    /// Whom to pull from in this round, by random numbers from `draw`.
    pub fn targets(
        &self,
        seeds: &[SocketAddr],
        now: Now,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let (names, live): (Vec<&Name>, Vec<&Member>) = self.live_peers(now).unzip();
        targets.extend(choose(&live, draw()).map(|it| it.control_address));
        if self.rounds.is_multiple_of(SUSPECT_ROUNDS) {
            let suspects: Vec<&Member> = self.suspects(now).map(|(_, it)| it).collect();
            targets.extend(choose(&suspects, draw()).map(|it| it.control_address));
        }
        targets.extend(self.cross_zone_targets(&names, &mut draw));
        let is_alone = targets.is_empty() && live.is_empty();
        if is_alone || self.rounds.is_multiple_of(SEED_ROUNDS) {
            let seeds: Vec<&SocketAddr> =
                seeds.iter().filter(|it| **it != self.member.control_address).collect();
            targets.extend(choose(&seeds, draw()).copied());
        }
        targets
    }

    /// Whom to push urgent facts to: few peers of the zone and, if it `to_other_zones`, as
    /// from the first to learn of them, one instance of each other zone.
    pub fn push_targets(
        &self,
        to_other_zones: bool,
        now: Now,
        mut draw: impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        let mut live: Vec<&Member> = self.live_peers(now).map(|(_, it)| it).collect();
        let mut targets = Vec::new();
        for _ in 0..PUSH_FANOUT {
            if live.is_empty() {
                break;
            }
            let chosen = (draw() % live.len() as u64) as usize;
            targets.push(live.swap_remove(chosen).control_address);
        }
        if to_other_zones {
            let zones = self.other_zones();
            targets.extend(zones.iter().filter_map(|zone| self.random_instance(zone, draw())));
        }
        targets
    }

    /// What to ask the instance of a control address.
    ///
    /// Only copies that hold something are named: of other zones those are their
    /// reporters. Another zone's instance is not asked about this zone.
    pub fn pull(&self, peer: SocketAddr) -> Pull {
        let own_zone = &self.member.availability_zone;
        let mut members = self.facts.members().values();
        let is_foreign =
            members.any(|it| it.control_address == peer && it.availability_zone != *own_zone);
        let is_named = |it: &PeerReadings| {
            it.table.version() > TableVersion::default()
                && !(is_foreign && it.availability_zone == *own_zone)
        };
        let own = KnownVersion { instance: Tag::of(&self.name), version: self.table.version() };
        let copies = self.peers.iter().filter(|(_, it)| is_named(it)).map(|(instance, it)| {
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

    /// What the sender of a pull lacks. Takes in what it says of itself.
    pub fn respond(&mut self, pull: &Pull, now: Now, draw: u64) -> PullResponse {
        self.merge_fact(
            &Fact::Member { name: pull.name.clone(), member: pull.member.clone() },
            now,
        );
        let mut facts = self.facts.differing(&pull.hashes);
        let mut is_partial = facts.len() > MAX_MESSAGE_FACTS;
        if is_partial {
            let start = (draw % facts.len() as u64) as usize;
            facts.rotate_left(start);
            facts.truncate(MAX_MESSAGE_FACTS);
        }
        let updates = self.updates(pull, draw, &mut is_partial);
        PullResponse { facts, updates, is_partial, sheet_version: self.sheet_version }
    }

    /// Takes in an answer. Returns the facts that were news.
    pub fn apply_response(&mut self, response: &PullResponse, now: Now) -> Vec<Fact> {
        let news = self.merge_facts(&response.facts, now);
        let tag = Tag::of(&self.name);
        for update in &response.updates {
            if update.instance == tag {
                self.table.advance_past(update.delta.version);
            } else {
                self.merge_update(update, now);
            }
        }
        news
    }

    /// Takes in facts from a peer. Returns those that were news.
    pub fn merge_facts(&mut self, facts: &[Fact], now: Now) -> Vec<Fact> {
        facts.iter().filter(|it| self.merge_fact(it, now)).cloned().collect()
    }

    /// Peers of this zone that are live and heard of lately.
    pub fn live_peers(&self, now: Now) -> impl Iterator<Item = (&Name, &Member)> {
        let limit_ms = self.suspect_after_ms();
        self.zone_peers().filter(move |(name, _)| self.silence_ms(name, now) <= limit_ms)
    }

    /// Peers of this zone that have been silent.
    pub fn suspects(&self, now: Now) -> impl Iterator<Item = (&Name, &Member)> {
        let limit_ms = self.suspect_after_ms();
        self.zone_peers().filter(move |(name, _)| self.silence_ms(name, now) > limit_ms)
    }

    /// Place of this instance among the live ones of its zone for a task.
    pub fn rendezvous_rank(&self, task: &str, now: Now) -> usize {
        rendezvous::rank(task, &self.name, self.live_peers(now).map(|(name, _)| name.as_str()))
    }

    fn set_epoch(&mut self, endpoint: &Name, epoch: Epoch, now: Now) -> Option<Fact> {
        let fact = Fact::Endpoint { name: endpoint.clone(), epoch };
        self.facts.merge(&fact, now.unix_ms).then_some(fact)
    }

    fn publish_own_record(&mut self, now: Now) -> Option<Fact> {
        let fact = Fact::Member { name: self.name.clone(), member: self.member.clone() };
        self.facts.merge(&fact, now.unix_ms).then_some(fact)
    }

    fn merge_fact(&mut self, fact: &Fact, now: Now) -> bool {
        if let Fact::Member { name, member } = fact
            && *name == self.name
        {
            if *member <= self.member {
                return false;
            }
            self.member = self.member.refute(member);
            return self.publish_own_record(now).is_some();
        }
        let is_news = self.facts.merge(fact, now.unix_ms);
        if is_news && let Fact::Member { name, member } = fact {
            self.track_peer(name, member, now);
        }
        is_news
    }

    fn track_peer(&mut self, name: &Name, member: &Member, now: Now) {
        if member.state == MemberState::Gone {
            self.peers.remove(&Tag::of(name));
            return;
        }
        let peer = self.peers.entry(Tag::of(name)).or_insert_with(|| PeerReadings {
            name: name.clone(),
            availability_zone: member.availability_zone.clone(),
            table: ReadingTable::default(),
            updated_ms: now.ms,
        });
        peer.availability_zone = member.availability_zone.clone();
    }

    fn merge_update(&mut self, update: &Update, now: Now) {
        if let Some(peer) = self.peers.get_mut(&update.instance)
            && peer.table.merge(&update.delta)
        {
            peer.updated_ms = now.ms;
        }
    }

    /// Readings for the sender of a pull: of its own zone only from an instance
    /// of that zone, of other zones only what is global.
    fn updates(&self, pull: &Pull, draw: u64, is_partial: &mut bool) -> Vec<Update> {
        let zone = &pull.member.availability_zone;
        let is_same_zone = *zone == self.member.availability_zone;
        let theirs: BTreeMap<Tag, TableVersion> =
            pull.known_versions.iter().map(|it| (it.instance, it.version)).collect();
        let own = (Tag::of(&self.name), &self.table, &self.member.availability_zone);
        let copies = self.peers.iter().map(|(tag, it)| (*tag, &it.table, &it.availability_zone));
        let mut all: Vec<_> = copies.chain([own]).collect();
        let start = (draw % all.len() as u64) as usize;
        all.rotate_left(start);
        let mut updates = Vec::new();
        let mut left = MAX_RESPONSE_READINGS;
        for (instance, table, origin_zone) in all {
            let is_of_their_zone = origin_zone == zone;
            if is_of_their_zone && !is_same_zone || !is_of_their_zone && !is_report(table) {
                continue;
            }
            let version = theirs.get(&instance).copied().unwrap_or_default();
            if left == 0 {
                *is_partial |= version < table.version();
                continue;
            }
            let is_wanted = |subject: Subject| is_of_their_zone || subject.is_global();
            let Some(delta) = table.delta(version, left, is_wanted) else { continue };
            *is_partial |= delta.version < table.version();
            left = left.saturating_sub(delta.changes.len());
            updates.push(Update { instance, delta });
        }
        updates
    }

    fn zone_peers(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.facts
            .zone_members(&self.member.availability_zone)
            .filter(|(name, _)| **name != self.name)
    }

    fn silence_ms(&self, name: &Name, now: Now) -> u64 {
        let peer = self.peers.get(&Tag::of(name));
        peer.map_or(u64::MAX, |it| now.ms.saturating_sub(it.updated_ms))
    }

    /// Grows with the logarithm of the zone, as the way of a heartbeat does.
    fn suspect_after_ms(&self) -> u64 {
        let peers = self.zone_peers().count() as u64;
        let rounds = SUSPECT_AFTER_ROUNDS + 3 * u64::from((peers + 1).ilog2());
        rounds * ROUND_MS
    }

    fn other_zones(&self) -> Vec<Name> {
        let mut zones: Vec<Name> = self
            .facts
            .members()
            .values()
            .filter(|it| it.state != MemberState::Gone)
            .map(|it| it.availability_zone.clone())
            .filter(|it| *it != self.member.availability_zone)
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Instances of other zones to pull from, where this one has the link to the zone.
    fn cross_zone_targets(
        &self,
        peers: &[&Name],
        draw: &mut impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        if !self.rounds.is_multiple_of(CROSS_ZONE_PULL_ROUNDS) {
            return Vec::new();
        }
        let is_puller = |zone: &Name| {
            let peers = peers.iter().map(|it| it.as_str());
            rendezvous::rank(zone, &self.name, peers) < CROSS_ZONE_PULLERS
        };
        let linked = self.other_zones().into_iter().filter(is_puller);
        linked.filter_map(|zone| self.random_instance(&zone, draw())).collect()
    }

    /// One instance of a zone.
    fn random_instance(&self, zone: &Name, draw: u64) -> Option<SocketAddr> {
        let members: Vec<&Member> = self.facts.zone_members(zone).map(|(_, it)| it).collect();
        choose(&members, draw).map(|it| it.control_address)
    }

    fn drop_gone_peers(&mut self) {
        let members = self.facts.members();
        self.peers.retain(|_, it| {
            members.get(&it.name).is_some_and(|member| member.state != MemberState::Gone)
        });
    }

    /// Calls silent peers gone, unless it is rather this instance that is cut off.
    fn declare_gone(&mut self, now: Now) {
        let peers = self.zone_peers().count();
        if self.live_peers(now).count() * 2 + 1 < peers {
            return;
        }
        let is_silent = |name: &Name| self.silence_ms(name, now) > GONE_AFTER_MS;
        let silent: Vec<Fact> = self
            .zone_peers()
            .filter(|(name, _)| is_silent(name))
            .map(|(name, member)| {
                let state = MemberState::Gone;
                let forget_unix_ms = now.unix_ms + GONE_RETENTION_MS;
                let member = Member { state, forget_unix_ms, ..member.clone() };
                Fact::Member { name: name.clone(), member }
            })
            .collect();
        for fact in silent {
            self.merge_fact(&fact, now);
        }
    }

    /// Sums the zone's readings up for the other zones.
    fn stage_report(&mut self) {
        let mut used: BTreeMap<Tag, f64> = BTreeMap::new();
        let mut loads: BTreeMap<Tag, u32> = BTreeMap::new();
        let mut live = 1;
        let zone = &self.member.availability_zone;
        let copies = self.peers.values().filter(|it| it.availability_zone == *zone);
        let copies: Vec<&ReadingTable> = copies.map(|it| &it.table).collect();
        live += copies.len() as u32;
        for reading in copies.iter().flat_map(|it| it.iter()).chain(self.table.iter()) {
            match reading.subject {
                Subject::AccountUse(account) => {
                    *used.entry(account).or_default() += amount_of(reading.value);
                }
                Subject::EndpointLoad(endpoint) => {
                    if let Some(model) = self.models.get(&endpoint) {
                        *loads.entry(*model).or_default() += reading.value;
                    }
                }
                _ => (),
            }
        }
        self.stage(Reading { subject: Subject::LiveInstances, value: live });
        for (account, amount) in used {
            self.stage(Reading { subject: Subject::ZoneUse(account), value: level_of(amount) });
        }
        for (model, value) in loads {
            self.stage(Reading { subject: Subject::ModelLoad(model), value });
        }
    }
}

/// Whether other zones are to hear of an instance's readings.
fn is_report(table: &ReadingTable) -> bool {
    match table.get(Subject::LiveInstances) {
        None => false,
        Some(0) => {
            table.age_rounds(Subject::LiveInstances).is_some_and(|it| it < RETRACTION_ROUNDS)
        }
        Some(_) => true,
    }
}

fn choose<'a, T>(candidates: &[&'a T], draw: u64) -> Option<&'a T> {
    let count = candidates.len() as u64;
    candidates.get(draw.checked_rem(count)? as usize).copied()
}

//! Gossip: how instances replicate facts and readings.
//!
//! Each round an instance pulls what it lacks from one random peer of its availability zone. Two
//! instances of a zone also pull from each other zone. Facts are compared by the hashes of their
//! buckets, readings by the versions of their tables.
//!
//! One instance of each zone, its reporter, publishes aggregate readings for the other zones and
//! declares silent instances gone.

mod exchange;
mod message;
mod targets;

use std::collections::BTreeMap;

pub use message::{KnownVersion, Pull, PullResponse, Push, Update};

use crate::{
    Member, MemberState, Name,
    fact::{Epoch, Fact},
    fact_set::FactSet,
    publisher::Publisher,
    reading::{Reading, Subject, Tag, amount_of, level_of},
    reading_table::ReadingTable,
    rendezvous,
};

/// Interval between rounds, in milliseconds.
pub const ROUND_MS: u64 = 1000;
/// Readings that all instances of a zone together publish per round.
pub const ZONE_READINGS_PER_ROUND: usize = 120;
/// Additional readings that the reporter of a zone publishes per round, about the whole zone.
pub const REPORT_READINGS_PER_ROUND: usize = 8;
/// Most readings in a response. The last table may exceed it, because rounds are not split.
pub const MAX_RESPONSE_READINGS: usize = 400;
/// Most facts in a message.
pub const MAX_MESSAGE_FACTS: usize = 64;
/// Number of instances of a zone that pull from each other zone.
pub const CROSS_ZONE_PULLERS: usize = 2;
/// Number of peers in its zone to which an instance pushes an urgent fact that is new to it.
pub const PUSH_FANOUT: usize = 4;
/// Rounds after its start before an instance may become the reporter of its zone. Until then it may
/// not know its peers yet.
const REPORT_AFTER_ROUNDS: u64 = 10;
/// Time without updates after which a report of another zone is ignored, in milliseconds.
pub const REPORT_STALE_MS: u64 = 60_000;
/// Silence after which the reporter of the zone declares an instance gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 120_000;
/// How long the record of a gone instance is retained, in milliseconds.
pub const GONE_RETENTION_MS: u64 = 3_600_000;
/// Rounds of silence after which a peer is suspected, in the smallest zone.
const SUSPECT_AFTER_ROUNDS: u64 = 6;

/// Gossip state of an instance.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Name of this instance.
    name: Name,
    /// Record of this instance; also held in `facts`.
    member: Member,
    /// All facts that this instance knows.
    facts: FactSet,
    /// Published readings of this instance.
    table: ReadingTable,
    /// Readings that are not published yet.
    publisher: Publisher,
    /// Readings of the instances in `facts` that are not gone.
    peers: BTreeMap<Tag, PeerReadings>,
    /// Model that each endpoint of this zone serves.
    models: BTreeMap<Tag, Tag>,
    /// Version of the sheet in force at this instance.
    sheet_version: Option<u64>,
    /// Number of rounds begun.
    rounds: u64,
}

/// Copy of a peer's readings.
#[derive(Clone, Debug)]
pub struct PeerReadings {
    /// Name of the peer.
    pub name: Name,
    /// Availability zone of the peer.
    pub availability_zone: Name,
    /// The readings, at the version that this instance has.
    pub table: ReadingTable,
    /// When the copy last advanced, in milliseconds of this instance's monotonic clock.
    pub updated_ms: u64,
}

/// The current time, on both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time, in milliseconds.
    pub ms: u64,
    /// Unix time, in milliseconds.
    pub unix_ms: u64,
}

impl Gossip {
    /// Creates the state of an instance that knows only itself.
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

    /// Membership record of this instance.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// All facts that this instance knows.
    pub fn facts(&self) -> &FactSet {
        &self.facts
    }

    /// Readings of the peers.
    pub fn peer_readings(&self) -> impl Iterator<Item = &PeerReadings> {
        self.peers.values()
    }

    /// Stages a reading of this instance. It is published in one of the next rounds.
    pub fn stage(&mut self, reading: Reading) {
        self.publisher.stage(reading, &self.table);
    }

    /// Sets the model that each endpoint of this zone serves.
    pub fn set_models(&mut self, models: BTreeMap<Tag, Tag>) {
        self.models = models;
    }

    /// Sets the version of the sheet in force at this instance. Older versions are ignored.
    pub fn set_sheet_version(&mut self, version: u64) {
        self.sheet_version = self.sheet_version.max(Some(version));
    }

    /// Version of the sheet in force at this instance.
    pub fn sheet_version(&self) -> Option<u64> {
        self.sheet_version
    }

    /// Removes the facts about endpoints that are not `is_known`.
    pub fn retain_endpoints(&mut self, is_known: impl Fn(&str) -> bool) {
        self.facts.retain_endpoints(is_known);
    }

    /// Adds a fact that this instance observed itself. Returns whether it was new.
    pub fn add_fact(&mut self, fact: &Fact, now: Now) -> bool {
        self.facts.merge(fact, now.unix_ms)
    }

    /// Records that an endpoint is leaving. Returns the fact if it is new.
    pub fn mark_endpoint_leaving(&mut self, endpoint: &Name, now: Now) -> Option<Fact> {
        self.set_epoch(endpoint, self.facts.epoch(endpoint).to_leaving(), now)
    }

    /// Records that an endpoint serves again. Returns the fact if it is new.
    pub fn mark_endpoint_returned(&mut self, endpoint: &Name, now: Now) -> Option<Fact> {
        self.set_epoch(endpoint, self.facts.epoch(endpoint).to_returned(), now)
    }

    /// Advances the state of this instance; it never goes back. Returns the fact if it is new.
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

    /// Begins a round: removes expired facts, publishes readings, and at the reporter of the zone
    /// declares silent instances gone.
    pub fn begin_round(&mut self, now: Now) {
        self.rounds += 1;
        self.facts.expire(now.unix_ms);
        self.drop_gone_peers();
        let is_reporter =
            self.rounds > REPORT_AFTER_ROUNDS && self.rendezvous_rank("report", now) == 0;
        if is_reporter {
            self.stage_report();
            self.declare_gone(now);
        } else if self.table.get(Subject::LiveInstances).is_some() {
            self.stage(Reading { subject: Subject::LiveInstances, value: 0 });
        }
        let live = 1 + self.live_peers(now).count();
        let limit = (ZONE_READINGS_PER_ROUND / live).max(1)
            + if is_reporter { REPORT_READINGS_PER_ROUND } else { 0 };
        let changes = self.publisher.take(limit, &self.table);
        self.table.publish(&changes);
    }

    /// Peers of this zone that are not gone and whose readings advanced recently.
    pub fn live_peers(&self, now: Now) -> impl Iterator<Item = (&Name, &Member)> {
        let limit_ms = self.suspect_after_ms();
        self.zone_peers().filter(move |(name, _)| self.silence_ms(name, now) <= limit_ms)
    }

    /// Peers of this zone that are not gone, but silent for too long.
    pub fn suspects(&self, now: Now) -> impl Iterator<Item = (&Name, &Member)> {
        let limit_ms = self.suspect_after_ms();
        self.zone_peers().filter(move |(name, _)| self.silence_ms(name, now) > limit_ms)
    }

    /// Rank of this instance for a task among the live instances of its zone; 0 is the first
    /// choice.
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
            // A peer published a newer record, for example because it took this instance for gone.
            self.member = self.member.refute(member);
            return self.publish_own_record(now).is_some();
        }
        let is_new = self.facts.merge(fact, now.unix_ms);
        if is_new && let Fact::Member { name, member } = fact {
            self.track_peer(name, member, now);
        }
        is_new
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

    fn zone_peers(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.facts
            .zone_members(&self.member.availability_zone)
            .filter(|(name, _)| **name != self.name)
    }

    fn silence_ms(&self, name: &Name, now: Now) -> u64 {
        let peer = self.peers.get(&Tag::of(name));
        peer.map_or(u64::MAX, |it| now.ms.saturating_sub(it.updated_ms))
    }

    /// Silence after which a peer is suspected. It grows with the logarithm of the zone's size,
    /// like the number of hops that gossip takes.
    fn suspect_after_ms(&self) -> u64 {
        let peers = self.zone_peers().count() as u64;
        let rounds = SUSPECT_AFTER_ROUNDS + 3 * u64::from((peers + 1).ilog2());
        rounds * ROUND_MS
    }

    fn drop_gone_peers(&mut self) {
        let members = self.facts.members();
        self.peers.retain(|_, it| {
            members.get(&it.name).is_some_and(|member| member.state != MemberState::Gone)
        });
    }

    /// Declares silent peers gone, unless most of the zone is silent: then it is more likely that
    /// this instance is partitioned from it.
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

    /// Stages the aggregate readings of the zone, for the other zones.
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

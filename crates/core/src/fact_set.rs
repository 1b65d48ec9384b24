//! All facts that an instance knows, as a mergeable set (a state-based CRDT).

use std::collections::BTreeMap;

use crate::{
    Member, MemberState, Name,
    fact::{Epoch, Fact, QuarantineRecord},
};

/// Hash buckets that two instances compare to find the facts in which they differ.
pub const BUCKETS: usize = 32;
/// Most instances in a set.
pub const MAX_MEMBERS: usize = 4096;
/// Most endpoints in a set; it holds those that have left at least once.
pub const MAX_ENDPOINTS: usize = 8192;
/// Most quarantine records in a set.
pub const MAX_QUARANTINES: usize = 1024;

/// Hash of the facts in each bucket.
pub type BucketHashes = [u32; BUCKETS];

/// All facts that an instance knows.
///
/// Merging is commutative, associative, idempotent and monotonic while no limit is reached. Beyond
/// a limit facts with new keys are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FactSet {
    members: BTreeMap<Name, Member>,
    endpoints: BTreeMap<Name, Epoch>,
    quarantines: BTreeMap<[u8; 16], QuarantineRecord>,
    /// XOR of the hashes of the facts in each bucket, kept up to date with the maps.
    hashes: BucketHashes,
}

impl FactSet {
    /// Instances by name.
    pub fn members(&self) -> &BTreeMap<Name, Member> {
        &self.members
    }

    /// Epochs of the endpoints that have left at least once, by name.
    pub fn endpoints(&self) -> &BTreeMap<Name, Epoch> {
        &self.endpoints
    }

    /// Quarantine records by fingerprint.
    pub fn quarantines(&self) -> &BTreeMap<[u8; 16], QuarantineRecord> {
        &self.quarantines
    }

    /// Epoch of an endpoint; 0 if it has never left.
    pub fn epoch(&self, endpoint: &str) -> Epoch {
        self.endpoints.get(endpoint).copied().unwrap_or_default()
    }

    /// Bucket hashes to compare with a peer's.
    pub fn hashes(&self) -> &BucketHashes {
        &self.hashes
    }

    /// Merges a fact. Returns whether the set changed.
    pub fn merge(&mut self, fact: &Fact, now_unix_ms: u64) -> bool {
        match fact {
            Fact::Member { name, member } => self.merge_member(name, member, now_unix_ms),
            Fact::Endpoint { name, epoch } => self.merge_endpoint(name, *epoch),
            Fact::Quarantine { key, quarantine } => {
                self.merge_quarantine(*key, quarantine, now_unix_ms)
            }
        }
    }

    /// Facts in the buckets whose hashes differ from a peer's.
    pub fn differing(&self, theirs: &BucketHashes) -> Vec<Fact> {
        let differs = |fact: &Fact| {
            let bucket = bucket_of(fact);
            self.hashes[bucket] != theirs[bucket]
        };
        self.iter().filter(differs).collect()
    }

    /// Removes expired facts.
    pub fn expire(&mut self, now_unix_ms: u64) {
        let expired: Vec<Fact> = self.iter().filter(|it| is_expired(it, now_unix_ms)).collect();
        for fact in expired {
            self.toggle_hash(&fact);
            match fact {
                Fact::Member { name, .. } => drop(self.members.remove(&name)),
                Fact::Quarantine { key, .. } => drop(self.quarantines.remove(&key)),
                Fact::Endpoint { .. } => (),
            }
        }
    }

    /// Removes the endpoints that are not `is_known`, such as those no longer in the sheet.
    pub fn retain_endpoints(&mut self, is_known: impl Fn(&str) -> bool) {
        let unknown: Vec<Name> =
            self.endpoints.keys().filter(|it| !is_known(it)).cloned().collect();
        for name in unknown {
            if let Some(epoch) = self.endpoints.remove(&name) {
                self.toggle_hash(&Fact::Endpoint { name, epoch });
            }
        }
    }

    /// Iterates over all facts.
    pub fn iter(&self) -> impl Iterator<Item = Fact> + '_ {
        let members = self
            .members
            .iter()
            .map(|(name, member)| Fact::Member { name: name.clone(), member: member.clone() });
        let endpoints = self
            .endpoints
            .iter()
            .map(|(name, epoch)| Fact::Endpoint { name: name.clone(), epoch: *epoch });
        let quarantines = self.quarantines.iter().map(|(key, quarantine)| Fact::Quarantine {
            key: *key,
            quarantine: quarantine.clone(),
        });
        members.chain(endpoints).chain(quarantines)
    }

    /// Instances of an availability zone that are not gone.
    pub fn zone_members<'a>(
        &'a self,
        zone: &'a str,
    ) -> impl Iterator<Item = (&'a Name, &'a Member)> {
        self.members.iter().filter(move |(_, it)| {
            it.state != MemberState::Gone && it.availability_zone.as_str() == zone
        })
    }

    fn merge_member(&mut self, name: &Name, member: &Member, now_unix_ms: u64) -> bool {
        if member.is_expired(now_unix_ms) {
            return false;
        }
        let old = self.members.get(name);
        if old.is_some_and(|it| it >= member) || old.is_none() && self.members.len() >= MAX_MEMBERS
        {
            return false;
        }
        let old = self.members.insert(name.clone(), member.clone());
        if let Some(member) = old {
            self.toggle_hash(&Fact::Member { name: name.clone(), member });
        }
        self.toggle_hash(&Fact::Member { name: name.clone(), member: member.clone() });
        true
    }

    fn merge_endpoint(&mut self, name: &Name, epoch: Epoch) -> bool {
        let old = self.endpoints.get(name).copied();
        if epoch <= old.unwrap_or_default()
            || old.is_none() && self.endpoints.len() >= MAX_ENDPOINTS
        {
            return false;
        }
        self.endpoints.insert(name.clone(), epoch);
        if let Some(epoch) = old {
            self.toggle_hash(&Fact::Endpoint { name: name.clone(), epoch });
        }
        self.toggle_hash(&Fact::Endpoint { name: name.clone(), epoch });
        true
    }

    fn merge_quarantine(
        &mut self,
        key: [u8; 16],
        other: &QuarantineRecord,
        now_unix_ms: u64,
    ) -> bool {
        let old = self.quarantines.get(&key).cloned();
        if other.forget_unix_ms <= now_unix_ms
            || old.is_none() && self.quarantines.len() >= MAX_QUARANTINES
        {
            return false;
        }
        let mut merged = old.clone().unwrap_or_default();
        if !merged.merge(other) {
            return false;
        }
        if let Some(quarantine) = old {
            self.toggle_hash(&Fact::Quarantine { key, quarantine });
        }
        self.toggle_hash(&Fact::Quarantine { key, quarantine: merged.clone() });
        self.quarantines.insert(key, merged);
        true
    }

    fn toggle_hash(&mut self, fact: &Fact) {
        self.hashes[bucket_of(fact)] ^= hash_of(fact);
    }
}

fn is_expired(fact: &Fact, now_unix_ms: u64) -> bool {
    match fact {
        Fact::Member { member, .. } => member.is_expired(now_unix_ms),
        Fact::Endpoint { .. } => false,
        Fact::Quarantine { quarantine, .. } => quarantine.forget_unix_ms <= now_unix_ms,
    }
}

fn bucket_of(fact: &Fact) -> usize {
    let hash = match fact {
        Fact::Member { name, .. } | Fact::Endpoint { name, .. } => blake3::hash(name.as_bytes()),
        Fact::Quarantine { key, .. } => blake3::hash(key),
    };
    usize::from(hash.as_bytes()[0]) % BUCKETS
}

fn hash_of(fact: &Fact) -> u32 {
    let bytes = postcard::to_allocvec(fact).unwrap_or_default();
    let hash = blake3::hash(&bytes);
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(first)
}

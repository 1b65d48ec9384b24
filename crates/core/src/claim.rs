//! Claims on idempotency keys, and who won them.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    key::{KeyId, KeyLimits, RequestDigest},
    log::{LogRecord, Page},
    owner::Owner,
};

/// Name of the stream of a partition.
pub fn claims_stream(partition: u32) -> String {
    format!("claims-{partition}")
}

/// First byte of every record; another value is another format.
const FORMAT: u8 = 1;

/// A claim on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyId,
    /// The time in the key.
    pub key_unix_ms: u64,
    /// What the claimant was asked for.
    pub digest: RequestDigest,
}

/// A record of the stream: claims of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Who claims.
    pub owner: Owner,
    /// What it claims.
    pub claims: Vec<Claim>,
}

impl ClaimRecord {
    /// The bytes to append.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("types of a record can always be encoded")
    }

    /// Reads a record's bytes; nothing if they are no record of this format.
    pub fn decode(bytes: &[u8]) -> Option<ClaimRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

/// The claim that counts for a key: the one of the lowest offset among those in time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Winner {
    /// Who alone may run the request.
    pub owner: Arc<Owner>,
    /// What it was asked for.
    pub digest: RequestDigest,
}

/// What a reader knows about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nobody has claimed it, as far as the stream was read.
    Free,
    /// It was claimed.
    Won(Winner),
    /// A claim was read, but older ones may have aged out before they were read. Only
    /// the claimant itself can know.
    Disputed(Winner),
}

/// How far back a reader has read without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Reach {
    /// Nothing was read.
    Nothing,
    /// From the beginning of the stream.
    Whole,
    /// All records appended after this time, by the log's clock, which never steps back.
    After { unix_ms: u64 },
}

/// A reader of one partition.
///
/// No instance's clock decides who wins: claims are in time or not by the log's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimIndex {
    limits: KeyLimits,
    next_offset: u64,
    reach: Reach,
    /// Claims on a key are only forgotten when no later one can be in time.
    winners: BTreeMap<KeyId, Winner>,
    by_age: BTreeSet<(u64, KeyId)>,
}

impl ClaimIndex {
    /// A reader that has read nothing.
    pub fn new(limits: KeyLimits) -> ClaimIndex {
        ClaimIndex {
            limits,
            next_offset: 0,
            reach: Reach::Nothing,
            winners: BTreeMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether no keys are held.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }

    /// Reads a page and returns the keys that were claimed in it.
    pub fn read(&mut self, page: &Page) -> Vec<KeyId> {
        let mut claimed = Vec::new();
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.read_one(record, &mut claimed);
            }
        }
        claimed
    }

    /// What is known about a key of that time.
    pub fn standing(&self, key: KeyId, key_unix_ms: u64) -> Standing {
        let Some(winner) = self.winners.get(&key) else { return Standing::Free };
        let winner = winner.clone();
        if self.reaches(key_unix_ms) { Standing::Won(winner) } else { Standing::Disputed(winner) }
    }

    /// Whether every claim on a key of that time was read that could be in time.
    fn reaches(&self, key_unix_ms: u64) -> bool {
        match self.reach {
            Reach::Nothing => false,
            Reach::Whole => true,
            Reach::After { unix_ms } => {
                key_unix_ms.saturating_sub(self.limits.max_skew_ms) > unix_ms
            }
        }
    }

    fn read_one(&mut self, record: &LogRecord, claimed: &mut Vec<KeyId>) {
        if self.reach == Reach::Nothing && record.offset == 0 {
            self.reach = Reach::Whole;
        } else if self.reach == Reach::Nothing || record.offset > self.next_offset {
            self.reach = Reach::After { unix_ms: record.appended_unix_ms };
        }
        self.next_offset = record.offset + 1;
        self.forget(record.appended_unix_ms);
        let Some(decoded) = ClaimRecord::decode(&record.payload) else { return };
        let owner = Arc::new(decoded.owner);
        for claim in &decoded.claims {
            if self.limits.allows(claim.key_unix_ms, record.appended_unix_ms) {
                self.count(&owner, claim);
            }
            claimed.push(claim.key);
        }
    }

    fn count(&mut self, owner: &Arc<Owner>, claim: &Claim) {
        let winner = Winner { owner: owner.clone(), digest: claim.digest };
        self.winners.entry(claim.key).or_insert(winner);
        self.by_age.insert((claim.key_unix_ms, claim.key));
    }

    fn forget(&mut self, appended_unix_ms: u64) {
        while let Some((key_unix_ms, key)) = self.by_age.first().copied() {
            if key_unix_ms + self.limits.max_age_ms >= appended_unix_ms {
                return;
            }
            self.by_age.pop_first();
            self.winners.remove(&key);
        }
    }
}

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
pub struct WinningClaim {
    /// Who alone may run the request.
    pub owner: Arc<Owner>,
    /// What it was asked for.
    pub digest: RequestDigest,
}

/// What a reader knows about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Nobody has claimed it, as far as the stream was read.
    Unclaimed,
    /// It was claimed.
    Won(WinningClaim),
    /// A claim was read, but older ones may have aged out before they were read. Only
    /// the claimant itself can know.
    Uncertain(WinningClaim),
}

/// How far back a reader has read without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Coverage {
    /// Nothing was read.
    Nothing,
    /// From the beginning of the stream.
    Full,
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
    coverage: Coverage,
    /// Claims on a key are only forgotten when no later one can be in time.
    winners: BTreeMap<KeyId, WinningClaim>,
    by_age: BTreeSet<(u64, KeyId)>,
}

impl ClaimIndex {
    /// A reader that has read nothing.
    pub fn new(limits: KeyLimits) -> ClaimIndex {
        ClaimIndex {
            limits,
            next_offset: 0,
            coverage: Coverage::Nothing,
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
    pub fn apply(&mut self, page: &Page) -> Vec<KeyId> {
        let mut claimed = Vec::new();
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.apply_record(record, &mut claimed);
            }
        }
        claimed
    }

    /// What is known about a key of that time.
    pub fn status(&self, key: KeyId, key_unix_ms: u64) -> ClaimStatus {
        let Some(winner) = self.winners.get(&key) else { return ClaimStatus::Unclaimed };
        let winner = winner.clone();
        if self.covers(key_unix_ms) {
            ClaimStatus::Won(winner)
        } else {
            ClaimStatus::Uncertain(winner)
        }
    }

    /// Whether every claim on a key of that time was read that could be in time.
    fn covers(&self, key_unix_ms: u64) -> bool {
        match self.coverage {
            Coverage::Nothing => false,
            Coverage::Full => true,
            Coverage::After { unix_ms } => {
                key_unix_ms.saturating_sub(self.limits.max_skew_ms) > unix_ms
            }
        }
    }

    fn apply_record(&mut self, record: &LogRecord, claimed: &mut Vec<KeyId>) {
        if self.coverage == Coverage::Nothing && record.offset == 0 {
            self.coverage = Coverage::Full;
        } else if self.coverage == Coverage::Nothing || record.offset > self.next_offset {
            self.coverage = Coverage::After { unix_ms: record.appended_unix_ms };
        }
        self.next_offset = record.offset + 1;
        self.remove_expired(record.appended_unix_ms);
        let Some(decoded) = ClaimRecord::decode(&record.payload) else { return };
        let owner = Arc::new(decoded.owner);
        for claim in &decoded.claims {
            if self.limits.accepts_claim(claim.key_unix_ms, record.appended_unix_ms) {
                self.record_claim(&owner, claim);
            }
            claimed.push(claim.key);
        }
    }

    fn record_claim(&mut self, owner: &Arc<Owner>, claim: &Claim) {
        let winner = WinningClaim { owner: owner.clone(), digest: claim.digest };
        self.winners.entry(claim.key).or_insert(winner);
        self.by_age.insert((claim.key_unix_ms, claim.key));
    }

    fn remove_expired(&mut self, appended_unix_ms: u64) {
        while let Some((key_unix_ms, key)) = self.by_age.first().copied() {
            if key_unix_ms + self.limits.max_age_ms >= appended_unix_ms {
                return;
            }
            self.by_age.pop_first();
            self.winners.remove(&key);
        }
    }
}

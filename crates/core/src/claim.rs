//! Claims on idempotency keys in a replicated log.
//!
//! An instance that receives a request appends a claim on its key; the valid claim with the lowest
//! offset wins, and only its owner may run the request.

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

/// Log stream that carries the claims of a partition.
pub fn claims_stream(partition: u32) -> String {
    format!("claims-{partition}")
}

/// Format version, the first byte of every record.
const FORMAT: u8 = 1;

/// A claim on one idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: KeyId,
    /// Time that the key carries, in milliseconds of Unix time.
    pub key_unix_ms: u64,
    /// Digest of the request; tells apart two requests that use the same key.
    pub digest: RequestDigest,
}

/// A record of a claims stream: claims of one owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The process that claims the keys.
    pub owner: Owner,
    /// The claims, in the order in which they were made.
    pub claims: Vec<Claim>,
}

impl ClaimRecord {
    /// Encodes the record as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("claim records are always encodable")
    }

    /// Decodes a payload; `None` if it is not a claim record of this format version.
    pub fn decode(bytes: &[u8]) -> Option<ClaimRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

/// The claim that won a key: the valid one with the lowest offset.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WinningClaim {
    /// The only process that may run the request.
    pub owner: Arc<Owner>,
    /// Digest of the request that was claimed.
    pub digest: RequestDigest,
}

/// What a reader of the stream knows about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// No claim has been read so far.
    Unclaimed,
    /// This claim won.
    Won(WinningClaim),
    /// A claim was read, but an earlier one may have fallen out of the log's retention before it
    /// was read. Only the claimant knows whether it won.
    Uncertain(WinningClaim),
}

/// How far back the records were read without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Coverage {
    Nothing,
    /// From the beginning of the stream.
    Full,
    /// All records appended after this time by the log's clock, which is monotonic.
    After {
        unix_ms: u64,
    },
}

/// Index of the winning claims of one partition, built by applying its pages.
///
/// Whether a claim is valid depends only on the log's clock, so that all instances agree on the
/// winner whatever their own clocks say.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClaimIndex {
    limits: KeyLimits,
    next_offset: u64,
    coverage: Coverage,
    /// A claim is removed only when no later claim on the key can be valid.
    winners: BTreeMap<KeyId, WinningClaim>,
    /// Keys of `winners` by the time that they carry.
    by_age: BTreeSet<(u64, KeyId)>,
}

impl ClaimIndex {
    /// Creates an index that has read nothing.
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

    /// Number of keys with a winner.
    pub fn len(&self) -> usize {
        self.winners.len()
    }

    /// Whether no key has a winner.
    pub fn is_empty(&self) -> bool {
        self.winners.is_empty()
    }

    /// Applies a page, and returns the keys that are claimed in it, validly or not. Records that
    /// were applied before are skipped.
    pub fn apply(&mut self, page: &Page) -> Vec<KeyId> {
        let mut claimed = Vec::new();
        for record in &page.records {
            if record.offset >= self.next_offset {
                self.apply_record(record, &mut claimed);
            }
        }
        claimed
    }

    /// Who won a key that carries the given time.
    pub fn status(&self, key: KeyId, key_unix_ms: u64) -> ClaimStatus {
        let Some(winner) = self.winners.get(&key) else { return ClaimStatus::Unclaimed };
        let winner = winner.clone();
        if self.covers(key_unix_ms) {
            ClaimStatus::Won(winner)
        } else {
            ClaimStatus::Uncertain(winner)
        }
    }

    /// Whether all claims that can be valid for a key with the given time were read.
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

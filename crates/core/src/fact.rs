//! Facts about the fleet that instances replicate by gossip.
//!
//! They outlive the instance that first observed them.

use serde::{Deserialize, Serialize};

use crate::{Member, Name};

/// A fact about the fleet. Two facts with the same key are merged, not overwritten.
///
/// The order of the variants is the wire format: append new ones, never reorder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// State of an instance.
    Member {
        /// Name of the instance.
        name: Name,
        /// Its membership record.
        member: Member,
    },
    /// Whether an endpoint is leaving.
    Endpoint {
        /// Name of the endpoint.
        name: Name,
        /// Counts its departures and returns.
        epoch: Epoch,
    },
    /// A request that is suspected of crashing endpoints.
    Quarantine {
        /// Bytes of the request's [`Fingerprint`](crate::quarantine::Fingerprint).
        key: [u8; 16],
        /// The findings about it.
        quarantine: QuarantineRecord,
    },
}

/// Counts an endpoint's departures and returns: odd while it is leaving, and only ever increased,
/// so that the greater of two epochs is the newer.
///
/// The instance that sees the endpoint leave raises an even epoch by one; the instances that poll
/// the endpoint raise an odd one after it has reported for some time that it serves again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// Whether the endpoint accepts no new requests.
    pub fn is_leaving(self) -> bool {
        self.0 % 2 == 1
    }

    /// The epoch once the endpoint leaves; unchanged if it is leaving already.
    #[must_use]
    pub fn to_leaving(self) -> Epoch {
        Epoch(self.0 | 1)
    }

    /// The epoch once the endpoint has returned; unchanged if it is not leaving.
    #[must_use]
    pub fn to_returned(self) -> Epoch {
        Epoch(self.0 + self.0 % 2)
    }
}

/// Findings about a request that is suspected of crashing endpoints, with their expiry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// When the record expires, in milliseconds of Unix time. Merging keeps the later time.
    pub forget_unix_ms: u64,
    /// Findings as [`Suspicion::findings`](crate::quarantine::Suspicion::findings) writes them,
    /// sorted and without duplicates; at most [`MAX_FINDINGS`].
    pub findings: Vec<Name>,
}

/// Most findings in a record. Beyond it those that sort first are kept, so that all instances keep
/// the same ones.
pub const MAX_FINDINGS: usize = 8;

impl QuarantineRecord {
    /// Merges another record into this one. Returns whether this one changed.
    pub fn merge(&mut self, other: &QuarantineRecord) -> bool {
        let before = self.clone();
        self.forget_unix_ms = self.forget_unix_ms.max(other.forget_unix_ms);
        self.findings.extend(other.findings.iter().cloned());
        self.findings.sort();
        self.findings.dedup();
        self.findings.truncate(MAX_FINDINGS);
        *self != before
    }
}

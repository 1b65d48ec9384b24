//! Facts that must outlive the instance which found them.

use serde::{Deserialize, Serialize};

use crate::{Member, Name};

/// A fact of the fleet. Facts of one key are merged, never overwritten.
///
/// The order of variants is the wire format: append, never reorder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fact {
    /// An instance.
    Member {
        /// Its name.
        name: Name,
        /// What is known of it.
        member: Member,
    },
    /// Whether an endpoint is leaving.
    Endpoint {
        /// Its name.
        name: Name,
        /// How often it has left and returned.
        epoch: Epoch,
    },
    /// Something that is to be kept away from endpoints.
    Quarantine {
        /// What it concerns.
        key: [u8; 16],
        /// What is held against it.
        quarantine: QuarantineRecord,
    },
}

/// How often an endpoint has left and returned: odd while it is leaving.
///
/// Whoever sees the endpoint leave raises an even number by one; its watchers
/// raise an odd one once it has answered for a while that it is back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// Whether the endpoint takes no new work.
    pub fn is_leaving(self) -> bool {
        self.0 % 2 == 1
    }

    /// The epoch after the endpoint was seen to leave.
    #[must_use]
    pub fn to_leaving(self) -> Epoch {
        Epoch(self.0 | 1)
    }

    /// The epoch after the endpoint was seen to be back.
    #[must_use]
    pub fn to_returned(self) -> Epoch {
        Epoch(self.0 + self.0 % 2)
    }
}

/// What is held against a content until a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// When it may be forgotten, in milliseconds of Unix time. Only rises.
    pub forget_unix_ms: u64,
    /// Findings in the words of their module, sorted; only grows, up to [`MAX_FINDINGS`].
    pub findings: Vec<Name>,
}

/// Most findings kept of one content; the least by their text stay.
pub const MAX_FINDINGS: usize = 8;

impl QuarantineRecord {
    /// Takes in another's findings. Returns whether anything was new.
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

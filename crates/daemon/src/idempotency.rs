//! Settings of idempotency keys.

use serde::Deserialize;
use tanagergauge_core::{
    finding::{Findings, Path},
    key::KeyLimits,
};

/// How idempotency keys are kept.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IdempotencySettings {
    /// Age from which a key is not accepted any more, in milliseconds.
    pub max_age_ms: u64,
    /// How far in the future a key may lie, in milliseconds.
    pub max_skew_ms: u64,
    /// How far the clocks of two instances may differ, in milliseconds.
    pub clock_error_ms: u64,
    /// How long a ticket is good, in milliseconds.
    pub ticket_life_ms: u64,
    /// Tickets one account may hold at one instance.
    pub tickets_per_account: usize,
    /// Keys an instance keeps.
    pub table_keys: usize,
    /// Bytes of answers an instance keeps for those who ask again.
    pub answer_bytes: usize,
    /// Least time between two appends of claims to one partition, in milliseconds.
    pub append_spacing_ms: u64,
    /// Longest wait for a claim to be read back, in milliseconds.
    pub claim_wait_ms: u64,
    /// Streams that carry claims; the same at every instance.
    pub partitions: u32,
}

impl Default for IdempotencySettings {
    fn default() -> IdempotencySettings {
        IdempotencySettings {
            max_age_ms: 10 * 60 * 1000,
            max_skew_ms: 5000,
            clock_error_ms: 1000,
            ticket_life_ms: 4 * 60 * 60 * 1000,
            tickets_per_account: 4096,
            table_keys: 65_536,
            answer_bytes: 8 << 20,
            append_spacing_ms: 16,
            claim_wait_ms: 2000,
            partitions: 1,
        }
    }
}

impl IdempotencySettings {
    /// What keys may be claimed.
    pub fn limits(&self) -> KeyLimits {
        KeyLimits {
            max_age_ms: self.max_age_ms,
            max_skew_ms: self.max_skew_ms,
            clock_error_ms: self.clock_error_ms,
        }
    }

    /// Looks for settings with which keys cannot work.
    pub fn check(&self, retention_ms: u64, path: &Path, findings: &mut Findings) {
        let needed_ms = self.max_age_ms.saturating_add(self.max_skew_ms);
        if needed_ms > retention_ms {
            let expected = format!("with max_skew_ms at most the log's {retention_ms}");
            findings.error(path.field("max_age_ms"), self.max_age_ms.to_string(), expected);
        }
        if self.partitions == 0 {
            findings.error(path.field("partitions"), "0".to_owned(), "at least 1".to_owned());
        }
    }
}

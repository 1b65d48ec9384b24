//! Idempotency keys: their identity and the age up to which they are accepted.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Name;

/// Identifies an idempotency key of a client account.
///
/// The hash covers the account, so that the same text from two accounts gives two keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; 16]);

impl KeyId {
    /// Hashes the text of a key that an account sent.
    pub fn new(account: &Name, text: &str) -> KeyId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(text.as_bytes());
        let mut id = [0; 16];
        hasher.finalize_xof().fill(&mut id);
        KeyId(id)
    }

    /// Partition of the log that carries claims on the key.
    pub fn partition(&self, partitions: u32) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d]) % partitions.max(1)
    }
}

/// Digest of a request's content, to detect a key that is reused for a different request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Hashes a request's class, method, target and body.
    pub fn new(class: &str, method: &str, target: &str, body: &[u8]) -> RequestDigest {
        let mut hasher = blake3::Hasher::new();
        for part in [class.as_bytes(), method.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        RequestDigest(u64::from_le_bytes(bytes))
    }
}

/// Time range in which a key is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyLimits {
    /// Maximum age of a key. Together with `max_skew_ms` it must not exceed the log's retention,
    /// or claims are deleted while their keys are still accepted.
    pub max_age_ms: u64,
    /// How far in the future the time of a key may lie.
    pub max_skew_ms: u64,
    /// Largest difference between the clocks of two instances.
    pub clock_error_ms: u64,
}

/// Whether a key may be claimed at the current time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// It may be claimed.
    Valid,
    /// It is too old; its request may have run already.
    Expired,
    /// It lies too far in the future by this instance's clock, but another instance may accept it.
    PossiblyFromFuture,
    /// It lies too far in the future for every instance, so that its request has not run.
    FromFuture,
}

impl KeyLimits {
    /// Classifies a key's time by the clock of this instance.
    pub fn age(&self, key_unix_ms: u64, now_unix_ms: u64) -> KeyAge {
        let ahead_ms = key_unix_ms.saturating_sub(now_unix_ms);
        if now_unix_ms.saturating_sub(key_unix_ms) > self.max_age_ms {
            KeyAge::Expired
        } else if ahead_ms > self.max_skew_ms + self.clock_error_ms {
            KeyAge::FromFuture
        } else if ahead_ms > self.max_skew_ms {
            KeyAge::PossiblyFromFuture
        } else {
            KeyAge::Valid
        }
    }

    /// Whether a claim on a key is valid if it was appended at the given time of the log's clock.
    pub fn accepts_claim(&self, key_unix_ms: u64, appended_unix_ms: u64) -> bool {
        let earliest = key_unix_ms.saturating_sub(self.max_skew_ms);
        (earliest..=key_unix_ms + self.max_age_ms).contains(&appended_unix_ms)
    }
}

/// Timestamp of a UUID of version 7, in milliseconds of Unix time; `None` for any other text.
pub fn uuid_unix_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(text).ok().filter(|it| it.get_version_num() == 7)?;
    Some((uuid.as_u128() >> 80) as u64)
}

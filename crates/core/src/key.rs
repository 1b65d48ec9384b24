//! Idempotency keys: what they name and how old they may be.

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Name;

/// Names one request of one client account.
///
/// The account is hashed in, so the same text from two accounts is two keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyId([u8; 16]);

impl KeyId {
    /// The id of a key's text as sent by an account.
    pub fn new(account: &Name, text: &str) -> KeyId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(account.len() as u64).to_le_bytes());
        hasher.update(account.as_bytes());
        hasher.update(text.as_bytes());
        let mut id = [0; 16];
        hasher.finalize_xof().fill(&mut id);
        KeyId(id)
    }

    /// The partition that carries claims on the key.
    pub fn partition(&self, partitions: u32) -> u32 {
        let [a, b, c, d, ..] = self.0;
        u32::from_le_bytes([a, b, c, d]) % partitions.max(1)
    }
}

/// Digest of what a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Digest of a request's class, method, target and body.
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

/// How old or early a key may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyLimits {
    /// A key older than this is not accepted. With `max_skew_ms` at most the log's
    /// retention, or claims age out while their keys are still good.
    pub max_age_ms: u64,
    /// A key this far in the future is still accepted.
    pub max_skew_ms: u64,
    /// How far the clocks of two instances may differ.
    pub clock_error_ms: u64,
}

/// Whether a key may be claimed now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAge {
    /// It may.
    Valid,
    /// It is too old; its request may have run.
    Expired,
    /// It lies in the future here, but perhaps not at another instance.
    PossiblyFromFuture,
    /// It lies in the future at every instance, so it never ran.
    FromFuture,
}

impl KeyLimits {
    /// Judges a key's time by this instance's clock.
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

    /// Whether a claim appended at that time, by the log's clock, counts.
    pub fn accepts_claim(&self, key_unix_ms: u64, appended_unix_ms: u64) -> bool {
        let earliest = key_unix_ms.saturating_sub(self.max_skew_ms);
        (earliest..=key_unix_ms + self.max_age_ms).contains(&appended_unix_ms)
    }
}

/// Time of a UUID of version 7, in milliseconds of Unix time; nothing for another text.
pub fn uuid_unix_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(text).ok().filter(|it| it.get_version_num() == 7)?;
    Some((uuid.as_u128() >> 80) as u64)
}

//! Sealed messages: who sent them, when, to whom, and that nobody changed them.

use std::{fmt, net::SocketAddr};

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use strum::IntoStaticStr;
use tanagergauge_core::Name;

use crate::keyring::{Key, KeyRing, Rights};

/// Bytes of the message authentication code that are sent.
pub const MAC_BYTES: usize = 16;
/// Bytes of a nonce.
pub const NONCE_BYTES: usize = 16;
/// How far a message's time may lie from the receiver's clock, in milliseconds.
pub const FRESH_MS: u64 = 30_000;

/// A number used once.
pub type Nonce = [u8; NONCE_BYTES];

/// A message with its authentication code. Base64 is without padding.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// Id of the key.
    pub key_id: Name,
    /// Who sends it: an instance's or an operator's name.
    pub from: Name,
    /// When it was sent, in milliseconds of Unix time.
    pub sent_unix_ms: u64,
    /// Never used twice; an answer repeats its question's.
    pub nonce_base64: String,
    /// The message, in postcard.
    pub payload_base64: String,
    /// First [`MAC_BYTES`] bytes of HMAC-SHA256 over [`Route`] and the fields above.
    pub mac_base64: String,
}

/// Where a message belongs; covered by its code but not sent.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Whether it asks or answers.
    pub direction: Direction,
    /// The method called.
    pub method: &'a str,
    /// Control address of the instance that was asked.
    pub asked: SocketAddr,
}

/// Whether a message asks or answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// It asks.
    Question,
    /// It answers.
    Answer,
}

/// What was in a sealed message.
#[derive(Clone, Debug)]
pub struct Opened {
    /// Who sent it. A peer's key vouches for the fleet, not for this one name.
    pub from: Name,
    /// What the sender may ask for.
    pub rights: Rights,
    /// Its nonce.
    pub nonce: Nonce,
    /// When it was sent, in milliseconds of Unix time.
    pub sent_unix_ms: u64,
    /// The message.
    pub payload: Vec<u8>,
}

/// Why a message is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum SealError {
    /// It is no sealed message.
    Malformed,
    /// No key of that id is known.
    UnknownKey,
    /// The key is not valid yet or not any more.
    KeyNotValid,
    /// The code is not the key's for this message, method and instance.
    WrongMac,
    /// It was sent too long ago, too far in the future, or before the receiver started.
    NotFresh,
    /// It was received before.
    Replayed,
    /// Too many messages came in a short time to remember their nonces.
    NonceMemoryFull,
    /// The key's rights do not suffice.
    NotAllowed,
    /// There is no valid key to seal with.
    NoKey,
}

impl fmt::Display for SealError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.into())
    }
}

/// Who sends, when, and with which nonce.
#[derive(Clone, Copy, Debug)]
pub struct Stamp<'a> {
    /// The sender's name.
    pub from: &'a Name,
    /// Now, in milliseconds of Unix time.
    pub now_unix_ms: u64,
    /// A nonce that was never used, or the question's.
    pub nonce: Nonce,
}

impl Sealed {
    /// Seals a message.
    pub fn new(key: &Key, stamp: Stamp<'_>, route: Route<'_>, payload: &[u8]) -> Sealed {
        let mac = mac(key, stamp, route, payload).finalize().into_bytes();
        Sealed {
            key_id: key.id.clone(),
            from: stamp.from.clone(),
            sent_unix_ms: stamp.now_unix_ms,
            nonce_base64: STANDARD_NO_PAD.encode(stamp.nonce),
            payload_base64: STANDARD_NO_PAD.encode(payload),
            mac_base64: STANDARD_NO_PAD.encode(&mac[..MAC_BYTES]),
        }
    }

    /// Checks a message and gives what is in it. Whether it came before is not checked here.
    ///
    /// # Errors
    /// The message is not what a valid key's holder sent to this instance just now.
    pub fn open(
        &self,
        ring: &KeyRing,
        route: Route<'_>,
        now_unix_ms: u64,
    ) -> Result<Opened, SealError> {
        let key = ring.get(&self.key_id).ok_or(SealError::UnknownKey)?;
        let nonce: Nonce =
            decode(&self.nonce_base64)?.try_into().map_err(|_| SealError::Malformed)?;
        let payload = decode(&self.payload_base64)?;
        let code = decode(&self.mac_base64)?;
        if code.len() != MAC_BYTES {
            return Err(SealError::Malformed);
        }
        let stamp = Stamp { from: &self.from, now_unix_ms: self.sent_unix_ms, nonce };
        mac(key, stamp, route, &payload)
            .verify_truncated_left(&code)
            .map_err(|_| SealError::WrongMac)?;
        if !key.is_valid(now_unix_ms) {
            return Err(SealError::KeyNotValid);
        }
        if self.sent_unix_ms.abs_diff(now_unix_ms) > FRESH_MS {
            return Err(SealError::NotFresh);
        }
        let from = self.from.clone();
        let sent_unix_ms = self.sent_unix_ms;
        Ok(Opened { from, rights: key.rights, nonce, sent_unix_ms, payload })
    }
}

fn mac(key: &Key, stamp: Stamp<'_>, route: Route<'_>, payload: &[u8]) -> Hmac<Sha256> {
    let asked = route.asked.to_string();
    let direction: &[u8] = match route.direction {
        Direction::Question => b"question",
        Direction::Answer => b"answer",
    };
    let mut mac = keyed(key.secret());
    let fields = [
        direction,
        route.method.as_bytes(),
        asked.as_bytes(),
        key.id.as_bytes(),
        stamp.from.as_bytes(),
        &stamp.now_unix_ms.to_be_bytes(),
        &stamp.nonce,
        payload,
    ];
    for field in fields {
        mac.update(&(field.len() as u64).to_be_bytes());
        mac.update(field);
    }
    mac
}

fn keyed(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes keys of any length")
}

fn decode(text: &str) -> Result<Vec<u8>, SealError> {
    STANDARD_NO_PAD.decode(text).map_err(|_| SealError::Malformed)
}

//! The keys that instances and operators share, read from a file.

use std::{fmt, fs, io, path::Path};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;
use strum::{Display, EnumString, IntoStaticStr};
use tanagergauge_core::Name;

/// Shortest secret that is accepted, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// What a key's holder may ask for. Greater includes lesser.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumString,
    IntoStaticStr,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Rights {
    /// Look at states, events and explanations.
    Read,
    /// Speak as an instance of the fleet.
    Peer,
}

/// A shared secret with a stated life.
#[derive(Clone)]
pub struct Key {
    /// Its id, as messages name it.
    pub id: Name,
    /// What its holder may ask for.
    pub rights: Rights,
    /// First moment at which it is accepted, in milliseconds of Unix time.
    pub not_before_unix_ms: u64,
    /// First moment at which it is no longer accepted, in milliseconds of Unix time.
    pub not_after_unix_ms: u64,
    /// At least [`MIN_SECRET_BYTES`] long.
    secret: Vec<u8>,
}

/// All keys an instance knows.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: Vec<Key>,
}

/// Why a file of keys cannot be used.
#[derive(Debug)]
pub enum KeyRingError {
    /// It cannot be read.
    Read(io::Error),
    /// It is no YAML of keys.
    Parse(String),
    /// A secret is not base64, or too short.
    Secret(Name),
    /// An id stands twice.
    DuplicateId(Name),
    /// A key ends before it begins.
    Life(Name),
}

impl fmt::Display for KeyRingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyRingError::Read(error) => write!(f, "cannot read the keys: {error}"),
            KeyRingError::Parse(error) => write!(f, "cannot parse the keys: {error}"),
            KeyRingError::Secret(id) => {
                write!(f, "key `{id}`: not base64, or shorter than {MIN_SECRET_BYTES} bytes")
            }
            KeyRingError::DuplicateId(id) => write!(f, "key `{id}` stands twice"),
            KeyRingError::Life(id) => write!(f, "key `{id}` ends before it begins"),
        }
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key")
            .field("id", &self.id)
            .field("rights", &self.rights)
            .field("not_before_unix_ms", &self.not_before_unix_ms)
            .field("not_after_unix_ms", &self.not_after_unix_ms)
            .finish_non_exhaustive()
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyFile {
    keys: Vec<KeyEntry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    id: Name,
    rights: Rights,
    #[serde(default)]
    not_before_unix_ms: u64,
    not_after_unix_ms: u64,
    secret_base64: String,
}

impl Key {
    /// Whether it is accepted at a moment.
    pub fn is_valid(&self, now_unix_ms: u64) -> bool {
        self.not_before_unix_ms <= now_unix_ms && now_unix_ms < self.not_after_unix_ms
    }

    /// The secret.
    pub fn secret(&self) -> &[u8] {
        &self.secret
    }
}

impl KeyRing {
    /// Reads a file of keys.
    ///
    /// # Errors
    /// The file cannot be read or used.
    pub fn load(path: &Path) -> Result<KeyRing, KeyRingError> {
        let text = fs::read_to_string(path).map_err(KeyRingError::Read)?;
        KeyRing::parse(&text)
    }

    /// Reads keys from YAML text.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn parse(text: &str) -> Result<KeyRing, KeyRingError> {
        let file: KeyFile =
            serde_saphyr::from_str(text).map_err(|error| KeyRingError::Parse(error.to_string()))?;
        let mut keys: Vec<Key> = Vec::new();
        for entry in file.keys {
            if keys.iter().any(|it| it.id == entry.id) {
                return Err(KeyRingError::DuplicateId(entry.id));
            }
            keys.push(entry.check()?);
        }
        Ok(KeyRing { keys })
    }

    /// The key of an id.
    pub fn get(&self, id: &str) -> Option<&Key> {
        self.keys.iter().find(|it| it.id.as_str() == id)
    }

    /// The key to seal with: of those valid now with exactly these rights, the
    /// one that became valid last.
    pub fn sealing(&self, rights: Rights, now_unix_ms: u64) -> Option<&Key> {
        let usable = self.keys.iter().filter(|it| it.rights == rights && it.is_valid(now_unix_ms));
        usable.max_by_key(|it| it.not_before_unix_ms)
    }
}

impl KeyEntry {
    fn check(self) -> Result<Key, KeyRingError> {
        let secret = STANDARD.decode(&self.secret_base64).unwrap_or_default();
        if secret.len() < MIN_SECRET_BYTES {
            return Err(KeyRingError::Secret(self.id));
        }
        if self.not_after_unix_ms <= self.not_before_unix_ms {
            return Err(KeyRingError::Life(self.id));
        }
        Ok(Key {
            id: self.id,
            rights: self.rights,
            not_before_unix_ms: self.not_before_unix_ms,
            not_after_unix_ms: self.not_after_unix_ms,
            secret,
        })
    }
}

//! Files of keys for peers and operators.

use std::fmt::Write as _;

/// Id of the key that fleets have unless told otherwise.
pub const FLEET_KEY: &str = "fleet";
/// Id of the operators' key that fleets have unless told otherwise.
pub const OPERATOR_KEY: &str = "operator";

/// Secrets by number, in base64.
const SECRETS_BASE64: [&str; 3] = [
    "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=",
    "ICEiIyQlJicoKSorLC0uLzAxMjM0NTY3ODk6Ozw9Pj8=",
    "QEFCQ0RFRkdISUpLTE1OT1BRUlNUVVZXWFlaW1xdXl8=",
];

/// A key in a file.
#[derive(Clone, Debug)]
pub struct TestKey {
    /// Its id.
    pub id: &'static str,
    /// `peer` or `read`.
    pub rights: &'static str,
    /// First moment at which it is accepted, in milliseconds of Unix time.
    pub not_before_unix_ms: u64,
    /// First moment at which it is no longer accepted, in milliseconds of Unix time.
    pub not_after_unix_ms: u64,
    /// Which of three secrets it has.
    pub secret: usize,
}

impl TestKey {
    /// A peers' key that is always valid.
    pub fn peer(id: &'static str, secret: usize) -> TestKey {
        let (not_before_unix_ms, not_after_unix_ms) = (0, u64::MAX >> 1);
        TestKey { id, rights: "peer", not_before_unix_ms, not_after_unix_ms, secret }
    }

    /// An operators' key that is always valid.
    pub fn read(id: &'static str, secret: usize) -> TestKey {
        TestKey { rights: "read", ..TestKey::peer(id, secret) }
    }
}

/// The text of a file of keys.
pub fn key_file(keys: &[TestKey]) -> String {
    if keys.is_empty() {
        return String::from("keys: []\n");
    }
    let mut yaml = String::from("keys:\n");
    for key in keys {
        let TestKey { id, rights, not_before_unix_ms, not_after_unix_ms, secret } = key;
        let secret = SECRETS_BASE64[*secret];
        let written = write!(
            yaml,
            "  - id: {id}\n    rights: {rights}\n    not_before_unix_ms: {not_before_unix_ms}\n    \
             not_after_unix_ms: {not_after_unix_ms}\n    secret_base64: {secret}\n"
        );
        written.expect("text can be written");
    }
    yaml
}

/// The keys that fleets have unless told otherwise.
pub fn default_keys() -> Vec<TestKey> {
    vec![TestKey::peer(FLEET_KEY, 0), TestKey::read(OPERATOR_KEY, 1)]
}

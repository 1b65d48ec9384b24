//! Who may send requests.

use std::collections::HashMap;

use strum::IntoStaticStr;

use crate::{Name, routing::ClientAccount};

/// What a request brings to authenticate itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential<'a> {
    /// No key.
    Missing,
    /// A key.
    Key(&'a str),
    /// Several credentials. Other components may read another one of them.
    Ambiguous,
}

/// Who may send requests on routes that are not public.
///
/// [`Access::Open`] stands for what a configuration says, and never for a list that has become empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Everyone: the configuration has no list of client accounts.
    Open,
    /// Those that hold a key of a client account, by key. Without an entry, nobody.
    Accounts(HashMap<Name, ClientAccount>),
}

impl Access {
    /// The accounts with a key, in no particular order and once for each of their keys.
    pub fn accounts(&self) -> impl Iterator<Item = &ClientAccount> {
        let by_key = match self {
            Access::Open => None,
            Access::Accounts(by_key) => Some(by_key),
        };
        by_key.into_iter().flat_map(HashMap::values)
    }

    /// Number of keys by which requests are let in; `None` if they need none.
    pub fn key_count(&self) -> Option<usize> {
        match self {
            Access::Open => None,
            Access::Accounts(by_key) => Some(by_key.len()),
        }
    }

    /// Finds the client account of a request by its credential. A key that no account holds is refused on a
    /// public route too.
    pub fn identify(&self, credential: Credential<'_>, is_public_route: bool) -> Identity {
        let Access::Accounts(by_key) = self else { return Identity::Anonymous };
        let fault = match credential {
            Credential::Key(key) => match by_key.get(key) {
                Some(account) => return Identity::Account(account.clone()),
                None => CredentialFault::Unknown,
            },
            Credential::Missing if is_public_route => return Identity::Anonymous,
            Credential::Missing => CredentialFault::Missing,
            Credential::Ambiguous => CredentialFault::Ambiguous,
        };
        Identity::Unauthenticated(if by_key.is_empty() { CredentialFault::NoKeys } else { fault })
    }
}

/// Result of authenticating a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route or the configuration requires no credential.
    Anonymous,
    /// The credential belongs to this client account.
    Account(ClientAccount),
    /// There is no account for the request.
    Unauthenticated(CredentialFault),
}

/// Why a request has no client account although it needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CredentialFault {
    /// It brings no key.
    Missing,
    /// No account holds its key.
    Unknown,
    /// It brings several credentials.
    Ambiguous,
    /// No account holds any key, so that all requests are refused that need one.
    NoKeys,
}

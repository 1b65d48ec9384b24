//! Who may send requests.

use std::collections::HashMap;

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

    /// Finds the client account of a request by its credential. A key that no account holds is refused on a
    /// public route too.
    pub fn identify(&self, credential: Credential<'_>, is_public_route: bool) -> Identity {
        let Access::Accounts(by_key) = self else { return Identity::Anonymous };
        match credential {
            Credential::Key(key) => match by_key.get(key) {
                Some(account) => Identity::Account(account.clone()),
                None => Identity::Unauthenticated,
            },
            Credential::Missing if is_public_route => Identity::Anonymous,
            Credential::Missing | Credential::Ambiguous => Identity::Unauthenticated,
        }
    }
}

/// Result of authenticating a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// The route or the configuration requires no credential.
    Anonymous,
    /// The credential belongs to this client account.
    Account(ClientAccount),
    /// The credential is required and missing, unknown or ambiguous.
    Unauthenticated,
}

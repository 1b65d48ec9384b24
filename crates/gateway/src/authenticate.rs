//! The route and the client account of a request.

use std::sync::Arc;

use hyper::http::request as http_request;
use tanagergauge_core::{
    Reason,
    access::{CredentialFault, Identity},
    routing::{ClientAccount, Configuration, Route},
};

use crate::request;

/// Why a request is not allowed.
pub(crate) enum Denied {
    /// It names no host.
    Malformed,
    /// No route matches it.
    UnknownPath,
    /// It needs an account and has none.
    Unauthenticated(CredentialFault),
}

impl Denied {
    /// The reason for its refusal.
    pub(crate) fn reason(&self) -> Reason {
        match self {
            Denied::Malformed => Reason::Malformed,
            Denied::UnknownPath => Reason::UnknownPath,
            Denied::Unauthenticated(_) => Reason::Unauthenticated,
        }
    }

    /// What is wrong with its credential, if that is why.
    pub(crate) fn credential_fault(&self) -> Option<CredentialFault> {
        match self {
            Denied::Unauthenticated(fault) => Some(*fault),
            Denied::Malformed | Denied::UnknownPath => None,
        }
    }
}

/// The route of a request, and the account that its credential belongs to, if it has one.
///
/// # Errors
/// It has no route, or needs an account and has none.
pub(crate) fn authenticate(
    configuration: &Configuration,
    head: &http_request::Parts,
) -> Result<(Arc<Route>, Option<ClientAccount>), Denied> {
    let host = request::host(head).ok_or(Denied::Malformed)?;
    let route = configuration.route(host, head.uri.path()).ok_or(Denied::UnknownPath)?;
    match configuration.authenticate(route, request::credential(head)) {
        Identity::Account(account) => Ok((Arc::clone(route), Some(account))),
        Identity::Anonymous => Ok((Arc::clone(route), None)),
        Identity::Unauthenticated(fault) => Err(Denied::Unauthenticated(fault)),
    }
}

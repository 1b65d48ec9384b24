//! Who calls, for which class, and how long they wait.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderName};
use tanagergauge_core::{Name, Reason, sheet::ClientAccount};
use uuid::Uuid;

use crate::{
    headers,
    refusal::Refusal,
    view::{CredentialState, RankedClass, View},
};

/// Longest request id or idempotency key, in bytes.
const MAX_ID_BYTES: usize = 256;
/// Longest deadline a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1000;

/// What the headers of a request say.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The client account.
    pub account: Name,
    /// The class and its rank.
    pub class: Arc<RankedClass>,
    /// How long the caller waits, from arrival, in milliseconds.
    pub deadline_ms: u64,
    /// The idempotency key; always there if the class is not repeatable.
    pub key: Option<Name>,
}

/// The id of a request: the caller's, or a new one if it gave none that can be used.
pub fn request_id(map: &HeaderMap) -> Name {
    let given = map.get(headers::REQUEST_ID).and_then(|it| it.to_str().ok());
    match given {
        Some(text) if is_id(text) => Name::from(text),
        _ => Name::from(Uuid::now_v7().to_string()),
    }
}

/// Reads a request's headers against the sheet in force.
///
/// # Errors
/// A refusal that names the header that is missing, doubled or wrong.
pub fn identify(map: &HeaderMap, view: &View, now_unix_ms: u64) -> Result<Caller, Refusal> {
    let account = account(map, view, now_unix_ms)?;
    let class = class(map, view)?;
    require_class(account, &class)?;
    let deadline_ms = deadline_ms(map)?.unwrap_or(class.class.whole_answer_ms);
    let key = key(map, &class)?;
    Ok(Caller { account: account.name.clone(), class, deadline_ms, key })
}

/// Reads only the credentials of a request.
///
/// # Errors
/// No, unknown or expired credentials.
pub fn account<'a>(
    map: &HeaderMap,
    view: &'a View,
    now_unix_ms: u64,
) -> Result<&'a ClientAccount, Refusal> {
    let text = single(map, &AUTHORIZATION)?
        .ok_or_else(|| Refusal::not_run(Reason::Unauthenticated, "Authorization is missing"))?;
    let token = text.strip_prefix("Bearer ").ok_or_else(|| {
        Refusal::not_run(Reason::Unauthenticated, "Authorization is not `Bearer TOKEN`")
    })?;
    match view.credential(token.as_bytes(), now_unix_ms) {
        CredentialState::Valid(account) => Ok(account),
        CredentialState::Expired => {
            Err(Refusal::not_run(Reason::CredentialExpired, "the credential has expired"))
        }
        CredentialState::Unknown => {
            Err(Refusal::not_run(Reason::Unauthenticated, "the credential names no client account"))
        }
    }
}

fn class(map: &HeaderMap, view: &View) -> Result<Arc<RankedClass>, Refusal> {
    let name = single(map, &headers::SERVICE_CLASS)?
        .ok_or_else(|| Refusal::not_run(Reason::UnknownClass, "X-Service-Class is missing"))?;
    view.class(name).cloned().ok_or_else(|| {
        Refusal::not_run(Reason::UnknownClass, format!("the sheet has no class `{name}`"))
    })
}

/// Requires that an account may use a class.
fn require_class(account: &ClientAccount, class: &RankedClass) -> Result<(), Refusal> {
    let name = &class.class.name;
    if account.may_use(name) {
        return Ok(());
    }
    let message = format!("the account `{}` may not use class `{name}`", account.name);
    Err(Refusal::not_run(Reason::UnknownClass, message))
}

fn deadline_ms(map: &HeaderMap) -> Result<Option<u64>, Refusal> {
    let Some(text) = single(map, &headers::DEADLINE_MS)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(deadline_ms) if (1..=MAX_DEADLINE_MS).contains(&deadline_ms) => Ok(Some(deadline_ms)),
        _ => Err(Refusal::not_run(
            Reason::Malformed,
            format!("X-Deadline-Ms is not a number from 1 to {MAX_DEADLINE_MS}"),
        )),
    }
}

fn key(map: &HeaderMap, class: &RankedClass) -> Result<Option<Name>, Refusal> {
    let key = single(map, &headers::IDEMPOTENCY_KEY)?;
    match key {
        Some(text) if is_id(text) => Ok(Some(Name::from(text))),
        Some(_) => Err(Refusal::not_run(
            Reason::KeyMalformed,
            format!("Idempotency-Key is not 1 to {MAX_ID_BYTES} visible ASCII characters"),
        )),
        None if class.class.repeatable => Ok(None),
        None => Err(Refusal::not_run(
            Reason::KeyMissing,
            format!("class `{}` is not repeatable: Idempotency-Key is required", class.class.name),
        )),
    }
}

/// The text of a header that may stand at most once.
fn single<'a>(map: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let mut values = map.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Refusal::not_run(Reason::DuplicateHeader, format!("{name} stands twice")));
    }
    value.to_str().map(Some).map_err(|_| {
        Refusal::not_run(Reason::Malformed, format!("{name} is not visible ASCII text"))
    })
}

fn is_id(text: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|it| it.is_ascii_graphic())
}

//! `POST /v1/tickets`: idempotency keys that need no log.

use hyper::{
    HeaderMap, Response,
    header::{CONTENT_TYPE, HeaderValue},
};
use serde::Serialize;

use crate::{body::AnswerBody, caller, clock::unix_ms, refusal::Refusal, shared::Shared};

#[derive(Serialize)]
struct TicketDocument {
    ticket: String,
    expires_unix_ms: u64,
}

/// Gives the caller's account a ticket.
///
/// # Errors
/// The caller is unknown, or there is no room.
pub fn give(shared: &Shared, map: &HeaderMap) -> Result<Response<AnswerBody>, Refusal> {
    let view = shared.view()?;
    let account = caller::account(map, &view, unix_ms())?;
    let given = shared.keys()?.give_ticket(&account.name)?;
    let document = TicketDocument { ticket: given.text, expires_unix_ms: given.expires_unix_ms };
    let body = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(AnswerBody::whole(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

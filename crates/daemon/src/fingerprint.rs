//! What the quarantine recognizes requests by.

use serde::Deserialize;
use serde_json::value::RawValue;
use tanagergauge_core::{Name, quarantine::Fingerprint, request_fingerprints::RequestFingerprints};

/// The part of a chat's body that holds its messages.
#[derive(Deserialize)]
struct Messages<'a> {
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// Fingerprints of a chat with a model. `prompt` are its messages as they stand; other chats may
/// share all of them but the last.
pub fn of_chat(account: &str, model: &Name, prompt: &str) -> RequestFingerprints {
    let request = Fingerprint::new(account, model, prompt.as_bytes());
    with_messages(request, model, prompt)
}

/// Fingerprints of a request that another instance forwarded, with the fingerprint that it has
/// there. The body of a request to a plain service has no messages.
pub fn of_forwarded(request: Fingerprint, target: &Name, body: &[u8]) -> RequestFingerprints {
    let messages = serde_json::from_slice(body).ok().and_then(|it: Messages<'_>| it.messages);
    with_messages(request, target, messages.map_or("", RawValue::get))
}

fn with_messages(request: Fingerprint, model: &Name, prompt: &str) -> RequestFingerprints {
    // Messages in another form than a list are left to the engine to judge.
    let messages: Vec<&RawValue> = serde_json::from_str(prompt).unwrap_or_default();
    let shared = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let part = |it: &&RawValue| Fingerprint::of_part(model, it.get().as_bytes());
    RequestFingerprints { request, parts: shared.iter().map(part).collect() }
}

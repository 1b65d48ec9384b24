//! What a caller got.

use bytes::Bytes;
use hyper::HeaderMap;
use serde_json::Value;
use tanagergauge_core::{Outcome, Reason};

/// An answer as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Whether the instance took the connection.
    pub is_connected: bool,
    /// Status; 0 if no head came.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, up to where it broke off.
    pub body: Bytes,
    /// Whether the transfer came to its proper end.
    pub is_complete: bool,
}

impl Answer {
    /// A header's text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Whether it is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.header("content-type").is_some_and(|it| it.starts_with("text/event-stream"))
    }

    /// Whether a caller takes it for a finished answer of any kind.
    pub fn is_finished(&self) -> bool {
        let is_done = !self.is_stream() || self.events().any(|it| it == "[DONE]");
        self.status != 0 && self.is_complete && is_done
    }

    /// What the caller was told became of the request; nothing if it was told nothing.
    pub fn outcome(&self) -> Option<Outcome> {
        if !self.is_stream() {
            return self.header("x-outcome")?.parse().ok();
        }
        if self.is_finished() {
            return Some(Outcome::Answered);
        }
        serde_json::from_value(self.error()?["outcome"].clone()).ok()
    }

    /// Why there is no answer.
    pub fn reason(&self) -> Option<Reason> {
        serde_json::from_value(self.error()?["code"].clone()).ok()
    }

    /// The error's detail, from the body or from the last event of a stream.
    pub fn error(&self) -> Option<Value> {
        if self.is_stream() {
            let documents = self.events().filter_map(|it| serde_json::from_str::<Value>(it).ok());
            return documents.last()?.get("error").cloned();
        }
        self.json()?.get("error").cloned()
    }

    /// The body as a JSON document.
    pub fn json(&self) -> Option<Value> {
        serde_json::from_slice(&self.body).ok()
    }

    /// The text of a model's answer, whole or streamed, as far as it came.
    pub fn text(&self) -> String {
        if !self.is_stream() {
            let document = self.json().unwrap_or_default();
            return content(&document, "message");
        }
        let chunks = self.events().filter_map(|it| serde_json::from_str::<Value>(it).ok());
        chunks.map(|it| content(&it, "delta")).collect()
    }

    fn events(&self) -> impl Iterator<Item = &str> {
        let text = std::str::from_utf8(&self.body).unwrap_or_default();
        text.lines().filter_map(|it| it.strip_prefix("data: "))
    }
}

fn content(document: &Value, part: &str) -> String {
    document["choices"][0][part]["content"].as_str().unwrap_or_default().to_owned()
}

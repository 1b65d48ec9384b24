//! Server-sent events of a streamed chat completion.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, de::IgnoredAny};
use tanagergauge_core::Name;

/// Largest single event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

/// Splits a byte stream into events. Bytes of an event are kept as they came.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Bytes at the front of the buffer that hold no end of an event.
    searched_bytes: usize,
}

/// What a splitter gives.
#[derive(Debug, PartialEq, Eq)]
pub enum Split {
    /// One whole event with its blank line.
    Event(Bytes),
    /// More bytes are needed.
    Incomplete,
    /// The event is larger than is accepted.
    TooLarge,
}

/// What one event means.
#[derive(Debug, PartialEq, Eq)]
pub enum Meaning {
    /// A chunk of the completion.
    Chunk(Chunk),
    /// A comment or an event without data.
    Nothing,
    /// The stream ended whole.
    Done,
    /// An error of the engine, or no chunk at all.
    Bad,
}

/// What of a chunk matters to the router.
#[derive(Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Id of the completion; the same in all chunks of one attempt.
    pub id: Option<Name>,
    /// Generated text in the chunk; empty if it carries none.
    pub text: String,
    /// Whether the engine says that generation has ended.
    pub is_finished: bool,
    /// Whether it carries usage only, no choice.
    pub is_usage: bool,
    /// Whether it carries what cannot be resumed from text, as a tool call.
    pub is_opaque: bool,
}

#[derive(Deserialize)]
struct RawChunk<'a> {
    #[serde(default, borrow)]
    id: Option<Cow<'a, str>>,
    #[serde(borrow)]
    choices: Vec<RawChoice<'a>>,
}

#[derive(Deserialize)]
struct RawChoice<'a> {
    #[serde(default, borrow)]
    delta: RawDelta<'a>,
    #[serde(default, borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

#[derive(Default, Deserialize)]
struct RawDelta<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
    #[serde(default)]
    tool_calls: Option<IgnoredAny>,
}

impl Splitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next event.
    pub fn split(&mut self) -> Split {
        match find_end(&self.buffer, self.searched_bytes) {
            Some(end) => {
                self.searched_bytes = 0;
                Split::Event(self.buffer.split_to(end).freeze())
            }
            None if self.buffer.len() > MAX_EVENT_BYTES => Split::TooLarge,
            None => {
                self.searched_bytes = self.buffer.len().saturating_sub(3);
                Split::Incomplete
            }
        }
    }

    /// Whether bytes are left that are no whole event.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// End of the first event, after its blank line.
fn find_end(buffer: &[u8], from: usize) -> Option<usize> {
    let rest = &buffer[from..];
    rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n').find_map(|(at, _)| {
        let after = &rest[at + 1..];
        let blank = match after {
            [b'\n', ..] => 1,
            [b'\r', b'\n', ..] => 2,
            _ => return None,
        };
        Some(from + at + 1 + blank)
    })
}

/// Reads an event.
pub fn meaning(event: &[u8]) -> Meaning {
    let data = data(event);
    match data.as_ref() {
        b"" => Meaning::Nothing,
        DONE => Meaning::Done,
        data => match serde_json::from_slice::<RawChunk<'_>>(data) {
            Ok(chunk) => Meaning::Chunk(Chunk::from(chunk)),
            Err(_) => Meaning::Bad,
        },
    }
}

/// The data lines of an event, joined.
fn data(event: &[u8]) -> Cow<'_, [u8]> {
    let mut lines = event.split(|it| *it == b'\n').filter_map(data_line);
    let Some(first) = lines.next() else {
        return Cow::Borrowed(b"");
    };
    lines.fold(Cow::Borrowed(first), |mut joined, line| {
        joined.to_mut().push(b'\n');
        joined.to_mut().extend_from_slice(line);
        joined
    })
}

fn data_line(line: &[u8]) -> Option<&[u8]> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    let value = line.strip_prefix(b"data:")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

impl From<RawChunk<'_>> for Chunk {
    fn from(raw: RawChunk<'_>) -> Chunk {
        let text = raw.choices.iter().filter_map(|it| it.delta.content.as_deref()).collect();
        let is_finished = raw.choices.iter().any(|it| it.finish_reason.is_some());
        Chunk {
            id: raw.id.as_deref().map(Name::from),
            text,
            is_finished,
            is_usage: raw.choices.is_empty(),
            is_opaque: raw.choices.len() > 1
                || raw.choices.iter().any(|it| it.delta.tool_calls.is_some()),
        }
    }
}

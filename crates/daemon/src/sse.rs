//! Server-sent events of a streamed chat completion.

use std::borrow::Cow;

use bytes::{Bytes, BytesMut};

use crate::chunk::Chunk;

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
pub enum Meaning<'a> {
    /// A chunk of the completion.
    Chunk(Chunk<'a>),
    /// A comment or an event without data.
    Nothing,
    /// The stream ended whole.
    Done,
    /// An error of the engine, or no chunk at all.
    Bad,
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
pub fn meaning(event: &[u8]) -> Meaning<'_> {
    match data(event) {
        Cow::Borrowed(data) => data_meaning(data),
        // Data over several lines cannot be borrowed from; completions never send it.
        Cow::Owned(_) => Meaning::Bad,
    }
}

fn data_meaning(data: &[u8]) -> Meaning<'_> {
    match data {
        b"" => Meaning::Nothing,
        DONE => Meaning::Done,
        data => serde_json::from_slice(data).map_or(Meaning::Bad, Meaning::Chunk),
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

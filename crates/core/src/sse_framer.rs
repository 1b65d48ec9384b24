//! Framing of server-sent event (SSE) streams, so that a broken stream can be resumed on another
//! endpoint.

use bytes::{Bytes, BytesMut};

/// Maximum size of a buffered incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the longest end of an event: the line end before the empty line, and that line, in bytes.
const MAX_EVENT_END_BYTES: usize = b"\n\r\n".len();

/// Number of line ends in a row that make an empty line, which ends an event.
const EMPTY_LINE: usize = 2;

/// What a line of an event begins with.
const FIELD_STARTS: [&[u8]; 5] = [b"id:", b"data:", b"event:", b"retry:", b":"];

/// Passes on complete events only and tracks the id of the last one.
///
/// Events end with an empty line. Lines end with LF or CR LF.
#[derive(Clone, Debug, Default)]
pub struct SseFramer {
    /// The bytes received so far of an incomplete event.
    partial: BytesMut,
    /// Id of the last complete event that has one.
    last_id: Option<Bytes>,
    /// Number of complete events passed on.
    event_count: u64,
}

impl SseFramer {
    /// Adds bytes of the stream and returns the events that are now complete.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() {
            let complete_len = complete_len(&bytes);
            if complete_len == bytes.len() {
                self.record_events(&bytes);
                return bytes;
            }
        }
        // What came before ends no event, so that an end begins with its last bytes at most.
        let searched_len = self.partial.len().saturating_sub(MAX_EVENT_END_BYTES - 1);
        self.partial.extend_from_slice(&bytes);
        let complete_len = match complete_len(&self.partial[searched_len..]) {
            0 => 0,
            len => searched_len + len,
        };
        let events = self.partial.split_to(complete_len).freeze();
        self.record_events(&events);
        events
    }

    /// Drops the incomplete event, after the stream broke.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Removes and returns the bytes after the last complete event, after the stream ended cleanly.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether the bytes so far end with a complete event.
    pub fn at_event_end(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether the incomplete event exceeds the maximum size.
    pub fn is_partial_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Number of complete events passed on so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    fn record_events(&mut self, events: &Bytes) {
        let mut line_start = 0;
        for end in positions_of(events, b'\n') {
            let line = &events[line_start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.event_count += 1;
            }
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = id.trim_ascii();
                self.last_id = Some(events.slice_ref(id));
            }
            line_start = end + 1;
        }
    }
}

/// Tracks whether the bytes of a stream that is passed on as it arrives end with a complete event.
/// Lines may end with LF or CR LF.
#[derive(Clone, Copy, Debug)]
pub struct EventBoundary {
    /// Number of line ends since the last other byte, at most 2.
    line_ends: usize,
}

impl Default for EventBoundary {
    fn default() -> EventBoundary {
        EventBoundary { line_ends: EMPTY_LINE }
    }
}

impl EventBoundary {
    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        let is_line_end = |it: &u8| matches!(it, b'\n' | b'\r');
        let (before, at_end) = match bytes.iter().rposition(|it| !is_line_end(it)) {
            Some(last) => (0, &bytes[last + 1..]),
            None => (self.line_ends, bytes),
        };
        let line_ends = at_end.iter().filter(|it| **it == b'\n').count();
        self.line_ends = (before + line_ends).min(EMPTY_LINE);
    }

    /// Whether the bytes so far end with a complete event; true before the first byte.
    pub fn at_event_end(&self) -> bool {
        self.line_ends == EMPTY_LINE
    }
}

/// Whether a stream of events may begin with these bytes: with a field, a comment or a part of them.
pub fn may_begin_events(bytes: &[u8]) -> bool {
    FIELD_STARTS.iter().any(|it| bytes.starts_with(it) || it.starts_with(bytes))
}

/// Number of bytes up to the end of the last complete event.
fn complete_len(bytes: &[u8]) -> usize {
    let ends_empty_line = |before: &[u8]| before.ends_with(b"\n") || before.ends_with(b"\n\r");
    let mut line_ends = positions_of(bytes, b'\n').rev();
    line_ends.find(|at| ends_empty_line(&bytes[..*at])).map_or(0, |at| at + 1)
}

/// Positions at which `byte` occurs.
fn positions_of(bytes: &[u8], byte: u8) -> impl DoubleEndedIterator<Item = usize> {
    bytes.iter().enumerate().filter(move |(_, it)| **it == byte).map(|(at, _)| at)
}

//! Where a stream of events stands, so that it can be continued elsewhere.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Passes on whole events only and remembers the last id.
#[derive(Clone, Debug, Default)]
pub struct SseFramer {
    /// The beginning of an event whose end has not come.
    partial: BytesMut,
    /// Id of the last whole event.
    last_id: Option<Bytes>,
    /// Whole events passed on.
    event_count: u64,
}

impl SseFramer {
    /// Takes bytes of the stream and gives back the whole events that they complete.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.partial.is_empty() {
            let whole = whole_len(&bytes);
            if whole == bytes.len() {
                self.note(&bytes);
                return bytes;
            }
        }
        self.partial.extend_from_slice(&bytes);
        let whole = whole_len(&self.partial);
        let events = self.partial.split_to(whole).freeze();
        self.note(&events);
        events
    }

    /// The stream broke off: what was not whole is dropped.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// The stream ended cleanly: what is left belongs to it.
    pub fn take_partial(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Whether the bytes so far end with a whole event.
    pub fn at_event_end(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whether an event is longer than any endpoint sends.
    pub fn is_partial_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whole events passed on so far.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    fn note(&mut self, events: &Bytes) {
        let mut line_start = 0;
        for end in memchr(events, b'\n') {
            let line = &events[line_start..end];
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

/// Length of the bytes up to the end of the last whole event.
fn whole_len(bytes: &[u8]) -> usize {
    bytes.windows(2).rposition(|it| it == b"\n\n").map_or(0, |at| at + 2)
}

fn memchr(bytes: &[u8], byte: u8) -> impl Iterator<Item = usize> {
    bytes.iter().enumerate().filter(move |(_, it)| **it == byte).map(|(at, _)| at)
}

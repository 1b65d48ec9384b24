//! Framing of server-sent event (SSE) streams, so that a broken stream can be resumed on another
//! endpoint.

use bytes::{Bytes, BytesMut};

use crate::event_order::{EventLine, EventOrder, OrderFault};

/// Maximum size of a buffered incomplete event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Size of the longest end of an event: the line end before the empty line, and that line, in bytes.
const MAX_EVENT_END_BYTES: usize = b"\n\r\n".len();

/// Number of line ends in a row that make an empty line, which ends an event.
const EMPTY_LINE: usize = 2;

/// What a line of an event begins with.
const FIELD_STARTS: [&[u8]; 5] = [b"id:", b"data:", b"event:", b"retry:", b":"];

/// Where a response continued a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Junction {
    /// Id of the last event before it; `None` if the caller had that event from an earlier attempt.
    pub after_id: Option<Bytes>,
    /// Id of the first event of the response that has one.
    pub first_id: Bytes,
}

/// Passes on complete events only, tracks the id of the last one and checks that each follows those before
/// it.
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
    /// The body is no stream of events, so that its blocks have no order.
    has_no_order: bool,
    order: EventOrder,
    /// Where a response continued the stream, until it is taken.
    junction: Option<Junction>,
    /// Why no more events are passed on.
    fault: Option<OrderFault>,
}

impl SseFramer {
    /// A stream from its first event on, or after the event that its caller has.
    pub fn new(last_event_id: Option<&[u8]>) -> SseFramer {
        SseFramer { order: EventOrder::new(last_event_id), ..SseFramer::default() }
    }

    /// Blocks of a body that is no stream of events.
    pub fn of_blocks() -> SseFramer {
        SseFramer { has_no_order: true, ..SseFramer::default() }
    }

    /// Adds bytes of the stream and returns the events that are now complete. From an event on that does
    /// not follow those before it, nothing is returned.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        if self.fault.is_some() {
            return Bytes::new();
        }
        if self.partial.is_empty() {
            let complete_len = complete_len(&bytes);
            if complete_len == bytes.len() {
                return self.record_events(bytes);
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
        self.record_events(events)
    }

    /// Drops the incomplete event, after the stream broke. Another endpoint may continue the stream.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.order.restart();
        self.fault = None;
    }

    /// Why no more events are passed on.
    pub fn fault(&self) -> Option<OrderFault> {
        self.fault
    }

    /// Whether another endpoint can continue the stream after the events passed on.
    pub fn can_continue(&self) -> bool {
        self.order.can_continue()
    }

    /// Removes and returns where the latest response continued the stream.
    pub fn take_junction(&mut self) -> Option<Junction> {
        self.junction.take()
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

    /// Records complete events; returns those that follow each other.
    fn record_events(&mut self, events: Bytes) -> Bytes {
        if self.has_no_order {
            return events;
        }
        let mut line_start = 0;
        let mut event_start = 0;
        let mut event_id = None;
        for end in positions_of(&events, b'\n') {
            let line = &events[line_start..end];
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            line_start = end + 1;
            let continues = self.order.must_continue();
            match self.check_line(line) {
                Ok(EventLine::Id(id)) => event_id = Some(events.slice_ref(id)),
                Ok(EventLine::Other) => {}
                Ok(EventLine::End) => {
                    self.event_count += 1;
                    event_start = line_start;
                    self.record_id(event_id.take(), continues);
                }
                Err(fault) => {
                    self.fault = Some(fault);
                    return events.slice(..event_start);
                }
            }
        }
        events
    }

    fn check_line<'l>(&mut self, line: &'l [u8]) -> Result<EventLine<'l>, OrderFault> {
        let continues = self.order.must_continue();
        match self.order.push_line(line)? {
            EventLine::Id(id) if continues && self.last_id.as_deref() == Some(id) => {
                Err(OrderFault::SameId)
            }
            checked => Ok(checked),
        }
    }

    /// Records the id of a complete event. `continues` is whether it is the first one of a response that
    /// continues the stream.
    fn record_id(&mut self, id: Option<Bytes>, continues: bool) {
        let Some(id) = id else { return };
        let after_id = self.last_id.replace(id.clone());
        if continues {
            self.junction = Some(Junction { after_id, first_id: id });
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

//! Which bytes of a streamed response are forwarded, and whether they end with a complete event.

use bytes::Bytes;

use crate::sse_framer::{EventBoundary, SseFramer};

/// Follows the bytes of a streamed response.
#[derive(Clone, Debug)]
pub struct EventForwarder {
    handling: Handling,
    /// Whether the body is a stream of events. One that ends inside an event was broken off.
    is_event_stream: bool,
}

/// How bytes are forwarded.
#[derive(Clone, Debug)]
enum Handling {
    /// Complete events only, so that another endpoint can continue after the last one.
    Events(SseFramer),
    /// As they arrive; tracks where they end.
    Bytes(EventBoundary),
}

impl EventForwarder {
    /// With `can_resume` the route allows another endpoint to continue the stream.
    pub fn new(can_resume: bool, is_event_stream: bool) -> EventForwarder {
        let handling = if can_resume {
            Handling::Events(SseFramer::default())
        } else {
            Handling::Bytes(EventBoundary::default())
        };
        EventForwarder { handling, is_event_stream }
    }

    /// Adds bytes of the response; returns those to forward now.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        match &mut self.handling {
            Handling::Events(framer) => framer.push(bytes),
            Handling::Bytes(boundary) => {
                boundary.push(&bytes);
                bytes
            }
        }
    }

    /// Whether another endpoint can continue the stream.
    pub fn can_resume(&self) -> bool {
        matches!(self.handling, Handling::Events(_))
    }

    /// Whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.is_event_stream
    }

    /// Whether an event has begun and is not complete.
    pub fn is_inside_event(&self) -> bool {
        let at_event_end = match &self.handling {
            Handling::Events(framer) => framer.at_event_end(),
            Handling::Bytes(boundary) => boundary.at_event_end(),
        };
        self.is_event_stream && !at_event_end
    }

    /// Whether the bytes that are held back exceed the maximum size of an event.
    pub fn is_event_too_long(&self) -> bool {
        matches!(&self.handling, Handling::Events(framer) if framer.is_partial_too_long())
    }

    /// Number of complete events that were forwarded; 0 if the stream cannot be resumed.
    pub fn event_count(&self) -> u64 {
        match &self.handling {
            Handling::Events(framer) => framer.event_count(),
            Handling::Bytes(_) => 0,
        }
    }

    /// Id of the last complete event, if one had an id. The stream can be continued after it.
    pub fn last_event_id(&self) -> Option<&Bytes> {
        match &self.handling {
            Handling::Events(framer) => framer.last_id(),
            Handling::Bytes(_) => None,
        }
    }

    /// Drops an incomplete event, whose bytes another endpoint sends again.
    pub fn discard_partial(&mut self) {
        if let Handling::Events(framer) = &mut self.handling {
            framer.discard_partial();
        }
    }

    /// Removes and returns the bytes that were held back, after the stream ended in order.
    pub fn take_rest(&mut self) -> Bytes {
        match &mut self.handling {
            Handling::Events(framer) => framer.take_partial(),
            Handling::Bytes(_) => Bytes::new(),
        }
    }
}

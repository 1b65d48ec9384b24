//! Which bytes of a streamed response are forwarded, and whether they end with a complete event.

use bytes::Bytes;

use crate::{
    arriving_events::ArrivingEvents,
    event_order::OrderFault,
    sse_framer::{EventBoundary, Junction, SseFramer},
};

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
    /// The same for a body that is no stream of events. Another endpoint can only begin it anew.
    Blocks { framer: SseFramer, is_forwarded: bool },
    /// As they arrive; tracks where they end.
    Bytes(EventBoundary),
    /// The same for a stream of events.
    ArrivingEvents(EventBoundary, ArrivingEvents),
}

impl EventForwarder {
    /// With `can_resume` the route allows another endpoint to continue the stream. The caller may have it up
    /// to `last_event_id`.
    pub fn new(
        can_resume: bool,
        is_event_stream: bool,
        last_event_id: Option<&[u8]>,
    ) -> EventForwarder {
        let boundary = EventBoundary::default();
        let handling = match (can_resume, is_event_stream) {
            (true, true) => Handling::Events(SseFramer::new(last_event_id)),
            (true, false) => {
                Handling::Blocks { framer: SseFramer::of_blocks(), is_forwarded: false }
            }
            (false, true) => Handling::ArrivingEvents(boundary, ArrivingEvents::default()),
            (false, false) => Handling::Bytes(boundary),
        };
        EventForwarder { handling, is_event_stream }
    }

    /// Adds bytes of the response; returns those to forward now. After a fault there are none.
    pub fn push(&mut self, bytes: Bytes) -> Bytes {
        match &mut self.handling {
            Handling::Events(framer) => framer.push(bytes),
            Handling::Blocks { framer, is_forwarded } => {
                let blocks = framer.push(bytes);
                *is_forwarded |= !blocks.is_empty();
                blocks
            }
            Handling::Bytes(boundary) => {
                boundary.push(&bytes);
                bytes
            }
            Handling::ArrivingEvents(boundary, events) => {
                let bytes = bytes.slice(..events.push(&bytes));
                boundary.push(&bytes);
                bytes
            }
        }
    }

    /// Whether the route allows another endpoint to continue the stream.
    pub fn can_resume(&self) -> bool {
        matches!(self.handling, Handling::Events(_) | Handling::Blocks { .. })
    }

    /// Whether another endpoint can continue the stream after what was forwarded.
    pub fn can_continue(&self) -> bool {
        match &self.handling {
            Handling::Events(framer) => framer.can_continue(),
            Handling::Blocks { is_forwarded, .. } => !is_forwarded,
            Handling::Bytes(_) | Handling::ArrivingEvents(..) => false,
        }
    }

    /// Why nothing more is forwarded of the response.
    pub fn fault(&self) -> Option<OrderFault> {
        match &self.handling {
            Handling::Events(framer) => framer.fault(),
            Handling::ArrivingEvents(_, events) => events.fault(),
            Handling::Blocks { .. } | Handling::Bytes(_) => None,
        }
    }

    /// Why a response that begins with `first` does not continue the stream, if its first event shows that.
    pub fn fault_of_continuation(&self, first: &Bytes) -> Option<OrderFault> {
        let mut events = self.clone();
        events.discard_partial();
        let forwarded = events.push(first.clone());
        events.fault().filter(|_| forwarded.is_empty())
    }

    /// Whether the body is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.is_event_stream
    }

    /// Whether an event has begun and is not complete.
    pub fn is_inside_event(&self) -> bool {
        let at_event_end = match &self.handling {
            Handling::Events(framer) | Handling::Blocks { framer, .. } => framer.at_event_end(),
            Handling::Bytes(boundary) | Handling::ArrivingEvents(boundary, _) => {
                boundary.at_event_end()
            }
        };
        self.is_event_stream && !at_event_end
    }

    /// Whether the bytes that are held back exceed the maximum size of an event.
    pub fn is_event_too_long(&self) -> bool {
        self.framer().is_some_and(SseFramer::is_partial_too_long)
    }

    /// Number of complete events that were forwarded; 0 if the stream cannot be resumed.
    pub fn event_count(&self) -> u64 {
        self.framer().map_or(0, SseFramer::event_count)
    }

    /// Id of the last complete event, if one had an id. The stream can be continued after it.
    pub fn last_event_id(&self) -> Option<&Bytes> {
        match &self.handling {
            Handling::Events(framer) => framer.last_id(),
            _ => None,
        }
    }

    /// Removes and returns where the latest response continued the stream.
    pub fn take_junction(&mut self) -> Option<Junction> {
        self.framer_mut()?.take_junction()
    }

    /// Drops an incomplete event, whose bytes another endpoint sends again.
    pub fn discard_partial(&mut self) {
        if let Some(framer) = self.framer_mut() {
            framer.discard_partial();
        }
    }

    /// Removes and returns the bytes that were held back, after the stream ended in order.
    pub fn take_rest(&mut self) -> Bytes {
        self.framer_mut().map_or_else(Bytes::new, SseFramer::take_partial)
    }

    /// What holds back incomplete events, if they are held back.
    fn framer(&self) -> Option<&SseFramer> {
        match &self.handling {
            Handling::Events(framer) | Handling::Blocks { framer, .. } => Some(framer),
            Handling::Bytes(_) | Handling::ArrivingEvents(..) => None,
        }
    }

    fn framer_mut(&mut self) -> Option<&mut SseFramer> {
        match &mut self.handling {
            Handling::Events(framer) | Handling::Blocks { framer, .. } => Some(framer),
            Handling::Bytes(_) | Handling::ArrivingEvents(..) => None,
        }
    }
}

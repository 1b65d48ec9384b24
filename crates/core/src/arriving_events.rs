//! Checks the order of events that are forwarded as they arrive, in part too.

use smallvec::SmallVec;

use crate::event_order::{EventLine, EventOrder, OrderFault};

/// Most bytes of an incomplete line that are kept, enough for the field of a number. A longer line has none.
const MAX_KEPT_BYTES: usize = 64;

/// Follows the bytes of a stream.
#[derive(Clone, Debug, Default)]
pub struct ArrivingEvents {
    order: EventOrder,
    /// Beginning of the incomplete line, at most [`MAX_KEPT_BYTES`].
    line: SmallVec<[u8; MAX_KEPT_BYTES]>,
    /// Why nothing more is forwarded.
    fault: Option<OrderFault>,
}

impl ArrivingEvents {
    /// Adds bytes of the stream; returns how many of them are to be forwarded. Of an event that does not
    /// follow those before it nothing is forwarded once that is known.
    pub fn push(&mut self, bytes: &[u8]) -> usize {
        if self.fault.is_some() {
            return 0;
        }
        let mut event_start = 0;
        let mut rest = bytes;
        while let Some(at) = rest.iter().position(|it| *it == b'\n') {
            let (part, after) = (&rest[..at], &rest[at + 1..]);
            match self.push_line(part) {
                Ok(true) => event_start = bytes.len() - after.len(),
                Ok(false) => {}
                Err(fault) => {
                    self.fault = Some(fault);
                    return event_start;
                }
            }
            rest = after;
        }
        self.keep(rest);
        bytes.len()
    }

    /// Why nothing more is forwarded.
    pub fn fault(&self) -> Option<OrderFault> {
        self.fault
    }

    /// Adds the last part of a line; returns whether the line ends an event.
    fn push_line(&mut self, part: &[u8]) -> Result<bool, OrderFault> {
        if self.line.is_empty() {
            return push_complete(&mut self.order, part);
        }
        self.keep(part);
        let line = std::mem::take(&mut self.line);
        if line.len() == MAX_KEPT_BYTES {
            return Ok(false);
        }
        push_complete(&mut self.order, &line)
    }

    fn keep(&mut self, part: &[u8]) {
        let len = part.len().min(MAX_KEPT_BYTES - self.line.len());
        self.line.extend_from_slice(&part[..len]);
    }
}

/// Adds a line that may end with CR; returns whether it ends an event.
fn push_complete(order: &mut EventOrder, line: &[u8]) -> Result<bool, OrderFault> {
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Ok(order.push_line(line)? == EventLine::End)
}

//! Whether the events of a stream follow each other, by the ids that they carry.
//!
//! Ids of a stream that are numbers increase, with gaps or without. What one endpoint sends continues
//! what another one sent only if its ids show that.

/// Most digits of an id that counts as a number; all such numbers fit a `u128`.
const MAX_NUMBER_DIGITS: usize = 38;

/// Why an event does not follow those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum OrderFault {
    /// Its number is not greater than that of an event before it.
    NumberNotGreater {
        /// Its number.
        number: u128,
    },
    /// Its response continues a stream, and it has the id of the stream's last event.
    SameId,
    /// Its response continues a stream, and it has no id that shows where.
    NoId,
}

/// What a line of a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLine<'l> {
    /// The id of the event, after which a stream can go on.
    Id(&'l [u8]),
    /// The empty line that ends the event.
    End,
    /// Any other.
    Other,
}

/// Follows the lines of a stream, also where another endpoint continues it.
#[derive(Clone, Debug, Default)]
pub struct EventOrder {
    /// Number of the latest complete event that has one.
    last_number: Option<u128>,
    /// Whether an id is known after which the stream can go on.
    has_last_id: bool,
    /// Whether the latest complete event has content and no id.
    lacks_last_id: bool,
    /// Whether the next event with content has to show by its id that it continues the stream.
    must_continue: bool,
    /// What is known of the incomplete event.
    event: IncompleteEvent,
}

#[derive(Clone, Copy, Debug, Default)]
struct IncompleteEvent {
    number: Option<u128>,
    has_id: bool,
    has_data: bool,
}

impl OrderFault {
    /// Number of the event, if it has one.
    pub fn number(self) -> Option<u128> {
        match self {
            OrderFault::NumberNotGreater { number } => Some(number),
            OrderFault::SameId | OrderFault::NoId => None,
        }
    }
}

impl EventOrder {
    /// A stream from its first event on, or after the event that its caller has.
    pub fn new(last_event_id: Option<&[u8]>) -> EventOrder {
        let last_event_id = last_event_id.filter(|it| is_usable(it));
        EventOrder {
            last_number: last_event_id.and_then(parse_number),
            has_last_id: last_event_id.is_some(),
            must_continue: last_event_id.is_some(),
            ..EventOrder::default()
        }
    }

    /// Drops the incomplete event, as another endpoint continues the stream.
    pub fn restart(&mut self) {
        self.event = IncompleteEvent::default();
        self.must_continue = self.has_last_id;
    }

    /// Whether another endpoint can continue the stream: no event came after the last id.
    pub fn can_continue(&self) -> bool {
        !self.lacks_last_id
    }

    /// Whether the next event with content has to show by its id that it continues the stream.
    pub fn must_continue(&self) -> bool {
        self.must_continue
    }

    /// Adds a line without its end.
    ///
    /// # Errors
    /// The event does not follow those before it.
    pub fn push_line<'l>(&mut self, line: &'l [u8]) -> Result<EventLine<'l>, OrderFault> {
        if line.is_empty() {
            return self.end_event();
        }
        if let Some(id) = field_value(line, b"id") {
            return self.push_id(id);
        }
        self.event.has_data |= field_value(line, b"data").is_some();
        Ok(EventLine::Other)
    }

    fn push_id<'l>(&mut self, id: &'l [u8]) -> Result<EventLine<'l>, OrderFault> {
        let number = parse_number(id);
        if let (Some(number), Some(last)) = (number, self.last_number)
            && number <= last
        {
            return Err(OrderFault::NumberNotGreater { number });
        }
        self.event.number = number;
        self.event.has_id = is_usable(id);
        Ok(if self.event.has_id { EventLine::Id(id) } else { EventLine::Other })
    }

    fn end_event(&mut self) -> Result<EventLine<'static>, OrderFault> {
        let event = std::mem::take(&mut self.event);
        if event.has_id {
            self.last_number = event.number.or(self.last_number);
            self.has_last_id = true;
            self.lacks_last_id = false;
            self.must_continue = false;
        } else if event.has_data {
            if self.must_continue {
                return Err(OrderFault::NoId);
            }
            self.lacks_last_id = true;
        }
        Ok(EventLine::End)
    }
}

/// Value of a line with the field `name`, without the spaces around it.
fn field_value<'l>(line: &'l [u8], name: &[u8]) -> Option<&'l [u8]> {
    match line.strip_prefix(name)? {
        [] => Some(&[]),
        [b':', value @ ..] => Some(value.trim_ascii()),
        _ => None,
    }
}

/// Whether a stream can go on after an id: it fits a header, and is not empty, which asks for all events.
fn is_usable(id: &[u8]) -> bool {
    !id.is_empty() && id.iter().all(|it| *it == b'\t' || (*it >= b' ' && *it != 0x7f))
}

/// The number that an id is, if it consists of digits.
fn parse_number(id: &[u8]) -> Option<u128> {
    if id.is_empty() || id.len() > MAX_NUMBER_DIGITS {
        return None;
    }
    id.iter().try_fold(0, |number: u128, it| {
        it.is_ascii_digit().then(|| number * 10 + u128::from(it - b'0'))
    })
}

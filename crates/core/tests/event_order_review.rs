//! Found by the review of issue 39: streams of sound servers that end, and an event that comes twice.

use bytes::Bytes;
use tanagergauge_core::event_forwarder::EventForwarder;

/// What is forwarded of a stream that its caller takes up after the event `last`, and whether nothing more is.
fn taken_up(last: &str, text: &'static str) -> (String, bool) {
    let mut events = EventForwarder::new(true, true, Some(last.as_bytes()));
    let forwarded = events.push(Bytes::from_static(text.as_bytes()));
    (String::from_utf8_lossy(&forwarded).into_owned(), events.fault().is_some())
}

/// A stream of events may begin with one byte order mark, which is no part of its first line.
#[test]
fn a_continuation_may_begin_with_a_byte_order_mark() {
    let text = "\u{feff}id: 4\ndata: d\n\n";
    assert_eq!(taken_up("3", text), (text.to_owned(), false));
}

/// The same of a stream that begins: the event has an id, after which the stream can go on.
#[test]
fn a_stream_goes_on_after_an_event_behind_a_byte_order_mark() {
    let mut events = EventForwarder::new(true, true, None);
    events.push(Bytes::from_static("\u{feff}id: 7\ndata: a\n\n".as_bytes()));
    assert!(events.can_continue());
}

/// Guards against ORDER: the last event that the caller has comes again.
#[test]
fn a_take_up_does_not_begin_at_an_id_that_is_no_number() {
    assert_eq!(taken_up("e-3", "id: e-3\ndata: c\n\n"), (String::new(), true));
}

/// The same behind an event of this answer.
#[test]
fn a_continuation_does_not_begin_at_an_id_that_is_no_number() {
    let mut events = EventForwarder::new(true, true, None);
    events.push(Bytes::from_static(b"id: e-3\ndata: c\n\n"));
    events.discard_partial();
    assert!(events.push(Bytes::from_static(b"id: e-3\ndata: c\n\n")).is_empty());
}

/// Guards against ORDER: another endpoint begins a stream anew whose ids are no numbers.
#[test]
fn a_stream_of_ids_that_are_no_numbers_is_not_begun_anew() {
    let mut events = EventForwarder::new(true, true, None);
    let stream = Bytes::from_static(b"id: x1\ndata: a\n\nid: x2\ndata: b\n\n");
    events.push(stream.clone());
    events.discard_partial();
    assert!(events.push(stream).is_empty());
}

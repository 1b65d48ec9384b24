//! Events whose numbers do not increase are not passed on, however their bytes are split.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    event_forwarder::EventForwarder, event_order::OrderFault, sse_framer::Junction,
};

/// Sizes of the pieces in which a stream arrives.
const PIECE_BYTES: [usize; 6] = [1, 2, 3, 7, 16, 4096];

/// What is forwarded of a stream that arrives in pieces, and why it ends there.
fn forward(events: &mut EventForwarder, text: &str, piece: usize) -> (String, Option<OrderFault>) {
    let mut forwarded = Vec::new();
    for bytes in text.as_bytes().chunks(piece) {
        forwarded.extend_from_slice(&events.push(Bytes::copy_from_slice(bytes)));
    }
    (String::from_utf8(forwarded).expect("the text is UTF-8"), events.fault())
}

/// Each test is a stream, the part of it that follows itself, and the number that does not.
macro_rules! streams {
    ($($name:ident: $in_order:literal, $rest:literal => $number:expr;)*) => {$(
        #[test]
        fn $name() {
            check($in_order, $rest, $number);
        }
    )*};
}

fn check(in_order: &str, rest: &str, number: Option<u128>) {
    let fault = number.map(|number| OrderFault::NumberNotGreater { number });
    let text = format!("{in_order}{rest}");
    for piece in PIECE_BYTES {
        let mut held_back = EventForwarder::new(true, true, None);
        let seen = forward(&mut held_back, &text, piece);
        assert_eq!(seen, (in_order.to_owned(), fault), "pieces of {piece} bytes");
        let mut arriving = EventForwarder::new(false, true, None);
        let (forwarded, seen) = forward(&mut arriving, &text, piece);
        assert_eq!(seen, fault, "pieces of {piece} bytes");
        assert!(forwarded.starts_with(in_order) && text.starts_with(&forwarded), "{forwarded}");
        // Pieces before that which shows the number are out by then, and no end of the event.
        let event_end = ["\n\n", "\n\r\n"].into_iter().find_map(|it| rest.find(it));
        assert!(forwarded.len() <= in_order.len() + event_end.unwrap_or(0), "{forwarded}");
    }
}

streams! {
    numbers_increase: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "" => None;
    numbers_increase_with_gaps: "id: 7\n\nid: 19\n\nid: 20\n\n", "" => None;
    numbers_grow_a_digit: "id: 9\ndata: a\n\nid: 10\ndata: b\n\n", "" => None;
    numbers_have_zeros_before_them: "id: 009\n\nid: 10\n\nid: 0011\n\n", "" => None;
    numbers_need_no_space: "id:1\ndata:a\n\nid:2\ndata:b\n\n", "" => None;
    lines_end_with_cr_lf: "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "" => None;
    ids_are_no_numbers: "id: b\ndata: a\n\nid: a\ndata: b\n\nid: a\n\n", "" => None;
    ids_have_signs_and_fractions: "id: 2.5\n\nid: 2.4\n\nid: -1\n\nid: +0\n\n", "" => None;
    data_looks_like_an_id: "id: 2\ndata: id: 1\ndata:id: 1\n\nidx: 1\n\nIDs\n\n", "" => None;
    an_event_has_several_ids: "id: 1\nid: 3\n\nid: 4\nid: 4\n\n", "" => None;
    an_id_is_too_long_for_a_number:
        "id: 200000000000000000000000000000000000000\n\nid: 100000000000000000000000000000000000000\n\n",
        "" => None;
    an_id_is_longer_than_any_line_that_is_kept:
        "id: 5\n\nid:             00000000000000000000000000000000000000000000000000001\n\n", "" => None;
    a_number_goes_back: "id: 1\n\nid: 3\n\n", "id: 2\n\n" => Some(2);
    a_number_comes_twice: "id: 1\n\n", "id: 1\n\n" => Some(1);
    a_number_comes_twice_with_a_zero: "id: 1\n\n", "id: 01\n\n" => Some(1);
    a_number_goes_back_after_its_data: "data: a\nid: 3\n\n", "data: b\nid:2\n\n" => Some(2);
    a_number_goes_back_behind_an_id_that_is_none: "id: 4\n\nid: x\n\n", "id: 3\n\n" => Some(3);
    a_number_goes_back_behind_events_without_one:
        "id: 4\n\ndata: a\n\n: ping\n\nretry: 5\n\n", "id: 3\n\n" => Some(3);
    a_number_goes_back_with_cr_lf: "id: 4\r\n\r\n", "id: 3\r\n\r\n" => Some(3);
    a_big_number_goes_back:
        "id: 18446744073709551617\n\n", "id: 18446744073709551616\n\n" => Some(1 << 64);
    the_first_of_several_ids_goes_back: "id: 4\n\n", "id: 3\nid: 5\n\n" => Some(3);
    a_number_goes_back_and_increases_again: "id: 4\n\n", "id: 3\n\nid: 5\n\n" => Some(3);
}

/// How a stream goes on in the response of another endpoint, behind `"id: 3\ndata: c\n\n"`.
fn continuation(last: &str, text: &str) -> (String, Option<OrderFault>) {
    let mut events = EventForwarder::new(true, true, None);
    forward(&mut events, last, 5);
    events.push(Bytes::from_static(b"id: 9\nda"));
    let first = Bytes::copy_from_slice(text.as_bytes());
    let first_fault = events.fault_of_continuation(&first);
    events.discard_partial();
    let seen = forward(&mut events, text, 5);
    if seen.0.is_empty() {
        assert_eq!(first_fault, seen.1);
    } else {
        assert_eq!(first_fault, None);
    }
    seen
}

macro_rules! continuations {
    ($($name:ident: $last:literal, $text:literal => $forwarded:literal, $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(continuation($last, $text), ($forwarded.to_owned(), $fault));
        }
    )*};
}

const fn not_greater(number: u128) -> Option<OrderFault> {
    Some(OrderFault::NumberNotGreater { number })
}

continuations! {
    another_endpoint_goes_on_after_the_last_event: "id: 3\ndata: c\n\n", "id: 4\n\n" => "id: 4\n\n", None;
    another_endpoint_goes_on_later: "id: 3\ndata: c\n\n", "id: 8\n\n" => "id: 8\n\n", None;
    another_endpoint_goes_on_at_the_last_event: "id: 3\ndata: c\n\n", "id: 3\n\n" => "", not_greater(3);
    another_endpoint_begins_anew: "id: 3\ndata: c\n\n", "id: 1\n\nid: 2\n\n" => "", not_greater(1);
    another_endpoint_sends_no_number: "id: 3\ndata: c\n\n", "data: x\n\n" => "", Some(OrderFault::NoId);
    another_endpoint_sends_an_empty_id:
        "id: 3\ndata: c\n\n", "id:\ndata: x\n\n" => "", Some(OrderFault::NoId);
    another_endpoint_sends_a_comment_first:
        "id: 3\ndata: c\n\n", ": x\n\nid: 4\n\n" => ": x\n\nid: 4\n\n", None;
    another_endpoint_sends_no_number_later:
        "id: 3\ndata: c\n\n", "id: 4\n\ndata: x\n\n" => "id: 4\n\ndata: x\n\n", None;
    another_endpoint_goes_on_at_an_id_that_is_no_number:
        "id: c\ndata: c\n\n", "id: c\n\n" => "", Some(OrderFault::SameId);
    another_endpoint_goes_on_after_an_id_that_is_no_number:
        "id: c\ndata: c\n\n", "id: b\n\n" => "id: b\n\n", None;
    another_endpoint_begins_a_stream_that_had_no_event: ": ping\n\n", "data: a\n\n" => "data: a\n\n", None;
}

/// Each test is what was forwarded of a stream, and whether another endpoint can continue it.
macro_rules! ends {
    ($($name:ident: $text:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut events = EventForwarder::new(true, true, None);
            forward(&mut events, $text, 4);
            assert_eq!(events.can_continue(), $expected);
        }
    )*};
}

ends! {
    nothing_was_forwarded: "" => true;
    comments_were_forwarded: ": ping\n\nretry: 5\n\nevent: x\n\n" => true;
    the_last_event_has_an_id: "data: a\n\nid: 2\ndata: b\n\n: ping\n\n" => true;
    the_incomplete_event_has_no_id: "id: 2\ndata: b\n\ndata: c\n" => true;
    the_last_event_has_no_id: "id: 1\ndata: a\n\ndata: b\n\n: ping\n\n" => false;
    the_last_event_has_an_empty_id: "id: 1\ndata: a\n\nid\ndata: b\n\n" => false;
    the_last_event_has_an_id_that_fits_no_header: "id: 1\ndata: a\n\nid: \u{7f}\ndata: b\n\n" => false;
}

/// The caller of a stream that is taken up has its events up to one.
#[test]
fn a_take_up_begins_after_the_event_of_its_caller() {
    for (last, text, fault) in [
        (&b"3"[..], "id: 4\ndata: d\n\n", None),
        (b"3", "id: 3\ndata: c\n\n", not_greater(3)),
        (b"3", "data: a\n\n", Some(OrderFault::NoId)),
        (b"c", "data: a\n\n", Some(OrderFault::NoId)),
        (b"c", "id: 1\n\n", None),
        (b"", "data: a\n\n", None),
    ] {
        let mut events = EventForwarder::new(true, true, Some(last));
        let forwarded = if fault.is_none() { text } else { "" };
        assert_eq!(forward(&mut events, text, 6), (forwarded.to_owned(), fault), "{text}");
    }
}

/// A body that is no stream of events has no order, and is begun anew only before its first block.
#[test]
fn a_body_that_is_no_stream_of_events_has_no_order() {
    for can_resume in [true, false] {
        let mut blocks = EventForwarder::new(can_resume, false, Some(b"9"));
        assert_eq!(blocks.can_continue(), can_resume);
        let text = "id: 2\n\nid: 1\n\n";
        assert_eq!(forward(&mut blocks, text, 3), (text.to_owned(), None));
        assert!(!blocks.can_continue());
    }
}

#[test]
fn it_is_told_where_a_stream_was_continued() {
    let mut events = EventForwarder::new(true, true, None);
    forward(&mut events, "id: 1\n\nid: 2\n\n", 3);
    assert_eq!(events.take_junction(), None);
    events.discard_partial();
    forward(&mut events, ": ping\n\nid: 5\n\nid: 6\n\n", 3);
    let (after_id, first_id) = (Some(Bytes::from_static(b"2")), Bytes::from_static(b"5"));
    assert_eq!(events.take_junction(), Some(Junction { after_id, first_id }));
    assert_eq!(events.take_junction(), None);
}

/// Of any stream the events up to the first number that does not increase are forwarded.
fn forwards_what_increases(numbers: Vec<u8>, piece: usize) -> bool {
    let piece = piece % 40 + 1;
    let event = |it: &u8| format!("id: {it}\ndata: cue {it}\n\n");
    let text: String = numbers.iter().map(event).collect();
    let increasing = numbers.windows(2).take_while(|it| it[0] < it[1]).count();
    let in_order: String = numbers.iter().take(increasing + 1).map(event).collect();
    let mut events = EventForwarder::new(true, true, None);
    let (forwarded, fault) = forward(&mut events, &text, piece);
    let mut arriving = EventForwarder::new(false, true, None);
    let (arrived, arriving_fault) = forward(&mut arriving, &text, piece);
    forwarded == in_order && fault == arriving_fault && arrived.starts_with(&in_order)
}

#[test]
fn streams_are_forwarded_up_to_a_number_that_does_not_increase() {
    let mut checks = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(20, 3));
    checks.quickcheck(forwards_what_increases as fn(Vec<u8>, usize) -> bool);
}

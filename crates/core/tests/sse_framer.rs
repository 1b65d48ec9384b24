//! Event streams are passed on in complete events, however they are split into chunks, and are
//! resumed after the last complete event.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::sse_framer::{EventBoundary, SseFramer, may_begin_events};

fn event(id: usize) -> String {
    format!("id: {id}\ndata: cue {id}\n\n")
}

fn split(text: &str, cuts: &[usize]) -> Vec<Bytes> {
    let mut offsets: Vec<usize> = cuts.iter().map(|it| it % (text.len() + 1)).collect();
    offsets.extend([0, text.len()]);
    offsets.sort_unstable();
    offsets.windows(2).map(|it| Bytes::copy_from_slice(&text.as_bytes()[it[0]..it[1]])).collect()
}

fn passes_on_all(events: u8, cuts: Vec<usize>) -> bool {
    let text: String = (1..=usize::from(events)).map(event).collect();
    let mut framer = SseFramer::default();
    let mut passed = Vec::new();
    for chunk in split(&text, &cuts) {
        let complete = framer.push(chunk);
        if !complete.is_empty() && !complete.ends_with(b"\n\n") {
            return false;
        }
        passed.extend_from_slice(&complete);
    }
    passed.extend_from_slice(&framer.take_partial());
    let last = (events > 0).then(|| events.to_string());
    let last_id = framer.last_id().map(|it| String::from_utf8_lossy(it).into_owned());
    passed == text.as_bytes() && last_id == last && framer.event_count() == u64::from(events)
}

/// Wherever the first endpoint's stream breaks, the second endpoint's stream continues it without
/// a missing or repeated event.
fn continues_after_a_break(broken_at: usize, cuts: Vec<usize>) -> bool {
    const EVENTS: usize = 12;
    let text: String = (1..=EVENTS).map(event).collect();
    let first = &text[..broken_at % (text.len() + 1)];
    let mut framer = SseFramer::default();
    let mut passed = Vec::new();
    for chunk in split(first, &cuts) {
        passed.extend_from_slice(&framer.push(chunk));
    }
    framer.discard_partial();
    let last_id = framer
        .last_id()
        .map_or(0, |it| String::from_utf8_lossy(it).parse().expect("event id is a number"));
    let rest: String = (last_id + 1..=EVENTS).map(event).collect();
    for chunk in split(&rest, &cuts) {
        passed.extend_from_slice(&framer.push(chunk));
    }
    passed == text.as_bytes()
}

#[test]
fn chunks_are_passed_on_as_complete_events() {
    let mut checks = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(60, 1));
    checks.quickcheck(passes_on_all as fn(u8, Vec<usize>) -> bool);
}

#[test]
fn broken_stream_is_resumed_without_gap_or_repeat() {
    let mut checks = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(60, 2));
    checks.quickcheck(continues_after_a_break as fn(usize, Vec<usize>) -> bool);
}

#[test]
fn id_may_follow_the_data() {
    let mut framer = SseFramer::default();
    framer.push(Bytes::from_static(b"data: x\nid:7\n\n"));
    assert_eq!(framer.last_id().map(|it| &**it), Some(&b"7"[..]));
}

#[test]
fn events_with_cr_lf_are_passed_on_one_by_one() {
    let mut framer = SseFramer::default();
    let pieces = [
        ("id: 1\r\ndata: a\r\n\r", ""),
        ("\nid: 2\r\nda", "id: 1\r\ndata: a\r\n\r\n"),
        ("ta: b\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"),
    ];
    for (piece, complete) in pieces {
        assert_eq!(framer.push(Bytes::from_static(piece.as_bytes())), complete);
    }
    assert!(framer.at_event_end());
    assert_eq!(framer.last_id().map(|it| &**it), Some(&b"2"[..]));
    assert_eq!(framer.event_count(), 2);
}

/// Each test adds pieces of a stream and checks whether they end with a complete event.
macro_rules! event_boundaries {
    ($($name:ident: [$($piece:literal),*] => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut boundary = EventBoundary::default();
            let pieces: &[&[u8]] = &[$($piece),*];
            for piece in pieces {
                boundary.push(piece);
            }
            assert_eq!(boundary.at_event_end(), $expected);
        }
    )*};
}

event_boundaries! {
    an_empty_stream_is_inside_no_event: [] => true;
    an_empty_line_ends_an_event: [b"id: 1\ndata: a\n\n"] => true;
    an_empty_line_may_arrive_in_pieces: [b"data: a", b"\n", b"", b"\n"] => true;
    lines_may_end_with_cr_lf: [b"data: a\r\n\r", b"\n"] => true;
    a_line_ends_no_event: [b"data: a\n\n", b"id: 2\n"] => false;
    part_of_a_line_ends_no_event: [b"data: a\n\nda"] => false;
    a_line_end_after_part_of_a_line_ends_no_event: [b"data: a\n\n", b"da", b"\n"] => false;
}

/// Each test says whether a stream of events may begin with some bytes.
macro_rules! beginnings {
    ($($name:ident: $bytes:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(may_begin_events($bytes), $expected);
        }
    )*};
}

beginnings! {
    a_stream_may_begin_with_an_id: b"id: 1\ndata: a" => true;
    a_stream_may_begin_with_a_comment: b": ping\n" => true;
    a_stream_may_begin_with_part_of_a_field: b"da" => true;
    a_stream_may_have_no_bytes_yet: b"" => true;
    a_stream_does_not_begin_with_text: b"All cues" => false;
    a_stream_does_not_begin_with_json: b"{\"id\": 1}" => false;
}

//! Streams are passed on whole, however they are cut, and continued after the last whole event.

use bytes::Bytes;
use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::sse_framer::SseFramer;

fn event(id: usize) -> String {
    format!("id: {id}\ndata: cue {id}\n\n")
}

fn cut(text: &str, cuts: &[usize]) -> Vec<Bytes> {
    let mut places: Vec<usize> = cuts.iter().map(|it| it % (text.len() + 1)).collect();
    places.extend([0, text.len()]);
    places.sort_unstable();
    places.windows(2).map(|it| Bytes::copy_from_slice(&text.as_bytes()[it[0]..it[1]])).collect()
}

fn passes_on_all(events: u8, cuts: Vec<usize>) -> bool {
    let text: String = (1..=usize::from(events)).map(event).collect();
    let mut framer = SseFramer::default();
    let mut passed = Vec::new();
    for chunk in cut(&text, &cuts) {
        let whole = framer.push(chunk);
        if !whole.is_empty() && !whole.ends_with(b"\n\n") {
            return false;
        }
        passed.extend_from_slice(&whole);
    }
    passed.extend_from_slice(&framer.take_partial());
    let last = (events > 0).then(|| events.to_string());
    let last_id = framer.last_id().map(|it| String::from_utf8_lossy(it).into_owned());
    passed == text.as_bytes() && last_id == last && framer.event_count() == u64::from(events)
}

/// However a first endpoint's stream breaks, the second one's continues it without a gap or a
/// repeat.
fn continues_after_a_break(broken_at: usize, cuts: Vec<usize>) -> bool {
    const EVENTS: usize = 12;
    let text: String = (1..=EVENTS).map(event).collect();
    let first = &text[..broken_at % (text.len() + 1)];
    let mut framer = SseFramer::default();
    let mut passed = Vec::new();
    for chunk in cut(first, &cuts) {
        passed.extend_from_slice(&framer.push(chunk));
    }
    framer.discard_partial();
    let last_id = framer
        .last_id()
        .map_or(0, |it| String::from_utf8_lossy(it).parse().expect("the id of an event"));
    let rest: String = (last_id + 1..=EVENTS).map(event).collect();
    for chunk in cut(&rest, &cuts) {
        passed.extend_from_slice(&framer.push(chunk));
    }
    passed == text.as_bytes()
}

#[test]
fn any_cutting_passes_on_all_bytes_in_whole_events() {
    let mut checks = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(60, 1));
    checks.quickcheck(passes_on_all as fn(u8, Vec<usize>) -> bool);
}

#[test]
fn a_broken_stream_is_continued_without_gap_or_repeat() {
    let mut checks = QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(60, 2));
    checks.quickcheck(continues_after_a_break as fn(usize, Vec<usize>) -> bool);
}

#[test]
fn an_id_may_stand_after_the_data() {
    let mut framer = SseFramer::default();
    framer.push(Bytes::from_static(b"data: x\nid:7\n\n"));
    assert_eq!(framer.last_id().map(|it| &**it), Some(&b"7"[..]));
}

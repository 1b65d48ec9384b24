//! Reading server-sent events of a streamed completion.

use quickcheck::{Gen, QuickCheck};
use tanagergauge_daemon::{
    chunk::Chunk,
    sse::{Meaning, Split, Splitter, meaning},
};

/// Names a case: an event and what it means.
macro_rules! means {
    ($($name:ident: $event:expr => $meaning:pat $(if $guard:expr)?,)*) => {$(
        #[test]
        fn $name() {
            let event: &[u8] = $event;
            let meaning = meaning(event);
            assert!(matches!(&meaning, $meaning $(if $guard)?), "{meaning:?}");
        }
    )*};
}

means! {
    a_chunk_has_text_and_id:
        br#"data: {"id":"a","choices":[{"delta":{"content":" word"},"finish_reason":null}]}"#
        => Meaning::Chunk(Chunk { id: Some(id), text, is_finished: false, is_usage: false, is_opaque: false })
        if id == "a" && text == " word",
    escapes_are_read:
        br#"data: {"choices":[{"delta":{"content":"\n\u00e9"}}]}"#
        => Meaning::Chunk(Chunk { text, .. }) if text == "\n\u{e9}",
    a_finish_reason_ends_generation:
        br#"data: {"choices":[{"delta":{},"finish_reason":"stop"}]}"#
        => Meaning::Chunk(Chunk { is_finished: true, .. }),
    no_choice_is_usage:
        br#"data: {"choices":[],"usage":{"total_tokens":3}}"#
        => Meaning::Chunk(Chunk { is_usage: true, .. }),
    tool_calls_cannot_be_resumed:
        br#"data: {"choices":[{"delta":{"tool_calls":[{"index":0}]}}]}"#
        => Meaning::Chunk(Chunk { is_opaque: true, .. }),
    two_choices_cannot_be_resumed:
        br#"data: {"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}"#
        => Meaning::Chunk(Chunk { is_opaque: true, .. }),
    done_ends_the_stream: b"data: [DONE]\n\n" => Meaning::Done,
    done_with_carriage_returns: b"data: [DONE]\r\n\r\n" => Meaning::Done,
    a_comment_is_nothing: b": ping\n\n" => Meaning::Nothing,
    an_error_is_bad: br#"data: {"error":{"message":"out of memory"}}"# => Meaning::Bad,
    cut_json_is_bad: br#"data: {"choices":[{"delta":{"content":" wo"# => Meaning::Bad,
    other_text_is_bad: b"data: hello\n\n" => Meaning::Bad,
    not_utf8_is_bad: b"data: {\"choices\":[{\"delta\":{\"content\":\"\xff\"}}]}" => Meaning::Bad,
}

fn events(splitter: &mut Splitter) -> Vec<Vec<u8>> {
    let mut events = Vec::new();
    while let Split::Event(event) = splitter.split() {
        events.push(event.to_vec());
    }
    events
}

/// Seed of the random cases.
const SEED: u64 = 3;

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, SEED)).tests(300)
}

/// However the bytes are cut on their way, the same events come out.
#[test]
fn events_do_not_depend_on_cuts() {
    fn property(texts: Vec<String>, cuts: Vec<u8>, carriage: bool) -> bool {
        let blank = if carriage { "\r\n\r\n" } else { "\n\n" };
        let event = |it: &String| format!("data: {}{blank}", it.replace(['\n', '\r'], " "));
        let expected: Vec<Vec<u8>> = texts.iter().map(|it| event(it).into_bytes()).collect();
        let mut rest = &expected.concat()[..];
        let mut splitter = Splitter::default();
        let mut found = Vec::new();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().map_or(1, |it| usize::from(*it % 7) + 1).min(rest.len());
            splitter.push(&rest[..cut]);
            rest = &rest[cut..];
            found.extend(events(&mut splitter));
        }
        found == expected && splitter.is_empty()
    }
    check().quickcheck(property as fn(Vec<String>, Vec<u8>, bool) -> bool);
}

/// No bytes make the reader panic.
#[test]
fn any_bytes_are_read() {
    fn property(bytes: Vec<u8>) -> bool {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        let found = events(&mut splitter);
        let has_read = found.iter().all(|it| !matches!(meaning(it), Meaning::Chunk(_)));
        meaning(&bytes);
        has_read && found.concat().len() <= bytes.len()
    }
    check().quickcheck(property as fn(Vec<u8>) -> bool);
}

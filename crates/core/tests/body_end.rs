//! What the framing and the content of a body show of its end.

use quickcheck::quickcheck;
use tanagergauge_core::body_end::{BodyEnd, Framing};

const JSON: &[u8] = b"Application/JSON; charset=utf-8";

macro_rules! ends {
    ($($name:ident: $framing:ident, $content_type:expr, $body:expr => $end:ident;)*) => {$(
        #[test]
        fn $name() {
            let end = BodyEnd::of_body(Framing::$framing, $content_type, $body);
            assert_eq!(end, BodyEnd::$end);
        }
    )*};
}

ends! {
    a_length_shows_the_end: Length, b"text/plain", b"a" => Whole;
    chunks_show_the_end: Chunked, JSON, b"{" => Whole;
    no_body_is_whole: NoBody, b"", b"" => Whole;
    a_close_shows_nothing: UntilClose, b"text/plain", b"a" => Unknown;
    a_close_shows_nothing_without_content_type: UntilClose, b"", b"{}" => Unknown;
    a_document_is_whole: UntilClose, JSON, b" {\"a\": [1, 2]}\n" => Whole;
    a_problem_document_is_whole: UntilClose, b"application/problem+json", b"{}" => Whole;
    a_string_is_whole: UntilClose, JSON, b"\"a\"" => Whole;
    a_cut_document_is_broken_off: UntilClose, JSON, b"{\"a\": [1," => BrokenOff;
    a_number_may_go_on: UntilClose, JSON, b"12" => Unknown;
    a_literal_may_be_cut: UntilClose, JSON, b"tru" => BrokenOff;
    no_document_at_all_says_nothing: UntilClose, JSON, b"" => Unknown;
    space_says_nothing: UntilClose, JSON, b" \n" => Unknown;
    what_is_no_document_says_nothing: UntilClose, JSON, b"{'a'}" => Unknown;
}

#[test]
fn only_a_last_coding_of_chunks_goes_before_a_length() {
    let framings = [
        (Some(&b"chunked"[..]), true, Framing::Chunked),
        (Some(b"gzip, Chunked "), false, Framing::Chunked),
        (Some(b"chunked, gzip"), true, Framing::UntilClose),
        (Some(b"identity"), true, Framing::UntilClose),
        (None, true, Framing::Length),
        (None, false, Framing::UntilClose),
    ];
    for (transfer_encoding, has_length, framing) in framings {
        assert_eq!(Framing::of_headers(transfer_encoding, has_length), framing);
    }
}

quickcheck! {
    fn no_beginning_of_a_document_is_whole(texts: Vec<String>, cut: usize) -> bool {
        let document = format!("{texts:?}");
        let Ok(document) = serde_json::to_vec(&serde_json::json!({ "texts": document })) else {
            return false;
        };
        let beginning = &document[..cut % document.len()];
        let end = |body| BodyEnd::of_body(Framing::UntilClose, JSON, body);
        end(&document) == BodyEnd::Whole && end(beginning) != BodyEnd::Whole
    }
}

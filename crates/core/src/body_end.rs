//! What is known of the end of a response's body, by how the endpoint framed it and by its content.
//!
//! A connection that is closed in order says nothing about the body that it carried: the process at
//! its other end may have crashed. Callers must not be told more than that.

use serde::de::IgnoredAny;
use serde_json::error::Category;

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Framing {
    /// Its method or status allows no body.
    NoBody,
    /// It has a length.
    Length,
    /// It comes in chunks.
    Chunked,
    /// It has neither, and ends with its connection.
    UntilClose,
}

/// What is known of a body whose connection brought no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum BodyEnd {
    /// It is whole.
    Whole,
    /// It may be whole or not.
    Unknown,
    /// It is surely not whole.
    BrokenOff,
}

impl Framing {
    /// The framing that headers tell: the last `Transfer-Encoding`, if any, and whether there is a
    /// length. A transfer coding goes before a length; unless the last one is `chunked`, the body
    /// ends with its connection.
    pub fn of_headers(transfer_encoding: Option<&[u8]>, has_length: bool) -> Framing {
        match transfer_encoding {
            Some(codings) if ends_with_chunked(codings) => Framing::Chunked,
            None if has_length => Framing::Length,
            Some(_) | None => Framing::UntilClose,
        }
    }

    /// Whether the framing shows that a body is whole.
    pub fn shows_end(self) -> bool {
        self != Framing::UntilClose
    }
}

impl BodyEnd {
    /// What is known of a body that was read completely, by its framing and, where that says
    /// nothing, by its content.
    pub fn of_body(framing: Framing, content_type: &[u8], body: &[u8]) -> BodyEnd {
        if framing.shows_end() {
            BodyEnd::Whole
        } else if is_json(content_type) {
            BodyEnd::of_json(body)
        } else {
            BodyEnd::Unknown
        }
    }

    /// A document is whole if none of its beginnings is a document; one that ends inside a value
    /// broke off.
    fn of_json(body: &[u8]) -> BodyEnd {
        let first = body.trim_ascii_start().first();
        let is_delimited = matches!(first, Some(b'{' | b'[' | b'"'));
        match serde_json::from_slice::<IgnoredAny>(body) {
            Ok(_) if is_delimited => BodyEnd::Whole,
            Err(error) if error.classify() == Category::Eof && first.is_some() => {
                BodyEnd::BrokenOff
            }
            Ok(_) | Err(_) => BodyEnd::Unknown,
        }
    }
}

fn ends_with_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|it| *it == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}

/// Whether a content type is that of a JSON document.
fn is_json(content_type: &[u8]) -> bool {
    let media_type = content_type.split(|it| *it == b';').next().unwrap_or_default();
    let media_type = media_type.trim_ascii().to_ascii_lowercase();
    media_type == b"application/json" || media_type.ends_with(b"+json")
}

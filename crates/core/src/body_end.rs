//! What is known of the end of a response's body, by how the endpoint framed it.

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
    /// Whether the framing shows that a body is whole.
    pub fn shows_end(self) -> bool {
        self != Framing::UntilClose
    }
}

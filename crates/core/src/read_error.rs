//! Deserialization errors with the path of the value they concern.

use std::fmt;

use serde::de::{self, Expected, Unexpected};

use crate::{
    finding::{Location, Path},
    path_chain::PathChain,
};

/// Kind of a deserialization error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReadErrorKind {
    /// The value does not match its type.
    InvalidValue,
    /// A required field is missing.
    MissingField(&'static str),
    /// The type has no field of this name.
    UnknownField(String),
}

/// Deserialization error. Boxed to keep `Result` small.
#[derive(Clone, Debug)]
pub(crate) struct ReadError(pub(crate) Box<ReadErrorDetails>);

/// Details of a [`ReadError`].
#[derive(Clone, Debug)]
pub(crate) struct ReadErrorDetails {
    /// The value that was being deserialized.
    pub(crate) at: Path,
    pub(crate) kind: ReadErrorKind,
    pub(crate) found: String,
    pub(crate) expected: String,
    /// Location of the field's name, if the field is unknown.
    pub(crate) key_location: Option<Location>,
    /// Whether `at` is set.
    has_path: bool,
}

impl ReadErrorDetails {
    /// Path of the invalid value or of the missing or unknown field.
    pub(crate) fn path(&self) -> Path {
        match &self.kind {
            ReadErrorKind::InvalidValue => self.at.clone(),
            ReadErrorKind::MissingField(field) => self.at.field(field),
            ReadErrorKind::UnknownField(field) => self.at.field(field),
        }
    }
}

impl ReadError {
    pub(crate) fn new(kind: ReadErrorKind, found: String, expected: String) -> ReadError {
        let at = Path::root();
        ReadError(Box::new(ReadErrorDetails {
            at,
            kind,
            found,
            expected,
            key_location: None,
            has_path: false,
        }))
    }

    /// Sets the path, unless an inner value has set it.
    pub(crate) fn at(mut self, chain: &PathChain<'_>) -> ReadError {
        if !self.0.has_path {
            self.0.at = chain.path();
            self.0.has_path = true;
        }
        self
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "found {}, expected {}", self.0.found, self.0.expected)
    }
}

impl std::error::Error for ReadError {}

impl de::Error for ReadError {
    fn custom<T: fmt::Display>(message: T) -> ReadError {
        ReadError::new(
            ReadErrorKind::InvalidValue,
            format!("an invalid value ({message})"),
            String::new(),
        )
    }

    fn invalid_type(found: Unexpected<'_>, expected: &dyn Expected) -> ReadError {
        ReadError::new(
            ReadErrorKind::InvalidValue,
            found.to_string(),
            describe_type(&expected.to_string()),
        )
    }

    fn invalid_value(found: Unexpected<'_>, expected: &dyn Expected) -> ReadError {
        ReadError::new(
            ReadErrorKind::InvalidValue,
            found.to_string(),
            describe_type(&expected.to_string()),
        )
    }

    fn unknown_variant(found: &str, expected: &'static [&'static str]) -> ReadError {
        ReadError::new(ReadErrorKind::InvalidValue, format!("\"{found}\""), one_of(expected))
    }

    fn unknown_field(found: &str, expected: &'static [&'static str]) -> ReadError {
        let kind = ReadErrorKind::UnknownField(found.to_owned());
        ReadError::new(kind, "an unknown field".to_owned(), one_of(expected))
    }

    fn missing_field(field: &'static str) -> ReadError {
        let kind = ReadErrorKind::MissingField(field);
        ReadError::new(kind, "nothing".to_owned(), format!("the field `{field}`"))
    }
}

fn one_of(names: &[&str]) -> String {
    let names: Vec<String> = names.iter().map(|it| format!("`{it}`")).collect();
    format!("one of {}", names.join(", "))
}

/// Describes a type, which serde gives by its Rust name, in words for operators.
fn describe_type(expected: &str) -> String {
    match expected {
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number of 0 or more".to_owned(),
        "i8" | "i16" | "i32" | "i64" | "isize" => "a whole number".to_owned(),
        "f32" | "f64" => "a number".to_owned(),
        "bool" => "a boolean, true or false".to_owned(),
        other if other.starts_with("struct ") => "a mapping of fields".to_owned(),
        other => other.to_owned(),
    }
}

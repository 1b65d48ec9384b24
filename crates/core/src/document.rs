//! Deserializes a typed value from YAML and reports all errors at once.

use serde::de::DeserializeOwned;

use crate::{
    finding::{Finding, Findings, Path},
    node::{Key, Node, Value},
    node_deserializer::NodeDeserializer,
    read_error::{ReadErrorDetails, ReadErrorKind},
};

/// Findings after which deserialization is not tried again.
const MAX_FINDINGS: usize = 200;

/// A YAML text, the value deserialized from it and its findings.
#[derive(Debug)]
pub struct Document<T> {
    /// The value, with placeholders in its invalid parts. Absent if the text could not be
    /// deserialized even so.
    pub value: Option<T>,
    /// Findings so far, with their locations.
    pub findings: Findings,
    root: Option<Node>,
    /// Values that were replaced by placeholders.
    placeholders: Vec<Path>,
}

impl<T: DeserializeOwned> Document<T> {
    /// Parses and deserializes `text`.
    ///
    /// Serde stops at the first error. Each invalid value is therefore recorded and replaced by
    /// a placeholder, and deserialization starts again, so that all errors are reported.
    pub fn new(text: &str) -> Document<T> {
        let mut findings = Findings::default();
        let root = Node::parse(text, &mut findings);
        let placeholders = findings.iter().map(|it| it.path.clone()).collect();
        let mut document = Document { value: None, findings, root, placeholders };
        while document.findings.len() < MAX_FINDINGS {
            match document.attempt() {
                Progress::Retry => {}
                Progress::Done => break,
            }
        }
        document
    }

    fn attempt(&mut self) -> Progress {
        let Some(root) = &mut self.root else {
            return Progress::Done;
        };
        match T::deserialize(NodeDeserializer::new(root)) {
            Ok(value) => {
                self.value = Some(value);
                Progress::Done
            }
            Err(error) => {
                let progress = patch(root, &error.0);
                self.record(*error.0);
                progress
            }
        }
    }

    fn record(&mut self, error: ReadErrorDetails) {
        let Some(root) = &self.root else {
            return;
        };
        let path = error.path();
        if self.placeholders.iter().any(|it| path.is_in(it)) {
            return;
        }
        let location = error.key_location.unwrap_or_else(|| root.location(&path));
        let finding = self.findings.error(path.clone(), error.found, error.expected);
        finding.location = Some(location);
        self.placeholders.push(path);
    }
}

impl<T> Document<T> {
    /// Converts the value.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> Document<U> {
        let Document { value, findings, root, placeholders } = self;
        Document { value: value.map(convert), findings, root, placeholders }
    }

    /// Adds the findings of a validation of the value, sets their locations, and returns the
    /// value, if there is no error, with all findings.
    ///
    /// Findings that concern placeholders are dropped.
    pub fn finish(mut self, checked: Findings) -> (Option<T>, Findings) {
        let mut checked = checked;
        checked.retain(|it| !self.concerns_placeholder(it));
        if let Some(root) = &self.root {
            checked.locate(|path| Some(root.location(path)));
        }
        self.findings.extend(checked);
        self.findings.sort();
        let value = if self.findings.has_errors() { None } else { self.value };
        (value, self.findings)
    }

    fn concerns_placeholder(&self, finding: &Finding) -> bool {
        let in_placeholder = self.placeholders.iter().any(|it| finding.path.is_in(it));
        let rests_on = finding.rests_on.as_ref();
        in_placeholder
            || rests_on.is_some_and(|value| self.placeholders.iter().any(|it| it.is_in(value)))
    }
}

/// Whether another attempt can find more errors.
enum Progress {
    Retry,
    Done,
}

/// Changes the tree so that the next attempt gets past `error`.
fn patch(root: &mut Node, error: &ReadErrorDetails) -> Progress {
    let Some(node) = root.get_mut(&error.at) else {
        return Progress::Done;
    };
    match (&error.kind, &mut node.value) {
        // The type rejects the placeholder too, so another attempt would end in the same error.
        (ReadErrorKind::InvalidValue, Value::Placeholder) => Progress::Done,
        (ReadErrorKind::InvalidValue, value) => {
            *value = Value::Placeholder;
            Progress::Retry
        }
        (ReadErrorKind::MissingField(field), Value::Mapping(entries)) => {
            let key = Key { location: node.location, text: (*field).to_owned() };
            entries.push((key, Node { location: node.location, value: Value::Placeholder }));
            Progress::Retry
        }
        (ReadErrorKind::UnknownField(field), Value::Mapping(entries)) => {
            entries.retain(|(key, _)| key.text != *field);
            Progress::Retry
        }
        _ => Progress::Done,
    }
}

//! Reads a typed value from YAML text and reports all that is wrong with it at once.

use serde::de::DeserializeOwned;

use crate::{
    finding::{Finding, Findings, Path},
    node::{Key, Node, Value},
    node_deserializer::NodeDeserializer,
    read_error::{ReadErrorDetails, ReadErrorKind},
};

/// Findings after which reading gives up.
const MAX_FINDINGS: usize = 200;

/// What was read from a text.
#[derive(Debug)]
pub struct Document<T> {
    /// The value; if there are errors, wrong parts of it are filled in.
    pub value: Option<T>,
    /// What was found so far, with places.
    pub findings: Findings,
    root: Option<Node>,
    placeholders: Vec<Path>,
}

impl<T: DeserializeOwned> Document<T> {
    /// Reads `text`.
    ///
    /// A value that does not fit is noted, filled in, and the reading tried again, so
    /// that one run reports every misfit.
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
                let next = patch(root, &error.0);
                self.note(*error.0);
                next
            }
        }
    }

    fn note(&mut self, error: ReadErrorDetails) {
        let Some(root) = &self.root else {
            return;
        };
        let path = error.path();
        if self.placeholders.iter().any(|placeholder| path.is_in(placeholder)) {
            return;
        }
        let location = error.key_location.unwrap_or_else(|| root.location(&path));
        let finding = self.findings.error(path.clone(), error.found, error.expected);
        finding.location = Some(location);
        self.placeholders.push(path);
    }
}

impl<T> Document<T> {
    /// Adds the findings of a check on the value, which has no places, and returns all.
    ///
    /// Findings on parts that were filled in are dropped.
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
        let in_placeholder =
            self.placeholders.iter().any(|placeholder| finding.path.is_in(placeholder));
        let rests = finding.rests_on.as_ref();
        in_placeholder
            || rests.is_some_and(|list| {
                self.placeholders.iter().any(|placeholder| placeholder.is_in(list))
            })
    }
}

enum Progress {
    Retry,
    Done,
}

/// Changes the tree so that the next attempt passes the error.
fn patch(root: &mut Node, error: &ReadErrorDetails) -> Progress {
    let Some(node) = root.get_mut(&error.at) else {
        return Progress::Done;
    };
    match (&error.kind, &mut node.value) {
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

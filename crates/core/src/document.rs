//! Reads a typed value from YAML text and reports all that is wrong with it at once.

use serde::de::DeserializeOwned;

use crate::{
    finding::{Finding, Findings, Path},
    misfit::{Fault, Misfit},
    node::{Key, Node, Value},
    tree::TreeDeserializer,
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
    holes: Vec<Path>,
}

impl<T: DeserializeOwned> Document<T> {
    /// Reads `text`.
    ///
    /// A value that does not fit is noted, filled in, and the reading tried again, so
    /// that one run reports every misfit.
    pub fn new(text: &str) -> Document<T> {
        let mut findings = Findings::default();
        let root = Node::parse(text, &mut findings);
        let holes = findings.iter().map(|it| it.path.clone()).collect();
        let mut document = Document { value: None, findings, root, holes };
        while document.findings.len() < MAX_FINDINGS {
            match document.attempt() {
                Next::Again => {}
                Next::Done => break,
            }
        }
        document
    }

    fn attempt(&mut self) -> Next {
        let Some(root) = &mut self.root else {
            return Next::Done;
        };
        match T::deserialize(TreeDeserializer::new(root)) {
            Ok(value) => {
                self.value = Some(value);
                Next::Done
            }
            Err(error) => {
                let mended = mend(root, &error.0);
                self.note(*error.0);
                mended
            }
        }
    }

    fn note(&mut self, error: Misfit) {
        let Some(root) = &self.root else {
            return;
        };
        let path = error.path();
        if self.holes.iter().any(|hole| path.is_in(hole)) {
            return;
        }
        let place = error.key_place.unwrap_or_else(|| root.place(&path));
        let finding = self.findings.error(path.clone(), error.found, error.expected);
        finding.place = Some(place);
        self.holes.push(path);
    }
}

impl<T> Document<T> {
    /// Adds the findings of a check on the value, which has no places, and returns all.
    ///
    /// Findings on parts that were filled in are dropped.
    pub fn finish(mut self, checked: Findings) -> (Option<T>, Findings) {
        let mut checked = checked;
        checked.retain(|it| !self.rests_on_hole(it));
        if let Some(root) = &self.root {
            checked.locate(|path| Some(root.place(path)));
        }
        self.findings.extend(checked);
        self.findings.sort();
        let value = if self.findings.has_errors() { None } else { self.value };
        (value, self.findings)
    }

    fn rests_on_hole(&self, finding: &Finding) -> bool {
        let on_hole = self.holes.iter().any(|hole| finding.path.is_in(hole));
        let rests = finding.rests_on.as_ref();
        on_hole || rests.is_some_and(|list| self.holes.iter().any(|hole| hole.is_in(list)))
    }
}

enum Next {
    Again,
    Done,
}

/// Changes the tree so that the next attempt passes the error.
fn mend(root: &mut Node, error: &Misfit) -> Next {
    let Some(node) = root.get_mut(&error.at) else {
        return Next::Done;
    };
    match (&error.fault, &mut node.value) {
        (Fault::Value, Value::Hole) => Next::Done,
        (Fault::Value, value) => {
            *value = Value::Hole;
            Next::Again
        }
        (Fault::Missing(field), Value::Mapping(entries)) => {
            let key = Key { place: node.place, text: (*field).to_owned() };
            entries.push((key, Node { place: node.place, value: Value::Hole }));
            Next::Again
        }
        (Fault::Unknown(field), Value::Mapping(entries)) => {
            entries.retain(|(key, _)| key.text != *field);
            Next::Again
        }
        _ => Next::Done,
    }
}

//! A YAML document as a tree whose values know their places.

use serde_saphyr::granit_parser::{Event, Parser, ScalarStyle, ScanError, Span};

use crate::finding::{Findings, Path, Place, Step};

/// Deepest nesting that is read.
const MAX_DEPTH: usize = 24;

/// A value with its place.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it stands in the text.
    pub place: Place,
    /// What it is.
    pub value: Value,
}

/// A field's name with its place.
#[derive(Clone, Debug)]
pub struct Key {
    /// Where it stands in the text.
    pub place: Place,
    /// The name.
    pub text: String,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Value {
    /// A scalar as written; `plain` if without quotes.
    Scalar {
        /// The text without quotes and escapes.
        text: String,
        /// Whether it may be a number, a truth value or null.
        plain: bool,
    },
    /// A sequence.
    Sequence(Vec<Node>),
    /// A mapping, in the order of the text; names are unique.
    Mapping(Vec<(Key, Node)>),
    /// Stands for a value that was found wrong, so that the rest can be read.
    Hole,
}

impl Node {
    /// Reads a text that holds one document.
    ///
    /// What is wrong is added to `findings`; absent if nothing could be read.
    pub fn parse(text: &str, findings: &mut Findings) -> Option<Node> {
        let line_chars = text.lines().map(|it| it.chars().count()).collect();
        let mut builder = Builder { parser: Parser::new_from_str(text), line_chars, findings };
        match builder.document() {
            Ok(node) => node,
            Err(error) => {
                builder.syntax(&error);
                None
            }
        }
    }

    /// The value at `path`.
    pub fn get(&self, path: &Path) -> Option<&Node> {
        path.0.iter().try_fold(self, |node, step| node.child(step))
    }

    /// The value at `path`, to be changed.
    pub fn get_mut(&mut self, path: &Path) -> Option<&mut Node> {
        path.0.iter().try_fold(self, |node, step| node.child_mut(step))
    }

    /// The place of the value at `path`, or of the nearest one round it.
    pub fn place(&self, path: &Path) -> Place {
        let mut node = self;
        for step in &path.0 {
            match node.child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.place
    }

    /// Whether it is an empty value or a null.
    pub fn is_null(&self) -> bool {
        match &self.value {
            Value::Scalar { text, plain } => {
                *plain && matches!(text.as_str(), "" | "~" | "null" | "Null" | "NULL")
            }
            _ => false,
        }
    }

    fn child(&self, step: &Step) -> Option<&Node> {
        match (&self.value, step) {
            (Value::Sequence(nodes), Step::Index(index)) => nodes.get(*index),
            (Value::Mapping(entries), Step::Field(name)) => {
                entries.iter().find(|(key, _)| key.text == *name).map(|(_, node)| node)
            }
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &Step) -> Option<&mut Node> {
        match (&mut self.value, step) {
            (Value::Sequence(nodes), Step::Index(index)) => nodes.get_mut(*index),
            (Value::Mapping(entries), Step::Field(name)) => {
                entries.iter_mut().find(|(key, _)| key.text == *name).map(|(_, node)| node)
            }
            _ => None,
        }
    }
}

struct Builder<'a, 'f> {
    parser: Parser<'a, serde_saphyr::granit_parser::StrInput<'a>>,
    /// Characters of each line, counted once: every value looks its place up.
    line_chars: Vec<usize>,
    findings: &'f mut Findings,
}

type Built<T> = Result<T, ScanError>;

impl<'a> Builder<'a, '_> {
    fn document(&mut self) -> Built<Option<Node>> {
        let mut root = None;
        while let Some((event, span)) = self.next()? {
            match event {
                Event::StreamStart | Event::DocumentStart(..) | Event::DocumentEnd => {}
                Event::StreamEnd => break,
                _ if root.is_some() => {
                    let place = self.place(span);
                    self.wrong(Path::root(), place, "a second document", "one document");
                    break;
                }
                event => root = Some(self.node(event, span, &Path::root())?),
            }
        }
        if root.is_none() {
            let place = Place { line: 1, column: 1, width: 1 };
            self.wrong(Path::root(), place, "an empty document", "a mapping");
        }
        Ok(root)
    }

    fn next(&mut self) -> Built<Option<(Event<'a>, Span)>> {
        loop {
            match self.parser.next_event().transpose()? {
                Some((Event::Comment(..), _)) => {}
                other => return Ok(other),
            }
        }
    }

    fn node(&mut self, event: Event<'a>, span: Span, path: &Path) -> Built<Node> {
        let place = self.place(span);
        let value = match event {
            Event::Scalar(text, style, ..) => {
                let plain = style == ScalarStyle::Plain;
                Value::Scalar { text: text.into_owned(), plain }
            }
            Event::SequenceStart(..) | Event::MappingStart(..) if path.0.len() >= MAX_DEPTH => {
                self.wrong(path.clone(), place, "a value nested too deeply", "fewer levels");
                self.skip()?;
                Value::Hole
            }
            Event::SequenceStart(..) => Value::Sequence(self.sequence(path)?),
            Event::MappingStart(..) => Value::Mapping(self.mapping(path)?),
            _ => {
                self.wrong(path.clone(), place, "an alias", "the value itself");
                Value::Hole
            }
        };
        Ok(Node { place, value })
    }

    fn sequence(&mut self, path: &Path) -> Built<Vec<Node>> {
        let mut nodes = Vec::new();
        while let Some((event, span)) = self.next()? {
            if matches!(event, Event::SequenceEnd) {
                break;
            }
            let at = path.index(nodes.len());
            nodes.push(self.node(event, span, &at)?);
        }
        Ok(nodes)
    }

    fn mapping(&mut self, path: &Path) -> Built<Vec<(Key, Node)>> {
        let mut entries: Vec<(Key, Node)> = Vec::new();
        while let Some((event, span)) = self.next()? {
            if matches!(event, Event::MappingEnd) {
                break;
            }
            let key = self.key(event, span, path)?;
            let Some((event, span)) = self.next()? else { break };
            let at = path.field(key.as_ref().map_or("?", |it| &it.text));
            let node = self.node(event, span, &at)?;
            match key {
                Some(key) if entries.iter().any(|(it, _)| it.text == key.text) => {
                    let found = format!("the field `{}` for the second time", key.text);
                    self.wrong(at, key.place, &found, "each field once");
                }
                Some(key) => entries.push((key, node)),
                None => {}
            }
        }
        Ok(entries)
    }

    fn key(&mut self, event: Event<'a>, span: Span, path: &Path) -> Built<Option<Key>> {
        let node = self.node(event, span, path)?;
        match node.value {
            Value::Scalar { text, .. } => Ok(Some(Key { place: node.place, text })),
            Value::Hole => Ok(None),
            Value::Sequence(_) | Value::Mapping(_) => {
                self.wrong(path.clone(), node.place, "a field without a name", "a name");
                Ok(None)
            }
        }
    }

    /// Passes over what is left of the collection just begun.
    fn skip(&mut self) -> Built<()> {
        let mut open = 1;
        while open > 0 {
            match self.next()? {
                Some((Event::SequenceStart(..) | Event::MappingStart(..), _)) => open += 1,
                Some((Event::SequenceEnd | Event::MappingEnd, _)) => open -= 1,
                Some(_) => {}
                None => break,
            }
        }
        Ok(())
    }

    fn place(&self, span: Span) -> Place {
        let (start, end) = (span.start, span.end);
        let same_line = start.line() == end.line() && end.col() > start.col();
        let width = if same_line { end.col() - start.col() } else { 1 };
        self.inside(Place { line: start.line(), column: start.col() + 1, width })
    }

    /// The nearest place that is in the text.
    fn inside(&self, place: Place) -> Place {
        let line = place.line.clamp(1, self.line_chars.len().max(1));
        let chars = self.line_chars.get(line - 1).copied().unwrap_or(0);
        let column = if line == place.line { place.column } else { chars + 1 };
        let column = column.clamp(1, chars + 1);
        let width = place.width.min((chars + 1).saturating_sub(column)).max(1);
        Place { line, column, width }
    }

    fn wrong(&mut self, path: Path, place: Place, found: &str, expected: &str) {
        self.findings.error(path, found, expected).place = Some(place);
    }

    fn syntax(&mut self, error: &ScanError) {
        let marker = error.marker();
        let at = Place { line: marker.line(), column: marker.col() + 1, width: 1 };
        let place = self.inside(at);
        let found = format!("broken YAML ({})", error.kind());
        self.wrong(Path::root(), place, &found, "YAML");
    }
}

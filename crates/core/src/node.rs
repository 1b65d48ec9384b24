//! A YAML document as a tree whose values know their places.

use serde_saphyr::granit_parser::{Event, Parser, ScalarStyle, ScanError, Span};

use crate::finding::{Findings, Location, Path, PathSegment};

/// Deepest nesting that is read.
const MAX_DEPTH: usize = 24;

/// A value with its place.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it stands in the text.
    pub location: Location,
    /// What it is.
    pub value: Value,
}

/// A field's name with its place.
#[derive(Clone, Debug)]
pub struct Key {
    /// Where it stands in the text.
    pub location: Location,
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
    Placeholder,
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
                builder.report_syntax_error(&error);
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
    pub fn location(&self, path: &Path) -> Location {
        let mut node = self;
        for step in &path.0 {
            match node.child(step) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.location
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

    fn child(&self, step: &PathSegment) -> Option<&Node> {
        match (&self.value, step) {
            (Value::Sequence(nodes), PathSegment::Index(index)) => nodes.get(*index),
            (Value::Mapping(entries), PathSegment::Field(name)) => {
                entries.iter().find(|(key, _)| key.text == *name).map(|(_, node)| node)
            }
            _ => None,
        }
    }

    fn child_mut(&mut self, step: &PathSegment) -> Option<&mut Node> {
        match (&mut self.value, step) {
            (Value::Sequence(nodes), PathSegment::Index(index)) => nodes.get_mut(*index),
            (Value::Mapping(entries), PathSegment::Field(name)) => {
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

type ScanResult<T> = Result<T, ScanError>;

impl<'a> Builder<'a, '_> {
    fn document(&mut self) -> ScanResult<Option<Node>> {
        let mut root = None;
        while let Some((event, span)) = self.next()? {
            match event {
                Event::StreamStart | Event::DocumentStart(..) | Event::DocumentEnd => {}
                Event::StreamEnd => break,
                _ if root.is_some() => {
                    let location = self.location(span);
                    self.report(Path::root(), location, "a second document", "one document");
                    break;
                }
                event => root = Some(self.node(event, span, &Path::root())?),
            }
        }
        if root.is_none() {
            let location = Location { line: 1, column: 1, width: 1 };
            self.report(Path::root(), location, "an empty document", "a mapping");
        }
        Ok(root)
    }

    fn next(&mut self) -> ScanResult<Option<(Event<'a>, Span)>> {
        loop {
            match self.parser.next_event().transpose()? {
                Some((Event::Comment(..), _)) => {}
                other => return Ok(other),
            }
        }
    }

    fn node(&mut self, event: Event<'a>, span: Span, path: &Path) -> ScanResult<Node> {
        let location = self.location(span);
        let value = match event {
            Event::Scalar(text, style, ..) => {
                let plain = style == ScalarStyle::Plain;
                Value::Scalar { text: text.into_owned(), plain }
            }
            Event::SequenceStart(..) | Event::MappingStart(..) if path.0.len() >= MAX_DEPTH => {
                self.report(path.clone(), location, "a value nested too deeply", "fewer levels");
                self.skip()?;
                Value::Placeholder
            }
            Event::SequenceStart(..) => Value::Sequence(self.sequence(path)?),
            Event::MappingStart(..) => Value::Mapping(self.mapping(path)?),
            _ => {
                self.report(path.clone(), location, "an alias", "the value itself");
                Value::Placeholder
            }
        };
        Ok(Node { location, value })
    }

    fn sequence(&mut self, path: &Path) -> ScanResult<Vec<Node>> {
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

    fn mapping(&mut self, path: &Path) -> ScanResult<Vec<(Key, Node)>> {
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
                    self.report(at, key.location, &found, "each field once");
                }
                Some(key) => entries.push((key, node)),
                None => {}
            }
        }
        Ok(entries)
    }

    fn key(&mut self, event: Event<'a>, span: Span, path: &Path) -> ScanResult<Option<Key>> {
        let node = self.node(event, span, path)?;
        match node.value {
            Value::Scalar { text, .. } => Ok(Some(Key { location: node.location, text })),
            Value::Placeholder => Ok(None),
            Value::Sequence(_) | Value::Mapping(_) => {
                self.report(path.clone(), node.location, "a field without a name", "a name");
                Ok(None)
            }
        }
    }

    /// Passes over what is left of the collection just begun.
    fn skip(&mut self) -> ScanResult<()> {
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

    fn location(&self, span: Span) -> Location {
        let (start, end) = (span.start, span.end);
        let same_line = start.line() == end.line() && end.col() > start.col();
        let width = if same_line { end.col() - start.col() } else { 1 };
        self.clamp_to_text(Location { line: start.line(), column: start.col() + 1, width })
    }

    /// The nearest place that is in the text.
    fn clamp_to_text(&self, location: Location) -> Location {
        let line = location.line.clamp(1, self.line_chars.len().max(1));
        let chars = self.line_chars.get(line - 1).copied().unwrap_or(0);
        let column = if line == location.line { location.column } else { chars + 1 };
        let column = column.clamp(1, chars + 1);
        let width = location.width.min((chars + 1).saturating_sub(column)).max(1);
        Location { line, column, width }
    }

    fn report(&mut self, path: Path, location: Location, found: &str, expected: &str) {
        self.findings.error(path, found, expected).location = Some(location);
    }

    fn report_syntax_error(&mut self, error: &ScanError) {
        let marker = error.marker();
        let at = Location { line: marker.line(), column: marker.col() + 1, width: 1 };
        let location = self.clamp_to_text(at);
        let found = format!("broken YAML ({})", error.kind());
        self.report(Path::root(), location, &found, "YAML");
    }
}

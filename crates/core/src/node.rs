//! A YAML document as a tree of values with their locations.

use serde_saphyr::granit_parser::{Event, Parser, ScalarStyle, ScanError, Span};

use crate::finding::{Findings, Location, Path, PathSegment};

/// Maximum nesting depth. Collections nested deeper are reported and skipped.
const MAX_DEPTH: usize = 24;

/// A value with its location.
#[derive(Clone, Debug)]
pub struct Node {
    /// Location in the text.
    pub location: Location,
    /// The parsed value.
    pub value: Value,
}

/// The name of a field with its location.
#[derive(Clone, Debug)]
pub struct Key {
    /// Location in the text.
    pub location: Location,
    /// The name, without quotes.
    pub text: String,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum Value {
    /// A scalar whose type is not resolved yet.
    Scalar {
        /// The text, without quotes and with escapes resolved.
        text: String,
        /// Whether it is unquoted, so that it may be a number, a boolean or null.
        plain: bool,
    },
    /// A sequence.
    Sequence(Vec<Node>),
    /// A mapping, in the order of the text. Names are unique.
    Mapping(Vec<(Key, Node)>),
    /// Replaces an invalid or missing value, so that the rest of the document can be
    /// deserialized.
    Placeholder,
}

impl Node {
    /// Parses a text that contains one document.
    ///
    /// Errors are added to `findings`. Returns `None` if the text is empty or is not YAML.
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

    /// The value at `path`, if there is one.
    pub fn get(&self, path: &Path) -> Option<&Node> {
        path.0.iter().try_fold(self, |node, segment| node.child(segment))
    }

    /// The value at `path`, if there is one, for modification.
    pub fn get_mut(&mut self, path: &Path) -> Option<&mut Node> {
        path.0.iter().try_fold(self, |node, segment| node.child_mut(segment))
    }

    /// Location of the value at `path`, or of its nearest ancestor that exists.
    pub fn location(&self, path: &Path) -> Location {
        let mut node = self;
        for segment in &path.0 {
            match node.child(segment) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.location
    }

    /// Whether it is null: an empty scalar or one of the null literals of YAML.
    pub fn is_null(&self) -> bool {
        match &self.value {
            Value::Scalar { text, plain } => {
                *plain && matches!(text.as_str(), "" | "~" | "null" | "Null" | "NULL")
            }
            _ => false,
        }
    }

    fn child(&self, segment: &PathSegment) -> Option<&Node> {
        match (&self.value, segment) {
            (Value::Sequence(nodes), PathSegment::Index(index)) => nodes.get(*index),
            (Value::Mapping(entries), PathSegment::Field(name)) => {
                entries.iter().find(|(key, _)| key.text == *name).map(|(_, node)| node)
            }
            _ => None,
        }
    }

    fn child_mut(&mut self, segment: &PathSegment) -> Option<&mut Node> {
        match (&mut self.value, segment) {
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
    /// Number of characters of each line. Counted once, since each value's location needs it.
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
                let expected = format!("at most {MAX_DEPTH} levels");
                self.report(path.clone(), location, "a value nested too deeply", &expected);
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
                    let found = format!("a duplicate field `{}`", key.text);
                    self.report(at, key.location, &found, "unique fields");
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
                self.report(path.clone(), node.location, "a key that is not a scalar", "a scalar");
                Ok(None)
            }
        }
    }

    /// Skips the rest of the collection that was just opened.
    fn skip(&mut self) -> ScanResult<()> {
        let mut depth = 1;
        while depth > 0 {
            match self.next()? {
                Some((Event::SequenceStart(..) | Event::MappingStart(..), _)) => depth += 1,
                Some((Event::SequenceEnd | Event::MappingEnd, _)) => depth -= 1,
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

    /// The nearest location that lies in the text.
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
        let found = format!("invalid YAML ({})", error.kind());
        self.report(Path::root(), location, &found, "valid YAML");
    }
}

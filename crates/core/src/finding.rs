//! Errors and warnings found in a document, with their locations.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// Severity of a finding.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The document cannot be used.
    Error,
    /// The document can be used, but probably does not mean what its author intended.
    Warning,
}

/// A range of characters on one line of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Line number, from 1.
    pub line: usize,
    /// Column of the first character, from 1.
    pub column: usize,
    /// Number of characters, at least 1.
    pub width: usize,
}

/// One segment of a [`Path`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PathSegment {
    /// Index in a sequence, from 0.
    Index(usize),
    /// Name of a field in a mapping.
    Field(String),
}

/// Path from the root of a document to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Path(pub Vec<PathSegment>);

impl Path {
    /// Path of the root value.
    pub fn root() -> Path {
        Path::default()
    }

    /// Path of the field `name` of this value.
    pub fn field(&self, name: &str) -> Path {
        self.with(PathSegment::Field(name.to_owned()))
    }

    /// Path of the element `index` of this sequence.
    pub fn index(&self, index: usize) -> Path {
        self.with(PathSegment::Index(index))
    }

    /// Whether this value is `other` or lies inside it.
    pub fn is_in(&self, other: &Path) -> bool {
        self.0.starts_with(&other.0)
    }

    fn with(&self, segment: PathSegment) -> Path {
        let mut segments = self.0.clone();
        segments.push(segment);
        Path(segments)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, segment) in self.0.iter().enumerate() {
            match segment {
                PathSegment::Index(index) => write!(f, "[{index}]")?,
                PathSegment::Field(name) if i == 0 => f.write_str(name)?,
                PathSegment::Field(name) => write!(f, ".{name}")?,
            }
        }
        Ok(())
    }
}

/// An error or a warning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Whether it is an error or a warning.
    pub severity: Severity,
    /// Location in the text. Absent if the document has no text.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// Path of the value concerned.
    pub path: Path,
    /// What the document contains.
    pub found: String,
    /// What it should contain. May be empty.
    pub expected: String,
    /// Another value that the finding depends on, such as the list that a reference points into.
    /// The finding is dropped if that value is invalid.
    #[serde(skip)]
    pub rests_on: Option<Path>,
}

impl Finding {
    /// Whether it makes the document unusable.
    pub fn is_error(&self) -> bool {
        self.severity == Severity::Error
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.severity)?;
        if !self.path.0.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        write!(f, "found {}", self.found)?;
        if !self.expected.is_empty() {
            write!(f, ", expected {}", self.expected)?;
        }
        Ok(())
    }
}

/// A list of findings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds an error at `path`.
    pub fn error(
        &mut self,
        path: Path,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> &mut Finding {
        self.add(Severity::Error, path, found.into(), expected.into())
    }

    /// Adds a warning at `path`.
    pub fn warning(
        &mut self,
        path: Path,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> &mut Finding {
        self.add(Severity::Warning, path, found.into(), expected.into())
    }

    /// Adds a finding.
    pub fn push(&mut self, finding: Finding) {
        self.0.push(finding);
    }

    /// Whether at least one finding is an error.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(Finding::is_error)
    }

    /// Whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of findings, errors and warnings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over the findings, which are in order of location after [`Findings::sort`].
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Appends the findings of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Keeps only the findings for which `keep` returns true.
    pub fn retain(&mut self, keep: impl FnMut(&Finding) -> bool) {
        self.0.retain(keep);
    }

    /// Sets the location of each finding that has none, looked up by its path.
    pub fn locate(&mut self, location: impl Fn(&Path) -> Option<Location>) {
        for finding in &mut self.0 {
            finding.location = finding.location.or_else(|| location(&finding.path));
        }
    }

    /// Sorts by location and removes duplicates.
    pub fn sort(&mut self) {
        self.0
            .sort_by(|a, b| (a.location, &a.path, &a.found).cmp(&(b.location, &b.path, &b.found)));
        self.0.dedup();
    }

    /// A human-readable report with an excerpt of `text` for each finding. `file` is the name
    /// shown before each location.
    pub fn report<'a>(&'a self, file: &'a str, text: &'a str) -> Report<'a> {
        Report { findings: self, file, lines: text.lines().collect() }
    }

    fn add(
        &mut self,
        severity: Severity,
        path: Path,
        found: String,
        expected: String,
    ) -> &mut Finding {
        self.0.push(Finding { severity, location: None, path, found, expected, rests_on: None });
        let last = self.0.len() - 1;
        &mut self.0[last]
    }
}

impl IntoIterator for Findings {
    type Item = Finding;
    type IntoIter = std::vec::IntoIter<Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|it| writeln!(f, "{it}"))
    }
}

/// Displays findings with excerpts of the text they concern.
pub struct Report<'a> {
    findings: &'a Findings,
    file: &'a str,
    lines: Vec<&'a str>,
}

impl Report<'_> {
    fn excerpt(&self, location: Location, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(line) = self.lines.get(location.line - 1) else {
            return Ok(());
        };
        let number = location.line.to_string();
        let margin = " ".repeat(number.len());
        let indent = " ".repeat(location.column - 1);
        writeln!(f, "  {number} | {}", line.replace('\t', " "))?;
        writeln!(f, "  {margin} | {indent}{}", "^".repeat(location.width))
    }
}

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in self.findings.iter() {
            match finding.location {
                Some(Location { line, column, .. }) => {
                    writeln!(f, "{}:{line}:{column}: {finding}", self.file)?;
                }
                None => writeln!(f, "{}: {finding}", self.file)?,
            }
            if let Some(location) = finding.location {
                self.excerpt(location, f)?;
            }
        }
        Ok(())
    }
}

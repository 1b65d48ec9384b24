//! What a check found in a document, with its place.

use std::fmt;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// How grave a finding is.
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
    /// The document can be used, but probably does not say what was meant.
    Warning,
}

/// A place in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Characters on the line, at least 1.
    pub width: usize,
}

/// A step from a value to one inside it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(untagged)]
pub enum PathSegment {
    /// Index in a sequence, from 0.
    Index(usize),
    /// Field of a mapping.
    Field(String),
}

/// The way from a document's root to a value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Path(pub Vec<PathSegment>);

impl Path {
    /// The document itself.
    pub fn root() -> Path {
        Path::default()
    }

    /// The field of that name in this value.
    pub fn field(&self, name: &str) -> Path {
        self.with(PathSegment::Field(name.to_owned()))
    }

    /// The value at that place in this sequence.
    pub fn index(&self, index: usize) -> Path {
        self.with(PathSegment::Index(index))
    }

    /// Whether this value is `other` or lies inside it.
    pub fn is_in(&self, other: &Path) -> bool {
        self.0.starts_with(&other.0)
    }

    fn with(&self, step: PathSegment) -> Path {
        let mut steps = self.0.clone();
        steps.push(step);
        Path(steps)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, step) in self.0.iter().enumerate() {
            match step {
                PathSegment::Index(index) => write!(f, "[{index}]")?,
                PathSegment::Field(name) if i == 0 => f.write_str(name)?,
                PathSegment::Field(name) => write!(f, ".{name}")?,
            }
        }
        Ok(())
    }
}

/// One thing a check found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How grave it is.
    pub severity: Severity,
    /// Where it is in the text; absent if the document has no text.
    #[serde(rename = "place")]
    pub location: Option<Location>,
    /// Where it is in the document.
    pub path: Path,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// Another value the finding rests on, such as the list a reference looks into.
    #[serde(skip)]
    pub rests_on: Option<Path>,
}

impl Finding {
    /// Whether the document cannot be used because of it.
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

/// All that a check found.
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

    /// Whether one of them is an error.
    pub fn has_errors(&self) -> bool {
        self.0.iter().any(Finding::is_error)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The findings, in order of place.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Takes over those of `other`.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Drops those for which `keep` says no.
    pub fn retain(&mut self, keep: impl FnMut(&Finding) -> bool) {
        self.0.retain(keep);
    }

    /// Gives each finding without a place the one that `place` knows for it.
    pub fn locate(&mut self, location: impl Fn(&Path) -> Option<Location>) {
        for finding in &mut self.0 {
            finding.location = finding.location.or_else(|| location(&finding.path));
        }
    }

    /// Sorts by place and drops repetitions.
    pub fn sort(&mut self) {
        self.0
            .sort_by(|a, b| (a.location, &a.path, &a.found).cmp(&(b.location, &b.path, &b.found)));
        self.0.dedup();
    }

    /// The findings as text for people, with an excerpt of the text they were found in.
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

/// Findings beside the text they were found in.
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

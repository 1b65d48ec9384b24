//! `explain --log` and `events --log`: what saved logs of instances say, in order of time.

use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};
use tanagergauge_core::Name;

use crate::{
    failure::Failure,
    output::{Grid, Output},
};

/// Fields of a line that have columns of their own, or say nothing of the decision.
const COLUMNS: [&str; 4] = ["timestamp", "level", "message", "request"];

/// What is asked of saved logs.
#[derive(Debug)]
pub(crate) struct SavedOptions {
    /// One file for each instance, named after it.
    pub(crate) logs: Vec<PathBuf>,
    pub(crate) output: Output,
}

/// A line that an instance logged.
#[derive(Clone, Debug, Deserialize)]
struct Line {
    /// RFC 3339 with microseconds, so that texts sort as times do.
    timestamp: String,
    level: Name,
    message: String,
    #[serde(default)]
    request: Option<Name>,
}

/// A line with the instance that logged it.
#[derive(Clone, Debug, Serialize)]
struct Entry {
    timestamp: String,
    instance: Name,
    level: Name,
    message: String,
    /// The other fields, by name.
    inputs: Vec<Input>,
}

#[derive(Clone, Debug, Serialize)]
struct Input {
    name: Name,
    value: serde_json::Value,
}

/// Lines that were found, and how many could not be read.
#[derive(Debug, Default, Serialize)]
struct Found {
    entries: Vec<Entry>,
    unreadable_lines: usize,
}

/// `explain --log`: every line about a request.
///
/// # Errors
///
/// A file cannot be read, or no line is about the request.
pub(crate) fn explain(options: &SavedOptions, request: &Name) -> Result<(), Failure> {
    let found = find(options, |it| it.request.as_ref() == Some(request))?;
    options.output.print(&found, || table(&found));
    if found.entries.is_empty() {
        return Err(Failure::Refused(format!("no line is about the request {request}")));
    }
    Ok(())
}

/// `events --log`: the latest lines that are not about a single request.
///
/// # Errors
///
/// A file cannot be read.
pub(crate) fn events(options: &SavedOptions, limit: usize) -> Result<(), Failure> {
    let mut found = find(options, |it| it.request.is_none())?;
    let older = found.entries.len().saturating_sub(limit);
    found.entries.drain(..older);
    options.output.print(&found, || table(&found));
    Ok(())
}

fn find(options: &SavedOptions, wanted: impl Fn(&Line) -> bool) -> Result<Found, Failure> {
    let mut found = Found::default();
    for path in &options.logs {
        read(path, &wanted, &mut found)?;
    }
    found.entries.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    Ok(found)
}

fn read(path: &Path, wanted: impl Fn(&Line) -> bool, found: &mut Found) -> Result<(), Failure> {
    let cannot = |error| Failure::File(path.to_owned(), error);
    let instance = Name::from(path.file_stem().unwrap_or_default().to_string_lossy().into_owned());
    let mut lines = BufReader::new(File::open(path).map_err(cannot)?);
    let mut bytes = Vec::new();
    while lines.read_until(b'\n', &mut bytes).map_err(cannot)? > 0 {
        match serde_json::from_slice::<Line>(&bytes) {
            Ok(line) if wanted(&line) => found.entries.push(entry(&instance, line, &bytes)),
            Ok(_) => {}
            Err(_) => found.unreadable_lines += 1,
        }
        bytes.clear();
    }
    Ok(())
}

fn entry(instance: &Name, line: Line, bytes: &[u8]) -> Entry {
    let fields: serde_json::Map<String, serde_json::Value> =
        serde_json::from_slice(bytes).expect("a line that was read is an object");
    let others = fields.into_iter().filter(|(name, _)| !COLUMNS.contains(&name.as_str()));
    let inputs = others.map(|(name, value)| Input { name: Name::from(name), value });
    let Line { timestamp, level, message, request: _ } = line;
    Entry { timestamp, instance: instance.clone(), level, message, inputs: inputs.collect() }
}

fn table(found: &Found) -> String {
    let mut grid = Grid::new(&["time", "instance", "level", "decision", "because of"], 5);
    for it in &found.entries {
        let inputs: Vec<String> = it.inputs.iter().map(Input::text).collect();
        grid.line(vec![
            it.timestamp.clone(),
            it.instance.to_string(),
            it.level.to_string(),
            it.message.clone(),
            inputs.join(" "),
        ]);
    }
    let unreadable = found.unreadable_lines;
    match unreadable {
        0 => grid.to_string(),
        _ => format!("{grid}\n{unreadable} lines could not be read and were passed over\n"),
    }
}

impl Input {
    fn text(&self) -> String {
        match &self.value {
            serde_json::Value::String(text) => format!("{}={text}", self.name),
            value => format!("{}={value}", self.name),
        }
    }
}

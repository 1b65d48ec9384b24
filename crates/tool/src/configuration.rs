//! `configuration check`: reports what is wrong with a configuration, and what callers will notice of it.

use std::path::Path;

use serde::Serialize;
use tanagergauge_core::{
    Findings,
    check::review_sheet,
    configuration_check::{CallerChange, RoutingTable, route_changes, sheet_changes},
    sheet::Sheet,
};
use tanagergauge_platform::{is_configuration, review_configuration};

use crate::{
    failure::Failure,
    output::{Output, read},
};

/// A configuration in one of its formats.
enum Document {
    Sheet(Box<Sheet>),
    Routes(RoutingTable),
}

/// What is printed as JSON.
#[derive(Serialize)]
struct Report<'a> {
    findings: &'a Findings,
    changes: &'a [CallerChange],
}

/// `configuration check`.
///
/// # Errors
///
/// A file cannot be read, the two are of different formats, or there are findings.
pub(crate) fn check(path: &Path, against: Option<&Path>, output: Output) -> Result<(), Failure> {
    if path.as_os_str() == "-" && against == Some(path) {
        return Err(Failure::Usage("only one of the files can be standard input".to_owned()));
    }
    let text = read(path)?;
    let (new, findings) = review(&text);
    let old = against.map(load).transpose()?;
    let changes = match (&old, &new) {
        (Some(old), Some(new)) => changes(old, new)?,
        _ => Vec::new(),
    };
    let report = Report { findings: &findings, changes: &changes };
    output.print(&report, || {
        let changes: String = changes.iter().map(|it| format!("{it}\n")).collect();
        format!("{}{changes}", findings.report(&path.display().to_string(), &text))
    });
    if findings.is_empty() {
        return Ok(());
    }
    if findings.has_errors() {
        return Err(Failure::Findings(findings));
    }
    let count = findings.len();
    Err(Failure::Check(format!("{count} {}", if count == 1 { "warning" } else { "warnings" })))
}

fn review(text: &str) -> (Option<Document>, Findings) {
    if is_configuration(text) {
        let (table, findings) = review_configuration(text);
        return (table.map(Document::Routes), findings);
    }
    let (sheet, findings) = review_sheet(text);
    (sheet.map(|it| Document::Sheet(Box::new(it))), findings)
}

/// Reads the version in force, whose warnings are not reported.
fn load(path: &Path) -> Result<Document, Failure> {
    let text = read(path)?;
    let (document, findings) = review(&text);
    document.ok_or_else(|| {
        eprint!("{}", findings.report(&path.display().to_string(), &text));
        Failure::Findings(findings)
    })
}

fn changes(old: &Document, new: &Document) -> Result<Vec<CallerChange>, Failure> {
    match (old, new) {
        (Document::Sheet(old), Document::Sheet(new)) => Ok(sheet_changes(old, new)),
        (Document::Routes(old), Document::Routes(new)) => Ok(route_changes(old, new)),
        _ => Err(Failure::Usage("the two configurations are of different formats".to_owned())),
    }
}

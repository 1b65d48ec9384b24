//! How publications are judged: the core's checks, as the fold takes them.

use tanagergauge_core::{
    Name,
    check::{check_sheet, parse_sheet},
    finding::Findings,
    sheet::Sheet,
    sheet_replica::Rules,
};

/// The rules by which every instance judges sheets.
pub const RULES: Rules = Rules { parse, check };

fn parse(text: &str) -> Result<Sheet, Vec<Name>> {
    parse_sheet(text).map_err(|findings| lines(&findings))
}

fn check(sheet: &Sheet) -> Vec<Name> {
    let findings = check_sheet(sheet);
    if findings.has_errors() { lines(&findings) } else { Vec::new() }
}

fn lines(findings: &Findings) -> Vec<Name> {
    findings.iter().map(|it| Name::from(it.to_string())).collect()
}

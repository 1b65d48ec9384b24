//! `sheet`: checks, publishes, shows and compares sheets.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::Serialize;
use tanagergauge_core::{
    Findings, Name,
    check::review_sheet,
    edit::Edit,
    record::{Base, Body, Publication, SheetRecord},
    sheet::Sheet,
    sheet_replica::{Effect, InForce, Rejection},
};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    diff,
    failure::Failure,
    log::{Append, SheetLog},
    output::{Output, read},
};

/// Pause between looks for a publication in the log.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// How long a publication is looked for before it is appended again.
const LOOK_TIME: Duration = Duration::from_secs(2);

/// A sheet's text and what it says.
pub(crate) struct SheetFile {
    /// The text.
    pub(crate) text: String,
    /// What it says.
    pub(crate) sheet: Sheet,
    /// Warnings.
    pub(crate) findings: Findings,
}

/// Reads a sheet and prints what is wrong with it.
///
/// # Errors
///
/// The file cannot be read, or the sheet has errors.
pub(crate) fn load(path: &Path) -> Result<SheetFile, Failure> {
    let text = read(path)?;
    let (sheet, findings) = review_sheet(&text);
    eprint!("{}", findings.report(&path.display().to_string(), &text));
    match sheet {
        Some(sheet) => Ok(SheetFile { text, sheet, findings }),
        None => Err(Failure::Findings(findings)),
    }
}

/// `sheet check`.
///
/// # Errors
///
/// The file cannot be read, or the sheet has errors.
pub(crate) fn check(path: &Path, output: Output) -> Result<(), Failure> {
    if output == Output::Json {
        let text = read(path)?;
        let (sheet, findings) = review_sheet(&text);
        output.print(&findings, String::new);
        return sheet.map(|_| ()).ok_or(Failure::Findings(findings));
    }
    let file = load(path)?;
    let sheet = &file.sheet;
    let parts = [
        count(sheet.classes.len(), "class", "classes"),
        count(sheet.tiers.len(), "tier", "tiers"),
        count(sheet.client_accounts.len(), "client account", "client accounts"),
        count(sheet.models.len(), "model", "models"),
        count(sheet.endpoints.len(), "endpoint", "endpoints"),
        count(sheet.availability_zones.len(), "availability zone", "availability zones"),
        count(file.findings.len(), "warning", "warnings"),
    ];
    println!("{}: {}", sheet.sheet, parts.join(", "));
    Ok(())
}

fn count(number: usize, one: &str, many: &str) -> String {
    format!("{number} {}", if number == 1 { one } else { many })
}

/// What `sheet publish` is told.
#[derive(Debug)]
pub(crate) struct PublishOptions {
    pub(crate) platform: SocketAddr,
    /// The version it replaces; absent for the one in force now.
    pub(crate) replaces: Option<u64>,
    /// How long the log is asked before the outcome is called unknown.
    pub(crate) patience: Duration,
    pub(crate) output: Output,
}

/// What became of a publication.
#[derive(Debug, Serialize)]
struct Published {
    publication_id: String,
    /// The version it has in force.
    version: u64,
}

/// `sheet publish`. Says accepted only once it has read the publication back.
///
/// # Errors
///
/// The sheet has errors, the publication was rejected, or nobody can tell.
pub(crate) async fn publish(path: &Path, options: PublishOptions) -> Result<(), Failure> {
    let file = load(path)?;
    let mut log = SheetLog::new(options.platform);
    log.read_on().await?;
    let base = base(log.fold.in_force(), options.replaces);
    let publication_id = Uuid::now_v7().as_u128();
    let body = body(log.fold.in_force(), base, file);
    let record = SheetRecord::Publication(Publication { publication_id, base, body }).encode();
    let version = settle(&mut log, publication_id, &record, options.patience).await?;
    let id = Uuid::from_u128(publication_id).to_string();
    let published = Published { publication_id: id, version };
    options.output.print(&published, || {
        format!("accepted as version {} (publication {})", version, published.publication_id)
    });
    Ok(())
}

/// Edits of the sheet it replaces if they give exactly this one, else the whole text.
///
/// Every instance reads every publication, so that a whole sheet for a small change
/// would cost the fleet its budget for control.
fn body(in_force: Option<&InForce>, base: Base, file: SheetFile) -> Body {
    let replaced = in_force.filter(|it| base == Base::Version(it.version));
    let edits = replaced.and_then(|it| exact_edits(&it.sheet, &file.sheet));
    edits.map_or_else(|| Body::Whole(Name::from(file.text)), Body::Edits)
}

fn exact_edits(old: &Sheet, new: &Sheet) -> Option<Vec<Edit>> {
    let edits = Edit::between(old, new);
    let mut edited = old.clone();
    for edit in &edits {
        edit.apply(&mut edited).ok()?;
    }
    // The order of entries may differ, and a sheet published again unchanged has no edits.
    (edited == *new && !edits.is_empty()).then_some(edits)
}

fn base(in_force: Option<&InForce>, replaces: Option<u64>) -> Base {
    match (replaces, in_force) {
        (Some(version), _) => Base::Version(version),
        (None, Some(in_force)) => Base::Version(in_force.version),
        (None, None) => Base::First,
    }
}

/// Appends a publication until it is read back, and returns its version.
///
/// A second copy of a publication is harmless: it names the same base, and so cannot
/// come into force after the first.
async fn settle(
    log: &mut SheetLog,
    publication_id: u128,
    record: &[u8],
    patience: Duration,
) -> Result<u64, Failure> {
    let end = Instant::now() + patience;
    let mut may_be_there = false;
    let mut cause = String::new();
    while Instant::now() < end {
        match log.append(record.to_vec()).await {
            Append::Done => may_be_there = true,
            Append::Refused(text) => cause = text,
            Append::Unknown(text) => {
                may_be_there = true;
                cause = text;
            }
        }
        let look_end = end.min(Instant::now() + LOOK_TIME);
        if let Some(verdict) = look(log, publication_id, look_end).await {
            return verdict;
        }
    }
    let id = Uuid::from_u128(publication_id);
    match may_be_there {
        true => Err(Failure::Unknown(format!(
            "publication {id} may or may not be in the log ({cause}); \
             see `tanagergauge sheet show` before publishing again"
        ))),
        false => Err(Failure::Unreachable(format!("nothing was published: {cause}"))),
    }
}

/// Reads on until the publication was judged.
async fn look(
    log: &mut SheetLog,
    publication_id: u128,
    end: Instant,
) -> Option<Result<u64, Failure>> {
    loop {
        let effects = log.read_on().await.unwrap_or_default();
        if let Some(verdict) = effects.iter().find_map(|it| verdict(it, publication_id)) {
            return Some(verdict);
        }
        if Instant::now() >= end {
            return None;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

fn verdict(effect: &Effect, sought: u128) -> Option<Result<u64, Failure>> {
    match effect {
        Effect::Accepted { version, publication_id } if *publication_id == sought => {
            Some(Ok(*version))
        }
        Effect::Rejected { publication_id, rejection, .. } if *publication_id == sought => {
            Some(Err(Failure::Refused(format!("rejected: {}", why(rejection)))))
        }
        _ => None,
    }
}

fn why(rejection: &Rejection) -> String {
    match rejection {
        Rejection::StaleBase { base, in_force } => {
            let base = match base {
                Base::First => "no sheet".to_owned(),
                Base::Version(version) => format!("version {version}"),
                Base::Before(offset) => format!("a version before {offset}"),
            };
            let in_force = in_force.map_or("none".to_owned(), |it| format!("version {it}"));
            format!("it replaces {base}, but {in_force} is in force; another planner was faster")
        }
        Rejection::Absent(absent) => format!("it changes \"{}\", which is not there", absent.name),
        Rejection::Unsound(findings) => {
            findings.iter().map(|it| it.as_str()).collect::<Vec<_>>().join("\n")
        }
    }
}

/// A sheet in force, as JSON.
#[derive(Serialize)]
struct Shown<'a> {
    version: u64,
    sheet: &'a Sheet,
}

/// `sheet show`.
///
/// # Errors
///
/// The log cannot be read, or no sheet is in force.
pub(crate) async fn show(platform: SocketAddr, output: Output) -> Result<(), Failure> {
    let in_force = in_force(platform).await?;
    let shown = Shown { version: in_force.version, sheet: &in_force.sheet };
    let text = serde_saphyr::to_string(in_force.sheet.as_ref());
    let text = text.map_err(|error| Failure::Refused(error.to_string()))?;
    output.print(&shown, || format!("# version {}\n{text}", in_force.version));
    Ok(())
}

/// `sheet diff`: what a file would change.
///
/// # Errors
///
/// The file or the log cannot be read, or the sheet has errors.
pub(crate) async fn compare(
    path: &Path,
    platform: SocketAddr,
    output: Output,
) -> Result<(), Failure> {
    let file = load(path)?;
    let in_force = in_force(platform).await?;
    let changes = diff::changes(in_force.sheet.as_ref(), &file.sheet);
    output.print(&changes, || match changes.is_empty() {
        true => format!("no change of version {}", in_force.version),
        false => changes.iter().map(|it| format!("{it}\n")).collect(),
    });
    Ok(())
}

async fn in_force(platform: SocketAddr) -> Result<InForce, Failure> {
    let mut log = SheetLog::new(platform);
    log.read_on().await?;
    let in_force = log.fold.in_force().cloned();
    in_force.ok_or_else(|| Failure::Refused("no sheet is in force".to_owned()))
}

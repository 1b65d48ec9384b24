//! Settings of a process: read from YAML text, checked whole, and why they cannot be used.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

use crate::{document::Document, finding::Findings};

/// Why settings cannot be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file cannot be read.
    Read(PathBuf, io::Error),
    /// What is wrong in the file, with its places, for people.
    Findings(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read(path, error) => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            SettingsError::Findings(report) => write!(f, "the settings cannot be used\n{report}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks settings from YAML text.
///
/// # Errors
/// Everything that is wrong with them.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Findings,
) -> Result<T, Findings> {
    let document = Document::<T>::new(text);
    let checked = document.value.as_ref().map(check).unwrap_or_default();
    let (settings, findings) = document.finish(checked);
    settings.ok_or(findings)
}

/// Reads settings from what a file was found to hold.
///
/// # Errors
/// The file could not be read, or everything that is wrong with it.
pub fn read<T>(
    path: &Path,
    text: io::Result<String>,
    parse: impl FnOnce(&str) -> Result<T, Findings>,
) -> Result<T, SettingsError> {
    let text = text.map_err(|error| SettingsError::Read(path.to_owned(), error))?;
    parse(&text).map_err(|findings| {
        let file = path.display().to_string();
        SettingsError::Findings(findings.report(&file, &text).to_string())
    })
}

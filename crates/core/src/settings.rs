//! Parsing and validation of a process's settings.

use std::{
    fmt, io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

use crate::{document::Document, finding::Findings};

/// Error of loading settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read(PathBuf, io::Error),
    /// The settings are invalid. Contains a human-readable report with locations in the file.
    Findings(String),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Read(path, error) => {
                write!(f, "cannot read {}: {error}", path.display())
            }
            SettingsError::Findings(report) => write!(f, "invalid settings\n{report}"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Parses settings from YAML and validates them with `check`.
///
/// # Errors
/// All findings, if at least one is an error. Warnings alone are dropped.
pub fn parse<T: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&T) -> Findings,
) -> Result<T, Findings> {
    let document = Document::<T>::new(text);
    let checked = document.value.as_ref().map(check).unwrap_or_default();
    let (settings, findings) = document.finish(checked);
    settings.ok_or(findings)
}

/// Parses settings from the result of reading a file. This crate does no I/O, so the caller reads
/// the file.
///
/// # Errors
/// The file could not be read, or the settings are invalid.
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

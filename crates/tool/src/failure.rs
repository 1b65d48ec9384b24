//! Why a command did not do what it was asked.

use std::{fmt, io, path::PathBuf, process::ExitCode};

use tanagergauge_core::Findings;

/// Why a command failed. Each kind has an exit code of its own.
#[derive(Debug)]
pub(crate) enum Failure {
    /// A file cannot be read or written.
    File(PathBuf, io::Error),
    /// A document has errors. They were printed.
    Findings(Findings),
    /// Arguments that do not go together.
    Usage(String),
    /// The other side refused, for the reason given.
    Refused(String),
    /// Nobody answered, so that nothing was done.
    Unreachable(String),
    /// It may or may not have been done.
    Unknown(String),
    /// A check of what was measured or received failed.
    Check(String),
}

impl Failure {
    /// The exit code of the program.
    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Failure::Refused(_) | Failure::Check(_) => 1,
            Failure::File(..) | Failure::Findings(_) | Failure::Usage(_) => 2,
            Failure::Unreachable(_) => 3,
            Failure::Unknown(_) => 4,
        })
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::File(path, error) => write!(f, "{}: {error}", path.display()),
            Failure::Findings(findings) => {
                let errors = findings.iter().filter(|it| it.is_error()).count();
                write!(f, "{errors} {}", if errors == 1 { "error" } else { "errors" })
            }
            Failure::Usage(text)
            | Failure::Refused(text)
            | Failure::Unreachable(text)
            | Failure::Unknown(text)
            | Failure::Check(text) => f.write_str(text),
        }
    }
}

impl std::error::Error for Failure {}

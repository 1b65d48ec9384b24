//! The entry instance of tanagergauge.

use std::process::ExitCode;

fn main() -> ExitCode {
    tanagergauge_daemon::program::run()
}

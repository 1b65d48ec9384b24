//! The operators' command-line tool.

mod bench;
mod call;
mod cli;
mod client;
mod configuration;
mod diff;
mod failure;
mod load;
mod log;
mod operate;
mod output;
mod plan;
mod profile;
mod program;
mod report;
mod saved;
mod sheet;
mod stage;
mod tally;
mod trial;

use std::process::ExitCode;

fn main() -> ExitCode {
    program::run()
}

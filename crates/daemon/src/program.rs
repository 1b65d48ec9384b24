//! The program: arguments, logs, signals and exit codes.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, Command, value_parser};
use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

use crate::{
    instance::{self, Running},
    settings::Settings,
};

/// Exit code for settings or arguments that cannot be used.
const EXIT_USAGE: u8 = 2;
/// Exit code after a second signal cut a planned stop short.
const EXIT_CUT_SHORT: u8 = 3;

/// Runs the program to its end.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(EXIT_USAGE, &error.to_string()),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    if let Err(message) = init_logs(&settings.log) {
        return fail(EXIT_USAGE, &message);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => fail(1, &format!("cannot start: {error}")),
    }
}

fn command() -> Command {
    Command::new("tanagergauged")
        .about("Routes language-model traffic by service level and priority")
        .version(clap::crate_version!())
        .arg(
            Arg::new("settings")
                .help("Settings of this instance (YAML)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings and exit")
                .action(ArgAction::SetTrue),
        )
}

fn init_logs(filter: &str) -> Result<(), String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| format!("log filter: {error}"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    Ok(())
}

async fn serve(settings: Settings) -> ExitCode {
    let running = match instance::start(settings).await {
        Ok(running) => running,
        Err(error) => return fail(1, &format!("cannot start: {error}")),
    };
    match stop_on_signal(running).await {
        Ok(code) => code,
        Err(error) => fail(1, &format!("cannot take signals: {error}")),
    }
}

/// Stops gracefully at the first signal, at once at the second.
async fn stop_on_signal(running: Running) -> std::io::Result<ExitCode> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping");
    tokio::select! {
        () = running.stop() => Ok(ExitCode::SUCCESS),
        _ = terminate.recv() => Ok(ExitCode::from(EXIT_CUT_SHORT)),
        _ = interrupt.recv() => Ok(ExitCode::from(EXIT_CUT_SHORT)),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    eprintln!("tanagergauged: {message}");
    ExitCode::from(code)
}

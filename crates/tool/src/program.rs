//! Runs what the command line asks for.

use std::{io, net::SocketAddr, path::PathBuf, process::ExitCode};

use clap::ArgMatches;
use clap_complete::Shell;
use tanagergauge_core::{Name, check::parse_sheet, sheet::Sheet};

use crate::{
    bench::{self, BenchOptions},
    cli::{self, PROGRAM, millis, option, value},
    configuration,
    failure::Failure,
    load::{self, LoadOptions},
    operate::{self, OperateOptions},
    output::read,
    plan::Entry,
    profile::Profile,
    saved::{self, SavedOptions},
    sheet::{self, PublishOptions},
    trial::{self, TrialOptions},
};

/// The sheet of `try` where none is given.
const EXAMPLE_SHEET: &str = include_str!("../../../examples/kuljus.yaml");

/// Runs the program to its end.
pub(crate) fn run() -> ExitCode {
    let matches = cli::command().get_matches();
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&Failure::Refused(format!("cannot start: {error}"))),
    };
    match runtime.block_on(dispatch(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => fail(&failure),
    }
}

fn fail(failure: &Failure) -> ExitCode {
    eprintln!("{PROGRAM}: {failure}");
    failure.exit_code()
}

async fn dispatch(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("sheet", matches)) => sheet_job(matches).await,
        Some(("configuration", matches)) => configuration_job(matches),
        Some(("status", matches)) => operate::status(operate_options(matches)).await,
        Some(("events", matches)) if matches.contains_id("log") => {
            let limit: u32 = value(matches, "limit");
            saved::events(&saved_options(matches), limit as usize)
        }
        Some(("events", matches)) => {
            operate::events(operate_options(matches), value(matches, "limit")).await
        }
        Some(("explain", matches)) => {
            let request_id = Name::from(value::<String>(matches, "request-id"));
            if matches.contains_id("log") {
                return saved::explain(&saved_options(matches), &request_id);
            }
            operate::explain(operate_options(matches), request_id).await
        }
        Some(("try", matches)) => trial::run(trial_options(matches)?).await,
        Some(("load", matches)) => load::run(load_options(matches)?).await,
        Some(("bench", matches)) => bench::run(bench_options(matches)).await,
        Some(("credential", _)) => credential(),
        Some(("completions", matches)) => {
            let shell: Shell = value(matches, "shell");
            clap_complete::generate(shell, &mut cli::command(), PROGRAM, &mut io::stdout());
            Ok(())
        }
        _ => Err(Failure::Usage("no command".to_owned())),
    }
}

async fn sheet_job(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check", matches)) => {
            sheet::check(&value::<PathBuf>(matches, "file"), cli::output(matches))
        }
        Some(("publish", matches)) => {
            let options = PublishOptions {
                platform: value(matches, "platform"),
                replaces: option(matches, "replaces"),
                patience: millis(matches, "patience-ms"),
                output: cli::output(matches),
            };
            sheet::publish(&value::<PathBuf>(matches, "file"), options).await
        }
        Some(("show", matches)) => {
            sheet::show(value(matches, "platform"), cli::output(matches)).await
        }
        Some(("diff", matches)) => {
            let path: PathBuf = value(matches, "file");
            sheet::compare(&path, value(matches, "platform"), cli::output(matches)).await
        }
        _ => Err(Failure::Usage("no command".to_owned())),
    }
}

fn configuration_job(matches: &ArgMatches) -> Result<(), Failure> {
    match matches.subcommand() {
        Some(("check", matches)) => {
            let against = option::<PathBuf>(matches, "against");
            let path: PathBuf = value(matches, "file");
            configuration::check(&path, against.as_deref(), cli::output(matches))
        }
        _ => Err(Failure::Usage("no command".to_owned())),
    }
}

fn operate_options(matches: &ArgMatches) -> OperateOptions {
    let control = matches.get_many::<SocketAddr>("control").unwrap_or_default();
    OperateOptions {
        control: control.copied().collect(),
        keys: value(matches, "keys"),
        output: cli::output(matches),
    }
}

fn saved_options(matches: &ArgMatches) -> SavedOptions {
    let logs = matches.get_many::<PathBuf>("log").unwrap_or_default();
    SavedOptions { logs: logs.cloned().collect(), output: cli::output(matches) }
}

fn trial_options(matches: &ArgMatches) -> Result<TrialOptions, Failure> {
    let sheet = match option::<PathBuf>(matches, "sheet") {
        Some(path) => sheet::load(&path)?.sheet,
        None => example()?,
    };
    Ok(TrialOptions {
        sheet,
        listen: value(matches, "listen"),
        keep: matches.get_flag("keep"),
        output: cli::output(matches),
    })
}

fn example() -> Result<Sheet, Failure> {
    parse_sheet(EXAMPLE_SHEET).map_err(Failure::Findings)
}

fn load_options(matches: &ArgMatches) -> Result<LoadOptions, Failure> {
    let sheet = sheet::load(&value::<PathBuf>(matches, "sheet"))?.sheet;
    let mut profile = profile(&value::<PathBuf>(matches, "profile"), &sheet)?;
    profile.seed = option(matches, "seed").unwrap_or(profile.seed);
    profile.duration_ms = option(matches, "duration-ms").unwrap_or(profile.duration_ms);
    let instances = matches.get_many::<String>("instance").unwrap_or_default();
    let entries: Result<Vec<Entry>, Failure> = instances.map(|it| entry(it)).collect();
    Ok(LoadOptions {
        sheet,
        profile,
        local: option(matches, "local").unwrap_or(0),
        settings: option(matches, "settings"),
        more_settings: match option::<PathBuf>(matches, "more-settings") {
            Some(path) => read(&path)?,
            None => String::new(),
        },
        entries: entries?,
        drain: millis(matches, "drain-ms"),
        times_capacity: option(matches, "times-capacity"),
        output: cli::output(matches),
        json: option(matches, "json"),
        records: option(matches, "records"),
        report: option(matches, "report"),
        quiet: matches.get_flag("quiet"),
    })
}

fn profile(path: &std::path::Path, sheet: &Sheet) -> Result<Profile, Failure> {
    let text = read(path)?;
    Profile::parse(&text, sheet).map_err(|findings| {
        eprint!("{}", findings.report(&path.display().to_string(), &text));
        Failure::Findings(findings)
    })
}

/// Reads `ADDRESS` or `ADDRESS=ZONE`.
fn entry(text: &str) -> Result<Entry, Failure> {
    let (address, zone) = text.split_once('=').unwrap_or((text, ""));
    let address: SocketAddr = address
        .parse()
        .map_err(|_| Failure::Usage(format!("`{address}` is no IP number with a port")))?;
    Ok(Entry { address, control: None, zone: Name::from(zone) })
}

fn bench_options(matches: &ArgMatches) -> BenchOptions {
    BenchOptions {
        streams: value(matches, "streams"),
        tokens: value(matches, "tokens"),
        requests: value(matches, "requests"),
        settings: option(matches, "settings"),
        pid_file: option(matches, "pid-file"),
        output: cli::output(matches),
    }
}

/// Prints the line of a sheet for the token on standard input.
fn credential() -> Result<(), Failure> {
    let token = read(std::path::Path::new("-"))?;
    let token = token.trim_end_matches(['\r', '\n']);
    if token.is_empty() {
        return Err(Failure::Usage("no token on standard input".to_owned()));
    }
    println!("- blake3: {}", blake3::hash(token.as_bytes()).to_hex());
    Ok(())
}

//! The command line, and what it asks for.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{
    Arg, ArgAction, ArgMatches, Command, ValueHint, builder::PossibleValuesParser, value_parser,
};
use clap_complete::Shell;
use strum::VariantNames;

use crate::output::Output;

/// Name of the program.
pub(crate) const PROGRAM: &str = "tanagergauge";

/// The command line.
pub(crate) fn command() -> Command {
    Command::new(PROGRAM)
        .about("Operates tanagergauge: sheets, status, explanations, trials and load")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 done; 1 refused, or a check failed; 2 wrong arguments, files or \
             sheets; 3 nobody answered; 4 it may or may not have been done.",
        )
        .arg(
            Arg::new("output")
                .long("output")
                .global(true)
                .value_parser(PossibleValuesParser::new(Output::VARIANTS))
                .default_value("table")
                .help("How results are printed"),
        )
        .subcommand(sheet_command())
        .subcommand(configuration_command())
        .subcommand(operate_command("status", "Show what an instance does and knows of the fleet"))
        .subcommand(
            log_command(operate_command("events", "Show the latest decisions of an instance")).arg(
                Arg::new("limit")
                    .long("limit")
                    .value_parser(value_parser!(u32))
                    .default_value("50")
                    .help("How many at most"),
            ),
        )
        .subcommand(
            log_command(operate_command(
                "explain",
                "Show what the fleet decided for a request, and why",
            ))
            .arg(
                Arg::new("request-id")
                    .required(true)
                    .value_name("REQUEST-ID")
                    .help("Its `X-Request-Id`"),
            ),
        )
        .subcommand(try_command())
        .subcommand(load_command())
        .subcommand(bench_command())
        .subcommand(
            Command::new("credential")
                .about("Read a bearer token from standard input and print its line for a sheet"),
        )
        .subcommand(
            Command::new("completions")
                .about("Print the completions of a shell")
                .arg(Arg::new("shell").required(true).value_parser(value_parser!(Shell))),
        )
}

fn sheet_command() -> Command {
    Command::new("sheet")
        .about("Check, publish, show and compare sheets")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Check a sheet and report everything that is wrong with it")
                .arg(file_arg()),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a sheet and wait until it is read back from the log")
                .arg(file_arg())
                .arg(platform_arg())
                .arg(
                    Arg::new("replaces")
                        .long("replaces")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help("The version it replaces [default: the one in force now]"),
                )
                .arg(
                    Arg::new("patience-ms")
                        .long("patience-ms")
                        .value_parser(value_parser!(u64))
                        .default_value("15000")
                        .help("How long the log is asked, in milliseconds"),
                ),
        )
        .subcommand(Command::new("show").about("Print the sheet in force").arg(platform_arg()))
        .subcommand(
            Command::new("diff")
                .about("Print what a sheet would change")
                .arg(file_arg())
                .arg(platform_arg()),
        )
}

fn configuration_command() -> Command {
    Command::new("configuration")
        .about("Check configurations of instances: sheets, and routes in the platform's format")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Report errors, entries that nothing reaches, and limits that conflict")
                .after_help("Exit codes: 0 no finding; 1 warnings only; 2 errors.")
                .arg(file_arg().help("The configuration; `-` for standard input"))
                .arg(file_option(
                    "against",
                    "The version in force: also report what callers will notice",
                )),
        )
}

fn operate_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("control")
                .long("control")
                .value_name("ADDRESS")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(SocketAddr))
                .help("Control address of an instance; the next one is asked if it is silent"),
        )
        .arg(
            Arg::new("keys")
                .long("keys")
                .value_name("FILE")
                .required(true)
                .value_hint(ValueHint::FilePath)
                .value_parser(value_parser!(PathBuf))
                .help("File of the keys that instances and operators share"),
        )
}

/// Adds saved logs as another source than a live instance.
fn log_command(command: Command) -> Command {
    command
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILE")
                .action(ArgAction::Append)
                .value_hint(ValueHint::FilePath)
                .value_parser(value_parser!(PathBuf))
                .conflicts_with_all(["control", "keys"])
                .help("Saved JSON log of an instance, named after it; no instance is asked"),
        )
        .mut_arg("control", |it| it.required(false).required_unless_present("log"))
        .mut_arg("keys", |it| it.required(false).required_unless_present("log"))
}

fn try_command() -> Command {
    Command::new("try")
        .about("Bring up a whole deployment in this process and send a request of each class")
        .arg(
            Arg::new("sheet")
                .long("sheet")
                .value_name("FILE")
                .value_hint(ValueHint::FilePath)
                .value_parser(value_parser!(PathBuf))
                .help("The sheet [default: the example of Kuljus]"),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .default_value("127.0.0.1:0")
                .help("Address of the instance; port 0 takes any free port"),
        )
        .arg(
            Arg::new("keep")
                .long("keep")
                .action(ArgAction::SetTrue)
                .help("Leave the deployment up until Ctrl-C"),
        )
}

fn load_command() -> Command {
    Command::new("load")
        .about("Send requests when they are due and measure what becomes of them")
        .arg(file_option("sheet", "The sheet").required(true))
        .arg(file_option("profile", "What is sent").required(true))
        .args(instance_args())
        .args(rate_args())
        .arg(file_option("json", "Write what was measured as JSON"))
        .arg(file_option("records", "Write a JSON line for each request"))
        .arg(file_option("report", "Write a report with plots as HTML"))
        .arg(Arg::new("quiet").long("quiet").action(ArgAction::SetTrue).help("Show no progress"))
}

/// Which instances requests go to.
fn instance_args() -> [Arg; 4] {
    [
        Arg::new("local")
            .long("local")
            .value_name("N")
            .value_parser(value_parser!(usize))
            .help("Start N instances and the sheet's endpoints as stand-ins in this process"),
        settings_arg().requires("local"),
        file_option("more-settings", "YAML lines that each instance's settings end with")
            .requires("local"),
        Arg::new("instance")
            .long("instance")
            .value_name("ADDRESS[=ZONE]")
            .action(ArgAction::Append)
            .conflicts_with("local")
            .required_unless_present("local")
            .help("An instance that runs already; may be repeated"),
    ]
}

/// How much is sent, and for how long.
fn rate_args() -> [Arg; 4] {
    [
        Arg::new("times-capacity")
            .long("times-capacity")
            .value_name("X")
            .value_parser(value_parser!(f64))
            .help("Rate as a multiple of what the stand-in engines can do"),
        Arg::new("seed")
            .long("seed")
            .value_parser(value_parser!(u64))
            .help("Replaces the profile's seed"),
        Arg::new("duration-ms")
            .long("duration-ms")
            .value_parser(value_parser!(u64))
            .help("Replaces the profile's duration"),
        Arg::new("drain-ms")
            .long("drain-ms")
            .value_parser(value_parser!(u64))
            .default_value("120000")
            .help("How long answers are waited for after the last request"),
    ]
}

fn file_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_hint(ValueHint::FilePath)
        .value_parser(value_parser!(PathBuf))
        .help(help)
}

fn bench_command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(usize))
            .default_value(default)
            .help(help)
    };
    Command::new("bench")
        .about("Measure what an instance costs against the direct path to the same stand-in")
        .arg(number("streams", "500", "Streams open at once"))
        .arg(number("tokens", "512", "Tokens of each stream"))
        .arg(number("requests", "20000", "Short requests"))
        .arg(settings_arg())
        .arg(
            file_option("pid-file", "File with the instance's process id, to print its memory")
                .requires("settings"),
        )
}

fn settings_arg() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("DIRECTORY")
        .value_hint(ValueHint::DirPath)
        .value_parser(value_parser!(PathBuf))
        .help("Write the instances' settings there and wait until they have been started")
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_hint(ValueHint::FilePath)
        .value_parser(value_parser!(PathBuf))
        .help("The sheet; `-` for standard input")
}

fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("ADDRESS")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("IP number and port of the platform's log")
}

/// The value of an argument that has a default or is required.
pub(crate) fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name);
    value.unwrap_or_else(|| panic!("the argument {name} has no default")).clone()
}

/// The value of an argument that may be absent.
pub(crate) fn option<T: Clone + Send + Sync + 'static>(
    matches: &ArgMatches,
    name: &str,
) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}

/// A time given in milliseconds.
pub(crate) fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(value(matches, name))
}

/// How results are printed.
pub(crate) fn output(matches: &ArgMatches) -> Output {
    value::<String>(matches, "output").parse().unwrap_or(Output::Table)
}

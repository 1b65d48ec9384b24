//! Saved logs of instances, read by the real program.

use std::{
    fs,
    process::{Command, Output},
};

use serde_json::Value;
use tempfile::TempDir;

const PROGRAM: &str = env!("CARGO_BIN_EXE_tanagergauge");

const FIRST: &str = r#"{"timestamp":"2026-08-10T03:59:14.100000Z","level":"INFO","message":"sending failed","request":"a1","endpoint":"i-7","failure":"broke","at_ms":31}
not a line of the log
{"timestamp":"2026-08-10T03:59:14.200000Z","level":"INFO","message":"endpoint gone","endpoint":"i-7"}
{"timestamp":"2026-08-10T03:59:14.300000Z","level":"INFO","message":"request ended","request":"a1","outcome":"unknown","reason":"endpoint_broke"}
"#;
const SECOND: &str = r#"{"timestamp":"2026-08-10T03:59:14.050000Z","level":"INFO","message":"request ended","request":"b2","outcome":"answered"}
{"timestamp":"2026-08-10T03:59:14.250000Z","level":"INFO","message":"request ended","request":"a1","outcome":"answered"}
{"timestamp":"2026-08-10T03:59:14.150000Z","level":"WARN","message":"store is lost","error":"silent"}
{"timestamp":"2026-08-10T03:59:14
"#;

/// Logs of two instances.
fn logs() -> TempDir {
    let folder = tempfile::tempdir().expect("a folder can be made");
    fs::write(folder.path().join("front-a.log"), FIRST).expect("a log can be written");
    fs::write(folder.path().join("front-b.log"), SECOND).expect("a log can be written");
    folder
}

fn run(folder: &TempDir, arguments: &[&str]) -> Output {
    let logs = ["front-a.log", "front-b.log"].map(|it| folder.path().join(it));
    let mut command = Command::new(PROGRAM);
    command.args(arguments).args(logs.iter().flat_map(|it| ["--log".as_ref(), it.as_os_str()]));
    command.output().expect("the program starts")
}

fn json(output: &Output) -> Value {
    serde_json::from_slice(&output.stdout).expect("the program prints JSON")
}

fn column(found: &Value, name: &str) -> Vec<String> {
    let entries = found["entries"].as_array().expect("entries");
    entries.iter().map(|it| it[name].as_str().unwrap_or_default().to_owned()).collect()
}

#[test]
fn lines_about_a_request_come_in_order_of_time() {
    let found = json(&run(&logs(), &["explain", "a1", "--output", "json"]));
    assert_eq!(column(&found, "instance"), ["front-a", "front-b", "front-a"]);
    assert_eq!(column(&found, "message"), ["sending failed", "request ended", "request ended"]);
    assert_eq!(found["entries"][0]["inputs"][2]["value"], "broke");
    assert_eq!(found["unreadable_lines"], 2);
}

#[test]
fn a_table_names_the_inputs_and_the_lines_passed_over() {
    let output = run(&logs(), &["explain", "a1"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("at_ms=31 endpoint=i-7 failure=broke"), "{text}");
    assert!(text.contains("2 lines could not be read"), "{text}");
}

#[test]
fn a_request_that_no_line_is_about_is_a_failure() {
    let output = run(&logs(), &["explain", "c3"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no line is about the request c3"));
}

#[test]
fn events_are_what_changed_beliefs() {
    let found = json(&run(&logs(), &["events", "--limit", "1", "--output", "json"]));
    assert_eq!(column(&found, "message"), ["endpoint gone"]);
    let found = json(&run(&logs(), &["events", "--output", "json"]));
    assert_eq!(column(&found, "message"), ["store is lost", "endpoint gone"]);
}

#[test]
fn a_log_that_is_not_there_is_named() {
    let output = Command::new(PROGRAM)
        .args(["explain", "a1", "--log", "no-such.log"])
        .output()
        .expect("the program starts");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("no-such.log"));
}

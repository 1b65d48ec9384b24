//! Stand-ins of the second review: the platform's store, servers, clients, and a starter of instances.
//!
//! They use the standard library only, one thread a connection. Everything listens on loopback.

pub mod client;
pub mod fleet;
pub mod http;
pub mod instance;
pub mod manifest;
pub mod record;
pub mod server;
pub mod store;

use std::{env, process::exit};

/// Whether the case runs with its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Ends the program with the verdict on a rule: 1 if it was broken, 0 if it held.
pub fn finish(record: &record::Record, violations: &[String]) -> ! {
    for it in violations {
        record.line(&format!("VIOLATION {it}"));
    }
    let verdict = if violations.is_empty() { "held" } else { "BROKEN" };
    record.line(&format!("verdict: rule {verdict}, {} violations", violations.len()));
    instance::end_all();
    exit(i32::from(!violations.is_empty()));
}

/// Ends the program because the case could not run.
pub fn could_not_run(record: &record::Record, reason: &str) -> ! {
    instance::end_all();
    record.line(&format!("the case could not run: {reason}"));
    exit(2);
}

//! Case 7: servers start again one after the other, under their ids and addresses, with other software. An
//! instance that has no connection to such a server takes what it writes for what the old software wrote.

use std::{sync::Arc, thread::sleep, time::Duration};

use review_standins_2::{
    could_not_run, finish,
    fleet::{Fleet, mixed, send_streams},
    has_trouble,
    instance::Instance,
    record::Record,
    store::Store,
};

/// Servers of the service, and those that start again.
const SERVERS: usize = 6;
const RESTARTS: usize = 2;
/// Time without requests before a server ends.
const QUIET: Duration = Duration::from_millis(6_500);
/// For how long it is away.
const AWAY: Duration = Duration::from_millis(2_000);
/// Requests that come once it is back.
const STREAMS: usize = 36;
/// Most streams of two versions that the rule allows.
const ALLOWED: usize = 2;

fn main() {
    let record = Arc::new(Record::create());
    let store = Store::start();
    let fleet = Fleet::start(&store, SERVERS);
    let instance = Instance::start(&record, "front-1", store.address, "");
    sleep(Duration::from_millis(1_500));
    let warm = send_streams(&record, instance.listen, "warm", SERVERS);
    if warm.iter().any(|(_, it)| !it.is_complete) {
        drop(instance);
        could_not_run(&record, "a stream is not served at the start");
    }
    let mut violations = Vec::new();
    for at in 0..RESTARTS {
        record.line("no requests");
        sleep(QUIET);
        if has_trouble() {
            record.line(&format!("server i-{at} ends"));
            fleet.end(at);
            sleep(AWAY);
            fleet.start_again(at, "v2");
            record.line(&format!(
                "server i-{at} has started again with v2, and its entry is written"
            ));
        } else {
            sleep(AWAY);
        }
        fleet.set_silent(at, true);
        let answers = send_streams(&record, instance.listen, &format!("round-{at}"), STREAMS);
        fleet.set_silent(at, false);
        violations.extend(mixed(&answers));
    }
    for it in instance.lines_with("response continues the stream") {
        record.line(&format!("log {it}"));
    }
    drop(instance);
    record.line(&format!("streams of two versions: {}, allowed {ALLOWED}", violations.len()));
    if violations.len() <= ALLOWED {
        violations.clear();
    }
    finish(&record, &violations);
}

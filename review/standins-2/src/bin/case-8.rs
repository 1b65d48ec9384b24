//! Case 8: a server is cut off from the store, crashes behind the cut and starts again with other software.
//! An instance takes its entry, which nobody could change, for proof that its process is the same.

use std::{sync::Arc, thread::sleep, time::Duration};

use review_standins_2::{
    could_not_run, finish,
    fleet::{Fleet, mixed, send_streams},
    has_trouble,
    instance::Instance,
    record::Record,
    store::Store,
};

/// Servers of the service, of which one is cut off.
const SERVERS: usize = 5;
const CUT: usize = 0;
/// How long the cut lasts.
const CUT_TIME: Duration = Duration::from_millis(5_000);
/// For how long the server is away after it crashed.
const AWAY: Duration = Duration::from_millis(500);
/// Requests that come at once, about two seconds after that.
const STREAMS: usize = 40;
/// Most streams of two versions that the rule allows.
const ALLOWED: usize = 2;

fn main() {
    let record = Arc::new(Record::create());
    let store = Store::start();
    let fleet = Fleet::start(&store, SERVERS);
    let instance = Instance::start(&record, "front-1", store.address, "");
    sleep(Duration::from_millis(1_500));
    for round in 0..3 {
        let warm = send_streams(&record, instance.listen, &format!("warm-{round}"), 3 * SERVERS);
        if warm.iter().any(|(_, it)| !it.is_complete) {
            drop(instance);
            could_not_run(&record, "a stream is not served at the start");
        }
    }
    if has_trouble() {
        fleet.cut_from_store(CUT, true);
        fleet.end(CUT);
        record.line(&format!("server i-{CUT} is cut off from the store and crashes"));
        sleep(AWAY);
        fleet.start_again(CUT, "v2");
        record.line(&format!("server i-{CUT} has started again with v2, still cut off"));
        let (late, late_record) = (fleet.clone(), Arc::clone(&record));
        std::thread::spawn(move || {
            sleep(CUT_TIME - AWAY);
            late.cut_from_store(CUT, false);
            late_record.line(&format!("the cut is healed; server i-{CUT} writes its entry"));
        });
    }
    for round in 0..2 {
        send_streams(&record, instance.listen, &format!("light-{round}"), 4);
    }
    fleet.set_silent(CUT, true);
    let answers = send_streams(&record, instance.listen, "burst", STREAMS);
    let mut violations = mixed(&answers);
    sleep(Duration::from_millis(2_000));
    for it in instance
        .lines_with("another process may have taken")
        .into_iter()
        .chain(instance.lines_with("process is that of its entry"))
        .chain(instance.lines_with("response continues the stream"))
    {
        record.line(&format!("log {it}"));
    }
    drop(instance);
    record.line(&format!("streams of two versions: {}, allowed {ALLOWED}", violations.len()));
    if violations.len() <= ALLOWED {
        violations.clear();
    }
    finish(&record, &violations);
}

//! Case 6: the operator takes away all keys of a deployment with one tenant.

use std::{
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
};

use review_standins_2::{
    client::Call,
    finish, has_trouble,
    instance::Instance,
    manifest::{Route, manifest},
    record::Record,
    server::{Entry, Handler, Server, plain_answer, write},
    store::Store,
};

/// `configMs` of the site.
const CONFIG_MS: u64 = 2_500;
/// Keys of the only tenant.
const KEYS: [&str; 2] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"];
/// A key that no manifest holds.
const UNKNOWN_KEY: &str = "nobody-holds-this-key";

fn manifest_with(version: u64, keys: &[&str]) -> String {
    let route = |name, kind| Route {
        name,
        kind,
        service: "puldiabi",
        timeout_ms: 2_500,
        goal_ms: 250,
        attempts: 1,
        more: "",
    };
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    let tenants = format!(r#"{{"name":"huka270","apiKeys":[{}],"priority":1}}"#, keys.join(","));
    let routes = [route("publish", "non_idempotent"), route("fetch", "idempotent")];
    manifest(version, &routes, &tenants)
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.put_manifest(&manifest_with(1, &KEYS));
    // Id, tenant and passed-on key of each request that ran.
    let ran = Arc::<Mutex<Vec<(String, Option<String>, Option<String>)>>>::default();
    let runs = Arc::clone(&ran);
    let handler: Handler = Arc::new(move |request, stream| {
        let tenant = request.header("x-tenant").map(str::to_owned);
        let key = request.header("authorization").map(str::to_owned);
        runs.lock().expect("not poisoned").push((request.id().to_owned(), tenant, key));
        write(stream, &plain_answer(request, "done"))
    });
    let any = ([127, 0, 0, 1], 0).into();
    let server = Server::start(any, "i-a", handler);
    let entry = Entry {
        service: "puldiabi",
        address: server.address,
        version: "v1",
        slots: 6,
        born: 1,
        seq: 1,
    };
    store.put("keyed.servers", "i-a", Some(&entry.json()));
    let instance = Instance::start(&record, "front-1", store.address, "");
    sleep(Duration::from_millis(1_500));

    let send = |id: &str, path: &str, key: Option<&str>| {
        let method = if path.starts_with("/fetch") { "GET" } else { "POST" };
        let mut call = Call::new(method, path, id, "");
        call.key = key.map(str::to_owned);
        let status = call.send(instance.listen).map_or(0, |it| it.status());
        let runs = ran.lock().expect("not poisoned").clone();
        let run = runs.into_iter().find(|(it, ..)| it == id);
        record.line(&format!("{id}: {method} {path} key {key:?} -> status {status}, ran {run:?}"));
        (status, run)
    };
    for (at, key) in KEYS.iter().enumerate() {
        let (status, run) = send(&format!("before-{at}"), "/publish/a", Some(key));
        if status != 200 || run.is_none() {
            drop(instance);
            review_standins_2::could_not_run(&record, "a request with a held key is not served");
        }
    }
    if send("before-unknown", "/publish/a", Some(UNKNOWN_KEY)).0 != 401 {
        drop(instance);
        review_standins_2::could_not_run(&record, "an unknown key is not refused at the start");
    }

    let left: &[&str] = if has_trouble() { &[] } else { &KEYS };
    if has_trouble() {
        // One after the other, as `revoke` does.
        store.put_manifest(&manifest_with(2, &KEYS[1..]));
        record.line("manifest 2 is acknowledged: the first key is taken away");
        sleep(Duration::from_millis(1_500));
    }
    store.put_manifest(&manifest_with(3, left));
    record.line(&format!("manifest 3 is acknowledged, with {} keys", left.len()));
    sleep(Duration::from_millis(CONFIG_MS + 1_500));

    let mut violations = Vec::new();
    let cases = [
        ("after-key-0", "/publish/a", Some(KEYS[0])),
        ("after-key-1", "/publish/a", Some(KEYS[1])),
        ("after-fetch", "/fetch/a", Some(KEYS[1])),
        ("after-unknown", "/publish/a", Some(UNKNOWN_KEY)),
        ("after-no-key", "/publish/a", None),
    ];
    for (id, path, key) in cases {
        let (status, run) = send(id, path, key);
        let is_held = key.is_some_and(|it| left.contains(&it));
        if is_held {
            if status != 200 {
                violations.push(format!("{id}: a held key is refused with {status}"));
            }
            continue;
        }
        if let Some((_, tenant, passed_on)) = run {
            violations.push(match key {
                Some(UNKNOWN_KEY) => {
                    format!("ROUTE {id}: ran with a key that no manifest ever held")
                }
                Some(_) => {
                    format!("CONFIG {id}: ran with a dropped key, over configMs after the ack")
                }
                None => format!("CONFIG {id}: ran without a key on a route that is not public"),
            });
            if passed_on.is_some() {
                violations
                    .push(format!("UNASKED {id}: the key itself was passed on, tenant {tenant:?}"));
            }
        }
    }
    drop(instance);
    server.end();
    finish(&record, &violations);
}

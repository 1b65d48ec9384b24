//! Case 10: a server answers before it has read a long body, and reads on later. Its stream is cut on the way.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::Command,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use review_standins_2::{
    client::{Call, read_answer},
    could_not_run, finish, has_trouble,
    http::Message,
    instance::Instance,
    manifest::{Route, manifest},
    record::Record,
    server::{Entry, chunk, stream_head, write},
    store::Store,
};
use socket2::{Domain, Socket, Type};

const KEY: &str = "xd9dnn2ctnfzs989anu6";
const SERVER: &str = "i-a";
/// Receive buffer of the server: links have small windows.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;
/// Instances, of which the first gets SIGHUP and all requests.
const INSTANCES: usize = 3;
const CALLERS: usize = 6;
/// Largest body of the requests on the sheet.
const BODY_BYTES: usize = 110_000;
/// `goalMs` and time limit of the route.
const GOAL_MS: u64 = 600;
const TIME_LIMIT: Duration = Duration::from_millis(6_000);
/// Gap after which callers abandon a stream: four times the objective.
const ABANDON_AFTER: Duration = Duration::from_millis(4 * GOAL_MS);
const EVENTS: usize = 45;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

/// Reads a head byte by byte, so that nothing of a body is read with them.
fn read_head(mut stream: &TcpStream) -> io::Result<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.lines();
    let first_line = lines.next().unwrap_or("").to_owned();
    let header = |it: &str| {
        let (name, value) = it.split_once(':')?;
        Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers = lines.filter_map(header).collect();
    Ok(Message { first_line, headers, ..Message::default() })
}

fn read_body(mut stream: &TcpStream, request: &Message) -> io::Result<Vec<u8>> {
    let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn send_events(stream: &TcpStream, request: &Message) -> bool {
    let mut is_open = write(stream, &stream_head(request));
    for number in 1..=EVENTS {
        is_open =
            is_open && write(stream, &chunk(&format!("id: {number}\ndata: part {number}\n\n")));
        sleep(EVENT_INTERVAL);
    }
    is_open && write(stream, "0\r\n\r\n")
}

/// Serves a connection. A server that answers early reads the body after its whole answer.
fn serve(record: &Record, stream: &TcpStream, answers_early: bool) -> io::Result<()> {
    loop {
        let request = read_head(stream)?;
        let id = request.id().to_owned();
        if request.header("x-expect-instance").is_some_and(|it| it != SERVER) {
            write(stream, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
            return Ok(());
        }
        if request.target() == "/healthz" {
            write(
                stream,
                &format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {SERVER}\r\nContent-Length: 0\r\n\r\n"),
            );
            continue;
        }
        if !answers_early {
            let body = read_body(stream, &request)?;
            record.line(&format!("server: {id} has {} bytes of body", body.len()));
        }
        let is_sent = send_events(stream, &request);
        record.line(&format!("server: {id} whole answer sent: {is_sent}"));
        if answers_early {
            match read_body(stream, &request) {
                Ok(body) => record.line(&format!(
                    "server: {id} reads on and has {} bytes of body, as sent: {}",
                    body.len(),
                    body.iter().all(|it| *it == b'b')
                )),
                Err(error) => record.line(&format!("server: {id} reads on: {error}")),
            }
        }
        if !is_sent {
            return Ok(());
        }
    }
}

/// Sends a request and reads its answer, until the stream pauses for too long.
fn send(call: &Call, listen: SocketAddr) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&listen, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(ABANDON_AFTER))?;
    stream.write_all(&call.bytes())?;
    read_answer(&stream)
}

fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(128)?;
    Ok(socket.into())
}

fn main() {
    let record = Arc::new(Record::create());
    let store = Store::start();
    let route = Route {
        name: "align",
        kind: "stream",
        service: "tekstur",
        timeout_ms: TIME_LIMIT.as_millis() as u64,
        goal_ms: GOAL_MS,
        attempts: 1,
        more: r#","sticky":true,"resumable":false,"gapGoalMs":250"#,
    };
    let tenants = format!(r#"{{"name":"huka270","apiKeys":["{KEY}"],"priority":1}}"#);
    store.put_manifest(&manifest(1, &[route], &tenants));
    let listener = listen().expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let server_record = Arc::clone(&record);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = Arc::clone(&server_record);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let _ = serve(&record, &stream, has_trouble());
            });
        }
    });
    let entry = Entry { service: "tekstur", address, version: "v1", slots: 128, born: 1, seq: 1 };
    store.put("keyed.servers", SERVER, Some(&entry.json()));
    let instances: Vec<Instance> = (1..=INSTANCES)
        .map(|it| Instance::start(&record, &format!("front-{it}"), store.address, ""))
        .collect();
    let instance = &instances[0];
    sleep(Duration::from_millis(2_000));
    let process = instance.process_id().to_string();
    let is_sent =
        Command::new("kill").args(["-HUP", &process]).status().is_ok_and(|it| it.success());
    if !is_sent {
        drop(instances);
        could_not_run(&record, "SIGHUP can't be sent");
    }
    record.line("SIGHUP is sent to the first instance; the settings are unchanged");
    sleep(Duration::from_millis(100));
    let callers: Vec<_> = (0..CALLERS)
        .map(|at| {
            let (listen, record) = (instance.listen, Arc::clone(&record));
            thread::spawn(move || {
                let id = format!("align-{at}");
                let mut call = Call::new("POST", "/align/a", &id, KEY);
                call.deadline_ms = TIME_LIMIT.as_millis() as u64;
                let own_part = 0x91bd_0000u32 + at as u32 * 7919;
                call.headers = vec![
                    ("X-Model".to_owned(), "m".to_owned()),
                    ("X-Token-Count".to_owned(), "720,135".to_owned()),
                    ("X-Prompt-Prefix".to_owned(), format!("5c1e07a2:120,{own_part:x}:600")),
                ];
                call.body = vec![b'b'; BODY_BYTES];
                let begin = Instant::now();
                let answer = send(&call, listen).unwrap_or_default();
                let took = begin.elapsed();
                let text = answer.text();
                let events = text.lines().filter(|it| it.starts_with("id: ")).count();
                record.line(&format!(
                    "{id}: status {}, {events} of {EVENTS} events, complete {}, after {} ms",
                    answer.status(),
                    answer.is_complete,
                    took.as_millis()
                ));
                (id, answer.is_complete, events, took)
            })
        })
        .collect();
    let mut violations = Vec::new();
    for (id, is_complete, events, took) in callers.into_iter().filter_map(|it| it.join().ok()) {
        if !is_complete && took < TIME_LIMIT {
            let took_ms = took.as_millis();
            violations.push(format!(
                "LOST {id}: passed on to a sound server, and its channel ended after {took_ms} ms and {events} of {EVENTS} events, without a complete answer"
            ));
        }
    }
    // The server reads on once it has answered.
    sleep(EVENT_INTERVAL * EVENTS as u32);
    for it in instance.lines_with("align-0").iter().take(3) {
        record.line(&format!("log {it}"));
    }
    drop(instances);
    finish(&record, &violations);
}

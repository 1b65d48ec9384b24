//! The platform's store: keyed and plain topics, long polls, and conditional appends.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::Reader;

/// Most items of a page of newest records.
const PAGE_ITEMS: usize = 50;

type Records = Vec<(Vec<u8>, Option<Vec<u8>>)>;

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Records>>,
    changed: Condvar,
}

/// A store that serves until the program ends.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts the store.
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::<Shared>::default();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(&shared, &stream));
            }
        });
        Store { address, shared }
    }

    /// Appends a record of a key; `None` removes it.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let value = value.map(|it| it.as_bytes().to_vec());
        let mut topics = self.shared.topics.lock().expect("not poisoned");
        topics.entry(topic.to_owned()).or_default().push((key.as_bytes().to_vec(), value));
        drop(topics);
        self.shared.changed.notify_all();
    }

    /// Writes the operator's manifest.
    pub fn put_manifest(&self, manifest: &str) {
        self.put("keyed.op", "config", Some(manifest));
    }
}

fn serve(shared: &Shared, stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    loop {
        let Ok(Some(mut request)) = reader.head() else { return };
        if reader.body(&mut request, false).is_err() || !request.is_complete {
            return;
        }
        let (status, body) = answer(shared, request.target(), &request.body);
        let head = format!(
            "HTTP/1.1 {status} S\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body].concat();
        if (&mut &*stream).write_all(&bytes).is_err() {
            return;
        }
    }
}

fn answer(shared: &Shared, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let parameter = |name: &str| -> Option<String> {
        let value = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='));
        value.map(percent_decode)
    };
    let number = |name: &str| parameter(name).and_then(|it| it.parse::<u64>().ok());
    let topic = parameter("topic").unwrap_or_default();
    match path {
        "/log-newest" => (200, newest(shared, &topic, parameter("after"))),
        "/log-read" => {
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
            read(shared, &topic, number("from").unwrap_or(0) as usize, wait)
        }
        "/log-append" => append(shared, &topic, number("at"), body),
        _ => (404, Vec::new()),
    }
}

fn newest(shared: &Shared, topic: &str, after: Option<String>) -> Vec<u8> {
    let topics = shared.topics.lock().expect("not poisoned");
    let records = topics.get(topic).map_or(&[][..], |it| it);
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(String::from_utf8_lossy(key).into_owned(), (offset, value.clone()));
    }
    let rest = newest.into_iter().filter_map(|(key, (at, value))| Some((key, at, value?)));
    let rest = rest.filter(|(key, ..)| after.as_ref().is_none_or(|it| key > it));
    let rest: Vec<_> = rest.collect();
    let has_more = rest.len() > PAGE_ITEMS;
    let item = |(key, at, value): &(String, usize, Vec<u8>)| {
        format!(r#"{{"key":"{key}","value":"{}","offset":{at}}}"#, base64(value))
    };
    let items: Vec<String> = rest.iter().take(PAGE_ITEMS).map(item).collect();
    let (items, end) = (items.join(","), records.len());
    format!(r#"{{"items":[{items}],"hasMore":{has_more},"end":{end}}}"#).into_bytes()
}

fn read(shared: &Shared, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
    let until = Instant::now() + wait;
    let mut topics = shared.topics.lock().expect("not poisoned");
    loop {
        let records = topics.get(topic).map_or(&[][..], |it| it);
        if from > records.len() {
            return (410, br#"{"first":0}"#.to_vec());
        }
        let left = until.saturating_duration_since(Instant::now());
        if from < records.len() || left.is_zero() {
            let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
            bytes.extend(0u64.to_be_bytes());
            for (key, value) in &records[from..] {
                let value = value.as_deref().unwrap_or_default();
                let is_keyed = topic.starts_with("keyed.");
                let key_bytes = if is_keyed { 1 + key.len() } else { 0 };
                bytes.extend(((key_bytes + value.len()) as u32).to_be_bytes());
                if is_keyed {
                    bytes.push(key.len() as u8);
                    bytes.extend(key);
                }
                bytes.extend(value);
            }
            return (200, bytes);
        }
        topics = shared.changed.wait_timeout(topics, left).expect("not poisoned").0;
    }
}

fn append(shared: &Shared, topic: &str, at: Option<u64>, mut body: &[u8]) -> (u16, Vec<u8>) {
    let mut topics = shared.topics.lock().expect("not poisoned");
    let records = topics.entry(topic.to_owned()).or_default();
    let begin = records.len();
    if at.is_some_and(|it| it != begin as u64) {
        return (412, format!(r#"{{"end":{begin}}}"#).into_bytes());
    }
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        if body.len() < 4 + length {
            return (400, Vec::new());
        }
        let content = &body[4..4 + length];
        body = &body[4 + length..];
        let key_length = match topic.starts_with("keyed.") {
            true => 1 + content.first().map_or(0, |it| usize::from(*it)),
            false => 0,
        };
        let key = content.get(1..key_length).unwrap_or_default().to_vec();
        let value = content[key_length.min(content.len())..].to_vec();
        let value = (!value.is_empty() || key_length == 0).then_some(value);
        records.push((key, value));
    }
    let end = records.len();
    drop(topics);
    shared.changed.notify_all();
    (200, format!(r#"{{"offset":{begin},"end":{end}}}"#).into_bytes())
}

fn percent_decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut decoded = parts.next().unwrap_or("").as_bytes().to_vec();
    for part in parts {
        let (hex, rest) = part.split_at(part.len().min(2));
        decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
        decoded.extend(rest.bytes());
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

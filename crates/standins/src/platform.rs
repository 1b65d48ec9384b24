//! The platform's append-only log and its lagging list.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;
use serde_json::value::RawValue;
use tokio::{sync::watch, time::Instant};

use crate::{
    list::ListHistory,
    log::{ReadAnswer, ReadQuery, Stream},
    server::{Dropped, Reply, Server, error, json, pause_ms},
};
pub use crate::{
    list::{Entry, EntryKind, EntryState},
    log::Record,
};

const LOG_PATH: &str = "/v1/log/";

const MAX_WAIT_MS: u64 = 60_000;

/// Limits of the platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Records that each stream keeps.
    pub max_records: usize,
    /// Age up to which records are kept, in milliseconds.
    pub max_age_ms: u64,
    /// Appends taken a second, over all streams; more are refused.
    pub max_appends_per_s: u32,
    /// Status of appends refused for that limit.
    pub limit_status: u16,
    /// Age of what the list says, in milliseconds.
    pub list_lag_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> PlatformSettings {
        PlatformSettings {
            max_records: usize::MAX,
            max_age_ms: u64::MAX,
            max_appends_per_s: u32::MAX,
            limit_status: 429,
            list_lag_ms: 0,
        }
    }
}

/// Whether a part of the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// It does.
    #[default]
    Up,
    /// It answers with status 503.
    Unavailable,
    /// It takes requests and never answers.
    Hangs,
}

/// What goes wrong at the platform.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    /// Whether the log answers.
    pub log: Availability,
    /// Whether the list answers.
    pub list: Availability,
    /// Time before a request of the log takes effect, in milliseconds. An append
    /// takes effect also when its caller has left meanwhile.
    pub delay_ms: u64,
    /// Time between the effect of an append and its answer, in milliseconds.
    pub answer_delay_ms: u64,
    /// This many appends to come take effect and lose their answer.
    pub lost_answers: u32,
}

/// The platform on a port of its own.
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    settings: PlatformSettings,
    faults: watch::Sender<PlatformFaults>,
    state: Mutex<State>,
    /// Counts appends, for those who wait for them.
    appended: watch::Sender<u64>,
}

struct State {
    streams: HashMap<String, Stream>,
    list: ListHistory,
    appends: u64,
    received_appends: u64,
    second: Instant,
    appends_this_second: u32,
}

impl Platform {
    /// Starts an empty platform on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(settings: PlatformSettings) -> io::Result<Platform> {
        let shared = Arc::new(Shared::new(settings));
        let handler = Arc::clone(&shared);
        let server = Server::start(move |request| handle(Arc::clone(&handler), request)).await?;
        Ok(Platform { server, shared })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong, from the next request on.
    pub fn switch(&self, change: impl FnOnce(&mut PlatformFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Closes every connection and refuses new ones.
    pub async fn refuse(&self) {
        self.server.control().refuse().await;
    }

    /// Takes connections again.
    pub async fn accept(&self) {
        self.server.control().accept().await;
    }

    /// Appends a record, whatever goes wrong, and returns its offset.
    pub fn append(&self, stream: &str, payload: impl Into<Bytes>) -> u64 {
        self.shared.append(stream, payload.into())
    }

    /// The records that a stream still holds.
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let mut state = self.shared.state();
        state.expire(&self.shared.settings);
        state.streams.get(stream).map(Stream::records).unwrap_or_default()
    }

    /// Forgets the records of a stream before an offset.
    pub fn trim(&self, stream: &str, before_offset: u64) {
        if let Some(stream) = self.shared.state().streams.get_mut(stream) {
            stream.trim(before_offset);
        }
    }

    /// Number of appends that took effect since the start.
    pub fn appends(&self) -> u64 {
        self.shared.state().appends
    }

    /// Number of appends that arrived since the start, also those without effect.
    pub fn received_appends(&self) -> u64 {
        self.shared.state().received_appends
    }

    /// Waits until that many appends took effect since the start.
    pub async fn wait_for_appends(&self, appends: u64) {
        let _ = self.shared.appended.subscribe().wait_for(|it| *it >= appends).await;
    }

    /// Sets the list; readers see it once the lag has passed.
    pub fn set_entries(&self, entries: Vec<Entry>) {
        self.shared.state().list.set(entries);
    }

    /// Sets further items of the list, which are JSON of any form. Panics on what is not JSON.
    pub fn set_odd_entries(&self, items: impl IntoIterator<Item = String>) {
        let raw = |it| RawValue::from_string(it).expect("an item is JSON");
        self.shared.state().list.set_odd(items.into_iter().map(raw).collect());
    }

    /// The list as last set.
    pub fn entries(&self) -> Vec<Entry> {
        self.shared.state().list.latest()
    }
}

impl Shared {
    fn new(settings: PlatformSettings) -> Shared {
        let state = State {
            streams: HashMap::new(),
            list: ListHistory::default(),
            appends: 0,
            received_appends: 0,
            second: Instant::now(),
            appends_this_second: 0,
        };
        Shared {
            settings,
            faults: watch::Sender::default(),
            state: Mutex::new(state),
            appended: watch::Sender::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, payload: Bytes) -> u64 {
        let (offset, appends) = {
            let mut state = self.state();
            let offset = state.append(stream, payload);
            state.expire(&self.settings);
            (offset, state.appends)
        };
        self.appended.send_replace(appends);
        offset
    }

    /// Takes one answer from those that are to be lost.
    fn loses_answer(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let lost = faults.lost_answers > 0;
            faults.lost_answers = faults.lost_answers.saturating_sub(1);
            lost
        })
    }
}

impl State {
    fn append(&mut self, stream: &str, payload: Bytes) -> u64 {
        self.appends += 1;
        self.streams.entry(stream.to_owned()).or_default().append(payload)
    }

    fn expire(&mut self, settings: &PlatformSettings) {
        let oldest_unix_ms = unix_ms().saturating_sub(settings.max_age_ms);
        for stream in self.streams.values_mut() {
            stream.expire(settings.max_records, oldest_unix_ms);
        }
    }

    /// Whether one more append fits into this second.
    fn takes_append(&mut self, max_appends_per_s: u32) -> bool {
        self.received_appends += 1;
        let now = Instant::now();
        if now - self.second >= Duration::from_secs(1) {
            self.second = now;
            self.appends_this_second = 0;
        }
        self.appends_this_second = self.appends_this_second.saturating_add(1);
        self.appends_this_second <= max_appends_per_s
    }

    fn read(&self, stream: &str, query: &ReadQuery) -> ReadAnswer {
        match self.streams.get(stream) {
            Some(stream) => stream.read(query),
            None => Stream::default().read(query),
        }
    }
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: u64,
}

async fn handle(shared: Arc<Shared>, request: Request<Bytes>) -> Reply {
    let faults = shared.faults.borrow().clone();
    let path = request.uri().path().to_owned();
    if path == "/v1/list" {
        available(faults.list).await?;
        if faults.list == Availability::Unavailable {
            return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "the list is down"));
        }
        let list = shared.state().list.read(shared.settings.list_lag_ms);
        return Ok(json(StatusCode::OK, &list));
    }
    let Some(stream) = path.strip_prefix(LOG_PATH).filter(|it| !it.is_empty()) else {
        return Ok(error(StatusCode::NOT_FOUND, "no such path"));
    };
    available(faults.log).await?;
    if faults.log == Availability::Unavailable {
        return Ok(error(StatusCode::SERVICE_UNAVAILABLE, "the log is down"));
    }
    match *request.method() {
        Method::POST => append(&shared, stream, &faults, request.into_body()).await,
        Method::GET => {
            pause_ms(faults.delay_ms).await;
            read(&shared, stream, request.uri().query().unwrap_or("")).await
        }
        _ => Ok(error(StatusCode::METHOD_NOT_ALLOWED, "append by POST, read by GET")),
    }
}

/// Never returns where the part hangs.
async fn available(part: Availability) -> Result<(), Dropped> {
    if part == Availability::Hangs {
        std::future::pending::<()>().await;
    }
    Ok(())
}

async fn append(
    shared: &Arc<Shared>,
    stream: &str,
    faults: &PlatformFaults,
    payload: Bytes,
) -> Reply {
    if !shared.state().takes_append(shared.settings.max_appends_per_s) {
        let status = StatusCode::from_u16(shared.settings.limit_status);
        let status = status.unwrap_or(StatusCode::TOO_MANY_REQUESTS);
        return Ok(error(status, "too many appends a second"));
    }
    let (owner, name, delay_ms) = (Arc::clone(shared), stream.to_owned(), faults.delay_ms);
    // In a task of its own, so that it takes effect also when the caller leaves.
    let effect = tokio::spawn(async move {
        pause_ms(delay_ms).await;
        owner.append(&name, payload)
    });
    let offset = effect.await.map_err(|_| Dropped)?;
    if shared.loses_answer() {
        return Err(Dropped);
    }
    pause_ms(faults.answer_delay_ms).await;
    Ok(json(StatusCode::OK, &AppendAnswer { offset }))
}

async fn read(shared: &Shared, stream: &str, query: &str) -> Reply {
    let Some(query) = ReadQuery::parse(query) else {
        return Ok(error(StatusCode::BAD_REQUEST, "from, limit and wait_ms are numbers"));
    };
    let until = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut appended = shared.appended.subscribe();
    loop {
        appended.borrow_and_update();
        let answer = {
            let mut state = shared.state();
            state.expire(&shared.settings);
            state.read(stream, &query)
        };
        if !answer.is_empty() {
            return Ok(json(StatusCode::OK, &answer));
        }
        if tokio::time::timeout_at(until, appended.changed()).await.is_err() {
            return Ok(json(StatusCode::OK, &answer));
        }
    }
}

/// The time, in milliseconds of Unix time.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.as_millis() as u64)
}

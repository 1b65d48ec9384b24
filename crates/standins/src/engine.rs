//! A model engine with continuous batching.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{
    sync::{Notify, watch},
    task::JoinHandle,
};

use crate::{
    batch::{self, Batch},
    chat,
    gate::GateControl,
    load::{self, Load, LoadHistory},
    run::RunRecord,
    server::Server,
};

/// Size and pace of an engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Models it serves; empty for any.
    pub models: Vec<String>,
    /// Runs computed together.
    pub slots: usize,
    /// Runs that may wait for a slot; more are refused before running.
    pub max_waiting: usize,
    /// Pace of prompt tokens.
    pub prefill_tokens_per_s: f64,
    /// Pace of generated tokens of a run that is alone.
    pub decode_tokens_per_s: f64,
    /// What each further run of the batch adds to a step, in percent.
    pub batch_slowdown_percent: f64,
    /// Blocks of 16 tokens that the prefix cache holds.
    pub prefix_cache_blocks: usize,
    /// Age of what load reports say, in milliseconds.
    pub load_lag_ms: u64,
    /// Length of an answer where the request does not say, in tokens.
    pub output_tokens: u32,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            models: Vec::new(),
            slots: 16,
            max_waiting: 256,
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 500.0,
            batch_slowdown_percent: 2.0,
            prefix_cache_blocks: 4_096,
            load_lag_ms: 0,
            output_tokens: 24,
        }
    }
}

/// Whether an engine or service is about to leave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Leaving {
    /// It stays.
    #[default]
    No,
    /// It says so on every answer, and still runs what it gets.
    Announces,
    /// It says so, and refuses new work before running it.
    Refuses,
}

/// What goes wrong at an engine.
#[derive(Clone, Debug)]
pub struct EngineFaults {
    /// Times longer that every step takes.
    pub slow_factor: f64,
    /// No step is computed, though connections are taken.
    pub hang: bool,
    /// Each run breaks off once it has generated this many tokens.
    pub die_after_tokens: Option<u32>,
    /// Runs go on after their caller left.
    pub ignores_cancel: bool,
    /// Answers cannot be parsed.
    pub nonsense: bool,
    /// Answers are those of another request, with its ids.
    pub crossed: bool,
    /// The chunk of this token is one of another answer.
    pub stray_chunk_at_token: Option<u32>,
    /// A request to resume is run from the start.
    pub ignores_resume: bool,
    /// Every request is refused with status 429 before running.
    pub refuses: bool,
    /// It gives no load reports.
    pub no_load_reports: bool,
    /// A request whose body holds this text takes the whole engine down.
    pub crash_marker: Option<String>,
    /// Whether it is about to leave.
    pub leaving: Leaving,
}

impl Default for EngineFaults {
    fn default() -> EngineFaults {
        EngineFaults {
            slow_factor: 1.0,
            hang: false,
            die_after_tokens: None,
            ignores_cancel: false,
            nonsense: false,
            crossed: false,
            stray_chunk_at_token: None,
            ignores_resume: false,
            refuses: false,
            no_load_reports: false,
            crash_marker: None,
            leaving: Leaving::No,
        }
    }
}

/// A model engine on a port of its own.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 2],
}

/// What the connections, the batch and the handle of an engine share.
pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    pub(crate) faults: watch::Sender<EngineFaults>,
    pub(crate) work: Notify,
    pub(crate) history: Mutex<LoadHistory>,
    batch: Mutex<Batch>,
    pub(crate) gate: Mutex<Option<GateControl>>,
}

impl Engine {
    /// Starts an engine on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(settings: EngineSettings) -> io::Result<Engine> {
        let shared = Arc::new(Shared::new(settings));
        let handler = Arc::clone(&shared);
        let server =
            Server::start(move |request| chat::handle(Arc::clone(&handler), request)).await?;
        *lock(&shared.gate) = Some(server.control().clone());
        let tasks = [
            tokio::spawn(batch::compute(Arc::clone(&shared))),
            tokio::spawn(load::sample(Arc::clone(&shared))),
        ];
        Ok(Engine { server, shared, tasks })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what goes wrong, from the next step on.
    pub fn switch(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Every run since the start, in order of arrival.
    pub fn records(&self) -> Vec<RunRecord> {
        self.shared.batch().records.clone()
    }

    /// The load at this moment.
    pub fn load(&self) -> Load {
        load::now(&self.shared)
    }

    /// Breaks off every run, closes every connection and refuses new ones.
    pub async fn crash(&self) {
        crash(&self.shared, self.server.control()).await;
    }

    /// Closes every connection, which cancels its runs, and goes on.
    pub async fn sever(&self) {
        self.server.control().sever().await;
    }

    /// Takes connections again after [`Engine::crash`], with an empty cache.
    pub async fn revive(&self) {
        self.server.control().accept().await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    fn new(settings: EngineSettings) -> Shared {
        Shared {
            batch: Mutex::new(Batch::new(settings.prefix_cache_blocks)),
            settings,
            faults: watch::Sender::default(),
            work: Notify::new(),
            history: Mutex::default(),
            gate: Mutex::default(),
        }
    }

    pub(crate) fn batch(&self) -> MutexGuard<'_, Batch> {
        lock(&self.batch)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Breaks off every run and refuses connections.
pub(crate) async fn crash(shared: &Shared, gate: &GateControl) {
    shared.batch().crash();
    gate.refuse().await;
    shared.batch().crash();
}

//! Follows the platform's stream of sheets and brings accepted ones into force.

use std::{sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagergauge_core::{
    log::{LogRecord, Page},
    record::{SHEETS_STREAM, SheetRecord, Snapshot},
    sheet_replica::{Effect, SheetReplica},
};
use tokio::sync::{oneshot, watch};

use crate::{
    clock::unix_ms,
    dispatcher,
    journal::{Event, EventKind},
    platform::{self, Platform, PlatformError},
    rules::RULES,
    shared::Shared,
    view::View,
};

/// Longest wait of one read for a new record.
const LONG_POLL: Duration = Duration::from_millis(5000);
/// Records asked for in one read.
const PAGE_RECORDS: usize = 256;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time over which instances spread the re-publication of one snapshot, in milliseconds.
const SNAPSHOT_SPREAD_MS: u64 = 60_000;

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
    /// The platform's log.
    pub platform: Platform,
    /// What requests share.
    pub shared: Arc<Shared>,
    /// Where sheets in force go.
    pub view: watch::Sender<Option<Arc<View>>>,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// A read of the log ended.
    Read(Result<platform::Page, PlatformError>),
    /// A peer's copy of the configuration.
    Adopt(Snapshot),
    /// Somebody asks for our copy.
    Copy(oneshot::Sender<Option<Snapshot>>),
}

/// The actor that folds the stream.
#[derive(Debug)]
pub struct Follower;

/// What the actor keeps.
#[derive(Debug)]
pub struct State {
    fold: SheetReplica,
    platform: Arc<Platform>,
    shared: Arc<Shared>,
    view: watch::Sender<Option<Arc<View>>>,
}

impl Actor for Follower {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let state = State {
            fold: SheetReplica::new(RULES),
            platform: Arc::new(arguments.platform),
            shared: arguments.shared,
            view: arguments.view,
        };
        state.read_next(myself, Duration::ZERO);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Read(Ok(page)) => {
                let effects = state.fold.apply_page(&core_page(page));
                state.apply(&effects);
                state.republish();
                state.read_next(myself, Duration::ZERO);
            }
            Message::Read(Err(error)) => {
                tracing::debug!(%error, "reading sheets failed");
                state.read_next(myself, RETRY_PAUSE);
            }
            Message::Adopt(copy) => {
                let effects = state.fold.adopt(&copy);
                state.apply(&effects);
            }
            // Whoever asked may have stopped waiting.
            Message::Copy(reply) => drop(reply.send(state.fold.snapshot())),
        }
        Ok(())
    }
}

impl State {
    /// Reads the log in a task of its own, so that peers are answered meanwhile.
    fn read_next(&self, myself: ActorRef<Message>, pause: Duration) {
        let platform = Arc::clone(&self.platform);
        let from = self.fold.next_offset();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let page = platform.read(SHEETS_STREAM, from, PAGE_RECORDS, LONG_POLL).await;
            // The actor is gone only when the process stops.
            let _ = myself.send_message(Message::Read(page));
        });
    }

    fn apply(&self, effects: &[Effect]) {
        for effect in effects {
            self.record(effect);
        }
        let Some(in_force) = self.fold.in_force().filter(|_| self.fold.is_ready()) else {
            return;
        };
        let version = in_force.version;
        if self.view.borrow().as_ref().is_some_and(|it| it.version >= version) {
            return;
        }
        let view = Arc::new(View::new(version, Arc::clone(&in_force.sheet)));
        // The dispatcher is gone only when the process stops.
        let _ = self.shared.dispatcher.send_message(dispatcher::Message::Sheet(Arc::clone(&view)));
        // Recorded first, so that whoever sees the instance ready finds the event.
        let detail = Some(format!("version {version}"));
        self.shared.journal.record(Event { detail, ..Event::new(EventKind::SheetInForce) });
        self.view.send_replace(Some(view));
    }

    fn record(&self, effect: &Effect) {
        match effect {
            Effect::Rejected { .. } => {
                let detail = Some(format!("{effect:?}"));
                let event = Event { detail, ..Event::new(EventKind::SheetRejected) };
                self.shared.journal.record(event);
            }
            Effect::Accepted { .. } | Effect::Copied { .. } => {}
            Effect::Gap { .. } | Effect::Unreadable { .. } | Effect::LogShrank { .. } => {
                tracing::warn!(?effect, "the stream of sheets is not whole");
            }
        }
    }

    /// Appends a snapshot before the sheet in force ages out of the log.
    fn republish(&self) {
        let retention_ms = self.shared.settings.platform.retention_ms;
        let turn_ms = turn_ms(&self.shared.settings.instance).min(retention_ms / 4);
        let now_unix_ms = unix_ms().saturating_sub(turn_ms);
        let Some(snapshot) = self.fold.due_snapshot(now_unix_ms, retention_ms) else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        let record = SheetRecord::Snapshot(snapshot).encode();
        tokio::spawn(async move {
            // A second snapshot does no harm, so that a lost answer needs no care.
            if let Err(error) = platform.append(SHEETS_STREAM, record).await {
                tracing::warn!(%error, "re-publishing the sheet failed");
            }
        });
    }
}

/// When within the spread this instance takes its turn, in milliseconds.
fn turn_ms(instance: &str) -> u64 {
    let hash = blake3::hash(instance.as_bytes());
    let [a, b, ..] = *hash.as_bytes();
    u64::from(u16::from_be_bytes([a, b])) * SNAPSHOT_SPREAD_MS / u64::from(u16::MAX)
}

/// A page as the core reads it.
pub(crate) fn core_page(page: platform::Page) -> Page {
    let record = |it: platform::PageRecord| LogRecord {
        offset: it.offset,
        appended_unix_ms: it.appended_unix_ms,
        // What is not base64 is kept as an unreadable record.
        payload: it.payload().unwrap_or_default(),
    };
    Page {
        first_offset: page.first_offset,
        next_offset: page.next_offset,
        records: page.records.into_iter().map(record).collect(),
    }
}

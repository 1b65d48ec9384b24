//! Claims keys in one partition of the log, many in one append, and reads who won.

use std::{collections::HashMap, sync::Arc, time::Duration};

use metrics::{counter, histogram};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagergauge_core::{
    claim::{Claim, ClaimIndex, ClaimRecord, ClaimStatus, claims_stream},
    claim_batch::{ClaimBatch, Due},
    key::{KeyId, KeyLimits},
    owner::Owner,
};
use tokio::sync::oneshot;

use crate::{
    clock::Clock,
    follower::core_page,
    platform::{self, Platform, PlatformError},
};

/// Longest wait of one read for a new record.
const LONG_POLL: Duration = Duration::from_millis(5000);
/// Longest wait of a read that goes along with an append.
const ALONG_POLL: Duration = Duration::from_millis(1000);
/// Records asked for in one read.
const PAGE_RECORDS: usize = 256;
/// Pause after a failed read or append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
    /// The partition.
    pub partition: u32,
    /// The platform's log.
    pub platform: Platform,
    /// Who claims.
    pub owner: Owner,
    /// Which claims count.
    pub limits: KeyLimits,
    /// Least time between two appends, in milliseconds.
    pub spacing_ms: u64,
    /// Monotonic time.
    pub clock: Clock,
}

/// What the actor is told.
#[derive(Debug)]
pub enum Message {
    /// Claim a key, unless somebody has, and tell who owns it.
    Claim(Claim, oneshot::Sender<ClaimStatus>),
    /// The spacing has passed.
    Due,
    /// An append failed or lost its answer; its claims may be in the log.
    Failed(ClaimRecord),
    /// A read of the log ended.
    Read(Result<platform::Page, PlatformError>),
    /// A read that went along with an append ended; what it brings may be known already.
    ReadAlong(platform::Page),
}

/// The actor.
#[derive(Debug)]
pub struct Claimer;

/// What the actor keeps.
#[derive(Debug)]
pub struct State {
    stream: Arc<str>,
    platform: Arc<Platform>,
    clock: Clock,
    index: ClaimIndex,
    batch: ClaimBatch,
    waiting: HashMap<KeyId, Waiting>,
    /// Whether [`Message::Due`] is on its way.
    timer_runs: bool,
}

/// Those who wait for a key's owner.
#[derive(Debug)]
struct Waiting {
    claim: Claim,
    since_ms: u64,
    replies: Vec<oneshot::Sender<ClaimStatus>>,
}

impl Actor for Claimer {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        arguments: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let state = State {
            stream: Arc::from(claims_stream(arguments.partition)),
            platform: Arc::new(arguments.platform),
            clock: arguments.clock,
            index: ClaimIndex::new(arguments.limits),
            batch: ClaimBatch::new(arguments.owner, arguments.spacing_ms),
            waiting: HashMap::new(),
            timer_runs: false,
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
            Message::Claim(claim, reply) => state.claim(claim, reply),
            Message::Due => state.timer_runs = false,
            Message::Failed(record) => state.claim_again(&record),
            Message::ReadAlong(page) => state.read(page),
            Message::Read(Ok(page)) => {
                state.read(page);
                state.read_next(myself.clone(), Duration::ZERO);
            }
            Message::Read(Err(error)) => {
                tracing::debug!(%error, "reading claims failed");
                state.read_next(myself.clone(), RETRY_PAUSE);
            }
        }
        state.append_due(&myself);
        Ok(())
    }
}

impl State {
    fn claim(&mut self, claim: Claim, reply: oneshot::Sender<ClaimStatus>) {
        match self.index.status(claim.key, claim.key_unix_ms) {
            ClaimStatus::Unclaimed => {
                let since_ms = self.clock.now_ms();
                let new = || Waiting { claim, since_ms, replies: Vec::new() };
                self.waiting.entry(claim.key).or_insert_with(new).replies.push(reply);
                self.batch.push(claim);
            }
            // Whoever asked may have stopped waiting.
            known => drop(reply.send(known)),
        }
    }

    /// Claims once more what somebody still waits for. A claim that stands twice does no harm.
    fn claim_again(&mut self, record: &ClaimRecord) {
        self.waiting.retain(|_, it| it.replies.iter().any(|reply| !reply.is_closed()));
        for claim in &record.claims {
            if self.waiting.contains_key(&claim.key) {
                self.batch.push(*claim);
            }
        }
    }

    fn read(&mut self, page: platform::Page) {
        let claimed = self.index.apply(&core_page(page));
        claimed.into_iter().for_each(|key| self.tell(key));
    }

    fn tell(&mut self, key: KeyId) {
        let Some(claim) = self.waiting.get(&key).map(|it| it.claim) else { return };
        let status = self.index.status(key, claim.key_unix_ms);
        if status == ClaimStatus::Unclaimed {
            return;
        }
        let Some(waiting) = self.waiting.remove(&key) else { return };
        let waited_ms = self.clock.now_ms().saturating_sub(waiting.since_ms);
        histogram!("tanagergauge_claim_seconds").record(waited_ms as f64 / 1000.0);
        for reply in waiting.replies {
            // Whoever asked may have stopped waiting.
            let _ = reply.send(status.clone());
        }
    }

    fn append_due(&mut self, myself: &ActorRef<Message>) {
        let now_ms = self.clock.now_ms();
        match self.batch.due(now_ms) {
            Due::Now => self.append(myself.clone(), now_ms),
            Due::At(at_ms) if !self.timer_runs => {
                self.timer_runs = true;
                myself.send_after(Duration::from_millis(at_ms - now_ms), || Message::Due);
            }
            Due::At(_) | Due::Never => {}
        }
    }

    /// Appends in a task of its own; what the log then holds is learnt by reading it.
    fn append(&mut self, myself: ActorRef<Message>, now_ms: u64) {
        let record = self.batch.take(now_ms);
        counter!("tanagergauge_claim_appends_total").increment(1);
        counter!("tanagergauge_claims_total").increment(record.claims.len() as u64);
        self.read_along(myself.clone());
        let platform = Arc::clone(&self.platform);
        let stream = Arc::clone(&self.stream);
        tokio::spawn(async move {
            if let Err(error) = platform.append(&stream, record.encode()).await {
                tracing::debug!(%error, "appending claims failed");
                tokio::time::sleep(RETRY_PAUSE).await;
                // The actor is gone only when the process stops.
                let _ = myself.send_message(Message::Failed(record));
            }
        });
    }

    /// Reads along with an append, since the next poll may still be on its way to the log
    /// when the append takes effect.
    fn read_along(&self, myself: ActorRef<Message>) {
        let platform = Arc::clone(&self.platform);
        let stream = Arc::clone(&self.stream);
        let from = self.index.next_offset();
        tokio::spawn(async move {
            if let Ok(page) = platform.read(&stream, from, PAGE_RECORDS, ALONG_POLL).await {
                // The actor is gone only when the process stops.
                let _ = myself.send_message(Message::ReadAlong(page));
            }
        });
    }

    /// Reads the log in a task of its own, so that claims are taken meanwhile.
    fn read_next(&self, myself: ActorRef<Message>, pause: Duration) {
        let platform = Arc::clone(&self.platform);
        let stream = Arc::clone(&self.stream);
        let from = self.index.next_offset();
        tokio::spawn(async move {
            tokio::time::sleep(pause).await;
            let page = platform.read(&stream, from, PAGE_RECORDS, LONG_POLL).await;
            // The actor is gone only when the process stops.
            let _ = myself.send_message(Message::Read(page));
        });
    }
}

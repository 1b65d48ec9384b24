//! The actor that owns the policy: which request goes next, and to which endpoint.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagergauge_core::{
    Name, Reason,
    action::{Action, Refused},
    endpoint_pool::{EndpointIndex, target_name},
    job::{AttemptEnd, Job},
    prefix_index::PrefixHashes,
    quarantine::{Fingerprint, Suspicion},
    request_fingerprints::RequestFingerprints,
    scheduler::Scheduler,
    sheet::Endpoint,
};
use tokio::{
    sync::{oneshot, watch},
    time::sleep,
};

use crate::{
    clock::{Clock, unix_ms},
    fleet_view::FleetView,
    peers,
    permit::Permit,
    policy::PolicySettings,
    refusal::Refusal,
    rounds::Rounds,
    view::{RankedClass, Target, View},
    watcher::LoadReport,
};

/// Time between two looks at what only time changes.
const TICK: Duration = Duration::from_millis(50);

/// Steps of the policy in a row before other messages are heard.
const STEP_LIMIT: usize = 256;

/// Numbers of jobs; unique in the process.
static NEXT_JOB: AtomicU64 = AtomicU64::new(1);

/// What a request needs from the dispatcher for one attempt.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// What it asks for.
    pub target: Target,
    /// Its class.
    pub class: Arc<RankedClass>,
    /// Who asks.
    pub account: Name,
    /// Bytes of its body.
    pub bytes: usize,
    /// When it arrived, by the instance's monotonic clock, in milliseconds.
    pub arrived_ms: u64,
    /// When its caller stops waiting, by the same clock.
    pub deadline_at_ms: u64,
    /// Tokens that earlier attempts delivered.
    pub delivered_tokens: u32,
    /// Most tokens the caller asked for.
    pub limit_tokens: Option<u32>,
    /// Whether its tokens can be seen as they come.
    pub is_stream: bool,
    /// Prefixes of its prompt.
    pub prefix: PrefixHashes,
    /// What it is known by if it crashes endpoints.
    pub fingerprints: RequestFingerprints,
    /// Endpoints that failed it already.
    pub excluded: Vec<Name>,
}

/// What the dispatcher is told.
#[derive(Debug)]
pub enum Message {
    /// A sheet came into force.
    Sheet(Arc<View>),
    /// The rest of the fleet can be heard and told.
    Fleet(watch::Receiver<Arc<FleetView>>, ActorRef<peers::Message>),
    /// A request waits for an endpoint, under that number.
    Acquire(u64, Box<Ask>, oneshot::Sender<Result<Permit, Refusal>>),
    /// A request waits no longer.
    Left(u64),
    /// So many tokens of an attempt have come.
    Progress(u64, u32),
    /// An attempt ended, with so many tokens.
    Ended(u64, AttemptEnd, u32),
    /// An endpoint went down with an attempt; the reply comes when its caller may be told.
    Lost(u64, u32, oneshot::Sender<()>),
    /// An endpoint takes no new work.
    Leaving(Name),
    /// An endpoint takes new work again.
    Returned(Name),
    /// An endpoint reported its load.
    Load(Name, LoadReport),
    /// What a peer knows against a request.
    Suspicion(Fingerprint, Suspicion),
    /// Time passed.
    Tick,
}

/// What the actor is started with.
#[derive(Debug)]
pub struct Arguments {
    /// Name of this instance.
    pub instance: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// The policy's settings.
    pub policy: PolicySettings,
    /// Monotonic time.
    pub clock: Clock,
}

/// The actor that owns the policy.
#[derive(Debug)]
pub struct Dispatcher;

/// What the actor keeps.
#[derive(Debug)]
pub struct State {
    own: Arguments,
    /// Unix time at which the clock read 0; the policy's time is the sum of both.
    start_unix_ms: u64,
    policy: Option<Policy>,
    replies: HashMap<u64, oneshot::Sender<Result<Permit, Refusal>>>,
    /// Endpoints that were said to leave before or after they were in a sheet.
    leaving: Vec<Name>,
    rounds: Rounds,
}

#[derive(Debug)]
struct Policy {
    scheduler: Scheduler,
    view: Arc<View>,
    endpoints: HashMap<Name, Arc<Endpoint>>,
}

impl Actor for Dispatcher {
    type Msg = Message;
    type State = State;
    type Arguments = Arguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        own: Arguments,
    ) -> Result<State, ActorProcessingErr> {
        // The handle is not needed: the interval ends with the actor.
        drop(myself.send_interval(TICK, || Message::Tick));
        let start_unix_ms = unix_ms().saturating_sub(own.clock.now_ms());
        Ok(State {
            own,
            start_unix_ms,
            policy: None,
            replies: HashMap::new(),
            leaving: Vec::new(),
            rounds: Rounds::default(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.hear(message);
        state.act(&myself);
        Ok(())
    }
}

impl State {
    fn now_ms(&self) -> u64 {
        self.start_unix_ms + self.own.clock.now_ms()
    }

    fn hear(&mut self, message: Message) {
        let now_ms = self.now_ms();
        match message {
            Message::Sheet(view) => self.take_over(view, now_ms),
            Message::Fleet(view, peers) => self.rounds.connect(view, peers),
            Message::Acquire(id, ask, reply) => self.acquire(id, &ask, reply, now_ms),
            Message::Leaving(endpoint) => self.set_leaving(&endpoint, true),
            Message::Returned(endpoint) => self.set_leaving(&endpoint, false),
            Message::Left(id) => {
                self.replies.remove(&id);
                self.with_scheduler(|it| it.cancel(id));
            }
            Message::Progress(id, tokens) => {
                self.with_scheduler(|it| it.record_progress(id, tokens, now_ms));
            }
            Message::Ended(id, end, tokens) => {
                self.with_scheduler(|it| {
                    it.record_end(id, end, tokens, now_ms);
                });
            }
            Message::Lost(id, tokens, reply) => self.lost(id, tokens, reply, now_ms),
            Message::Load(endpoint, report) => self.reported(&endpoint, report, now_ms),
            Message::Suspicion(fingerprint, suspicion) => {
                self.with_scheduler(|it| it.quarantine.merge(&[(fingerprint, suspicion)]));
            }
            Message::Tick => {
                if let Some(policy) = &mut self.policy {
                    self.rounds.round(&mut policy.scheduler, &policy.view.sheet, now_ms);
                }
            }
        }
    }

    fn with_scheduler(&mut self, change: impl FnOnce(&mut Scheduler)) {
        if let Some(policy) = &mut self.policy {
            change(&mut policy.scheduler);
        }
    }

    fn take_over(&mut self, view: Arc<View>, now_ms: u64) {
        let sheet = &view.sheet;
        let endpoints = sheet.endpoints.iter();
        let endpoints = endpoints.map(|it| (it.name.clone(), Arc::new(it.clone()))).collect();
        let scheduler = match self.policy.take() {
            Some(mut policy) => {
                policy.scheduler.update(sheet);
                policy.scheduler
            }
            None => {
                let settings = self.own.policy.scheduler(sheet.goal);
                let zone = &self.own.availability_zone;
                Scheduler::new(settings, sheet, &self.own.instance, zone, now_ms)
            }
        };
        self.policy = Some(Policy { scheduler, view, endpoints });
        for endpoint in self.leaving.clone() {
            self.set_leaving(&endpoint, true);
        }
    }

    fn set_leaving(&mut self, endpoint: &Name, leaving: bool) {
        self.leaving.retain(|it| it != endpoint);
        if leaving {
            self.leaving.push(endpoint.clone());
        }
        self.with_scheduler(|it| {
            if let Some(index) = it.endpoints.index(endpoint) {
                it.endpoints.set_leaving(index, leaving);
            }
        });
    }

    fn acquire(
        &mut self,
        id: u64,
        ask: &Ask,
        reply: oneshot::Sender<Result<Permit, Refusal>>,
        now_ms: u64,
    ) {
        let start_unix_ms = self.start_unix_ms;
        let Some(policy) = &mut self.policy else {
            let refusal = Refusal::not_run(Reason::NotReady, "no sheet is in force");
            // Whoever asked may have stopped waiting.
            let _ = reply.send(Err(refusal));
            return;
        };
        let avoid =
            ask.excluded.iter().filter_map(|it| policy.scheduler.endpoints.index(it)).collect();
        let job = ask.job(id, start_unix_ms, avoid);
        policy.scheduler.submit(job, now_ms, rand::random());
        self.replies.insert(id, reply);
    }

    fn lost(&mut self, id: u64, tokens: u32, reply: oneshot::Sender<()>, now_ms: u64) {
        let Some(policy) = &mut self.policy else { return };
        let tell_ms = policy.scheduler.record_end(id, AttemptEnd::EndpointLost, tokens, now_ms);
        self.rounds.tell_suspicions(&mut policy.scheduler, now_ms);
        let wait = Duration::from_millis(tell_ms.saturating_sub(now_ms));
        tokio::spawn(async move {
            sleep(wait).await;
            // Whoever waited may have stopped.
            let _ = reply.send(());
        });
    }

    fn reported(&mut self, endpoint: &Name, report: LoadReport, now_ms: u64) {
        let age_ms = unix_ms().saturating_sub(report.as_of_unix_ms);
        let requests = report.running.saturating_add(report.waiting);
        self.with_scheduler(|it| {
            if let Some(index) = it.endpoints.index(endpoint) {
                it.endpoints.apply_load_report(index, requests, now_ms.saturating_sub(age_ms));
            }
        });
    }

    /// Does what the policy says until it says to wait.
    fn act(&mut self, myself: &ActorRef<Message>) {
        for _ in 0..STEP_LIMIT {
            let now_ms = self.now_ms();
            let Some(policy) = &mut self.policy else { return };
            match policy.scheduler.next_action(now_ms, rand::random()) {
                Action::Send(id, index) => self.send(id, index, myself),
                Action::Refuse(id, refused) => self.refuse(id, refused),
                Action::Wait { .. } => return,
            }
        }
        // There is more to do; the next message goes on.
        let _ = myself.send_message(Message::Tick);
    }

    fn send(&mut self, id: u64, index: EndpointIndex, myself: &ActorRef<Message>) {
        let Some(policy) = &self.policy else { return };
        let name = &policy.scheduler.endpoints.endpoint(index).name;
        let endpoint = policy.endpoints.get(name).cloned();
        let reply = self.replies.remove(&id);
        match (endpoint, reply) {
            // A permit that nobody takes is dropped, which frees its slot.
            (Some(endpoint), Some(reply)) => {
                drop(reply.send(Ok(Permit::new(endpoint, id, myself.clone()))));
            }
            _ => drop(myself.send_message(Message::Ended(id, AttemptEnd::Released, 0))),
        }
    }

    fn refuse(&mut self, id: u64, refused: Refused) {
        let Some(reply) = self.replies.remove(&id) else { return };
        let mut refusal = Refusal::not_run(refused.reason, explain(refused.reason));
        refusal.retry_after_ms = refused.retry_after_ms;
        // Whoever asked may have stopped waiting.
        let _ = reply.send(Err(refusal));
    }
}

impl Ask {
    fn job(&self, id: u64, start_unix_ms: u64, avoid: Vec<EndpointIndex>) -> Job {
        let class = &self.class.class;
        Job {
            id,
            attempt: self.attempt,
            kind: self.target.kind,
            target: target_name(self.target.kind, &self.target.name),
            class: class.name.clone(),
            tier_rank: self.class.rank,
            floor_percent: class.floor_percent,
            prior: class.output_tokens,
            first_token_ms: class.first_token_ms,
            account: self.account.clone(),
            bytes: self.bytes,
            arrived_ms: start_unix_ms + self.arrived_ms,
            deadline_ms: start_unix_ms + self.deadline_at_ms,
            delivered_tokens: self.delivered_tokens,
            limit_tokens: self.limit_tokens,
            is_stream: self.is_stream,
            prefix: self.prefix.clone(),
            fingerprints: self.fingerprints.clone(),
            avoid,
            is_suspect: false,
        }
    }
}

/// A request that waits; dropping it takes it out of the queue.
struct Waiting<'a> {
    id: u64,
    dispatcher: &'a ActorRef<Message>,
    is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            // The actor is gone only when the process stops.
            let _ = self.dispatcher.send_message(Message::Left(self.id));
        }
    }
}

/// Waits for leave to try an endpoint.
///
/// # Errors
/// The request is refused and did not run.
pub async fn acquire(dispatcher: &ActorRef<Message>, ask: Ask) -> Result<Permit, Refusal> {
    let stopping = || Refusal::not_run(Reason::Stopping, "the instance is stopping");
    let id = NEXT_JOB.fetch_add(1, Ordering::Relaxed);
    let (reply, answer) = oneshot::channel();
    dispatcher.send_message(Message::Acquire(id, Box::new(ask), reply)).map_err(|_| stopping())?;
    let mut waiting = Waiting { id, dispatcher, is_over: false };
    let answer = answer.await;
    waiting.is_over = true;
    answer.unwrap_or_else(|_| Err(stopping()))
}

/// A refusal in words.
fn explain(reason: Reason) -> &'static str {
    match reason {
        Reason::Infeasible => "the deadline cannot be met with what is running and waiting",
        Reason::DeadlinePassed => "it became too late to start while the request waited",
        Reason::QueueFull => "the queue is full",
        Reason::NoEndpoint => "no endpoint is left that serves this",
        Reason::RetryBudget => "the budget of retries is spent",
        Reason::Quarantined => "endpoints were lost while a request like this one ran there",
        _ => "the request cannot be sent",
    }
}

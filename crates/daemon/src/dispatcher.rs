//! The queue of an instance: which request goes next, and to which endpoint.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tanagergauge_core::{Name, Reason, sheet::Endpoint};
use tokio::sync::oneshot;

use crate::{
    refusal::Refusal,
    view::{Target, View},
};

/// What a request needs from the dispatcher for one attempt.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The request's id.
    pub request_id: Name,
    /// What it asks for.
    pub target: Target,
    /// Rank of its tier; 0 is the most urgent.
    pub rank: usize,
    /// Endpoints that failed it already.
    pub excluded: Vec<Name>,
}

/// Leave to use one slot of an endpoint. Dropping it frees the slot.
#[derive(Debug)]
pub struct Permit {
    /// The endpoint.
    pub endpoint: Arc<Endpoint>,
    dispatcher: ActorRef<Message>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        // The actor is gone only when the process stops.
        let _ = self.dispatcher.send_message(Message::Release(self.endpoint.name.clone()));
    }
}

/// What the dispatcher is told.
#[derive(Debug)]
pub enum Message {
    /// A sheet came into force.
    Sheet(Arc<View>),
    /// A request waits for an endpoint.
    Acquire(Ask, oneshot::Sender<Result<Permit, Refusal>>),
    /// A slot is free again.
    Release(Name),
    /// An endpoint takes no new work.
    Leaving(Name),
    /// An endpoint takes new work again.
    Returned(Name),
}

/// The actor that owns the queue.
#[derive(Debug)]
pub struct Dispatcher;

/// What the actor keeps.
#[derive(Debug, Default)]
pub struct State {
    view: Option<Arc<View>>,
    waiting: VecDeque<(Ask, oneshot::Sender<Result<Permit, Refusal>>)>,
    in_flight: HashMap<Name, u32>,
    leaving: Vec<Name>,
    turn: usize,
}

enum Chosen {
    Send(Arc<Endpoint>),
    Wait,
    Refuse(Refusal),
}

impl Actor for Dispatcher {
    type Msg = Message;
    type State = State;
    type Arguments = ();

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        _arguments: (),
    ) -> Result<State, ActorProcessingErr> {
        Ok(State::default())
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            Message::Sheet(view) => state.view = Some(view),
            Message::Acquire(ask, reply) => state.waiting.push_back((ask, reply)),
            Message::Release(endpoint) => state.release(&endpoint),
            Message::Leaving(endpoint) => state.leaving.push(endpoint),
            Message::Returned(endpoint) => state.leaving.retain(|it| *it != endpoint),
        }
        state.dispatch(&myself);
        Ok(())
    }
}

impl State {
    fn release(&mut self, endpoint: &Name) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
    }

    fn dispatch(&mut self, myself: &ActorRef<Message>) {
        let mut still_waiting = VecDeque::new();
        while let Some((ask, reply)) = self.waiting.pop_front() {
            if reply.is_closed() {
                continue;
            }
            match self.choose(&ask) {
                Chosen::Wait => still_waiting.push_back((ask, reply)),
                Chosen::Refuse(refusal) => drop(reply.send(Err(refusal))),
                Chosen::Send(endpoint) => {
                    *self.in_flight.entry(endpoint.name.clone()).or_default() += 1;
                    // A permit that nobody takes is dropped, which frees its slot.
                    drop(reply.send(Ok(Permit { endpoint, dispatcher: myself.clone() })));
                }
            }
        }
        self.waiting = still_waiting;
    }

    fn choose(&mut self, ask: &Ask) -> Chosen {
        let Some(view) = self.view.clone() else {
            return Chosen::Refuse(Refusal::not_run(Reason::NotReady, "no sheet is in force"));
        };
        let usable = |it: &&Arc<Endpoint>| {
            !ask.excluded.contains(&it.name) && !self.leaving.contains(&it.name)
        };
        let usable: Vec<_> = view.endpoints(&ask.target).iter().filter(usable).collect();
        if usable.is_empty() {
            let message = format!("no endpoint left that serves `{}`", ask.target.name);
            return Chosen::Refuse(Refusal::not_run(Reason::NoEndpoint, message));
        }
        self.turn = self.turn.wrapping_add(1);
        let is_free = |it: &Endpoint| self.in_flight.get(&it.name).copied().unwrap_or(0) < it.slots;
        let turn = self.turn % usable.len();
        let in_turn = usable[turn..].iter().chain(&usable[..turn]);
        match in_turn.into_iter().find(|it| is_free(it)) {
            Some(endpoint) => Chosen::Send(Arc::clone(endpoint)),
            None => Chosen::Wait,
        }
    }
}

/// Waits for leave to try an endpoint.
///
/// # Errors
/// The request is refused and did not run.
pub async fn acquire(dispatcher: &ActorRef<Message>, ask: Ask) -> Result<Permit, Refusal> {
    let stopping = || Refusal::not_run(Reason::Stopping, "the instance is stopping");
    let (reply, answer) = oneshot::channel();
    dispatcher.send_message(Message::Acquire(ask, reply)).map_err(|_| stopping())?;
    answer.await.unwrap_or_else(|_| Err(stopping()))
}

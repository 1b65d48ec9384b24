//! What operators may ask an instance.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tanagergauge_core::{MemberState, Name};
use tokio::{
    sync::{Semaphore, watch},
    task::JoinSet,
};

use crate::{
    attainment::ClassCounts,
    fleet_view::FleetView,
    journal::Event,
    rpc::RpcClient,
    shared::{Phase, Shared},
};

/// What the instance is doing: nothing asked, answered by [`Status`].
pub const STATUS: &str = "operator_status";
/// Its latest decisions: [`EventsQuestion`], answered by `Vec<Event>`.
pub const EVENTS: &str = "operator_events";
/// What became of a request anywhere: its id, answered by [`Explanation`].
pub const EXPLAIN: &str = "operator_explain";
/// What became of a request here: its id, answered by `Vec<Event>`. For peers.
pub const PEER_EXPLAIN: &str = "peer_explain";

/// Instances asked at once.
const PARALLEL_CALLS: usize = 16;
/// Longest wait for an instance's events.
const EXPLAIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Events given at most for one question.
const MAX_EVENTS: usize = 2000;

/// What an instance is doing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub instance: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Whether the balancer should send requests here.
    pub is_ready: bool,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Version of the sheet in force.
    pub sheet_version: Option<u64>,
    /// Requests in progress.
    pub in_progress: u64,
    /// Instances it knows, itself too.
    pub members: Vec<MemberStatus>,
    /// Endpoints that take no new work.
    pub leaving_endpoints: Vec<Name>,
    /// What became of each class's requests here since the instance started.
    pub classes: BTreeMap<Name, ClassCounts>,
    /// Contents kept away from endpoints.
    pub quarantines: u64,
}

/// An instance as another one knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub instance: Name,
    /// Its availability zone.
    pub availability_zone: Name,
    /// Its control address.
    pub control_address: SocketAddr,
    /// How far its life has come.
    pub state: MemberState,
    /// Whether it has been silent; known only within the zone.
    pub is_suspect: bool,
}

/// Asks for events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsQuestion {
    /// How many at most.
    pub limit: u32,
}

/// What became of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Events by instance, only of those that have any.
    pub found: Vec<InstanceEvents>,
    /// Instances that did not answer.
    pub silent: Vec<Name>,
    /// Instances asked.
    pub asked: u32,
}

/// Events that one instance recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEvents {
    /// The instance.
    pub instance: Name,
    /// Its events, oldest first.
    pub events: Vec<Event>,
}

/// Answers operators.
#[derive(Clone, Debug)]
pub struct Operator {
    /// What requests share.
    pub shared: Arc<Shared>,
    /// The fleet.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Calls peers.
    pub rpc: Arc<RpcClient>,
}

impl Operator {
    /// What the instance is doing.
    pub fn status(&self) -> Status {
        let fleet = Arc::clone(&self.fleet.borrow());
        let members = fleet.members.iter().map(|(name, member)| MemberStatus {
            instance: name.clone(),
            availability_zone: member.availability_zone.clone(),
            control_address: member.control_address,
            state: member.state,
            is_suspect: fleet.suspects.contains(name),
        });
        let leaving = fleet.endpoints.iter().filter(|(_, epoch)| epoch.is_leaving());
        Status {
            instance: self.shared.settings.instance.clone(),
            availability_zone: self.shared.settings.availability_zone.clone(),
            is_ready: self.shared.is_ready(),
            is_stopping: self.shared.phase() > Phase::Serving,
            sheet_version: self.shared.view.borrow().as_ref().map(|it| it.version),
            in_progress: self.shared.progress.count() as u64,
            members: members.collect(),
            classes: self.shared.attainment.counts(),
            leaving_endpoints: leaving.map(|(name, _)| name.clone()).collect(),
            quarantines: fleet.quarantines.len() as u64,
        }
    }

    /// The latest decisions of this instance.
    pub fn events(&self, question: &EventsQuestion) -> Vec<Event> {
        self.shared.journal.latest((question.limit as usize).min(MAX_EVENTS))
    }

    /// What this instance recorded of a request.
    pub fn own_events(&self, request_id: &str) -> Vec<Event> {
        let mut events = self.shared.journal.of_request(request_id);
        events.truncate(MAX_EVENTS);
        events
    }

    /// What became of a request, asked of all instances that are not gone.
    pub async fn explain(&self, request_id: Name) -> Explanation {
        let fleet = Arc::clone(&self.fleet.borrow());
        let own = &self.shared.settings.instance;
        let limit = Arc::new(Semaphore::new(PARALLEL_CALLS));
        let mut asked = JoinSet::new();
        for (name, member) in &fleet.members {
            if name != own && member.state != MemberState::Gone {
                let call = ask(
                    Arc::clone(&self.rpc),
                    Arc::clone(&limit),
                    name.clone(),
                    member.control_address,
                    request_id.clone(),
                );
                asked.spawn(call);
            }
        }
        let mut explanation = Explanation { asked: 1, ..Explanation::default() };
        explanation.add(own.clone(), self.own_events(&request_id));
        while let Some(joined) = asked.join_next().await {
            let Ok(answered) = joined else { continue };
            explanation.asked += 1;
            match answered.events {
                Some(events) => explanation.add(answered.instance, events),
                None => explanation.silent.push(answered.instance),
            }
        }
        explanation.found.sort_by(|a, b| a.instance.cmp(&b.instance));
        explanation.silent.sort();
        explanation
    }
}

impl Explanation {
    fn add(&mut self, instance: Name, events: Vec<Event>) {
        if !events.is_empty() {
            self.found.push(InstanceEvents { instance, events });
        }
    }
}

struct Asked {
    instance: Name,
    events: Option<Vec<Event>>,
}

async fn ask(
    rpc: Arc<RpcClient>,
    limit: Arc<Semaphore>,
    instance: Name,
    address: SocketAddr,
    request_id: Name,
) -> Asked {
    // The semaphore is never closed.
    let _turn = limit.acquire().await;
    let events = rpc.call(address, PEER_EXPLAIN, &request_id, EXPLAIN_TIMEOUT).await.ok();
    Asked { instance, events }
}

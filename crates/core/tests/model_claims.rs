//! Model check of at-most-once execution: the core's claim index, key table and key limits, driven
//! through every interleaving of a small system.
//!
//! The system has three instances, clients that send one key to any of them, a log that loses,
//! delays and expires records, crashes, and a service whose requests and responses may be lost. A
//! paused or partitioned process is one that takes no steps; since any step may be delayed, all
//! pauses and partitions are covered. By symmetry the first send goes to the first instance.

mod search;

use std::sync::{Arc, LazyLock};

use search::{Report, assert_caught, assert_safe, search};
use tanagergauge_core::{
    Name, Reason,
    claim::{Claim, ClaimIndex, ClaimRecord, ClaimStatus, WinningClaim},
    key::{KeyId, KeyLimits, RequestDigest},
    key_table::{DispatchDecision, KeyState, KeyTable, RequestAction, Reservation, StoredResponse},
    log::{LogRecord, Page},
    owner::Owner,
};

const INSTANCES: usize = 3;
const NAMES: [&str; INSTANCES] = ["a", "b", "c"];
const KEY_UNIX_MS: u64 = 1;
const LIMITS: KeyLimits = KeyLimits { max_age_ms: 1, max_skew_ms: 0, clock_error_ms: 0 };
const RETENTION_MS: u64 = 1;

/// Adds a successor state, given the description of a step and the step.
type AddStep<'a> = dyn FnMut(String, &dyn Fn(&mut World)) + 'a;

/// Fault that is injected into the protocol, to show that the check finds it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutant {
    Unchanged,
    /// The claimant dispatches once its record is in the log, without reading it back.
    NoReadBack,
    /// Claims carry no key time: the time of the append is used instead.
    NoAge,
    /// A reader ignores that records expired before it read them.
    IgnoresGaps,
    /// The owner abandons the request after dispatch and reports "not run".
    NotRunAfterDispatch,
    /// An instance that cannot claim the key reports "not run".
    NotRunWithoutClaim,
    /// The owner forgets a refusal.
    ForgetsRefusals,
    /// The owner forgets a response before the key expires.
    EarlyEviction,
    /// A restarted instance acts as the incarnation before the restart.
    SameIncarnation,
}

/// How the owner of the key is determined.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum OwnerSource {
    Claim,
    /// The first instance issued the key as a ticket.
    Ticket,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
enum Phase {
    Claiming(usize),
    Forwarding {
        to: usize,
        incarnation: u64,
    },
    Admitted(usize),
    Waiting(usize),
    /// The request is in transit to the service.
    Sent(usize),
    /// The request ran, and the response is in transit.
    Ran(usize),
    /// The request is in transit, and nobody waits for the response.
    Orphan,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Instance {
    incarnation: u64,
    index: ClaimIndex,
    table: KeyTable,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now_ms: u64,
    /// Time, instance and incarnation of each record.
    log: Vec<(u64, usize, u64)>,
    first_offset: usize,
    in_flight: Vec<(usize, u64)>,
    instances: Vec<Instance>,
    requests: Vec<Phase>,
    sends_left: usize,
    crashes_left: usize,
    runs: usize,
    reported_not_run: bool,
    reported_answered: bool,
}

#[derive(Clone, Copy)]
struct Spec {
    owner_source: OwnerSource,
    mutant: Mutant,
    sends: usize,
    crashes: usize,
    end_ms: u64,
    /// Whether the clocks of the instances stand still, so that no key is too old for them.
    clocks_stopped: bool,
}

static KEY: LazyLock<KeyId> = LazyLock::new(|| KeyId::new(&Name::from("account"), "key"));
static DIGEST: LazyLock<RequestDigest> =
    LazyLock::new(|| RequestDigest::new("class", "POST", "/", b"body"));
static RESPONSE: LazyLock<Arc<StoredResponse>> = LazyLock::new(|| {
    Arc::new(StoredResponse { status: 200, headers: Vec::new(), body: Arc::from(&b"done"[..]) })
});

fn key() -> KeyId {
    *KEY
}

impl Instance {
    fn new(incarnation: u64) -> Instance {
        Instance { incarnation, index: ClaimIndex::new(LIMITS), table: KeyTable::new(4, 1 << 10) }
    }
}

impl Spec {
    fn start(&self) -> World {
        let mut instances: Vec<Instance> = (0..INSTANCES).map(|_| Instance::new(0)).collect();
        if self.owner_source == OwnerSource::Ticket {
            instances[0].table.reserve(key(), KEY_UNIX_MS + LIMITS.max_age_ms, 1);
        }
        World {
            now_ms: KEY_UNIX_MS,
            log: Vec::new(),
            first_offset: 0,
            in_flight: Vec::new(),
            instances,
            requests: Vec::new(),
            sends_left: self.sends,
            crashes_left: self.crashes,
            runs: 0,
            reported_not_run: false,
            reported_answered: false,
        }
    }

    fn check(self) -> Report {
        let is_bad = |world: &World| {
            let false_not_run = world.reported_not_run && world.runs > 0;
            world.runs > 1 || false_not_run || (world.reported_answered && world.runs != 1)
        };
        search(self.start(), |world| self.successors(world), is_bad)
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |step: String, change: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            change(&mut world);
            world.requests.sort_unstable();
            world.in_flight.sort_unstable();
            next.push((step, world));
        };
        if world.sends_left > 0 {
            let first = world.sends_left == self.sends && self.owner_source == OwnerSource::Claim;
            let targets = if first { 1 } else { INSTANCES };
            for (at, name) in NAMES.iter().enumerate().take(targets) {
                add(format!("send to {name}"), &|it| {
                    it.sends_left -= 1;
                    self.receive(it, at);
                });
            }
        }
        for index in 0..world.in_flight.len() {
            add(format!("record of {} is appended", NAMES[world.in_flight[index].0]), &|it| {
                let (at, incarnation) = it.in_flight.remove(index);
                it.log.push((it.now_ms, at, incarnation));
            });
            add(format!("record of {} is lost", NAMES[world.in_flight[index].0]), &|it| {
                it.in_flight.remove(index);
            });
        }
        for (at, name) in NAMES.iter().enumerate() {
            if (world.instances[at].index.next_offset() as usize) < world.log.len() {
                add(format!("{name} reads the log"), &|it| self.read(it, at));
            }
            if world.crashes_left > 0 {
                add(format!("{name} crashes"), &|it| self.crash(it, at));
            }
        }
        if world.now_ms < self.end_ms {
            add("time passes".to_owned(), &|it| self.tick(it));
        }
        for index in 0..world.requests.len() {
            self.advance(index, world, &mut add);
        }
        next
    }

    /// Adds the possible next steps of one request.
    fn advance(&self, index: usize, world: &World, add: &mut AddStep<'_>) {
        let phase = world.requests[index];
        let drop = |it: &mut World| {
            it.requests.remove(index);
        };
        let set_phase = |it: &mut World, phase: Phase| it.requests[index] = phase;
        match phase {
            Phase::Claiming(at) => {
                add(format!("{} checks the claim", NAMES[at]), &|it| {
                    drop(it);
                    self.route_by_claim(it, at);
                });
                add(format!("{} abandons the claim", NAMES[at]), &|it| {
                    drop(it);
                    it.reported_not_run |= self.mutant == Mutant::NotRunWithoutClaim;
                });
            }
            Phase::Forwarding { to, incarnation } => {
                add(format!("{} receives a forwarded request", NAMES[to]), &|it| {
                    drop(it);
                    self.forwarded(it, to, incarnation);
                });
                add(format!("{} cannot be reached", NAMES[to]), &drop);
            }
            Phase::Admitted(at) => {
                add(format!("{} dispatches", NAMES[at]), &|it| match it.instances[at]
                    .table
                    .begin_dispatch(key())
                {
                    DispatchDecision::Proceed => set_phase(it, Phase::Sent(at)),
                    DispatchDecision::Abort => drop(it),
                });
                add(format!("{} refuses", NAMES[at]), &|it| {
                    drop(it);
                    self.refuse(it, at);
                });
            }
            Phase::Waiting(at) => {
                add(format!("{} submits again", NAMES[at]), &|it| {
                    drop(it);
                    self.submit(it, at);
                });
                add(format!("{} stops waiting", NAMES[at]), &drop);
            }
            Phase::Sent(at) => self.advance_sent(index, at, add),
            Phase::Ran(at) => self.advance_ran(index, at, add),
            Phase::Orphan => {
                add("service runs an orphaned request".to_owned(), &|it| {
                    drop(it);
                    it.runs += 1;
                });
                add("an orphaned request is lost".to_owned(), &drop);
            }
        }
    }

    fn advance_ran(&self, index: usize, at: usize, add: &mut AddStep<'_>) {
        add(format!("{} receives the response", NAMES[at]), &|it| {
            it.requests.remove(index);
            it.instances[at].table.complete(key(), RESPONSE.clone());
            let state = it.instances[at].table.state(key());
            it.reported_answered |= matches!(state, Some(KeyState::Answered(_)));
        });
        add(format!("{} misses the response", NAMES[at]), &|it| {
            it.requests.remove(index);
            it.instances[at].table.mark_outcome_unknown(key(), Reason::EndpointBroke);
        });
    }

    fn advance_sent(&self, index: usize, at: usize, add: &mut AddStep<'_>) {
        add(format!("service runs for {}", NAMES[at]), &|it| {
            it.runs += 1;
            it.requests[index] = Phase::Ran(at);
        });
        add(format!("service refuses {}", NAMES[at]), &|it| {
            it.instances[at].table.cancel_dispatch(key());
            it.requests[index] = Phase::Admitted(at);
        });
        add(format!("{} abandons the dispatch", NAMES[at]), &|it| {
            it.requests[index] = Phase::Orphan;
            if self.mutant == Mutant::NotRunAfterDispatch {
                it.instances[at].table.cancel_dispatch(key());
                self.refuse(it, at);
            }
            it.instances[at].table.mark_outcome_unknown(key(), Reason::EndpointTimeout);
        });
    }

    fn receive(&self, world: &mut World, at: usize) {
        match self.owner_source {
            OwnerSource::Claim => self.route_by_claim(world, at),
            OwnerSource::Ticket if at == 0 && world.instances[0].incarnation == 0 => {
                self.submit(world, 0)
            }
            OwnerSource::Ticket => {
                world.requests.push(Phase::Forwarding { to: 0, incarnation: 0 });
            }
        }
    }

    fn route_by_claim(&self, world: &mut World, at: usize) {
        let me = (at, world.instances[at].incarnation);
        let landed = world.log.iter().any(|it| (it.1, it.2) == me);
        if self.mutant == Mutant::NoReadBack && landed {
            return self.submit(world, at);
        }
        match world.instances[at].index.status(key(), KEY_UNIX_MS) {
            ClaimStatus::Unclaimed => self.claim(world, at),
            ClaimStatus::Won(winner) if is_owner(&winner, me) => self.submit(world, at),
            ClaimStatus::Uncertain(winner) if is_owner(&winner, me) => {}
            ClaimStatus::Won(winner) | ClaimStatus::Uncertain(winner) => {
                world.instances[at].table.release(key());
                let to = NAMES.iter().position(|it| *it == winner.owner.instance.as_str());
                let incarnation = winner.owner.incarnation;
                world.requests.push(Phase::Forwarding { to: to.unwrap(), incarnation });
            }
        }
    }

    /// Time on the clock of an instance.
    fn clock_ms(&self, world: &World) -> u64 {
        if self.clocks_stopped { KEY_UNIX_MS } else { world.now_ms }
    }

    /// When the key expires; never if claims carry no key time.
    fn expires_ms(&self) -> u64 {
        if self.mutant == Mutant::NoAge { u64::MAX } else { KEY_UNIX_MS + LIMITS.max_age_ms }
    }

    fn claim(&self, world: &mut World, at: usize) {
        let expires_unix_ms = self.expires_ms();
        let now_ms = self.clock_ms(world);
        let incarnation = world.instances[at].incarnation;
        match world.instances[at].table.reserve(key(), expires_unix_ms, now_ms) {
            Reservation::Reserved => {
                world.in_flight.push((at, incarnation));
                world.requests.push(Phase::Claiming(at));
            }
            Reservation::AlreadyPresent => world.requests.push(Phase::Claiming(at)),
            Reservation::Full | Reservation::Expired => {}
        }
    }

    fn forwarded(&self, world: &mut World, at: usize, incarnation: u64) {
        let me = (at, world.instances[at].incarnation);
        if me.1 != incarnation {
            if self.mutant == Mutant::SameIncarnation {
                let end_ms = KEY_UNIX_MS + LIMITS.max_age_ms;
                world.instances[at].table.reserve(key(), end_ms, KEY_UNIX_MS);
                self.submit(world, at);
            }
            return;
        }
        match (self.owner_source, world.instances[at].index.status(key(), KEY_UNIX_MS)) {
            (OwnerSource::Ticket, _) => self.submit(world, at),
            (OwnerSource::Claim, ClaimStatus::Unclaimed) => {
                world.requests.push(Phase::Claiming(at))
            }
            (OwnerSource::Claim, ClaimStatus::Won(winner)) if is_owner(&winner, me) => {
                self.submit(world, at)
            }
            (OwnerSource::Claim, _) => {}
        }
    }

    fn submit(&self, world: &mut World, at: usize) {
        let now_ms = self.clock_ms(world);
        match world.instances[at].table.submit(key(), *DIGEST, now_ms) {
            RequestAction::Run => world.requests.push(Phase::Admitted(at)),
            RequestAction::Wait => world.requests.push(Phase::Waiting(at)),
            RequestAction::Replay(_) => world.reported_answered = true,
            RequestAction::NotRun(_) => world.reported_not_run = true,
            RequestAction::Unknown(_) => {}
        }
    }

    fn refuse(&self, world: &mut World, at: usize) {
        let table = &mut world.instances[at].table;
        table.refuse(key(), Reason::QueueFull);
        world.reported_not_run |= matches!(table.state(key()), Some(KeyState::Refused(_)));
        if self.mutant == Mutant::ForgetsRefusals {
            reset_entry(table);
        }
    }

    fn read(&self, world: &mut World, at: usize) {
        let index = &mut world.instances[at].index;
        let next = index.next_offset() as usize;
        let mut records: Vec<LogRecord> = (next.max(world.first_offset)..world.log.len())
            .map(|offset| record(offset, world.log[offset], self.mutant))
            .collect();
        if self.mutant == Mutant::IgnoresGaps {
            let lost = next..world.first_offset;
            let blank = |it| LogRecord { offset: it as u64, appended_unix_ms: 0, payload: vec![] };
            records.splice(0..0, lost.map(blank));
        }
        let first_offset = world.first_offset as u64;
        let next_offset = world.log.len() as u64;
        index.apply(&Page { first_offset, next_offset, records });
    }

    fn crash(&self, world: &mut World, at: usize) {
        world.crashes_left -= 1;
        world.instances[at] = Instance::new(world.instances[at].incarnation + 1);
        let requests = std::mem::take(&mut world.requests);
        world.requests = requests
            .into_iter()
            .filter_map(|phase| match phase {
                Phase::Sent(it) if it == at => Some(Phase::Orphan),
                Phase::Claiming(it) | Phase::Admitted(it) if it == at => None,
                Phase::Waiting(it) | Phase::Ran(it) if it == at => None,
                other => Some(other),
            })
            .collect();
    }

    fn tick(&self, world: &mut World) {
        world.now_ms += 1;
        let kept = |it: &&(u64, usize, u64)| it.0 + RETENTION_MS < world.now_ms;
        world.first_offset = world.log.iter().take_while(kept).count();
        if self.mutant == Mutant::EarlyEviction {
            world.instances.iter_mut().for_each(|it| reset_entry(&mut it.table));
        }
    }
}

fn reset_entry(table: &mut KeyTable) {
    if table.state(key()).is_some() {
        *table = KeyTable::new(4, 1 << 10);
        table.reserve(key(), KEY_UNIX_MS + LIMITS.max_age_ms, KEY_UNIX_MS);
    }
}

fn is_owner(winner: &WinningClaim, (at, incarnation): (usize, u64)) -> bool {
    winner.owner.instance.as_str() == NAMES[at] && winner.owner.incarnation == incarnation
}

fn record(offset: usize, (time, at, incarnation): (u64, usize, u64), mutant: Mutant) -> LogRecord {
    let key_unix_ms = if mutant == Mutant::NoAge { time } else { KEY_UNIX_MS };
    let claim = Claim { key: key(), key_unix_ms, digest: *DIGEST };
    let owner = Owner { instance: Name::from(NAMES[at]), incarnation };
    let payload = ClaimRecord { owner, claims: vec![claim] }.encode();
    LogRecord { offset: offset as u64, appended_unix_ms: time, payload }
}

const CLAIM: Spec = Spec {
    owner_source: OwnerSource::Claim,
    mutant: Mutant::Unchanged,
    sends: 2,
    crashes: 1,
    end_ms: 3,
    clocks_stopped: true,
};
const TICKET: Spec = Spec { owner_source: OwnerSource::Ticket, sends: 4, crashes: 2, ..CLAIM };

macro_rules! safe {
    ($($name:ident: $spec:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_safe(stringify!($name), &$spec.check());
        }
    )* };
}

macro_rules! caught {
    ($($name:ident: $spec:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_caught(stringify!($name), &$spec.check());
        }
    )* };
}

safe! {
    claimed_key_runs_at_most_once: CLAIM;
    claimed_key_expires_at_instances: Spec { crashes: 0, clocks_stopped: false, ..CLAIM };
    ticket_runs_at_most_once: TICKET;
}

caught! {
    mutant_without_read_back: Spec { mutant: Mutant::NoReadBack, ..CLAIM };
    mutant_without_age: Spec { mutant: Mutant::NoAge, crashes: 0, ..CLAIM };
    mutant_without_gap_check: Spec { mutant: Mutant::IgnoresGaps, crashes: 0, ..CLAIM };
    mutant_says_not_run_after_dispatch: Spec { mutant: Mutant::NotRunAfterDispatch, ..CLAIM };
    mutant_says_not_run_without_claim: Spec { mutant: Mutant::NotRunWithoutClaim, ..CLAIM };
    mutant_forgets_refusals: Spec { mutant: Mutant::ForgetsRefusals, ..CLAIM };
    mutant_evicts_early: Spec { mutant: Mutant::EarlyEviction, ..CLAIM };
    mutant_ignores_the_incarnation: Spec { mutant: Mutant::SameIncarnation, ..TICKET };
}

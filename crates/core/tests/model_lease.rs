//! Model check of the lease: three instances with the core's own view, a log that delays
//! or never takes an append, pauses (steps that do not come), and an engine that takes
//! orders late.

mod search;

use search::{Report, assert_caught, assert_safe, search};
use tanagergauge_core::{
    Name,
    lease::{Lease, LeaseAction, LeaseRecord, LeaseTiming},
    log::{LogRecord, Page},
    owner::Owner,
};

const INSTANCES: usize = 3;
const NAMES: [&str; INSTANCES] = ["a", "b", "c"];
const TIMING: LeaseTiming = LeaseTiming { duration_ms: 2, margin_ms: 0, renew_before_ms: 1 };

/// Appends in all, so that the search ends.
const MAX_APPENDS: usize = 3;

/// What is taken away from the protocol.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutant {
    Nothing,
    /// The holder counts from when it reads its record back.
    CountsFromRead,
    /// Others do not wait for the end of a lease.
    NoWait,
    /// The engine takes any order.
    NoFencing,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now_ms: u64,
    log: Vec<LeaseRecord>,
    in_flight: Vec<LeaseRecord>,
    leases: Vec<Lease>,
    /// Terms of orders on their way to the engine.
    orders: Vec<u64>,
    orders_left: usize,
    /// The highest term the engine has seen.
    engine_term: Option<u64>,
    went_back: bool,
}

#[derive(Clone, Copy)]
struct Spec {
    mutant: Mutant,
    orders: usize,
    end_ms: u64,
}

fn owner(at: usize) -> Owner {
    Owner { instance: Name::from(NAMES[at]), incarnation: 1 }
}

impl Spec {
    fn check(self) -> Report {
        let start = World {
            now_ms: 0,
            log: Vec::new(),
            in_flight: Vec::new(),
            leases: (0..INSTANCES).map(|at| Lease::new(owner(at), TIMING, 0)).collect(),
            orders: Vec::new(),
            orders_left: self.orders,
            engine_term: None,
            went_back: false,
        };
        let bad = |world: &World| {
            let holders = world.leases.iter().filter(|it| it.term(world.now_ms).is_some());
            world.went_back || holders.count() > 1
        };
        search(start, |world| self.successors(world), bad)
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |step: String, change: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            change(&mut world);
            world.in_flight.sort_unstable();
            world.orders.sort_unstable();
            next.push((step, world));
        };
        if world.now_ms < self.end_ms {
            add("time passes".to_owned(), &|it| it.now_ms += 1);
        }
        for place in 0..world.in_flight.len() {
            let name = &world.in_flight[place].holder.instance;
            add(format!("append of {name} lands"), &|it| {
                let record = it.in_flight.remove(place);
                it.log.push(record);
            });
        }
        for place in 0..world.orders.len() {
            add(format!("order of term {} arrives", world.orders[place]), &|it| {
                let term = it.orders.remove(place);
                self.obey(it, term);
            });
        }
        for (at, name) in NAMES.iter().enumerate() {
            let lease = &world.leases[at];
            if (lease.next_offset() as usize) < world.log.len() {
                add(format!("{name} reads one"), &|it| self.read(it, at));
            }
            let appends = world.log.len() + world.in_flight.len();
            if appends < MAX_APPENDS
                && let LeaseAction::Append(record) = self.step(&mut lease.clone(), world.now_ms)
            {
                let counts_later = self.mutant == Mutant::CountsFromRead;
                let stands = world.log.contains(&record) || world.in_flight.contains(&record);
                if !(counts_later && stands) {
                    add(format!("{name} appends"), &|it| {
                        it.in_flight.push(record.clone());
                        if !counts_later {
                            self.step(&mut it.leases[at], it.now_ms);
                        }
                    });
                }
            }
            if world.orders_left > 0 && lease.term(world.now_ms).is_some() {
                add(format!("{name} gives an order"), &|it| {
                    it.orders_left -= 1;
                    it.orders.extend(it.leases[at].term(it.now_ms));
                });
            }
        }
        next
    }

    fn step(&self, lease: &mut Lease, now_ms: u64) -> LeaseAction {
        // A clock that runs ahead takes every wait for over.
        let ahead_ms = if self.mutant == Mutant::NoWait { 10 } else { 0 };
        lease.next_action(now_ms + ahead_ms)
    }

    fn read(&self, world: &mut World, at: usize) {
        let lease = &mut world.leases[at];
        let offset = lease.next_offset();
        let payload = world.log[offset as usize].encode();
        let records = vec![LogRecord { offset, appended_unix_ms: 0, payload }];
        let page = Page { first_offset: 0, next_offset: world.log.len() as u64, records };
        if self.mutant == Mutant::CountsFromRead && world.log[offset as usize].holder == owner(at) {
            // The same record, as if its append had begun only now.
            lease.next_action(world.now_ms);
        }
        lease.apply(&page, world.now_ms);
    }

    fn obey(&self, world: &mut World, term: u64) {
        let is_old = world.engine_term.is_some_and(|it| term < it);
        if is_old && self.mutant != Mutant::NoFencing {
            return;
        }
        world.went_back |= is_old;
        world.engine_term = Some(term);
    }
}

const SPEC: Spec = Spec { mutant: Mutant::Nothing, orders: 0, end_ms: 5 };

#[test]
fn one_holder_at_a_time() {
    assert_safe("lease", &SPEC.check());
}

macro_rules! caught {
    ($($name:ident: $mutant:ident;)*) => { $(
        #[test]
        fn $name() {
            let orders = if Mutant::$mutant == Mutant::NoFencing { 2 } else { 0 };
            let spec = Spec { mutant: Mutant::$mutant, orders, ..SPEC };
            assert_caught(stringify!($name), &spec.check());
        }
    )* };
}

caught! {
    mutant_counts_from_the_read: CountsFromRead;
    mutant_does_not_wait: NoWait;
    mutant_without_fencing: NoFencing;
}

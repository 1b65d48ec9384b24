//! Model check of the lease: three instances that run the core's implementation, a log that delays
//! or loses appends, pauses (instances that take no steps), and an engine that receives commands
//! late.

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

/// Total number of appends, so that the search is finite.
const MAX_APPENDS: usize = 3;

/// Fault that is injected into the protocol, to show that the check finds it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutant {
    Unchanged,
    /// The holder counts the duration from when it reads its record back.
    CountsFromRead,
    /// Other instances do not wait for the end of a lease.
    NoWait,
    /// The engine accepts commands of any term.
    NoFencing,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now_ms: u64,
    log: Vec<LeaseRecord>,
    in_flight: Vec<LeaseRecord>,
    leases: Vec<Lease>,
    /// Terms of the commands in transit to the engine.
    commands: Vec<u64>,
    commands_left: usize,
    /// The highest term the engine has seen.
    engine_term: Option<u64>,
    stale_command_executed: bool,
}

#[derive(Clone, Copy)]
struct Spec {
    mutant: Mutant,
    commands: usize,
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
            commands: Vec::new(),
            commands_left: self.commands,
            engine_term: None,
            stale_command_executed: false,
        };
        let is_bad = |world: &World| {
            let holders = world.leases.iter().filter(|it| it.term(world.now_ms).is_some());
            world.stale_command_executed || holders.count() > 1
        };
        search(start, |world| self.successors(world), is_bad)
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |step: String, change: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            change(&mut world);
            world.in_flight.sort_unstable();
            world.commands.sort_unstable();
            next.push((step, world));
        };
        if world.now_ms < self.end_ms {
            add("time passes".to_owned(), &|it| it.now_ms += 1);
        }
        for index in 0..world.in_flight.len() {
            let name = &world.in_flight[index].holder.instance;
            add(format!("record of {name} is appended"), &|it| {
                let record = it.in_flight.remove(index);
                it.log.push(record);
            });
        }
        for index in 0..world.commands.len() {
            add(format!("command of term {} arrives", world.commands[index]), &|it| {
                let term = it.commands.remove(index);
                self.execute(it, term);
            });
        }
        for (at, name) in NAMES.iter().enumerate() {
            let lease = &world.leases[at];
            if (lease.next_offset() as usize) < world.log.len() {
                add(format!("{name} reads a record"), &|it| self.read(it, at));
            }
            let appends = world.log.len() + world.in_flight.len();
            if appends < MAX_APPENDS
                && let LeaseAction::Append(record) = self.step(&mut lease.clone(), world.now_ms)
            {
                let counts_later = self.mutant == Mutant::CountsFromRead;
                let is_appended = world.log.contains(&record) || world.in_flight.contains(&record);
                if !(counts_later && is_appended) {
                    add(format!("{name} appends"), &|it| {
                        it.in_flight.push(record.clone());
                        if !counts_later {
                            self.step(&mut it.leases[at], it.now_ms);
                        }
                    });
                }
            }
            if world.commands_left > 0 && lease.term(world.now_ms).is_some() {
                add(format!("{name} sends a command"), &|it| {
                    it.commands_left -= 1;
                    it.commands.extend(it.leases[at].term(it.now_ms));
                });
            }
        }
        next
    }

    fn step(&self, lease: &mut Lease, now_ms: u64) -> LeaseAction {
        // With its clock ahead an instance takes every wait as over.
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
            // The same record, as if its append had only just begun.
            lease.next_action(world.now_ms);
        }
        lease.apply(&page, world.now_ms);
    }

    fn execute(&self, world: &mut World, term: u64) {
        let is_stale = world.engine_term.is_some_and(|it| term < it);
        if is_stale && self.mutant != Mutant::NoFencing {
            return;
        }
        world.stale_command_executed |= is_stale;
        world.engine_term = Some(term);
    }
}

const SPEC: Spec = Spec { mutant: Mutant::Unchanged, commands: 0, end_ms: 5 };

#[test]
fn at_most_one_holder_at_a_time() {
    assert_safe("lease", &SPEC.check());
}

macro_rules! caught {
    ($($name:ident: $mutant:ident;)*) => { $(
        #[test]
        fn $name() {
            let commands = if Mutant::$mutant == Mutant::NoFencing { 2 } else { 0 };
            let spec = Spec { mutant: Mutant::$mutant, commands, ..SPEC };
            assert_caught(stringify!($name), &spec.check());
        }
    )* };
}

caught! {
    mutant_counts_from_the_read: CountsFromRead;
    mutant_does_not_wait: NoWait;
    mutant_without_fencing: NoFencing;
}

//! Simulated fleets of gossip states in one process, with partitions, restarts and clock changes.

use std::{collections::BTreeMap, net::SocketAddr};

use tanagergauge_core::{
    Member, MemberState, Name,
    gossip::{
        Gossip, MAX_MESSAGE_FACTS, MAX_RESPONSE_READINGS, Now, PUSH_FANOUT, Push, ROUND_MS,
        ZONE_READINGS_PER_ROUND,
    },
    reading::{Reading, Subject, Tag},
};

const START_UNIX_MS: u64 = 1_800_000_000_000;

struct Fleet {
    instances: BTreeMap<SocketAddr, Gossip>,
    now: Now,
    state: u64,
    /// Zones that are partitioned from all others.
    partitioned: Vec<Name>,
    /// Size of the largest response so far.
    largest_bytes: usize,
    /// Total size of the pulls and responses so far.
    sent_bytes: usize,
}

impl Fleet {
    fn new(zones: usize, per_zone: usize) -> Fleet {
        let now = Now { ms: 0, unix_ms: START_UNIX_MS };
        let mut instances = BTreeMap::new();
        for index in 0..zones * per_zone {
            let control_address = address(index);
            let member = Member {
                incarnation: START_UNIX_MS,
                refutation: 0,
                state: MemberState::Live,
                forget_unix_ms: 0,
                availability_zone: Name::from(format!("zone-{}", index / per_zone)),
                address: ([127, 0, 0, 1], 1).into(),
                control_address,
            };
            let name = Name::from(format!("entry-{index}"));
            instances.insert(control_address, Gossip::new(name, member, now));
        }
        Fleet { instances, now, state: 7, partitioned: Vec::new(), largest_bytes: 0, sent_bytes: 0 }
    }

    fn random(&mut self) -> u64 {
        self.state = self
            .state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.state >> 33
    }

    fn round(&mut self) {
        self.now.ms += ROUND_MS;
        self.now.unix_ms += ROUND_MS;
        let addresses: Vec<SocketAddr> = self.instances.keys().copied().collect();
        for address in addresses {
            self.turn(address);
        }
    }

    fn turn(&mut self, address: SocketAddr) {
        let now = self.now;
        let mut state = self.random();
        let gossip = self.instances.get_mut(&address).unwrap();
        gossip.begin_round(now);
        let random = || {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            state >> 33
        };
        for target in gossip.targets(&[self::address(0)], now, random) {
            self.exchange(address, target);
        }
    }

    fn exchange(&mut self, from: SocketAddr, to: SocketAddr) {
        if !self.can_reach(from, to) {
            return;
        }
        let random = self.random();
        let pull = self.instances[&from].pull(to);
        let response = self.instances.get_mut(&to).unwrap().respond(&pull, self.now, random);
        let pull_bytes = postcard::to_allocvec(&pull).unwrap().len();
        let response_bytes = postcard::to_allocvec(&response).unwrap().len();
        self.largest_bytes = self.largest_bytes.max(response_bytes);
        self.sent_bytes += pull_bytes + response_bytes;
        assert!(response.facts.len() <= MAX_MESSAGE_FACTS);
        let readings: usize = response.updates.iter().map(|it| it.delta.changes.len()).sum();
        assert!(readings < MAX_RESPONSE_READINGS + ZONE_READINGS_PER_ROUND);
        self.instances.get_mut(&from).unwrap().apply_response(&response, self.now);
    }

    /// Pushes facts from the instance that observed them until they are new to no receiver. Returns
    /// the number of pushes.
    fn push(&mut self, first: SocketAddr, push: &Push) -> usize {
        let mut pushes = 0;
        let mut waiting = vec![(first, true)];
        while let Some((from, to_other_zones)) = waiting.pop() {
            let random_numbers: Vec<u64> = (0..64).map(|_| self.random()).collect();
            let mut random_numbers = random_numbers.into_iter();
            let now = self.now;
            let targets = self.instances[&from]
                .push_targets(to_other_zones, now, || random_numbers.next().unwrap());
            pushes += targets.len();
            for target in targets {
                let target_state = self.instances.get_mut(&target).unwrap();
                if !target_state.merge_facts(&push.facts, now).is_empty() {
                    waiting.push((target, false));
                }
            }
        }
        pushes
    }

    fn can_reach(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let zone = |at: SocketAddr| &self.instances[&at].member().availability_zone;
        self.instances.contains_key(&to)
            && (zone(from) == zone(to)
                || !self.partitioned.contains(zone(from)) && !self.partitioned.contains(zone(to)))
    }

    fn rounds_until(&mut self, limit: usize, is_done: impl Fn(&Fleet) -> bool) -> usize {
        for rounds in 0..limit {
            if is_done(self) {
                return rounds;
            }
            self.round();
        }
        panic!("not done in {limit} rounds");
    }

    fn at(&mut self, index: usize) -> &mut Gossip {
        self.instances.get_mut(&address(index)).unwrap()
    }

    fn all_know(&self, members: usize) -> bool {
        self.instances.values().all(|it| it.facts().members().len() == members)
    }

    fn all_see_leaving(&self, endpoint: &str) -> bool {
        self.instances.values().all(|it| it.facts().epoch(endpoint).is_leaving())
    }
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], 10_000 + index as u16).into()
}

macro_rules! fleets_converge {
    ($($name:ident: $zones:expr, $per_zone:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut fleet = Fleet::new($zones, $per_zone);
            let members = $zones * $per_zone;
            fleet.rounds_until(40, |it| it.all_know(members));
            let now = fleet.now;
            fleet.at(members - 1).mark_endpoint_leaving(&"libretto-1".into(), now);
            fleet.rounds_until(40, |it| it.all_see_leaving("libretto-1"));
        }
    )*};
}

fleets_converge! {
    one_zone_of_two_converges: 1, 2;
    three_zones_of_two_converge: 3, 2;
    four_zones_of_ten_converge: 4, 10;
}

#[test]
fn partitioned_zones_keep_working_and_converge_again() {
    let mut fleet = Fleet::new(3, 2);
    fleet.rounds_until(40, |it| it.all_know(6));
    fleet.partitioned.push("zone-2".into());
    let now = fleet.now;
    fleet.at(4).mark_endpoint_leaving(&"inside".into(), now);
    fleet.at(0).mark_endpoint_leaving(&"outside".into(), now);
    for _ in 0..200 {
        fleet.round();
    }
    assert!(fleet.at(5).facts().epoch("inside").is_leaving());
    assert!(!fleet.at(5).facts().epoch("outside").is_leaving());
    assert!(fleet.at(3).facts().epoch("outside").is_leaving());
    fleet.partitioned.clear();
    fleet.rounds_until(40, |it| it.all_see_leaving("inside") && it.all_see_leaving("outside"));
    assert!(fleet.all_know(6));
}

#[test]
fn a_silent_instance_is_suspected_then_gone_and_returns_by_refutation() {
    let mut fleet = Fleet::new(1, 5);
    fleet.rounds_until(40, |it| it.all_know(5));
    let silent = fleet.instances.remove(&address(4)).unwrap();
    let is_suspected =
        |fleet: &Fleet| fleet.instances.values().all(|it| it.suspects(fleet.now).count() == 1);
    let rounds = fleet.rounds_until(40, is_suspected);
    assert!(rounds >= 5, "suspected after {rounds} rounds");
    let state = |it: &Gossip| it.facts().members()["entry-4"].state;
    fleet.rounds_until(200, |it| it.instances.values().all(|it| state(it) == MemberState::Gone));
    fleet.instances.insert(address(4), silent);
    fleet.rounds_until(40, |it| it.instances.values().all(|it| state(it) == MemberState::Live));
}

#[test]
fn a_restart_discards_earlier_readings() {
    let mut fleet = Fleet::new(1, 3);
    fleet.rounds_until(40, |it| it.all_know(3));
    let subject = Subject::EndpointLoad(Tag::of("libretto-1"));
    fleet.at(2).stage(Reading { subject, value: 9 });
    let value = |it: &Gossip| {
        let peer = it.peer_readings().find(|it| it.name.as_str() == "entry-2")?;
        peer.table.get(subject)
    };
    fleet.rounds_until(40, |it| value(&it.instances[&address(0)]) == Some(9));
    let now = fleet.now;
    let mut member = fleet.at(2).member().clone();
    member.incarnation = now.unix_ms;
    fleet.instances.insert(address(2), Gossip::new("entry-2".into(), member, now));
    fleet.rounds_until(40, |it| value(&it.instances[&address(0)]).is_none());
}

#[test]
fn a_restart_with_the_clock_set_back_still_publishes_readings() {
    let mut fleet = Fleet::new(1, 3);
    fleet.rounds_until(40, |it| it.all_know(3));
    let now = fleet.now;
    let mut member = fleet.at(2).member().clone();
    member.incarnation -= 3_600_000;
    fleet.instances.insert(address(2), Gossip::new("entry-2".into(), member, now));
    let subject = Subject::EndpointLoad(Tag::of("libretto-1"));
    fleet.at(2).stage(Reading { subject, value: 4 });
    let value = |it: &Gossip| {
        let peer = it.peer_readings().find(|it| it.name.as_str() == "entry-2")?;
        peer.table.get(subject)
    };
    fleet.rounds_until(40, |it| value(&it.instances[&address(0)]) == Some(4));
}

#[test]
fn a_push_reaches_few_of_the_zone_and_one_of_each_other() {
    let mut fleet = Fleet::new(3, 8);
    fleet.rounds_until(60, |it| it.all_know(24));
    let now = fleet.now;
    let targets = fleet.at(0).push_targets(true, now, || 5);
    assert_eq!(targets.len(), PUSH_FANOUT + 2);
    let fact = fleet.at(0).mark_endpoint_leaving(&"libretto-1".into(), now).unwrap();
    let push = Push { facts: vec![fact] };
    assert_eq!(fleet.at(9).merge_facts(&push.facts, now).len(), 1);
    assert!(fleet.at(9).merge_facts(&push.facts, now).is_empty());
}

#[test]
fn a_push_and_two_rounds_reach_every_zone() {
    let (zones, per_zone) = (4, 37);
    let mut fleet = Fleet::new(zones, per_zone);
    fleet.rounds_until(120, |it| it.all_know(zones * per_zone));
    let mut most_rounds = 0;
    for leaving in 0..5 {
        let endpoint = Name::from(format!("libretto-{leaving}"));
        let first = address(leaving * 31);
        let now = fleet.now;
        let fact = fleet.at(leaving * 31).mark_endpoint_leaving(&endpoint, now).unwrap();
        let pushes = fleet.push(first, &Push { facts: vec![fact] });
        assert!(pushes <= zones * per_zone * (PUSH_FANOUT + 1), "{pushes} pushes");
        let rounds = fleet.rounds_until(40, |it| it.all_see_leaving(&endpoint));
        most_rounds = most_rounds.max(rounds);
    }
    println!("{most_rounds} rounds after the push at most");
    assert!(most_rounds <= 2, "{most_rounds} rounds");
}

#[test]
fn traffic_hardly_grows_with_the_size_of_other_zones() {
    let per_instance = |zones: usize, per_zone: usize| {
        let mut fleet = Fleet::new(zones, per_zone);
        fleet.rounds_until(60, |it| it.all_know(zones * per_zone));
        for _ in 0..20 {
            fleet.round();
        }
        fleet.sent_bytes = 0;
        let rounds = 20;
        for _ in 0..rounds {
            fleet.round();
        }
        fleet.sent_bytes * 2 * 4 / 3 / (zones * per_zone) / rounds
    };
    let (small, large) = (per_instance(5, 5), per_instance(5, 20));
    println!("{small} bytes a second with 25 instances, {large} with 100");
    assert!(large < small + small / 2, "{small} with 25 instances, {large} with 100");
}

#[test]
fn traffic_of_a_busy_zone_is_bounded() {
    let per_zone = 37;
    let mut fleet = Fleet::new(1, per_zone);
    fleet.rounds_until(60, |it| it.all_know(per_zone));
    let change = |fleet: &mut Fleet, round: u32| {
        for index in 0..per_zone {
            for account in 0..390_u32 {
                let subject = Subject::AccountUse(Tag::of(&format!("account-{account}")));
                fleet.at(index).stage(Reading { subject, value: (account * 7 + round * 13) % 255 });
            }
        }
    };
    for round in 0..20 {
        change(&mut fleet, round);
        fleet.round();
    }
    fleet.sent_bytes = 0;
    let rounds = 20;
    for round in 0..rounds {
        change(&mut fleet, 20 + round);
        fleet.round();
    }
    // Counts every byte at its sender and at its receiver, encoded as base64.
    let per_instance = fleet.sent_bytes * 2 * 4 / 3 / per_zone / rounds as usize;
    assert!(per_instance < 9_000, "{per_instance} bytes a second");
    assert!(fleet.largest_bytes < 8_000, "{} bytes in one answer", fleet.largest_bytes);
    println!("{per_instance} bytes a second, {} in one answer", fleet.largest_bytes);
}

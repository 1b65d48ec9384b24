//! Learned values reach other instances, at small cost.

use quickcheck::quickcheck;
use tanagergauge_core::{
    Name,
    balancer::Balancer,
    endpoint::{Distance, EndpointInfo, ServerLoad},
    engine_speed::{LearnSpeeds, PeerKind, Reading, ReadingMessage, SpeedGossip},
    prompt_part::PromptPart,
    routing::{EngineLimits, Service},
    selection::{BalanceSettings, EndpointQuery, SelectedEndpoint},
};

const SERVICE: &str = "model";

fn balancer(endpoints: usize, incarnation: u64) -> Balancer {
    let settings = BalanceSettings {
        prefill_tokens_per_ms: 55.0,
        initial_service_ms: 30.0,
        zone_cost_ms: 3.0,
        region_cost_ms: 55.0,
        learn_speeds: LearnSpeeds::On,
    };
    let mut balancer = Balancer::new(settings);
    let engine = EngineLimits { slots: 12, kv_capacity_tokens: 400_000, tokens_per_event: 9 };
    let service = Service {
        name: Name::from(SERVICE),
        connection_limit: Some(100),
        health_path: None,
        engine: Some(engine),
        scale: None,
    };
    balancer.speeds_mut().set_services([&service].into_iter());
    for index in 0..endpoints {
        balancer.upsert(endpoint(index, incarnation));
    }
    balancer
}

fn endpoint(index: usize, incarnation: u64) -> EndpointInfo {
    EndpointInfo {
        id: Name::from(format!("engine-{index}")),
        service: Name::from(SERVICE),
        address: ([127, 0, 0, 1], 9_000).into(),
        availability_zone: "zone-1".into(),
        region: "region-1".into(),
        distance: Distance::SameZone,
        slots: 12,
        leaving: false,
        incarnation,
        software_version: "v1".into(),
        is_spot: false,
    }
}

fn select(balancer: &Balancer, index: usize, now_ms: u64) -> SelectedEndpoint {
    let service = Name::from(SERVICE);
    let parts = [PromptPart { id: now_ms, tokens: 2_000 }];
    let query = EndpointQuery {
        service: &service,
        parts: &parts,
        tried: &[],
        software_version: None,
        latency_sensitive: false,
        may_probe: false,
        has_connection: &|_| false,
        random: 0,
        unix_ms: now_ms,
    };
    let id = Name::from(format!("engine-{index}"));
    balancer.choose_again(&query, &id, now_ms).expect("the endpoint serves")
}

/// Sends requests to each endpoint, which take `factor(index)` times as long as usual.
fn learn(balancer: &mut Balancer, endpoints: usize, rounds: u64, factor: impl Fn(usize) -> f64) {
    for now_ms in 0..rounds {
        for index in 0..endpoints {
            let selected = select(balancer, index, now_ms);
            let took_ms = factor(index) * (20.0 + 2_000.0 / 55.0);
            balancer.record_sent(&selected, &[PromptPart { id: now_ms, tokens: 2_000 }], now_ms);
            let load = ServerLoad { running: 1, waiting: 0, slowness: Some(1.0) };
            balancer.record_first_byte(&selected, took_ms, 0.0, 0.0, Some(load), now_ms);
            balancer.record_ended(&selected, SERVICE, now_ms);
        }
    }
}

/// An instance with its part of the exchange.
struct Instance {
    name: Name,
    balancer: Balancer,
    gossip: SpeedGossip,
}

impl Instance {
    fn new(name: &str, balancer: Balancer) -> Instance {
        Instance { name: Name::from(name), balancer, gossip: SpeedGossip::default() }
    }

    fn message(&mut self, peer: &Name, kind: PeerKind, now_ms: u64) -> ReadingMessage {
        let readings = self.balancer.speed_readings(now_ms);
        self.gossip.message(peer, kind, &readings, now_ms)
    }

    fn receive(&mut self, peer: &Name, kind: PeerKind, message: &ReadingMessage, now_ms: u64) {
        self.gossip.receive(peer, kind, message, now_ms);
        self.balancer.set_peer_speeds(&self.gossip, now_ms);
    }
}

/// A member reports to its hub and gets the response, if that is not lost. Returns the number of readings.
fn sync(member: &mut Instance, hub: &mut Instance, now_ms: u64, is_lost: bool) -> usize {
    let report = member.message(&hub.name, PeerKind::OwnHub, now_ms);
    hub.receive(&member.name, PeerKind::Member, &report, now_ms);
    let response = hub.message(&member.name, PeerKind::Member, now_ms);
    if !is_lost {
        member.receive(&hub.name, PeerKind::OwnHub, &response, now_ms);
    }
    report.readings.len() + response.readings.len()
}

fn expected_ms(balancer: &Balancer, index: usize) -> f64 {
    select(balancer, index, 500_000).expected_ms
}

/// Without the fleet's values, an instance that sees an endpoint every 15 s places blindly for minutes.
#[test]
fn a_new_instance_knows_slower_engines_after_one_exchange_even_if_the_first_is_lost() {
    let mut old = Instance::new("old", balancer(6, 1));
    learn(&mut old.balancer, 6, 40, |index| if index == 0 { 2.0 } else { 1.0 });
    let mut hub = Instance::new("hub", balancer(6, 1));
    let mut new = Instance::new("new", balancer(6, 1));
    sync(&mut old, &mut hub, 1_000, false);
    sync(&mut new, &mut hub, 1_100, true);
    sync(&mut new, &mut hub, 1_200, false);
    for it in [&old, &hub, &new] {
        let (slow_ms, usual_ms) = (expected_ms(&it.balancer, 0), expected_ms(&it.balancer, 1));
        assert!(slow_ms > 1.4 * usual_ms, "{}: {slow_ms} {usual_ms}", it.name);
    }
}

/// An engine that was slow long ago must get requests again.
#[test]
fn an_estimate_without_new_samples_reverts_to_the_service() {
    let mut balancer = balancer(20, 1);
    learn(&mut balancer, 20, 40, |index| if index == 0 { 3.0 } else { 1.0 });
    let difference_ms = |balancer: &Balancer| expected_ms(balancer, 0) - expected_ms(balancer, 1);
    assert!(difference_ms(&balancer) > 30.0, "{}", difference_ms(&balancer));
    balancer.expire(600_000);
    assert!(difference_ms(&balancer).abs() < 10.0, "{}", difference_ms(&balancer));
}

/// A process that starts again under the same id has nothing to do with the one before.
#[test]
fn another_incarnation_starts_from_the_service() {
    let mut instance = Instance::new("old", balancer(20, 1));
    learn(&mut instance.balancer, 20, 40, |index| if index == 0 { 3.0 } else { 1.0 });
    let mut hub = Instance::new("hub", balancer(20, 2));
    sync(&mut instance, &mut hub, 1_000, false);
    instance.balancer.upsert(endpoint(0, 2));
    for it in [&instance, &hub] {
        let difference_ms = expected_ms(&it.balancer, 0) - expected_ms(&it.balancer, 1);
        assert!(difference_ms.abs() < 10.0, "{}: {difference_ms}", it.name);
    }
}

/// Messages must stay small when nothing changes.
#[test]
fn unchanged_values_are_not_told_again() {
    let mut member = Instance::new("member", balancer(140, 1));
    learn(&mut member.balancer, 140, 20, |index| 1.0 + (index % 3) as f64 * 0.3);
    let mut hub = Instance::new("hub", balancer(140, 1));
    let first = sync(&mut member, &mut hub, 1_000, false);
    assert!(first >= 140, "{first}");
    let later = [3_500, 6_000, 8_500].map(|now_ms| sync(&mut member, &mut hub, now_ms, false));
    assert_eq!(later, [0; 3]);
}

quickcheck! {
    /// Guards against estimates that are useless because of what a faulty peer tells.
    fn any_readings_leave_bounded_estimates(values: Vec<(u16, u8)>) -> bool {
        let mut known = Instance::new("known", balancer(3, 1));
        learn(&mut known.balancer, 3, 20, |_| 1.0);
        let keys: Vec<u32> = known.balancer.speed_readings(20).iter().map(|it| it.key).collect();
        let mut receiver = Instance::new("receiver", balancer(3, 1));
        for (at, (value, weight)) in values.into_iter().enumerate() {
            let readings = vec![(keys[at % keys.len()], value, weight)];
            let bytes = postcard::to_stdvec(&(at as u64, 0_u64, readings)).expect("a message");
            let message: ReadingMessage = postcard::from_bytes(&bytes).expect("a message");
            receiver.receive(&known.name, PeerKind::Member, &message, at as u64);
        }
        let it = receiver.balancer.speeds().service(SERVICE).expect("speeds are learned");
        let values = [
            it.prefill_tokens_per_ms,
            it.idle_first_event_ms,
            it.prefill_step_ms,
            it.slot_wait_ms(12),
            expected_ms(&receiver.balancer, 0),
        ];
        values.iter().all(|it| it.is_finite() && *it >= 0.0 && *it < 1e6)
    }
}

/// Resident memory of this process, in bytes; `None` where the system does not tell.
fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? * 1_024)
}

/// What a hub of 50 members tells them of 2,100 endpoints must not grow with the number of reports.
#[test]
fn a_hub_of_fifty_members_tells_them_2100_endpoints() {
    let mut gossip = SpeedGossip::default();
    let reading = |key: u32| Reading::new(key, 1.0 + f64::from(key % 7) / 10.0, 9.0);
    let readings: Vec<Reading> = (0..2_100).filter_map(reading).collect();
    let names: Vec<Name> = (0..50).map(|it| Name::from(format!("member-{it}"))).collect();
    let (hub, mut members) = (Name::from("hub"), vec![SpeedGossip::default(); names.len()]);
    let before = resident_bytes();
    let mut bytes = [0; 7];
    for (round, bytes) in bytes.iter_mut().enumerate() {
        let now_ms = 1_000 + round as u64 * 2_500;
        for (name, member) in names.iter().zip(&mut members) {
            let report = member.message(&hub, PeerKind::OwnHub, &readings, now_ms);
            gossip.receive(name, PeerKind::Member, &report, now_ms);
            let response = gossip.message(name, PeerKind::Member, &readings, now_ms);
            member.receive(&hub, PeerKind::OwnHub, &response, now_ms);
            let encoded = |it: &ReadingMessage| postcard::to_stdvec(it).expect("a message").len();
            *bytes += encoded(&report) + encoded(&response);
        }
    }
    let memory = resident_bytes().zip(before).map(|(after, before)| after.saturating_sub(before));
    eprintln!("bytes between 50 members and their hub, by round: {bytes:?}");
    eprintln!("memory of all 51: {memory:?} bytes; {} values at the hub", gossip.len());
    assert!(bytes[5..].iter().all(|it| *it < 50 * 32), "{bytes:?}");
    let bytes: usize = bytes.into_iter().sum();
    // Both ways 2,100 readings of at most 10 bytes, some of them twice as sums grow.
    assert!(bytes < 50 * 2_100 * 10 * 4, "{bytes}");
    assert!(gossip.len() <= 50 * 2_100, "{}", gossip.len());
}

//! Cost of learned engine speeds: of selecting an endpoint among 140, without and with them, and of the
//! exchange of a hub that has 50 members and 2,100 endpoints.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use tanagergauge_core::{
    Name,
    balancer::Balancer,
    endpoint::{Distance, EndpointInfo, ServerLoad},
    engine_speed::{LearnSpeeds, PeerKind, Reading, SpeedGossip},
    prompt_part::PromptPart,
    routing::{EngineLimits, Service},
    selection::{BalanceSettings, EndpointQuery},
};

const ENDPOINTS: u16 = 140;
const MEMBERS: usize = 50;
const READINGS: u32 = 2_100;
const NOW_MS: u64 = 1_000_000;

fn balancer(learn_speeds: LearnSpeeds) -> Balancer {
    let settings = BalanceSettings {
        prefill_tokens_per_ms: 55.0,
        initial_service_ms: 30.0,
        zone_cost_ms: 3.0,
        region_cost_ms: 55.0,
        learn_speeds,
    };
    let mut balancer = Balancer::new(settings);
    let engine = EngineLimits { slots: 12, kv_capacity_tokens: 362_114, tokens_per_event: 9 };
    let service = Service {
        name: "model".into(),
        connection_limit: Some(100),
        health_path: None,
        engine: Some(engine),
        scale: None,
    };
    balancer.speeds_mut().set_services([&service].into_iter());
    for index in 0..ENDPOINTS {
        balancer.upsert(EndpointInfo {
            id: Name::from(format!("engine-{index}")),
            service: "model".into(),
            address: ([127, 0, 0, 1], 9_000 + index).into(),
            availability_zone: "zone-1".into(),
            region: "region-1".into(),
            distance: Distance::SameZone,
            slots: 12,
            leaving: false,
            incarnation: 1,
            software_version: "v1".into(),
            is_spot: false,
        });
    }
    balancer
}

fn query<'a>(service: &'a Name, parts: &'a [PromptPart]) -> EndpointQuery<'a> {
    EndpointQuery {
        service,
        parts,
        tried: &[],
        software_version: None,
        latency_sensitive: false,
        may_probe: false,
        has_connection: &|_| false,
        random: 7,
        unix_ms: NOW_MS,
    }
}

fn choose(c: &mut Criterion) {
    let service = Name::from("model");
    let parts = [
        PromptPart { id: 1, tokens: 2_520 },
        PromptPart { id: 2, tokens: 3_780 },
        PromptPart { id: 3, tokens: 2_890 },
    ];
    let mut group = c.benchmark_group("choose_among_140");
    for (name, mode) in [("constant", LearnSpeeds::Off), ("learned", LearnSpeeds::On)] {
        let mut balancer = balancer(mode);
        for at in 0..500 {
            let query = query(&service, &parts);
            let Ok(selected) = balancer.choose(&query, NOW_MS + at) else { return };
            balancer.record_sent(&selected, &parts, NOW_MS + at);
            let load = ServerLoad { running: 1, waiting: 0, slowness: Some(1.0) };
            balancer.record_first_byte(&selected, 90.0, 0.0, 75.0, Some(load), NOW_MS + at);
            balancer.record_ended(&selected, &service, NOW_MS + at);
        }
        group.bench_function(name, |b| {
            b.iter(|| black_box(balancer.choose(&query(&service, &parts), NOW_MS + 500)));
        });
    }
}

fn exchange(c: &mut Criterion) {
    let reading = |key: u32| Reading::new(key, 1.0 + f64::from(key % 7) / 10.0, 9.0);
    let readings: Vec<Reading> = (0..READINGS).filter_map(reading).collect();
    let names: Vec<Name> = (0..MEMBERS).map(|it| Name::from(format!("member-{it}"))).collect();
    let mut hub = SpeedGossip::default();
    let mut members = vec![SpeedGossip::default(); MEMBERS];
    let mut now_ms = NOW_MS;
    let mut exchange_all = || {
        now_ms += 1_000;
        for (name, member) in names.iter().zip(&mut members) {
            let report = member.message(&"hub".into(), PeerKind::OwnHub, &readings, now_ms);
            hub.receive(name, PeerKind::Member, &report, now_ms);
            let response = hub.message(name, PeerKind::Member, &readings, now_ms);
            member.receive(&"hub".into(), PeerKind::OwnHub, &response, now_ms);
        }
    };
    let mut group = c.benchmark_group("exchange");
    group.sample_size(10);
    group.bench_function("fifty_members_2100_endpoints", |b| b.iter(&mut exchange_all));
}

criterion_group!(benches, choose, exchange);
criterion_main!(benches);

//! Choice of an endpoint with stale and incomplete load information.

use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    Name, Reason,
    choice::{CachedPrefix, Choice, Request},
    endpoint_performance::EjectionState,
    endpoint_pool::{EndpointIndex, EndpointPool, EndpointPoolSettings, RoutingPolicy},
    prefix_index::{PrefixHashes, PrefixIndex},
    queue::DispatchRule,
    sheet::{AvailabilityZone, Endpoint, Price, Sheet, TargetKind},
};

const NOW_MS: u64 = 1_000_000;
const SEED: u64 = 20_261_204;

/// A sheet with engines in the local region and in a remote one, and a transfer price between them.
fn sheet(local: usize, remote: usize, slots: u32) -> Sheet {
    let zone =
        |name: &str, region: &str| AvailabilityZone { name: name.into(), region: region.into() };
    let price =
        |from: &str, to: &str| Price { from: from.into(), to: to.into(), per_gigabyte: 9.0 };
    let endpoint = |at: usize| Endpoint {
        name: Name::from(format!("engine-{at}")),
        availability_zone: Name::from(if at < local { "tallinn" } else { "helsinki" }),
        address: ([127, 0, 0, 1], 1_000 + at as u16).into(),
        kind: TargetKind::Model,
        serves: vec![Name::from("libretto")],
        slots,
        checks_fencing: false,
        checks_orders: false,
    };
    Sheet {
        availability_zones: vec![zone("tallinn", "ee"), zone("helsinki", "fi")],
        endpoints: (0..local + remote).map(endpoint).collect(),
        prices: vec![price("ee", "fi"), price("fi", "ee")],
        ..Sheet::default()
    }
}

fn endpoint_pool(local: usize, remote: usize, slots: u32, routing: RoutingPolicy) -> EndpointPool {
    let settings = EndpointPoolSettings { routing, ..EndpointPoolSettings::default() };
    EndpointPool::new(&sheet(local, remote, slots), "tallinn", settings)
}

fn request(tier_rank: usize) -> Request<'static> {
    Request {
        target: "libretto",
        tier_rank,
        rule: DispatchRule::Strict,
        output_tokens: 100,
        request_bytes: 4_000,
        answer_bytes: 4_000,
        waited_ms: 0,
        first_token_ms: 1_000,
        cached: &[],
        avoid: &[],
    }
}

fn chosen(choice: Choice) -> usize {
    match choice {
        Choice::Send(EndpointIndex(at)) => at,
        it => panic!("{it:?}"),
    }
}

/// Largest number of requests at one of ten engines when three instances send 60 requests within a
/// second without a load report.
fn max_requests_at_one_engine(routing: RoutingPolicy) -> u32 {
    let mut instances: Vec<EndpointPool> =
        (0..3).map(|_| endpoint_pool(10, 0, 20, routing)).collect();
    for it in &mut instances {
        for at in 0..10 {
            it.apply_load_report(EndpointIndex(at), if at == 0 { 0 } else { 3 }, NOW_MS);
        }
    }
    for number in 0..60_u64 {
        let now_ms = NOW_MS + 1 + number * 16;
        let at = number as usize % 3;
        let index = EndpointIndex(chosen(instances[at].choose(&request(1), now_ms, number)));
        instances[at].record_sent(index, now_ms);
        for (peer, it) in instances.iter_mut().enumerate() {
            if peer != at {
                it.add_peer_requests(index, 1, now_ms);
            }
        }
    }
    let local =
        |at: usize| instances.iter().map(|it| it.endpoint(EndpointIndex(at)).load.local()).sum();
    (0..10).map(local).max().unwrap_or(0)
}

/// Instances that rely on the same load report all send to the engine that it shows as idle.
/// Adding the requests sent since the report prevents this.
#[test]
fn corrected_reports_do_not_herd() {
    let (full, least_load) = (
        max_requests_at_one_engine(RoutingPolicy::Full),
        max_requests_at_one_engine(RoutingPolicy::LeastLoad),
    );
    assert!(full <= 10, "{full} at one engine");
    assert_eq!(least_load, 60, "the baseline follows the stale report");
}

#[test]
fn the_estimate_follows_reports_and_changes() {
    let mut pool = endpoint_pool(1, 0, 8, RoutingPolicy::Full);
    let index = EndpointIndex(0);
    pool.record_sent(index, NOW_MS);
    pool.record_sent(index, NOW_MS + 100);
    assert_eq!(pool.endpoint(index).load.estimate(), 2);
    assert!(pool.apply_load_report(index, 4, NOW_MS + 50));
    assert_eq!(pool.endpoint(index).load.estimate(), 5, "reported 4, one sent since");
    assert!(!pool.apply_load_report(index, 0, NOW_MS + 20), "an older report is ignored");
    pool.add_peer_requests(index, -3, NOW_MS + 120);
    assert_eq!(
        pool.endpoint(index).load.estimate(),
        2,
        "at least the two requests of this instance"
    );
}

#[test]
fn lower_tiers_leave_slots_to_a_higher_tier_with_demand() {
    let mut pool = endpoint_pool(1, 0, 8, RoutingPolicy::Full);
    let index = EndpointIndex(0);
    for _ in 0..7 {
        pool.record_sent(index, NOW_MS);
    }
    assert_eq!(pool.choose(&request(2), NOW_MS, 0), Choice::Send(index));
    pool.record_demand("libretto", 0, NOW_MS);
    assert_eq!(pool.choose(&request(2), NOW_MS, 0), Choice::Wait);
    let floor = Request { rule: DispatchRule::Floor, ..request(2) };
    assert_eq!(pool.choose(&floor, NOW_MS, 0), Choice::Send(index));
    assert_eq!(pool.choose(&request(0), NOW_MS, 0), Choice::Send(index));
    assert_eq!(pool.choose(&request(2), NOW_MS + 31_000, 0), Choice::Send(index));
}

#[test]
fn priced_regions_are_used_when_waiting_would_miss_the_target() {
    let mut pool = endpoint_pool(1, 1, 1, RoutingPolicy::Full);
    pool.record_sent(EndpointIndex(0), NOW_MS);
    assert_eq!(pool.choose(&request(1), NOW_MS, 0), Choice::Wait);
    let waiting_too_long = Request { waited_ms: 500, ..request(1) };
    assert_eq!(pool.choose(&waiting_too_long, NOW_MS, 0), Choice::Send(EndpointIndex(1)));
    pool.set_leaving(EndpointIndex(0), true);
    assert_eq!(pool.choose(&request(1), NOW_MS, 0), Choice::Send(EndpointIndex(1)));
}

/// After any sequence of events, no request is sent to an endpoint that is leaving or excluded, and
/// none exceeds the slots plus the overcommit of the highest tier with demand.
#[test]
fn excluded_endpoints_and_slot_limits_are_respected() {
    fn property(events: Vec<(u8, u8, u8)>) -> bool {
        let mut pool = endpoint_pool(3, 3, 4, RoutingPolicy::Full);
        let mut highest = usize::MAX;
        for (number, (event, at, rank)) in events.into_iter().enumerate() {
            let now_ms = NOW_MS + number as u64 * 50;
            let index = EndpointIndex(usize::from(at % 6));
            let local = pool.endpoint(index).load.local();
            match event % 8 {
                0 => pool.set_leaving(index, rank % 2 == 0),
                1 if local > 0 => drop(pool.record_failure(index, now_ms)),
                2 if local > 0 => pool.record_success(index, now_ms),
                3 => drop(pool.apply_load_report(index, u32::from(rank % 6), now_ms)),
                _ => {
                    let avoid = [index];
                    let request = Request { avoid: &avoid, ..request(usize::from(rank % 3)) };
                    highest = highest.min(request.tier_rank);
                    let has_room = pool.has_room(&request, now_ms, u64::from(at));
                    let Choice::Send(chosen) = pool.choose(&request, now_ms, u64::from(at)) else {
                        if has_room {
                            return false;
                        }
                        continue;
                    };
                    let endpoint = pool.endpoint(chosen);
                    // The highest tier with demand may exceed the 4 slots by 25 percent.
                    let limit = if request.tier_rank <= highest { 5 } else { 4 };
                    let is_over = endpoint.load.estimate() >= limit;
                    if chosen == index || endpoint.leaving || is_over || !has_room {
                        return false;
                    }
                    pool.record_sent(chosen, now_ms);
                }
            }
        }
        true
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(300);
    let result = check.quicktest(property as fn(Vec<(u8, u8, u8)>) -> bool);
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn a_slow_engine_is_ejected_then_returns_through_probation_and_slow_start() {
    let mut pool = endpoint_pool(4, 0, 8, RoutingPolicy::Full);
    let slow = EndpointIndex(2);
    for _ in 0..5 {
        for at in 0..4 {
            let token_ms = if at == slow.0 { 200.0 } else { 20.0 };
            pool.record_tokens(EndpointIndex(at), 10, 10.0 * token_ms);
        }
    }
    assert_eq!(pool.eject_outliers(NOW_MS), [slow]);
    let is_avoided = (0..50).all(|it| chosen(pool.choose(&request(0), NOW_MS, it)) != slow.0);
    assert!(is_avoided);
    let now_ms = NOW_MS + 5_000;
    assert_eq!(
        pool.endpoint(slow).performance.ejection_state(now_ms),
        EjectionState::Probation { successes: 0 }
    );
    assert_eq!(pool.endpoint(slow).usable_slots(now_ms), 1);
    for _ in 0..2 {
        pool.record_sent(slow, now_ms);
        pool.record_tokens(slow, 100, 2_000.0);
        pool.record_success(slow, now_ms);
    }
    assert_eq!(pool.endpoint(slow).usable_slots(now_ms), 1, "a fifth of eight slots");
    assert_eq!(pool.endpoint(slow).usable_slots(now_ms + 5_000), 4);
    assert_eq!(pool.endpoint(slow).usable_slots(now_ms + 10_000), 8);
    assert_eq!(pool.eject_outliers(now_ms), []);
}

#[test]
fn uniformly_slow_engines_are_not_ejected() {
    let mut pool = endpoint_pool(4, 0, 8, RoutingPolicy::Full);
    for _ in 0..5 {
        (0..4).for_each(|at| pool.record_tokens(EndpointIndex(at), 10, 2_000.0));
    }
    assert_eq!(pool.eject_outliers(NOW_MS), []);
}

#[test]
fn a_target_without_endpoints_is_refused() {
    let mut pool = endpoint_pool(1, 0, 8, RoutingPolicy::Full);
    let unknown = Request { target: "unknown", ..request(0) };
    assert_eq!(pool.choose(&unknown, NOW_MS, 0), Choice::Refuse(Reason::NoEndpoint));
    let adapter = Request { target: "libretto:operetta", ..request(0) };
    assert_eq!(pool.choose(&adapter, NOW_MS, 0), Choice::Send(EndpointIndex(0)));
}

#[test]
fn a_cached_prefix_attracts_requests_only_up_to_a_bounded_load() {
    let mut pool = endpoint_pool(3, 0, 20, RoutingPolicy::Full);
    let cached = [CachedPrefix { endpoint: EndpointIndex(1), tokens: 8_000 }];
    let request = Request { cached: &cached, ..request(1) };
    let mut number = 0;
    while chosen(pool.choose(&request, NOW_MS, number)) == 1 {
        pool.record_sent(EndpointIndex(1), NOW_MS);
        number += 1;
    }
    assert!((1..=4).contains(&number), "{number} requests followed the prefix");
}

#[test]
fn prefix_index_is_bounded_and_invalidated_by_event_gaps() {
    let prompts: Vec<Vec<u8>> = (0..50_u8).map(|it| vec![it; 2_048]).collect();
    let hashes = |at: usize| PrefixHashes::new("libretto", &prompts[at]);
    let mut index = PrefixIndex::new(100);
    (0..50).for_each(|at| index.insert(EndpointIndex(at % 4), &hashes(at)));
    assert_eq!(index.len(), 100);
    index.insert(EndpointIndex(2), &hashes(7));
    let found = index.lookup(&hashes(7));
    assert!(found.contains(&CachedPrefix { endpoint: EndpointIndex(2), tokens: 512 }), "{found:?}");
    assert!(!index.record_event(EndpointIndex(2), 1));
    assert!(!index.record_event(EndpointIndex(2), 2));
    assert!(index.record_event(EndpointIndex(2), 4), "event 3 is missing");
    assert!(index.lookup(&hashes(7)).iter().all(|it| it.endpoint != EndpointIndex(2)));
}

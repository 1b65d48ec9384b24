//! Instances share the limits that endpoints name, without exceeding them.

use std::net::SocketAddr;

use tanagergauge_core::{
    Name,
    endpoint_limits::{EndpointLimits, FleetPosition, LimitUpdate, Permission},
    live_instances::LiveInstances,
    roster::{Peer, Roster},
};

/// A moment as Unix time; monotonic times in these tests are the same.
const NOW_MS: u64 = 1_790_000_000_000;
const ENDPOINT: &str = "engine-7";

fn fleet(instances: usize, limit_per_s: f64) -> Vec<EndpointLimits> {
    let limits = |rank| {
        let mut limits = EndpointLimits::default();
        limits.set_position(FleetPosition { rank, instances });
        limits.record_response(&Name::from(ENDPOINT), Some(limit_per_s), NOW_MS, NOW_MS);
        limits
    };
    (0..instances).map(limits).collect()
}

/// Sends whenever it is permitted, each instance every `interval_ms`; returns the times.
fn send_all(fleet: &mut [EndpointLimits], interval_ms: u64, duration_ms: u64) -> Vec<u64> {
    let mut sent_ms = Vec::new();
    for now_ms in (NOW_MS..NOW_MS + duration_ms).step_by(10) {
        for (rank, it) in fleet.iter_mut().enumerate() {
            let offset_ms = rank as u64 * 10 % interval_ms;
            if (now_ms - NOW_MS) % interval_ms != offset_ms {
                continue;
            }
            match it.permission(ENDPOINT, now_ms) {
                Permission::Token(token_ms) => {
                    it.record_used(ENDPOINT, token_ms);
                    sent_ms.push(now_ms);
                }
                Permission::Unlimited => sent_ms.push(now_ms),
                Permission::Wait => {}
            }
        }
    }
    sent_ms
}

/// Largest number of times within `length_ms`.
fn most_within(times_ms: &[u64], length_ms: u64) -> usize {
    let within =
        |begin: &u64| times_ms.iter().filter(|it| (*begin..begin + length_ms).contains(it)).count();
    times_ms.iter().map(within).max().unwrap_or(0)
}

/// Lets a fleet whose instances send at intervals share a limit for a minute; checks that it keeps
/// what the platform allows in 4 s, and sends at least so many requests.
fn check_fleet(instances: usize, interval_ms: u64, limit_per_s: f64, least: usize) {
    let mut fleet = fleet(instances, limit_per_s);
    let sent_ms = send_all(&mut fleet, interval_ms, 60_000);
    let allowed = 1.5 * 4.0 * limit_per_s + 5.0;
    let most = most_within(&sent_ms, 4_000);
    assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed");
    assert!(sent_ms.len() >= least, "{} sent", sent_ms.len());
}

/// Each test has a fleet of another size, or another relation of demand and limit.
macro_rules! limited_fleets {
    ($($name:ident: $instances:literal instances, every $interval_ms:literal ms, $limit_per_s:literal per s => at least $least:literal in 60 s;)*) => {$(
        #[test]
        fn $name() {
            check_fleet($instances, $interval_ms, $limit_per_s, $least);
        }
    )*};
}

limited_fleets! {
    a_small_fleet_uses_a_small_limit: 6 instances, every 70 ms, 1.6 per s => at least 86 in 60 s;
    one_instance_uses_the_whole_limit: 1 instances, every 100 ms, 1.5 per s => at least 80 in 60 s;
    a_large_fleet_keeps_a_small_limit: 300 instances, every 300 ms, 1.5 per s => at least 80 in 60 s;
    a_large_limit_is_used: 6 instances, every 100 ms, 40.0 per s => at least 2_000 in 60 s;
    a_limit_above_the_demand_is_none: 6 instances, every 1000 ms, 60.0 per s => at least 340 in 60 s;
}

fn peer(number: usize) -> Peer {
    Peer {
        name: Name::from(format!("front-{number}")),
        zone: Name::from(format!("zone-{}", number % 3)),
        control: SocketAddr::from(([10, 0, 0, number as u8], 8_748)),
    }
}

/// Instances that started one after the other have read lists of different lengths. `live` is the
/// number of instances whose loads they receive.
fn fleet_with_incomplete_lists(
    instances: usize,
    live: usize,
    limit_per_s: f64,
) -> Vec<EndpointLimits> {
    let mut fleet = fleet(instances, limit_per_s);
    let mut roster = Roster::default();
    for (number, limits) in fleet.iter_mut().enumerate() {
        let own = peer(number);
        roster.put(own.clone());
        limits.set_position(roster.position(&own.name, live, true));
    }
    fleet
}

#[test]
fn a_limit_is_kept_while_lists_of_instances_are_incomplete() {
    for instances in [6, 12, 24] {
        let mut fleet = fleet_with_incomplete_lists(instances, instances, 1.5);
        let sent_ms = send_all(&mut fleet, 100, 20_000);
        let most = most_within(&sent_ms, 4_000);
        assert!(most <= 14, "{most} in 4 s, 14 allowed, {instances} instances");
    }
    // By the lists alone the shares add up to far more than the limit.
    let mut fleet = fleet_with_incomplete_lists(24, 0, 1.5);
    assert!(most_within(&send_all(&mut fleet, 100, 20_000), 4_000) > 14);
}

/// Places that come from hashes may be the same for several instances.
#[test]
fn limits_are_kept_wherever_places_coincide() {
    for step in 0..60 {
        let limit_per_s = 1.2 + f64::from(step) * 0.02;
        for instances in [4, 8, 16] {
            let mut fleet = fleet_with_incomplete_lists(instances, instances, limit_per_s);
            let most = most_within(&send_all(&mut fleet, 60, 20_000), 4_000);
            let allowed = 1.5 * 4.0 * limit_per_s + 5.0;
            assert!(most as f64 <= allowed, "{most} in 4 s, {allowed} allowed, {instances}");
        }
    }
}

/// After a long silence no instance has saved up requests.
#[test]
fn tokens_are_not_saved_up() {
    let mut fleet = fleet(300, 1.5);
    let sent_ms = send_all(&mut fleet, 100, 100);
    assert!(sent_ms.len() <= 2, "{} sent", sent_ms.len());
}

#[test]
fn a_limit_of_zero_permits_nothing() {
    let mut fleet = fleet(2, 0.0);
    assert!(send_all(&mut fleet, 100, 10_000).is_empty());
}

/// Guards against instances that each take a whole limit before they have heard of each other.
#[test]
fn a_limit_is_kept_before_the_list_of_instances_was_read() {
    let mut fleet = fleet(6, 1.5);
    for (number, limits) in fleet.iter_mut().enumerate() {
        let (own, mut roster) = (peer(number), Roster::default());
        roster.put(own.clone());
        limits.set_position(roster.position(&own.name, 0, false));
    }
    let most = most_within(&send_all(&mut fleet, 100, 20_000), 4_000);
    assert!(most <= 14, "{most} in 4 s, 14 allowed");
}

#[test]
fn an_instance_without_a_place_uses_no_limit() {
    let mut limits = EndpointLimits::default();
    limits.record_response(&Name::from(ENDPOINT), Some(100.0), NOW_MS, NOW_MS);
    for at_ms in NOW_MS..NOW_MS + 2_000 {
        assert_eq!(limits.permission(ENDPOINT, at_ms), Permission::Wait);
    }
}

fn permits(limits: &EndpointLimits) -> bool {
    limits.permission(ENDPOINT, NOW_MS) == Permission::Unlimited
}

#[test]
fn the_newest_response_decides_at_all_instances() {
    let endpoint = Name::from(ENDPOINT);
    let [mut a, mut b] = [EndpointLimits::default(), EndpointLimits::default()];
    assert!(a.record_response(&endpoint, Some(2.0), NOW_MS, NOW_MS));
    b.merge(a.updates(NOW_MS), NOW_MS);
    assert_eq!(b.len(), 1);
    let old = a.updates(NOW_MS);
    // The clock of the second instance is behind.
    assert!(b.record_response(&endpoint, None, NOW_MS + 100, NOW_MS - 5_000));
    a.merge(b.updates(NOW_MS + 100), NOW_MS + 100);
    assert!(permits(&a) && permits(&b));
    b.merge(old, NOW_MS + 200);
    assert!(permits(&b), "an old update was applied");
}

#[test]
fn updates_are_sent_for_a_while_and_limits_expire() {
    let endpoint = Name::from(ENDPOINT);
    let mut limits = EndpointLimits::default();
    assert!(!limits.record_response(&endpoint, None, NOW_MS, NOW_MS));
    assert!(limits.updates(NOW_MS).is_empty());
    limits.record_response(&endpoint, Some(2.0), NOW_MS, NOW_MS);
    assert!(!limits.record_response(&endpoint, Some(2.0), NOW_MS + 10, NOW_MS + 10));
    let version = NOW_MS;
    let update = LimitUpdate { endpoint, requests_per_s: Some(2.0), version };
    assert_eq!(limits.updates(NOW_MS + 1_000), [update]);
    assert!(limits.updates(NOW_MS + 2_000).is_empty());
    limits.expire(NOW_MS + 7_000);
    assert_eq!(limits.len(), 1);
    limits.expire(NOW_MS + 9_000);
    assert!(limits.is_empty());
}

/// A hub that takes over counts only those that have reported to it.
#[test]
fn a_hub_that_takes_over_makes_no_share_larger() {
    let mut live = LiveInstances::default();
    live.record(8, 0);
    live.record(1, 500);
    assert_eq!(live.count(), 8);
    live.record(8, 900);
    live.record(6, 20_000);
    assert_eq!(live.count(), 8);
    live.record(6, 20_900);
    assert_eq!(live.count(), 6, "two instances are gone");
    live.record(9, 21_000);
    assert_eq!(live.count(), 9);
}

/// An endpoint that names a limit beyond all counting is no endpoint that wants nothing.
#[test]
fn a_limit_beyond_all_counting_lets_requests_through() {
    assert_eq!(send_all(&mut fleet(1, 1e300), 10, 1_000).len(), 100);
}

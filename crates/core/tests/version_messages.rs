//! What it costs 295 instances to know at which software version streams begin.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    begun_streams::{BegunStreams, StreamAudience, StreamKey, StreamOrigin, StreamsOfVersion},
    update_log::{LogPosition, SyncCursors},
    version_history::ServiceVersions,
};

const ZONES: usize = 10;
/// Instances of a zone beside its hub.
const MEMBERS: usize = 29;
/// Streams that begin in a zone each second; 200 in all zones.
const STREAMS_PER_S: usize = 20;
/// Interval of reports, in milliseconds.
const INTERVAL_MS: u64 = 100;
/// Time that is simulated, in milliseconds.
const DURATION_MS: u64 = 10_000;
/// Budget of a hub for reports within its zone, in bytes per second.
const HUB_BYTES_PER_S: u64 = 300_000;

/// Report and response as they are encoded after the loads, without services, whose versions change a
/// few times a day.
type Report = (Vec<StreamsOfVersion>, LogPosition, Vec<ServiceVersions>, LogPosition);

/// An instance and its cursors.
struct Instance {
    streams: BegunStreams,
    cursors: HashMap<usize, SyncCursors>,
}

impl Instance {
    fn new(number: usize) -> Instance {
        // Unix time in milliseconds, as in production.
        let log = 1_800_000_000_000 + number as u64;
        Instance { streams: BegunStreams::new(log), cursors: HashMap::new() }
    }

    fn begin(&mut self, stream: usize, now_ms: u64) {
        let key = StreamKey::new("huka270", "tekstur", &format!("{stream:016x}"));
        self.streams.record(key, &Name::from(["v1.1", "v1.2"][stream % 2]), now_ms);
    }
}

/// Size in bytes of a report from one instance to another, with its response.
fn exchange(
    (from, to): (&mut Instance, &mut Instance),
    to_number: usize,
    (audience, origin): (StreamAudience, StreamOrigin),
    back: StreamAudience,
    now_ms: u64,
) -> u64 {
    let cursors = from.cursors.entry(to_number).or_default();
    let sent = from.streams.updates_since(cursors.acked_by_peer, audience, now_ms);
    let report: Report =
        (sent.versions, cursors.received_from_peer, Vec::new(), cursors.received_from_peer);
    let report_bytes = postcard::to_stdvec(&report).expect("encodes").len();
    to.streams.merge(report.0, origin, now_ms);
    let response = to.streams.updates_since(cursors.received_from_peer, back, now_ms);
    let services = (Vec::<ServiceVersions>::new(), response.next);
    let response_bytes = postcard::to_stdvec(&(&response, services)).expect("encodes").len();
    *cursors = cursors.advance(sent.next, response.next);
    from.streams.merge(response.versions, StreamOrigin::Elsewhere, now_ms);
    (report_bytes + response_bytes) as u64
}

/// Two different instances.
fn pair(instances: &mut [Instance], first: usize, second: usize) -> (&mut Instance, &mut Instance) {
    let [first, second] = instances.get_disjoint_mut([first, second]).expect("they differ");
    (first, second)
}

/// The hubs of all zones come first; then the members of the zone of hub 0.
#[test]
fn what_instances_tell_of_streams_fits_beside_their_loads() {
    let mut instances: Vec<Instance> = (0..ZONES + MEMBERS).map(Instance::new).collect();
    let (mut zone_bytes, mut between_bytes, mut begun) = (0, 0, 0);
    for now_ms in (0..DURATION_MS).step_by(INTERVAL_MS as usize) {
        for _ in 0..STREAMS_PER_S * INTERVAL_MS as usize / 1_000 {
            instances[ZONES + begun % MEMBERS].begin(ZONES * begun, now_ms);
            (1..ZONES).for_each(|hub| instances[hub].begin(ZONES * begun + hub, now_ms));
            begun += 1;
        }
        let roles = (StreamAudience::Hub, StreamOrigin::OwnZone);
        for member in ZONES..ZONES + MEMBERS {
            let both = pair(&mut instances, member, 0);
            zone_bytes += exchange(both, 0, roles, StreamAudience::Member, now_ms);
        }
        let roles = (StreamAudience::OtherZone, StreamOrigin::Elsewhere);
        for (from, to) in (0..ZONES).flat_map(|from| (0..from).map(move |to| (from, to))) {
            let both = pair(&mut instances, from, to);
            between_bytes += exchange(both, to, roles, StreamAudience::OtherZone, now_ms);
        }
    }
    let (hub_bytes_per_s, between_bytes_per_s) =
        (zone_bytes * 1_000 / DURATION_MS, between_bytes * 1_000 / DURATION_MS);
    let member_bytes_per_s = hub_bytes_per_s / MEMBERS as u64;
    println!("member: {member_bytes_per_s} B/s; hub, in its zone: {hub_bytes_per_s} B/s");
    let both = pair(&mut instances, ZONES, 0);
    let roles = (StreamAudience::Hub, StreamOrigin::OwnZone);
    exchange(both, 0, roles, StreamAudience::Member, DURATION_MS);
    let both = pair(&mut instances, ZONES, 0);
    let idle_bytes = exchange(both, 0, roles, StreamAudience::Member, DURATION_MS);
    println!("report and response without news: {idle_bytes} bytes");
    println!("between all zones: {between_bytes_per_s} B/s; each message counts once");
    for (number, it) in instances.iter().enumerate() {
        let in_flight = 3 * STREAMS_PER_S * ZONES * INTERVAL_MS as usize / 1_000;
        assert!(it.streams.len() + in_flight >= ZONES * begun, "instance {number} knows all");
    }
    assert!(hub_bytes_per_s < HUB_BYTES_PER_S / 4, "{hub_bytes_per_s} B/s in a zone");
}

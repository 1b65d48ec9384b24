//! Each instance learns once at which version a stream began, wherever that was.

use tanagergauge_core::{
    Name,
    begun_streams::{
        BegunStreams, MAX_MESSAGE_STREAMS, MAX_STREAMS, STREAM_RETENTION_MS, StreamAudience,
        StreamKey, StreamOrigin,
    },
    update_log::LogPosition,
};

const NOW_MS: u64 = 1_000;

fn key(request_id: &str) -> StreamKey {
    StreamKey::new("rida", "tekstur", request_id)
}

fn streams(begun: &[(&str, &str)], log: u64) -> BegunStreams {
    let mut streams = BegunStreams::new(log);
    for (request_id, version) in begun {
        streams.record(key(request_id), &Name::from(*version), NOW_MS);
    }
    streams
}

fn version(streams: &BegunStreams, request_id: &str) -> Option<String> {
    streams.version_of(key(request_id), NOW_MS).map(ToString::to_string)
}

/// Sends what is new since `position`; returns the number of streams.
fn tell(
    from: &BegunStreams,
    to: &mut BegunStreams,
    audience: StreamAudience,
    origin: StreamOrigin,
    position: &mut LogPosition,
) -> usize {
    let updates = from.updates_since(*position, audience, NOW_MS);
    *position = updates.next;
    let count = updates.versions.iter().map(|it| it.streams.len()).sum();
    to.merge(updates.versions, origin, NOW_MS);
    count
}

#[test]
fn a_stream_is_known_from_a_member_to_a_member_of_another_zone() {
    use StreamAudience as To;
    use StreamOrigin as From;
    let member = streams(&[("r1", "v1"), ("r2", "v2")], 1);
    let (mut hub, mut other_hub) = (streams(&[], 2), streams(&[("r3", "v1")], 3));
    let mut other_member = streams(&[], 4);
    let [mut to_hub, mut between, mut back, mut to_member] = [LogPosition::default(); 4];
    assert_eq!(tell(&member, &mut hub, To::Hub, From::OwnZone, &mut to_hub), 2);
    assert_eq!(tell(&hub, &mut other_hub, To::OtherZone, From::Elsewhere, &mut between), 2);
    // The other hub does not send them back, and tells its own.
    assert_eq!(tell(&other_hub, &mut hub, To::OtherZone, From::Elsewhere, &mut back), 1);
    let told = tell(&other_hub, &mut other_member, To::Member, From::Elsewhere, &mut to_member);
    assert_eq!(told, 3);
    for (id, begun) in [("r1", Some("v1")), ("r2", Some("v2")), ("r3", Some("v1")), ("r4", None)] {
        assert_eq!(version(&other_member, id).as_deref(), begun);
    }
    assert_eq!(tell(&member, &mut hub, To::Hub, From::OwnZone, &mut to_hub), 0, "told once");
    assert_eq!(tell(&hub, &mut other_hub, To::OtherZone, From::Elsewhere, &mut between), 0);
}

#[test]
fn a_new_hub_passes_on_what_the_killed_one_did_not() {
    let member = streams(&[("r1", "v1")], 1);
    let mut new_hub = streams(&[], 2);
    // The killed hub told the members of the zone, but not the other zones.
    let told = member.updates_since(LogPosition::default(), StreamAudience::Hub, NOW_MS);
    new_hub.merge(told.versions.clone(), StreamOrigin::Elsewhere, NOW_MS);
    let for_others = |it: &BegunStreams| {
        it.updates_since(LogPosition::default(), StreamAudience::OtherZone, NOW_MS).versions
    };
    assert_eq!(for_others(&new_hub), []);
    new_hub.merge(told.versions.clone(), StreamOrigin::OwnZone, NOW_MS);
    assert_eq!(for_others(&new_hub), told.versions);
}

#[test]
fn a_stream_keeps_the_version_that_began_it() {
    let mut streams = streams(&[("r1", "v1"), ("r1", "v2")], 1);
    assert_eq!(version(&streams, "r1").as_deref(), Some("v1"));
    let other = StreamKey::new("another", "tekstur", "r1");
    assert_eq!(streams.version_of(other, NOW_MS), None, "another client account's request");
    streams.expire(NOW_MS + STREAM_RETENTION_MS - 1);
    assert_eq!(streams.len(), 1);
    assert_eq!(streams.version_of(key("r1"), NOW_MS + STREAM_RETENTION_MS), None);
    streams.expire(NOW_MS + STREAM_RETENTION_MS);
    assert!(streams.is_empty());
}

#[test]
fn the_oldest_of_too_many_streams_are_dropped() {
    let ids: Vec<String> = (0..MAX_STREAMS + 10).map(|it| format!("r{it}")).collect();
    let begun: Vec<(&str, &str)> = ids.iter().map(|it| (&**it, "v1")).collect();
    let streams = streams(&begun, 1);
    assert_eq!(streams.len(), MAX_STREAMS);
    assert_eq!(version(&streams, "r9"), None);
    assert_eq!(version(&streams, "r10").as_deref(), Some("v1"));
    // An instance that starts now gets all that are left, in messages of bounded size.
    let (mut started, mut position) = (BegunStreams::new(2), LogPosition::default());
    let (audience, origin) = (StreamAudience::Member, StreamOrigin::Elsewhere);
    for _ in 0..MAX_STREAMS / MAX_MESSAGE_STREAMS {
        let told = tell(&streams, &mut started, audience, origin, &mut position);
        assert_eq!(told, MAX_MESSAGE_STREAMS);
    }
    assert_eq!(version(&started, "r10").as_deref(), Some("v1"));
    assert_eq!(started.len(), MAX_STREAMS);
}

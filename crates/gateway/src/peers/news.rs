//! What instances tell each other of the store's topics.

use tanagergauge_core::{
    Name,
    compacted_log::{CatchUp, CatchUpPlan},
};

use super::message::{Position, StoreNews};
use crate::{
    follow::StoreFollower,
    store::{Changes, Snapshot, Topic},
};

/// What an instance lacks that knows the topics up to `known`. With `has_store` it can read the store
/// itself if it lacks much.
pub(super) fn collect(follower: &StoreFollower, known: Position, has_store: bool) -> StoreNews {
    let view = follower.view();
    let mut position = view.position();
    let mut age_ms = follower.gateway().endpoints_age_ms();
    let catch_up = match view.plan_endpoint_catch_up(known, has_store) {
        CatchUpPlan::Records(catch_up) => catch_up,
        CatchUpPlan::ReadStore => {
            position.endpoints_end = 0;
            age_ms = None;
            CatchUp::default()
        }
    };
    StoreNews {
        known: position,
        configuration: view.configuration_newer_than(known.configuration_version),
        endpoints: catch_up.records,
        gone: view.gone_but_listed(known),
        endpoints_are_all: catch_up.is_complete,
        age_ms: age_ms.unwrap_or(u64::MAX),
    }
}

/// Applies what a peer told.
pub(super) fn apply(follower: &StoreFollower, peer: &Name, news: StoreNews) {
    let (gateway, decoders) = (follower.gateway(), follower.decoders());
    let mut view = follower.view();
    let known = news.known;
    view.apply_peer_configuration(gateway, decoders, peer, news.configuration, known);
    if known.endpoints_end == 0 {
        return;
    }
    let (records, end, era) = (news.endpoints, known.endpoints_end, known.endpoints_era);
    let is_applied = if news.endpoints_are_all {
        let snapshot = Snapshot { records, end, era: Some(era) };
        view.apply_snapshot(gateway, decoders, Topic::Endpoints, snapshot)
    } else {
        let changes = Changes { records, next: end, has_more: false, era: Some(era) };
        view.apply_changes(gateway, decoders, Topic::Endpoints, changes)
    };
    view.apply_gone(gateway, decoders, &news.gone);
    drop(view);
    if is_applied {
        gateway.confirm_endpoints(news.age_ms);
    }
}

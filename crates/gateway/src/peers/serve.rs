//! Answers to peers' reports.

use bytes::Bytes;
use tanagergauge_core::{
    compacted_log::{CatchUp, CatchUpPlan},
    roster::Peer,
};

use super::message::{Sender, Sync, SyncReply};
use crate::{clock, follow::Following};

/// Takes in a report and answers with what its sender lacks; `None` if it cannot be read.
pub(crate) fn answer(following: &Following, body: &[u8]) -> Option<Bytes> {
    let sync: Sync = match postcard::from_bytes(body) {
        Ok(sync) => sync,
        Err(error) => {
            tracing::warn!(%error, "report of a peer cannot be read");
            return None;
        }
    };
    let reply = take(following, sync);
    match postcard::to_stdvec(&reply) {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(error) => {
            tracing::error!(%error, "answer to a peer cannot be written");
            None
        }
    }
}

fn take(following: &Following, sync: Sync) -> SyncReply {
    let gateway = following.gateway();
    let now_ms = clock::now_ms();
    let peers = &gateway.peers;
    let Sync { sender, instance, zone, control, loads, instances, known, .. } = sync;
    peers.roster().record_contact(Peer { name: instance.clone(), zone: zone.clone(), control });
    let own = gateway.balancer().local_loads();
    let (loads, instances) = {
        let mut tables = peers.reports();
        match sender {
            Sender::Member => {
                tables.members.put(&instance, loads, instances, now_ms);
                tables.others_of_member(&instance, own, now_ms)
            }
            Sender::Hub => {
                tables.zones.put(&zone, loads, instances, now_ms);
                tables.whole_zone(own, now_ms)
            }
        }
    };
    let suspects = {
        let mut ours = gateway.suspects();
        ours.merge(sync.suspects);
        ours.updates_since(sync.suspects_heard)
    };
    let views = following.views();
    let (mut position, mut age_ms) = (views.position(), gateway.endpoints_age_ms());
    let lacking = match views.hand_on_endpoints(known.endpoints_end, sync.has_store) {
        CatchUpPlan::Records(lacking) => lacking,
        CatchUpPlan::ReadStore => {
            position.endpoints_end = 0;
            age_ms = None;
            CatchUp::default()
        }
    };
    SyncReply {
        loads,
        instances,
        known: position,
        configuration: views.configuration_since(known.configuration_end),
        endpoints: lacking.records,
        endpoints_are_all: lacking.is_complete,
        age_ms: age_ms.unwrap_or(u64::MAX),
        suspects,
    }
}

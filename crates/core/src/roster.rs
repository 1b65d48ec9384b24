//! Which instances there are, and which of a zone's all others turn to.
//!
//! Every instance orders the members of a zone in the same way; the first that answers is the
//! zone's hub. Nothing is agreed: two hubs at once cost a few messages, never an answer.

use std::{collections::HashMap, net::SocketAddr};

use crate::{Name, load_reports::name_hash};

/// First pause after a member did not answer, in milliseconds.
const FIRST_PAUSE_MS: u64 = 1_000;
/// Longest such pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 16_000;

/// An instance as others reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its control address.
    pub control: SocketAddr,
}

#[derive(Clone, Debug)]
struct Known {
    peer: Peer,
    /// Nothing is asked of it before then.
    paused_until_ms: u64,
    /// Length of the last pause; 0 after an answer.
    pause_ms: u64,
}

/// All instances that are known.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    by_name: HashMap<Name, Known>,
}

impl Roster {
    /// An instance was heard of. One at the same address takes the place of an earlier one.
    pub fn put(&mut self, peer: Peer) {
        self.by_name.retain(|name, it| it.peer.control != peer.control || *name == peer.name);
        match self.by_name.get_mut(&peer.name) {
            Some(known) => known.peer = peer,
            None => {
                let known = Known { peer, paused_until_ms: 0, pause_ms: 0 };
                self.by_name.insert(known.peer.name.clone(), known);
            }
        }
    }

    /// An instance was heard from itself.
    pub fn record_contact(&mut self, peer: Peer) {
        let name = peer.name.clone();
        self.put(peer);
        self.record_success(&name);
    }

    /// An instance answered.
    pub fn record_success(&mut self, name: &str) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.paused_until_ms = 0;
            it.pause_ms = 0;
        }
    }

    /// An instance did not answer.
    pub fn record_failure(&mut self, name: &str, now_ms: u64) {
        if let Some(it) = self.by_name.get_mut(name) {
            it.pause_ms = (it.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
            it.paused_until_ms = now_ms + it.pause_ms;
        }
    }

    /// The member of a zone that all turn to, as far as this instance knows; `own` always
    /// answers.
    pub fn hub(&self, zone: &str, own: &str, now_ms: u64) -> Option<&Peer> {
        let answers = |it: &&Known| now_ms >= it.paused_until_ms || &*it.peer.name == own;
        let members = self.by_name.values().filter(|it| &*it.peer.zone == zone);
        let first = members.filter(answers).max_by_key(|it| order(&it.peer));
        first.map(|it| &it.peer)
    }

    /// All availability zones with instances.
    pub fn zones(&self) -> Vec<Name> {
        let mut zones: Vec<Name> = self.by_name.values().map(|it| it.peer.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Instances of a zone that are known.
    pub fn member_count(&self, zone: &str) -> usize {
        self.by_name.values().filter(|it| &*it.peer.zone == zone).count()
    }

    /// Instances that are known, whether or not they answer.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}

fn order(peer: &Peer) -> (u32, &str) {
    (name_hash(&peer.name).wrapping_mul(0x9e37_79b1), &peer.name)
}

//! Choice of the peers that an instance sends to.

use std::net::SocketAddr;

use super::{CROSS_ZONE_PULLERS, Gossip, Now, PUSH_FANOUT};
use crate::{Member, MemberState, Name, rendezvous};

/// Rounds between two pulls from another zone.
const CROSS_ZONE_PULL_ROUNDS: u64 = 2;
/// Rounds between two pulls from a seed address.
const SEED_ROUNDS: u64 = 30;
/// Rounds between two pulls from a suspected peer.
const SUSPECT_ROUNDS: u64 = 8;

impl Gossip {
    /// Addresses to pull from in this round, chosen with random numbers from `random`.
    pub fn targets(
        &self,
        seeds: &[SocketAddr],
        now: Now,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let (names, live): (Vec<&Name>, Vec<&Member>) = self.live_peers(now).unzip();
        targets.extend(choose(&live, random()).map(|it| it.control_address));
        if self.rounds.is_multiple_of(SUSPECT_ROUNDS) {
            let suspects: Vec<&Member> = self.suspects(now).map(|(_, it)| it).collect();
            targets.extend(choose(&suspects, random()).map(|it| it.control_address));
        }
        targets.extend(self.cross_zone_targets(&names, &mut random));
        let is_alone = targets.is_empty() && live.is_empty();
        if is_alone || self.rounds.is_multiple_of(SEED_ROUNDS) {
            let seeds: Vec<&SocketAddr> =
                seeds.iter().filter(|it| **it != self.member.control_address).collect();
            targets.extend(choose(&seeds, random()).copied());
        }
        targets
    }

    /// Addresses to push urgent facts to: [`PUSH_FANOUT`] peers of the zone and, if
    /// `to_other_zones`, one instance of each other zone. Only the instance that observed the facts
    /// pushes them to other zones.
    pub fn push_targets(
        &self,
        to_other_zones: bool,
        now: Now,
        mut random: impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        let mut live: Vec<&Member> = self.live_peers(now).map(|(_, it)| it).collect();
        let mut targets = Vec::new();
        for _ in 0..PUSH_FANOUT {
            if live.is_empty() {
                break;
            }
            let chosen = (random() % live.len() as u64) as usize;
            targets.push(live.swap_remove(chosen).control_address);
        }
        if to_other_zones {
            let zones = self.other_zones();
            targets.extend(zones.iter().filter_map(|zone| self.random_instance(zone, random())));
        }
        targets
    }

    fn other_zones(&self) -> Vec<Name> {
        let mut zones: Vec<Name> = self
            .facts
            .members()
            .values()
            .filter(|it| it.state != MemberState::Gone)
            .map(|it| it.availability_zone.clone())
            .filter(|it| *it != self.member.availability_zone)
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }

    /// Instances to pull from in those other zones that this instance is responsible for.
    fn cross_zone_targets(
        &self,
        peers: &[&Name],
        random: &mut impl FnMut() -> u64,
    ) -> Vec<SocketAddr> {
        if !self.rounds.is_multiple_of(CROSS_ZONE_PULL_ROUNDS) {
            return Vec::new();
        }
        let is_puller = |zone: &Name| {
            let peers = peers.iter().map(|it| it.as_str());
            rendezvous::rank(zone, &self.name, peers) < CROSS_ZONE_PULLERS
        };
        let linked = self.other_zones().into_iter().filter(is_puller);
        linked.filter_map(|zone| self.random_instance(&zone, random())).collect()
    }

    /// Control address of a random instance of a zone.
    fn random_instance(&self, zone: &Name, random: u64) -> Option<SocketAddr> {
        let members: Vec<&Member> = self.facts.zone_members(zone).map(|(_, it)| it).collect();
        choose(&members, random).map(|it| it.control_address)
    }
}

fn choose<'a, T>(candidates: &[&'a T], random: u64) -> Option<&'a T> {
    let count = candidates.len() as u64;
    candidates.get(random.checked_rem(count)? as usize).copied()
}

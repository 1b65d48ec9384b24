//! The servers of a service as the list has them.

use std::collections::BTreeMap;

use crate::{Name, endpoint::EndpointInfo};

/// Servers of one kind in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Servers that take new requests.
    pub serving: u32,
    /// Servers that finish what they have.
    pub draining: u32,
}

/// Servers of a service in one availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFleet {
    /// On-demand servers.
    pub on_demand: PoolCount,
    /// Spot servers.
    pub spot: PoolCount,
}

/// A zone and kind of server, for which numbers are ordered.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolKey {
    /// The availability zone.
    pub zone: Name,
    /// Whether the servers are spot servers.
    pub is_spot: bool,
}

/// Servers of a service by availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Zones in which servers are listed.
    pub zones: BTreeMap<Name, ZoneFleet>,
}

impl Fleet {
    /// Counts servers, each with whether it drains.
    pub fn count<'a>(servers: impl IntoIterator<Item = (&'a EndpointInfo, bool)>) -> Fleet {
        let mut fleet = Fleet::default();
        for (it, is_draining) in servers {
            let zone = fleet.zones.entry(it.availability_zone.clone()).or_default();
            let pool = if it.is_spot { &mut zone.spot } else { &mut zone.on_demand };
            let count = if is_draining { &mut pool.draining } else { &mut pool.serving };
            *count += 1;
        }
        fleet
    }

    /// Servers of a zone and kind.
    pub fn pool(&self, key: &PoolKey) -> PoolCount {
        let zone = self.zones.get(&key.zone).copied().unwrap_or_default();
        if key.is_spot { zone.spot } else { zone.on_demand }
    }

    /// Number of on-demand servers that serve.
    pub fn serving_on_demand(&self) -> u32 {
        self.zones.values().map(|it| it.on_demand.serving).sum()
    }

    /// Number of servers that still serve after the loss of the spot servers of any one zone.
    pub fn remaining(&self) -> u32 {
        let total: u32 = self.zones.values().map(|it| it.on_demand.serving + it.spot.serving).sum();
        total - self.zones.values().map(|it| it.spot.serving).max().unwrap_or(0)
    }
}

impl Fleet {
    /// Number of servers that were planned to remain after such a loss. A plan has more than one on-demand
    /// server in a zone only instead of spot servers, so that a zone with many of both is one in which the
    /// former are being replaced.
    pub fn planned_capacity(&self) -> u32 {
        let by_zone = self.zones.values().map(|it| {
            let spot = it.spot.serving;
            let with_spot = it.on_demand.serving.min(1) + spot;
            if with_spot > it.on_demand.serving {
                (with_spot, spot)
            } else {
                (it.on_demand.serving, 0)
            }
        });
        let total: u32 = by_zone.clone().map(|it| it.0).sum();
        let planned = total - by_zone.map(|it| it.1).max().unwrap_or(0);
        planned.max(self.serving_on_demand())
    }
}

impl ZoneFleet {
    /// Servers of both kinds that serve.
    pub fn serving(&self) -> u32 {
        self.on_demand.serving + self.spot.serving
    }

    /// Servers of both kinds that drain.
    pub fn draining(&self) -> u32 {
        self.on_demand.draining + self.spot.draining
    }
}

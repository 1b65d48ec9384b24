//! Which endpoints began to keep which shared parts, told between instances.
//!
//! Load pattern: a burst that asks for hundreds of shared parts which no endpoint keeps yet. An
//! instance that does not know what others had read takes a first reading for a short one, or
//! lets another endpoint read the part again.

use serde::{Deserialize, Serialize};

use crate::news::News;

/// Placements that are remembered for instances that have not heard of them.
const PLACEMENT_LIMIT: usize = 4_096;

/// An endpoint that began to keep a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Id of the part.
    pub part: u64,
    /// See [`endpoint_hash`](crate::loads::endpoint_hash).
    pub endpoint: u32,
}

/// Placements to be told.
#[derive(Clone, Debug)]
pub struct Placements {
    news: News<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    placement: Placement,
    from: Origin,
}

/// Whose placements they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Those of this instance, or of a member of its availability zone.
    OwnZone,
    /// Those of another zone.
    OtherZone,
}

/// What a listener has not heard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementNews {
    /// Oldest first.
    pub placements: Vec<Placement>,
    /// Where to go on hearing.
    pub next: u64,
}

impl Default for Placements {
    fn default() -> Placements {
        Placements { news: News::new(PLACEMENT_LIMIT) }
    }
}

impl Placements {
    /// Adds what is to be told.
    pub fn add(&mut self, placements: &[Placement], from: Origin) {
        self.news.add(placements.iter().map(|it| Told { placement: *it, from }));
    }

    /// What a member of the zone has not heard that heard everything up to a place.
    pub fn for_member(&self, heard: u64) -> PlacementNews {
        let placements = self.news.since(heard).map(|it| it.placement).collect();
        PlacementNews { placements, next: self.news.next() }
    }

    /// What another zone has not heard: it hears of third ones from themselves.
    pub fn for_zone(&self, heard: u64) -> PlacementNews {
        let own = self.news.since(heard).filter(|it| it.from == Origin::OwnZone);
        PlacementNews { placements: own.map(|it| it.placement).collect(), next: self.news.next() }
    }
}

//! Messages between instances.

use serde::{Deserialize, Serialize};

use crate::{
    Member, Name,
    fact::Fact,
    fact_set::BucketHashes,
    reading::Tag,
    reading_table::{ReadingDelta, TableVersion},
};

/// Request for the facts and readings that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Name of the sender.
    pub name: Name,
    /// Membership record of the sender.
    pub member: Member,
    /// Bucket hashes of the sender's facts.
    pub hashes: BucketHashes,
    /// Versions of the reading tables that the sender has.
    #[serde(rename = "reaches")]
    pub known_versions: Vec<KnownVersion>,
    /// Version of the sheet in force at the sender.
    pub sheet_version: Option<u64>,
}

/// Version of an instance's readings that the sender of a pull has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// Tag of the instance's name.
    pub instance: Tag,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: TableVersion,
}

/// Response to a [`Pull`]: what its sender lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Facts in the buckets that differ, at most [`MAX_MESSAGE_FACTS`](super::MAX_MESSAGE_FACTS).
    pub facts: Vec<Fact>,
    /// Changes of readings, by instance.
    pub updates: Vec<Update>,
    /// Whether facts or readings were left out because of the limits.
    pub is_partial: bool,
    /// Version of the sheet in force at the responding instance.
    pub sheet_version: Option<u64>,
}

/// Changes of one instance's readings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Tag of the instance's name.
    pub instance: Tag,
    /// The changes.
    pub delta: ReadingDelta,
}

/// Urgent facts, sent without waiting for the next pull; at most [`MAX_MESSAGE_FACTS`](super::MAX_MESSAGE_FACTS).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The facts.
    pub facts: Vec<Fact>,
}

//! Measurements that an instance publishes and its peers replicate.

use serde::{Deserialize, Serialize};

/// A short hash that stands for a name in readings, to keep them small.
///
/// Two names may share a tag. Readings only improve estimates, so a collision
/// can make a routing decision worse, but never incorrect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub [u8; 4]);

impl Tag {
    /// The first four bytes of the name's BLAKE3 hash.
    pub fn of(name: &str) -> Tag {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hash.as_bytes()[..4]);
        Tag(first)
    }
}

/// What a reading measures.
///
/// The order of variants is the wire format: append, never reorder. Subjects
/// that are replicated to other zones follow those that stay in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// Requests running and waiting at an endpoint, as seen by the instance that watches it.
    EndpointLoad(Tag),
    /// Requests of the publishing instance in progress at an endpoint.
    OwnRequests(Tag),
    /// Tokens that a client account used recently at the publishing instance, as a
    /// [`level_of`] step.
    AccountUse(Tag),
    /// How much slower an endpoint is than comparable ones, in percent; 0 if it is not.
    Slowness(Tag),
    /// Requests running and waiting for a model in the whole zone.
    ModelLoad(Tag),
    /// Tokens that a client account used recently in the whole zone, as a [`level_of`] step.
    ZoneUse(Tag),
    /// Live instances of the zone; 0 from an instance that no longer reports for the zone.
    LiveInstances,
}

impl Subject {
    /// Whether readings of this subject are replicated to other zones.
    pub fn is_global(self) -> bool {
        matches!(self, Subject::ModelLoad(_) | Subject::ZoneUse(_) | Subject::LiveInstances)
    }
}

/// One measurement. Its unit follows from the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// What was measured.
    pub subject: Subject,
    /// The measured value, in the subject's unit.
    pub value: u32,
}

/// Steps of the logarithmic scale for each doubling of the amount.
const STEPS_PER_DOUBLING: f64 = 4.0;

/// Rounds an amount to a step of a logarithmic scale with four steps per doubling. Amounts below
/// one are step 0; the last step is 255.
pub fn level_of(amount: f64) -> u32 {
    if amount < 1.0 {
        return 0;
    }
    let level = 1.0 + (amount.log2() * STEPS_PER_DOUBLING).round();
    level.min(255.0) as u32
}

/// The amount at a step of the scale of [`level_of`].
pub fn amount_of(level: u32) -> f64 {
    if level == 0 {
        return 0.0;
    }
    f64::from(level - 1).mul_add(1.0 / STEPS_PER_DOUBLING, 0.0).exp2()
}

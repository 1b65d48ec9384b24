//! Small measurements that an instance publishes and its peers copy.

use serde::{Deserialize, Serialize};

/// The first bytes of a name's hash, in place of the name.
///
/// Two names may share a tag; readings serve accuracy only, so that such a
/// collision costs a worse choice and never a wrong one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub [u8; 4]);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &str) -> Tag {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; 4];
        first.copy_from_slice(&hash.as_bytes()[..4]);
        Tag(first)
    }
}

/// What a reading is about.
///
/// The order of variants is the wire format: append, never reorder. Global
/// subjects stand after those of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// Requests running and waiting at an endpoint, as its watcher saw it.
    EndpointLoad(Tag),
    /// Requests that the publishing instance itself has at an endpoint.
    OwnRequests(Tag),
    /// Tokens a client account used lately, as a [`level_of`] step.
    AccountUse(Tag),
    /// How much slower an endpoint is than its peers, in percent; 0 if it is not.
    Slowness(Tag),
    /// Requests running and waiting for a model in the whole zone.
    ModelLoad(Tag),
    /// Tokens a client account used lately in the whole zone, as a [`level_of`] step.
    ZoneUse(Tag),
    /// Instances of the zone that are live; 0 from an instance that no longer reports for it.
    LiveInstances,
}

impl Subject {
    /// Whether instances of other zones copy it too.
    pub fn is_global(self) -> bool {
        matches!(self, Subject::ModelLoad(_) | Subject::ZoneUse(_) | Subject::LiveInstances)
    }
}

/// One measurement; its unit follows from the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reading {
    /// What it is about.
    pub subject: Subject,
    /// The value, in the subject's unit.
    pub value: u32,
}

/// Steps a level has for each doubling of the amount.
const STEPS_PER_DOUBLING: f64 = 4.0;

/// An amount on a logarithmic scale: steps of a fourth root of two, 0 below one.
pub fn level_of(amount: f64) -> u32 {
    if amount < 1.0 {
        return 0;
    }
    let level = 1.0 + (amount.log2() * STEPS_PER_DOUBLING).round();
    level.min(255.0) as u32
}

/// The amount that a level stands for.
pub fn amount_of(level: u32) -> f64 {
    if level == 0 {
        return 0.0;
    }
    f64::from(level - 1).mul_add(1.0 / STEPS_PER_DOUBLING, 0.0).exp2()
}

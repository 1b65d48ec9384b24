//! What is known of an instance of the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Name;

/// How far an instance's life has come. It only moves forward.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It takes new work.
    Live,
    /// It takes no new work and still answers for what it holds.
    Leaving,
    /// It has stopped, or was silent for long.
    Gone,
}

/// One instance, as told by itself or, when it is gone, by its peers.
///
/// Of two records the greater by the order of the fields holds, so that merging
/// is the maximum: commutative, associative, idempotent and never going back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Rises with every start of the process: when it started, in milliseconds of Unix time.
    pub incarnation: u64,
    /// Rises when the instance contradicts what was said of this incarnation.
    pub refutation: u32,
    /// How far its life has come.
    pub state: MemberState,
    /// When a record of a gone instance may be forgotten, in milliseconds of Unix
    /// time; 0 while it is not gone.
    pub forget_unix_ms: u64,
    /// The availability zone it stands in.
    pub availability_zone: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers and operators.
    pub control_address: SocketAddr,
}

impl Member {
    /// Whether the record may be forgotten.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.state == MemberState::Gone && self.forget_unix_ms <= now_unix_ms
    }

    /// The record with which an instance overrules `other`, told of it by peers.
    #[must_use]
    pub fn refute(&self, other: &Member) -> Member {
        let mut own = self.clone();
        if other.incarnation > own.incarnation {
            own.incarnation = other.incarnation + 1;
            own.refutation = 0;
        } else {
            own.refutation = other.refutation.max(own.refutation) + 1;
        }
        own
    }
}

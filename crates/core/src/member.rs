//! Membership records of the instances of the fleet.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::Name;

/// Lifecycle state of an instance. It only moves forward within one incarnation and refutation.
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
    /// It accepts new requests.
    Live,
    /// It accepts no new requests and finishes those in progress.
    Leaving,
    /// It has stopped, or was silent for too long.
    Gone,
}

/// Membership record of an instance, published by itself or, when it is gone, by a peer.
///
/// Of two records the greater in the order of the fields wins, so that merging is a maximum:
/// commutative, associative, idempotent and monotonic.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// When the process started, in milliseconds of Unix time; greater after every restart.
    pub incarnation: u64,
    /// Incremented when the instance overrules a record that a peer published about this
    /// incarnation.
    pub refutation: u32,
    /// Lifecycle state.
    pub state: MemberState,
    /// When the record of a gone instance expires, in milliseconds of Unix time; 0 while it is not
    /// gone.
    pub forget_unix_ms: u64,
    /// Availability zone of the instance.
    pub availability_zone: Name,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers and operators.
    pub control_address: SocketAddr,
}

impl Member {
    /// Whether the record may be removed.
    pub fn is_expired(&self, now_unix_ms: u64) -> bool {
        self.state == MemberState::Gone && self.forget_unix_ms <= now_unix_ms
    }

    /// The record with which an instance overrules `other`, a record about it that a peer sent.
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

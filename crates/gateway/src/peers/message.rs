//! Messages between instances, as postcard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name,
    compacted_log::Record,
    load_reports::EndpointLoad,
    suspects::{Suspect, SuspectUpdates},
};

/// Who sends a report, and for whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Sender {
    /// A member of the receiver's zone, for itself.
    Member,
    /// The hub of another zone, for all its members.
    Hub,
}

/// A report of work in progress, and where the sender stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Sync {
    pub(crate) sender: Sender,
    pub(crate) instance: Name,
    pub(crate) zone: Name,
    pub(crate) control: SocketAddr,
    pub(crate) loads: Vec<EndpointLoad>,
    /// Instances whose work is in `loads`.
    pub(crate) instances: u32,
    /// Where the sender's knowledge ends.
    pub(crate) known: Position,
    /// The store answers the sender, so that it need not be told of many endpoints at once.
    pub(crate) has_store: bool,
    /// Requests that crash endpoints, as far as the receiver has not heard of them.
    pub(crate) suspects: Vec<Suspect>,
    /// Up to where the sender heard the receiver's news of such requests.
    pub(crate) suspects_heard: u64,
}

/// Where an instance's knowledge of the store's topics ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Position {
    pub(crate) configuration_end: u64,
    pub(crate) endpoints_end: u64,
}

/// What the receiver knows that the sender does not.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncReply {
    pub(crate) loads: Vec<EndpointLoad>,
    /// Instances whose work is in `loads`.
    pub(crate) instances: u32,
    /// Where the receiver's knowledge ends.
    pub(crate) known: Position,
    /// Records that the sender lacks.
    pub(crate) configuration: Vec<Record>,
    pub(crate) endpoints: Vec<Record>,
    /// `endpoints` are all there are: others that the sender knows are gone.
    pub(crate) endpoints_are_all: bool,
    /// Age of what the receiver read from the store, in milliseconds; the greatest if the sender
    /// has to read by itself.
    pub(crate) age_ms: u64,
    /// Requests that crash endpoints, as far as the sender has not heard of them.
    pub(crate) suspects: SuspectUpdates,
}

//! Messages between instances, encoded as postcard.
//!
//! A message is a report or response, after it what concerns software versions, then the endpoints whose
//! processes may have been replaced, and then supplements. The last two are left out if there are none.
//! Instances of earlier releases neither send nor read what was added later.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tanagergauge_core::{
    Name,
    begun_streams::{BegunStreamUpdates, StreamsOfVersion},
    compacted_log::Record,
    endpoint_limits::LimitUpdate,
    endpoint_reports::GoneEndpoint,
    load_reports::EndpointLoad,
    roster::RosterNews,
    suspects::{Suspect, SuspectUpdates},
    update_log::LogPosition,
    version_history::{ServiceVersions, VersionUpdates},
    version_selection::ProcessDoubt,
};

use super::supplement::Supplement;

/// Role of an instance that sends a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SenderRole {
    /// Member of the receiver's zone; reports for itself.
    Member,
    /// Hub of another zone; reports for all its members.
    Hub,
}

/// A report of requests in progress and of the sender's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncRequest {
    pub(crate) sender: SenderRole,
    /// Name of the sender.
    pub(crate) instance: Name,
    /// Availability zone of the sender.
    pub(crate) zone: Name,
    /// Control address of the sender.
    pub(crate) control: SocketAddr,
    pub(crate) loads: Vec<EndpointLoad>,
    /// Number of instances that `loads` covers.
    pub(crate) instances: u32,
    /// Up to where the sender knows the store's topics.
    pub(crate) known: Position,
    /// The sender can read the store, so that the receiver need not send it many endpoints at once.
    pub(crate) has_store: bool,
    /// Suspects that the receiver has not received yet.
    pub(crate) suspects: Vec<Suspect>,
    /// Up to where the sender has received the receiver's suspects.
    pub(crate) suspects_received: LogPosition,
    /// Limits that endpoints named recently.
    pub(crate) limits: Vec<LimitUpdate>,
    /// What the sender knows of other instances.
    pub(crate) roster: RosterNews,
    /// What the receiver lacks of the store's topics, if its data was old at its last response or it
    /// knew fewer of the endpoints that are gone.
    pub(crate) store: Option<StoreNews>,
}

/// What one instance knows of the store's topics and another lacks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StoreNews {
    /// Up to where the topics are known with it.
    pub(crate) known: Position,
    /// Record of the configuration in force, if the other has an older version.
    pub(crate) configuration: Vec<Record>,
    /// Endpoint records that the other lacks.
    pub(crate) endpoints: Vec<Record>,
    /// Endpoints that are gone although the store lists them, if the other knows fewer such.
    pub(crate) gone: Vec<GoneEndpoint>,
    /// `endpoints` is complete: other endpoints that the other knows are gone.
    pub(crate) endpoints_are_all: bool,
    /// Time since this list of endpoints was current, in milliseconds; `u64::MAX` if the other must
    /// read the store itself.
    pub(crate) age_ms: u64,
}

/// Up to where an instance knows the store's topics. Offsets are 0 if it has not read a topic, and can
/// be compared only within an era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Position {
    pub(crate) configuration_end: u64,
    pub(crate) endpoints_end: u64,
    /// Era of `configuration_end`.
    pub(crate) configuration_era: u64,
    /// Era of `endpoints_end`.
    pub(crate) endpoints_era: u64,
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) configuration_version: u64,
    /// Number of endpoints that are known to be gone although the store lists them.
    pub(crate) gone_but_listed: u32,
}

/// Response to a report: what the receiver knows and the sender does not.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct SyncResponse {
    pub(crate) loads: Vec<EndpointLoad>,
    /// Number of instances that `loads` covers.
    pub(crate) instances: u32,
    /// What the sender of the response knows of other instances.
    pub(crate) roster: RosterNews,
    /// What the sender of the report lacks of the store's topics.
    pub(crate) store: StoreNews,
    /// Suspects that the sender has not received yet.
    pub(crate) suspects: SuspectUpdates,
    /// Limits that endpoints named recently.
    pub(crate) limits: Vec<LimitUpdate>,
}

/// What a report tells of software versions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct VersionReport {
    /// Streams that the receiver has not received yet.
    pub(crate) streams: Vec<StreamsOfVersion>,
    /// Up to where the sender has received the receiver's streams.
    pub(crate) streams_received: LogPosition,
    /// Services whose versions the receiver has not received yet.
    pub(crate) services: Vec<ServiceVersions>,
    /// Up to where the sender has received the receiver's services.
    pub(crate) services_received: LogPosition,
}

/// What a response tells of software versions.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct VersionResponse {
    /// Streams that the sender of the report has not received yet.
    pub(crate) streams: BegunStreamUpdates,
    /// Services whose versions the sender of the report has not received yet.
    pub(crate) services: VersionUpdates,
}

/// An encoded message.
pub(crate) struct Encoded {
    pub(crate) bytes: Vec<u8>,
    /// Size without what concerns software versions.
    pub(crate) base_bytes: usize,
}

/// Encodes a report or response, what it tells of software versions, doubts and supplements.
///
/// # Errors
/// Never for the messages of this module.
pub(crate) fn encode<M: Serialize, V: Serialize>(
    message: &M,
    versions: &V,
    doubts: &[ProcessDoubt],
    supplements: &[Supplement],
) -> Result<Encoded, postcard::Error> {
    let bytes = postcard::to_stdvec(message)?;
    let base_bytes = bytes.len();
    let mut bytes = postcard::to_extend(versions, bytes)?;
    if !doubts.is_empty() || !supplements.is_empty() {
        bytes = postcard::to_extend(doubts, bytes)?;
    }
    if !supplements.is_empty() {
        bytes = postcard::to_extend(supplements, bytes)?;
    }
    Ok(Encoded { bytes, base_bytes })
}

/// A decoded message.
pub(crate) struct Decoded<M, V> {
    pub(crate) message: M,
    pub(crate) versions: V,
    /// Endpoints whose processes may have been replaced.
    pub(crate) doubts: Vec<ProcessDoubt>,
    pub(crate) supplements: Vec<Supplement>,
    /// Size without what concerns software versions.
    pub(crate) base_bytes: usize,
}

/// Decodes a message. One of an earlier release tells nothing of software versions.
///
/// # Errors
/// The bytes are no such message.
pub(crate) fn decode<M: DeserializeOwned, V: DeserializeOwned + Default>(
    bytes: &[u8],
) -> Result<Decoded<M, V>, postcard::Error> {
    let (message, rest) = postcard::take_from_bytes(bytes)?;
    let base_bytes = bytes.len() - rest.len();
    let (versions, rest) = take_or_default(rest)?;
    let (doubts, rest) = take_or_default(rest)?;
    let (supplements, _) = take_or_default(rest)?;
    Ok(Decoded { message, versions, doubts, supplements, base_bytes })
}

/// Decodes a value and returns it with the bytes after it; without bytes it has its default.
fn take_or_default<T: DeserializeOwned + Default>(
    bytes: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() { Ok(Default::default()) } else { postcard::take_from_bytes(bytes) }
}

impl Position {
    /// Whether an instance at this position has to be told of endpoints that are gone, of which one
    /// at `other` knows more.
    pub(crate) fn lacks_gone_endpoints(self, other: Position) -> bool {
        self.endpoints_era == other.endpoints_era && self.gone_but_listed < other.gone_but_listed
    }
}

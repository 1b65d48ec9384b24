//! Records of the stream `sheets` and their encoding.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Name, edit::Edit, sheet::Sheet};

/// Name of the stream that carries the configuration.
pub const SHEETS_STREAM: &str = "sheets";

/// Format version, the first byte of every record.
const FORMAT_VERSION: u8 = 1;

/// The sheet that a publication replaces. The version of a sheet is the offset of the publication
/// that brought it into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Base {
    /// No sheet: this is the first one of the deployment.
    First,
    /// The sheet of exactly this version.
    Version(u64),
    /// Any sheet in force whose version is below this offset, or none. For recovery when all copies
    /// and the history are lost. The offset is the end of the stream as seen by the operator.
    Before(u64),
}

/// Content of a publication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The text of a complete sheet.
    Whole(Name),
    /// Edits to the sheet in force, applied in order.
    Edits(Vec<Edit>),
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// Identifies the publication, so that its sender can find it in the stream.
    pub publication_id: u128,
    /// The sheet it replaces. The publication is rejected if another one is in force.
    pub base: Base,
    /// The new sheet, in full or as edits.
    pub body: Body,
}

/// The replicated state at one offset.
///
/// Appended to the stream for readers whose history has expired, and exchanged between peers while
/// the log is unavailable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the sheet, below `next_offset`.
    pub version: u64,
    /// Publication that brought the sheet into force.
    pub publication_id: u128,
    /// All records below this offset are applied, and none from it on.
    pub next_offset: u64,
    /// The sheet in force at that offset.
    pub sheet: Arc<Sheet>,
}

/// A record of the stream.
///
/// The order of variants and fields is the wire format: append, never reorder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SheetRecord {
    /// A change of the configuration.
    Publication(Publication),
    /// An instance's copy of the state. Readers that have the history ignore it.
    Snapshot(Snapshot),
}

impl SheetRecord {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT_VERSION]);
        bytes.expect("record types are always encodable")
    }

    /// Decodes a record. Returns `None` if the format version is unknown or the bytes are not
    /// exactly one record.
    pub fn decode(bytes: &[u8]) -> Option<SheetRecord> {
        let rest = bytes.strip_prefix(&[FORMAT_VERSION])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

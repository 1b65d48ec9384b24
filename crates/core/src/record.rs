//! Records of the stream `sheets`.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Name, edit::Edit, sheet::Sheet};

/// Name of the stream that carries the configuration.
pub const SHEETS_STREAM: &str = "sheets";

/// First byte of every record; another value is another format.
const FORMAT: u8 = 1;

/// Which sheet a publication replaces. A version is the offset of the record that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Base {
    /// None: this is the first sheet of the deployment.
    First,
    /// The sheet of this version, and no other.
    Version(u64),
    /// Whatever is in force, if its version is below this offset. For operators who have
    /// lost every copy and all history; the offset is the end of the stream they saw.
    Before(u64),
}

/// What a publication says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// A whole sheet as the planner wrote it.
    Whole(Name),
    /// Changes of the base.
    Edits(Vec<Edit>),
}

/// A planner's change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Publication {
    /// Names the publication, so that its planner finds it again.
    pub publication_id: u128,
    /// The sheet it replaces; it is refused if another one is in force.
    pub base: Base,
    /// What it says.
    pub body: Body,
}

/// The state of the fold at one offset: in the log for those who lost the history, and
/// between peers while the log is away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the sheet. Below `next_offset`.
    pub version: u64,
    /// The publication that brought it.
    pub publication_id: u128,
    /// Every record below this offset has been folded in, and none from it on.
    pub next_offset: u64,
    /// The sheet.
    pub sheet: Arc<Sheet>,
}

/// A record of the stream.
///
/// The order of variants and fields is the wire format: append, never reorder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SheetRecord {
    /// A planner's change.
    Publication(Publication),
    /// An instance's copy of the state. Changes nothing for a reader with the history.
    Snapshot(Snapshot),
}

impl SheetRecord {
    /// The bytes to append.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("types of a record can always be encoded")
    }

    /// Reads a record's bytes; nothing if they are no record of this format.
    pub fn decode(bytes: &[u8]) -> Option<SheetRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

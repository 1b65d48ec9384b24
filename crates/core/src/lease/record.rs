//! Records of the lease's log.

use serde::{Deserialize, Serialize};

use crate::owner::Owner;

/// Format version, the first byte of every record.
const FORMAT: u8 = 2;

/// Number of a term; rises with each holder.
pub type FencingToken = u64;

/// A request to grant, renew or release the lease of a stream.
///
/// It takes effect if no other record lies between `seen_to` and its own offset, that is, if its
/// author had read the whole stream when the record was appended. All readers of these offsets
/// come to the same result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The process that requests the lease.
    pub holder: Owner,
    /// Term to renew or release; `None` requests a new term.
    pub renews: Option<u64>,
    /// Offset up to which the author had read the stream.
    pub seen_to: u64,
    /// Number of the record among those of its author. An earlier append of the same process may take
    /// effect late and must not be taken for a later one, whose validity began later.
    pub sequence: u64,
    /// Era of the log that the author had read. A record may be delayed until the log was restored.
    pub era: u64,
    /// The holder gives the lease up; its calls have ended.
    pub is_release: bool,
}

impl LeaseRecord {
    /// Encodes the record as the payload of a log record.
    pub fn encode(&self) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        bytes.expect("lease records are always encodable")
    }

    /// Decodes a payload; `None` if it is not a lease record of this format version.
    pub fn decode(bytes: &[u8]) -> Option<LeaseRecord> {
        let rest = bytes.strip_prefix(&[FORMAT])?;
        let (record, rest) = postcard::take_from_bytes(rest).ok()?;
        rest.is_empty().then_some(record)
    }
}

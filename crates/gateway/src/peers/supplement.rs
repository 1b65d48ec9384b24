//! Optional sections at the end of a report or response.
//!
//! Each has a kind and an opaque payload, so that one that cannot be decoded, or that a later release
//! added, leaves the rest of the message usable.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tanagergauge_core::Name;

use super::{message::SenderRole, speeds};
use crate::{duties, gateway::Gateway};

/// What a section is about. The numbers are part of the format of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub(crate) enum SupplementKind {
    /// Learned speeds of engines.
    EngineSpeeds = 1,
    /// Lease of the duties, usage counts and reports.
    Duties = 2,
}

/// One section.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Supplement {
    kind: u8,
    payload: Vec<u8>,
}

impl Supplement {
    /// Encodes a section.
    ///
    /// # Errors
    /// The content cannot be encoded.
    pub(crate) fn new<T: Serialize>(
        kind: SupplementKind,
        content: &T,
    ) -> Result<Supplement, postcard::Error> {
        Ok(Supplement { kind: kind as u8, payload: postcard::to_stdvec(content)? })
    }

    /// What the section is about; `None` if a later release added it.
    pub(crate) fn kind(&self) -> Option<SupplementKind> {
        SupplementKind::from_repr(self.kind)
    }

    /// Decodes the content.
    ///
    /// # Errors
    /// The payload is no such content.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, postcard::Error> {
        postcard::from_bytes(&self.payload)
    }
}

/// Sections for a report to a peer.
pub(super) fn outgoing(gateway: &Gateway, peer: &Name, sender: SenderRole) -> Vec<Supplement> {
    let duties = section(SupplementKind::Duties, duties::report(gateway, peer, sender));
    speeds::outgoing(gateway, peer, sender).into_iter().chain(duties).collect()
}

/// Sections for the response to a peer's report.
pub(super) fn response(gateway: &Gateway, peer: &Name, sender: SenderRole) -> Vec<Supplement> {
    let duties = section(SupplementKind::Duties, duties::response(gateway, peer, sender));
    speeds::response(gateway, peer, sender).into_iter().chain(duties).collect()
}

/// Applies the sections of a peer's report or response. `sender` is the role of the instance that sent the
/// report.
pub(super) fn apply(
    gateway: &Gateway,
    peer: &Name,
    sender: SenderRole,
    supplements: Vec<Supplement>,
) {
    for it in supplements {
        match it.kind() {
            None => {}
            Some(SupplementKind::EngineSpeeds) => speeds::apply(gateway, peer, sender, &it),
            Some(SupplementKind::Duties) => match it.decode() {
                Ok(message) => duties::apply(gateway, peer, sender, message),
                Err(error) => {
                    tracing::warn!(%error, %peer, "cannot decode a peer's section on duties")
                }
            },
        }
    }
}

/// Encodes a section if there is content for it.
fn section<T: Serialize>(kind: SupplementKind, content: Option<T>) -> Option<Supplement> {
    match Supplement::new(kind, &content?) {
        Ok(section) => Some(section),
        Err(error) => {
            tracing::error!(%error, %kind, "cannot encode a section for a peer");
            None
        }
    }
}

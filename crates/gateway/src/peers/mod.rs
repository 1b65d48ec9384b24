//! Exchange between instances: load reports, store records, suspects, which are requests that may
//! crash endpoints, and the software versions at which streams began.
//!
//! The members of an availability zone report to one of them, the zone's hub, and hubs report to
//! each other.

mod announce;
mod exchange;
mod message;
mod news;
mod registration;
mod serve;
mod speeds;
mod state;
mod supplement;
mod sync;
mod version_records;
mod versions;

pub(crate) use message::{Position, SenderRole};
pub(crate) use serve::handle;
pub(crate) use state::PeerState;
pub(crate) use sync::run;
pub(crate) use version_records::record_listed;

/// Path at which an instance receives reports from its peers.
pub(crate) const PATH: &str = "/peer/sync";

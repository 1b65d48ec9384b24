//! What instances tell each other: the work they have in progress, and what they read from the
//! store. Each zone's members turn to one of them, and those to each other.

mod message;
mod serve;
mod state;
mod sync;

pub(crate) use message::Position;
pub(crate) use serve::answer;
pub(crate) use state::Peers;
pub(crate) use sync::run;

/// Path at which an instance takes reports of others.
pub(crate) const PATH: &str = "/peer/sync";

//! A lease with at most one holder at a time, granted by records in a log.

mod record;
mod state;

pub use record::{FencingToken, LeaseRecord};
pub use state::{HeardRecord, Lease, LeaseAction, LeaseTiming};

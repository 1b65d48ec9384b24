//! Duties that one instance at a time performs for all, and the calls to the deployment's control service
//! that belong to them.

mod call;
mod duty;

pub use call::{CallError, CallPermit, ServerOrder, UsageReport};
pub use duty::Duty;

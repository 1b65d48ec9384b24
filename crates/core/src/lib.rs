//! The decisions of the router, as functions of state, event and time.
//!
//! Nothing in this crate opens a socket or a file, reads a clock or draws a
//! random number: time comes in as milliseconds and randomness as a number, so
//! that the code which runs is the code which is model-checked and benchmarked.

pub mod fact;
pub mod facts;
pub mod gossip;
pub mod ledger;
pub mod member;
pub mod name;
pub mod outcome;
pub mod publisher;
pub mod reading;
pub mod rendezvous;
pub mod sheet;

pub use member::{Member, MemberState};
pub use name::Name;
pub use outcome::{Outcome, Reason};

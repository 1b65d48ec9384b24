//! The decisions of the router, as functions of state, event and time.
//!
//! Nothing in this crate opens a socket or a file, reads a clock or draws a
//! random number: time comes in as milliseconds and randomness as a number, so
//! that the code which runs is the code which is model-checked and benchmarked.

pub mod action;
pub mod admission_controller;
pub mod admit;
pub mod balancer;
pub mod budget;
pub mod check;
pub mod choose;
pub mod claim;
pub mod claim_batch;
pub mod compacted_log;
pub mod demand;
pub mod document;
pub mod edit;
pub mod endpoint;
pub mod fact;
pub mod facts;
pub mod finding;
pub mod fleet;
pub mod gossip;
pub mod health;
pub mod heat;
pub mod job;
pub mod key;
pub mod keytable;
pub mod lease;
pub mod ledger;
pub mod load_estimate;
pub mod load_reports;
pub mod log;
pub mod member;
pub mod name;
pub mod news;
pub mod node;
mod node_deserializer;
pub mod outcome;
pub mod owner;
pub mod pace;
pub mod parts;
pub mod predict;
pub mod prefix;
mod prefix_affinity;
pub mod publisher;
pub mod quarantine;
pub mod queue;
mod read_error;
pub mod reading;
pub mod record;
pub mod rendezvous;
pub mod retry;
pub mod returns;
pub mod roster;
pub mod routing;
mod running;
mod scalar;
pub mod scheduler;
pub mod send_history;
pub mod settings;
pub mod share;
pub mod sheet;
pub mod sheet_replica;
pub mod sse_framer;
pub mod suspects;
pub mod ticket;
mod trail;

pub use finding::{Finding, Findings, Severity};
pub use member::{Member, MemberState};
pub use name::Name;
pub use outcome::{Outcome, Reason};

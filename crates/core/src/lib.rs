//! Decisions of the router as functions of state, event and time.
//!
//! Nothing in this crate opens a socket or a file, reads a clock or draws random numbers. Time is
//! passed in as milliseconds and randomness as a number, so that the code that runs in production
//! is the code that is model-checked and benchmarked.

pub mod account_shares;
pub mod action;
pub mod admission;
pub mod admission_controller;
pub mod balancer;
pub mod check;
pub mod choice;
pub mod claim;
pub mod claim_batch;
pub mod client_retry;
pub mod compacted_log;
pub mod crash_attribution;
pub mod demand;
pub mod document;
pub mod edit;
pub mod endpoint;
pub mod endpoint_limits;
pub mod endpoint_performance;
pub mod endpoint_pool;
pub mod fact;
pub mod fact_set;
pub mod finding;
pub mod gossip;
pub mod health;
pub mod job;
pub mod key;
pub mod key_table;
pub mod lease;
pub mod length_predictor;
pub mod load_estimate;
pub mod load_reports;
pub mod log;
pub mod member;
pub mod name;
pub mod node;
mod node_deserializer;
pub mod outcome;
pub mod owner;
pub mod part_popularity;
mod path_chain;
mod prefix_affinity;
pub mod prefix_index;
pub mod prompt_part;
pub mod publisher;
pub mod quarantine;
pub mod queue;
mod read_error;
pub mod reading;
pub mod reading_table;
pub mod record;
pub mod rendezvous;
pub mod retry_budget;
pub mod roster;
pub mod routing;
mod running_job;
mod scalar;
pub mod scheduler;
pub mod selection;
pub mod send_history;
pub mod settings;
pub mod sheet;
pub mod sheet_replica;
pub mod sse_framer;
pub mod store_reads;
pub mod suspects;
pub mod ticket;
pub mod update_log;
pub mod windowed_retry_budget;

pub use finding::{Finding, Findings, Severity};
pub use member::{Member, MemberState};
pub use name::Name;
pub use outcome::{Outcome, Reason};

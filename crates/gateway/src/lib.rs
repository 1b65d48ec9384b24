//! The instance as it stands before a deployment's own callers, endpoints and store: requests
//! are passed through unchanged, by the operators' routes, to endpoints that the store lists.
//!
//! The names on the wire and the store's calls come from outside, as [`HeaderNames`],
//! [`Store`] and [`Decode`]; everything here speaks the project's own words.

mod accept;
mod admit;
mod answer;
mod attempts;
mod budgets;
mod clock;
mod connection;
mod course;
mod exchange;
mod follow;
mod gates;
mod gateway;
mod logs;
mod meters;
mod names;
mod peers;
mod pool;
mod program;
mod relay;
mod reply;
mod request;
mod send;
mod settings;
pub mod socket;
mod stop;
mod store;
mod suspects;
mod view;

pub use names::HeaderNames;
pub use program::run;
pub use settings::Settings;
pub use store::{
    Changes, Decode, DecodeConfiguration, DecodeError, EndpointEntry, Record, Snapshot, Store,
    StoreError, Topic,
};

//! HTTP gateway that runs inside an existing deployment: it forwards callers' requests unchanged,
//! by the routes that operators configure, to endpoints registered in the deployment's store.
//!
//! The deployment supplies the header names, the store client and the record formats as
//! [`HeaderNames`], [`Store`] and [`Decoders`]; nothing else in this crate depends on them.

mod accept;
mod admission_controllers;
mod admit;
mod attempt;
mod authenticate;
mod backoff;
mod body_memory;
pub mod boot_clock;
mod caller_stream;
mod clock;
mod connection;
mod continuation;
pub mod control_service;
mod departures;
mod duties;
mod duty_settings;
mod endpoint_signals;
mod endpoint_stream;
mod event_gaps;
mod exchange;
mod follow;
mod gateway;
mod header_names;
mod idle;
mod line_limit;
mod liveness;
mod logs;
mod meters;
mod pause;
mod peers;
mod pool;
mod process_proof;
mod process_report;
mod program;
mod progress;
mod relay;
mod request;
mod response;
mod resumption;
mod retry;
mod retry_budgets;
mod server_orders;
mod settings;
mod silence;
pub mod socket;
mod stall;
mod stop;
mod store;
mod stream_end;
mod suspects;
mod take_up;
mod upstream_request;
mod upstream_response;
mod view;

pub use duty_settings::{DutySettings, OrderMode};
pub use header_names::HeaderNames;
pub use process_report::ReportFormat;
pub use program::run;
pub use settings::Settings;
pub use store::{
    Changes, DecodeConfiguration, DecodeError, Decoders, EndpointEntry, OfEra, PlainAppend,
    PlainRead, PlainTopic, Record, Snapshot, Store, StoreError, Topic,
};

//! The entry instance: takes callers' requests, queues them by tier, sends them
//! to endpoints and tells every caller truthfully what became of its request.

pub mod attempt;
pub mod body;
pub mod caller;
pub mod chunk;
pub mod clock;
pub mod control;
pub mod counters;
pub mod dispatcher;
pub mod ending;
pub mod exchange;
pub mod fleet;
pub mod fleet_view;
pub mod follower;
pub mod front;
pub mod headers;
pub mod instance;
pub mod journal;
pub mod keyring;
pub mod meter;
pub mod operator;
pub mod peers;
pub mod permit;
pub mod platform;
pub mod policy;
pub mod pool;
pub mod program;
pub mod progress;
pub mod refusal;
pub mod replay;
pub mod rounds;
pub mod rpc;
pub mod rules;
pub mod seal;
pub mod settings;
pub mod shared;
pub mod sse;
pub mod stream;
pub mod trust;
pub mod view;
pub mod watcher;
pub mod work;

pub use instance::{Running, StartError, start};
pub use settings::Settings;

//! The entry instance: takes callers' requests, queues them by tier, sends them
//! to endpoints and tells every caller truthfully what became of its request.

pub mod attempt;
pub mod body;
pub mod caller;
pub mod clock;
pub mod counters;
pub mod dispatcher;
pub mod exchange;
pub mod follower;
pub mod front;
pub mod headers;
pub mod instance;
pub mod journal;
pub mod platform;
pub mod pool;
pub mod program;
pub mod progress;
pub mod refusal;
pub mod rules;
pub mod settings;
pub mod shared;
pub mod sse;
pub mod stream;
pub mod view;
pub mod work;

pub use instance::{Running, StartError, start};
pub use settings::Settings;

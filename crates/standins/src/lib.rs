//! Small fakes of the systems around tanagergauge: the platform's log and list,
//! a model engine, a plain service, and a proxy that brings about network faults.
//!
//! Each runs inside the calling process on loopback, keeps records of what
//! reached it, and has its faults switched by the owner of its handle. Dropping
//! the handle closes the port and every connection.

mod batch;
mod body;
mod chat;
mod framing;
mod gate;
mod list;
mod log;
mod prefix;
mod server;

pub mod answer;
pub mod engine;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod run;
pub mod service;

pub use engine::{Engine, EngineFaults, EngineSettings, Leaving};
pub use platform::{Entry, Platform, PlatformFaults, PlatformSettings};
pub use proxy::{Flow, Proxy, ProxyFaults};
pub use run::{RunEnd, RunRecord};
pub use service::{Service, ServiceFaults, ServiceRun};

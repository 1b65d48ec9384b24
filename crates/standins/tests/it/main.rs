//! Tests of the stand-ins over their own ports.

mod client;
mod engine;
mod platform;
mod proxy;
mod service;

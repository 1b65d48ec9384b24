//! The project's own fakes of the platform's store and of callers.
#![allow(dead_code, unreachable_pub, reason = "a case uses a part of it")]

#[path = "../../../platform/tests/support/answer.rs"]
pub(crate) mod answer;
#[path = "../../../platform/tests/support/events.rs"]
pub(crate) mod events;
#[path = "../../../platform/tests/support/server.rs"]
pub(crate) mod server;
#[path = "../../../platform/tests/support/silence.rs"]
pub(crate) mod silence;
#[path = "../../../platform/tests/support/store.rs"]
pub(crate) mod store;

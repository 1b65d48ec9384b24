//! Starts real daemons behind stand-ins, and calls them as a caller would.
//!
//! Every wait is bounded by [`PATIENCE`], so that a test fails and does not hang.

use std::time::Duration;

mod answer;
mod call;
mod endpoint;
mod fleet;
mod instance;
mod keys;
mod raw;
mod sheet;

pub use answer::Answer;
pub use call::{Call, Reading};
pub use endpoint::{EarlyEnd, RawEndpoint};
pub use fleet::{Fleet, FleetOptions};
pub use instance::{Instance, InstanceSettings};
pub use keys::{FLEET_KEY, OPERATOR_KEY, TestKey, default_keys, key_file};
pub use raw::{RawAnswer, RawConnection};
pub use sheet::{
    DEFERRED_CLASS, LOOKUP_CLASS, MODEL, OTHER_TOKEN, PUBLISH_CLASS, SERVICE, SheetPlan, TOKEN,
    URGENT_CLASS,
};

/// Longest wait for anything that has to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two looks at something that cannot be waited for.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `holds` is true.
///
/// # Panics
/// When that takes longer than [`PATIENCE`].
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "{what}: not within {PATIENCE:?}");
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

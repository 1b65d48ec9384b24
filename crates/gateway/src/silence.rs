//! Waits for endpoints that are silent.
//!
//! Silence alone ends no attempt, as the endpoint may go on. An attempt is given up only once another
//! endpoint can take the request over, or when the caller stops waiting.

use std::{pin::pin, time::Duration};

use tanagergauge_core::selection::SelectedEndpoint;
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt,
    gateway::Gateway,
    progress::RequestProgress,
    request::Request,
    retry::{attempt_deadline, try_replace},
};

/// Interval at which another endpoint is looked for while a request waits for a silent one.
pub(crate) const REPLACE_INTERVAL: Duration = Duration::from_millis(200);

/// The endpoint was silent for so long that another one takes the request over, or until the caller's
/// deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silent;

/// Waits for what an endpoint has to do next for a request.
///
/// # Errors
/// The endpoint was silent, and is given up.
pub(crate) async fn wait<F: Future>(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
    endpoint: &SelectedEndpoint,
    awaited: F,
) -> Result<F::Output, Silent> {
    let mut awaited = pin!(awaited);
    let mut next_look = attempt_deadline(gateway, request, progress);
    let mut is_overdue = false;
    loop {
        if let Ok(done) = timeout_at(next_look, awaited.as_mut()).await {
            return Ok(done);
        }
        let now = Instant::now();
        if now >= request.deadline || try_replace(gateway, request, progress, endpoint) {
            return Err(Silent);
        }
        if !std::mem::replace(&mut is_overdue, true) {
            attempt::record_overdue(gateway, &endpoint.id);
        }
        next_look = request.deadline.min(now + REPLACE_INTERVAL);
    }
}

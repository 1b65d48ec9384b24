//! Waits for an endpoint, and asks others in its place while it is silent.

use std::sync::Arc;

use bytes::Bytes;
use tanagergauge_core::selection::SelectedEndpoint;
use tokio::time::Instant;

use super::refusal::deadline_refusal;
use crate::{
    attempt,
    gateway::Gateway,
    progress::RequestProgress,
    request::Request,
    response::Refusal,
    silence::{self, BoxFuture, Overlap, Silent},
};

/// A request, and the event after which its stream goes on.
#[derive(Clone, Copy)]
pub(crate) struct Asked<'r> {
    pub(crate) gateway: &'r Arc<Gateway>,
    pub(crate) request: &'r Request,
    pub(crate) last_event_id: Option<&'r Bytes>,
}

/// Sends a request to other endpoints in place of a silent one.
pub(crate) type Replace<T> =
    for<'p> fn(Asked<'p>, &'p mut RequestProgress) -> BoxFuture<'p, Result<T, Refusal>>;

/// What came of waiting for an endpoint.
pub(crate) enum Waited<A, T> {
    /// What was waited for.
    Done(A),
    /// The response of another endpoint, which was asked as the first one was silent.
    Replaced(T),
}

/// What an endpoint is waited for, and who else can be asked while it is silent.
pub(crate) struct SilentPhase<'r, T> {
    pub(crate) endpoint: &'r SelectedEndpoint,
    /// Whether its response has begun, so that it works on the request.
    pub(crate) has_begun: bool,
    pub(crate) replace: Replace<T>,
}

/// Waits for what an endpoint does next. While it is silent, others are asked; who responds first serves the
/// request.
///
/// # Errors
/// The refusal for the caller.
pub(crate) async fn wait_or_replace<A, T>(
    asked: Asked<'_>,
    progress: &mut RequestProgress,
    phase: SilentPhase<'_, T>,
    mut awaited: BoxFuture<'_, A>,
    has_failed: impl Fn(&A) -> bool,
) -> Result<Waited<A, T>, Refusal> {
    let Asked { gateway, request, .. } = asked;
    let endpoint = phase.endpoint;
    loop {
        match silence::wait(gateway, request, progress, endpoint, awaited.as_mut()).await {
            Ok(done) => return Ok(Waited::Done(done)),
            Err(Silent) => silence::record_silent(gateway, request, progress, endpoint),
        }
        if Instant::now() >= request.deadline {
            return Err(deadline_refusal(progress));
        }
        let begun = phase.has_begun.then(|| progress.watch_begun());
        let stop = silence::wait_for_stop_after(begun);
        match silence::overlap(awaited, (phase.replace)(asked, progress), stop, &has_failed).await {
            Overlap::WentOn(done) => {
                silence::record_stays(request, progress, endpoint);
                attempt::record_recovered(gateway, &endpoint.id);
                return Ok(Waited::Done(done));
            }
            Overlap::Replaced(response) => return Ok(Waited::Replaced(response)),
            Overlap::Refused(refusal) => return Err(refusal),
            Overlap::Alone(still_awaited) => {
                silence::record_stays(request, progress, endpoint);
                awaited = still_awaited;
            }
        }
    }
}

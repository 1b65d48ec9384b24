//! Waits for endpoints that are silent.
//!
//! Silence alone ends no attempt, as the endpoint may go on. An attempt is given up only once another
//! endpoint has begun its response, or when the caller stops waiting.

use std::{pin::Pin, sync::Arc, time::Duration};

use tanagergauge_core::{selection::SelectedEndpoint, send_history::Failure};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    attempt,
    gateway::Gateway,
    progress::RequestProgress,
    request::Request,
    response::Refusal,
    retry::{attempt_deadline, try_replace},
};

/// Interval at which another endpoint is looked for while a request waits for a silent one.
pub(crate) const REPLACE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a silent endpoint may go on with a request once another one has begun its response. After it,
/// two endpoints would work on the same request.
pub(crate) const MAX_OVERLAP: Duration = Duration::from_millis(150);

/// The endpoint was silent for so long that another one can take the request over, or until the caller's
/// deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silent;

/// A future whose type is not named.
pub(crate) type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// What came of a request at a silent endpoint and at the one that was asked in its place.
pub(crate) enum Overlap<'a, A, T> {
    /// The silent endpoint went on first.
    WentOn(A),
    /// The other one has begun its response.
    Replaced(T),
    /// No other one takes the request over, and the silent one may still go on.
    Alone(BoxFuture<'a, A>),
    /// Neither responds.
    Refused(Refusal),
}

/// Resolves when an endpoint that is asked in place of a silent one has begun its response, and the silent
/// one has to stop.
pub(crate) async fn wait_for_stop(begun: Arc<Notify>) {
    begun.notified().await;
    sleep(MAX_OVERLAP).await;
}

/// The same where an overlap has such an end.
pub(crate) async fn wait_for_stop_after(begun: Option<Arc<Notify>>) {
    match begun {
        Some(begun) => wait_for_stop(begun).await,
        None => std::future::pending().await,
    }
}

/// Waits for what an endpoint has to do next for a request.
///
/// # Errors
/// The endpoint was silent. Another one is secured for the request unless the caller's deadline has passed.
pub(crate) async fn wait<F: Future + ?Sized>(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
    endpoint: &SelectedEndpoint,
    mut awaited: Pin<&mut F>,
) -> Result<F::Output, Silent> {
    let mut next_look = attempt_deadline(gateway, request, progress);
    let mut is_overdue = false;
    loop {
        if let Ok(done) = timeout_at(next_look, awaited.as_mut()).await {
            return Ok(done);
        }
        let now = Instant::now();
        if now >= request.deadline
            || try_replace(gateway, request, progress, endpoint, Failure::Silent)
        {
            return Err(Silent);
        }
        if !std::mem::replace(&mut is_overdue, true) {
            attempt::record_overdue(gateway, &endpoint.id);
        }
        next_look = request.deadline.min(now + REPLACE_INTERVAL);
    }
}

/// Records that an endpoint was silent and another one is asked in its place.
pub(crate) fn record_silent(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
    endpoint: &SelectedEndpoint,
) {
    attempt::record_failure(gateway, request, endpoint, Failure::Silent);
    progress.attempt_failed(request, &endpoint.id, Failure::Silent);
}

/// Records that a request stays at its silent endpoint, which went on or is waited for again.
pub(crate) fn record_stays(
    request: &Request,
    progress: &mut RequestProgress,
    endpoint: &SelectedEndpoint,
) {
    tracing::info!(request = %request.id, endpoint = %endpoint.id, "the request stays at its silent endpoint");
    progress.attempt_superseded(request);
    progress.attempt_goes_on(endpoint, Failure::Silent);
}

/// Waits for a silent endpoint and for the one that is asked in its place, until `stop` tells the silent one
/// to stop. `has_failed` is whether what the silent one did is of no use.
pub(crate) async fn overlap<'a, A, T>(
    mut awaited: BoxFuture<'a, A>,
    replacement: impl Future<Output = Result<T, Refusal>>,
    stop: impl Future<Output = ()>,
    has_failed: impl Fn(&A) -> bool,
) -> Overlap<'a, A, T> {
    tokio::pin!(replacement, stop);
    let replaced = tokio::select! {
        biased;
        done = awaited.as_mut() => {
            if !has_failed(&done) {
                return Overlap::WentOn(done);
            }
            None
        }
        replaced = replacement.as_mut() => Some(replaced),
        () = stop => None,
    };
    match replaced {
        Some(Ok(response)) => Overlap::Replaced(response),
        Some(Err(_)) => Overlap::Alone(awaited),
        None => {
            drop(awaited);
            match replacement.await {
                Ok(response) => Overlap::Replaced(response),
                Err(refusal) => Overlap::Refused(refusal),
            }
        }
    }
}

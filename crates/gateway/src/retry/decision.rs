//! Decides whether and until when a request is sent again.

use std::time::Duration;

use tanagergauge_core::{
    selection::SelectedEndpoint,
    send_history::{Failure, NextStep, SendHistory, has_time_to_send},
};
use tokio::time::Instant;

use super::{LOG_TARGET, selection::select_endpoint};
use crate::{
    clock, gateway::Gateway, meters, progress::RequestProgress, request::Request, stream_end,
    suspects,
};

/// Time-out of an attempt that can be retried, as a multiple of the request's first-byte goal.
const ATTEMPT_TIMEOUT_GOAL_FACTOR: f64 = 2.0;
/// Milliseconds added to that time-out per millisecond by which responses of the service are
/// currently late.
const ATTEMPT_TIMEOUT_DELAY_FACTOR: f64 = 3.0;
/// Minimum of that time-out, before the addition for lateness.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);

/// Whether a request is sent again after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RetryDecision {
    Allowed {
        /// The retry was taken from the retry budget.
        uses_retry_budget: bool,
    },
    /// The request, or a part of its prompt, crashes endpoints.
    Quarantined,
    /// The route allows no further attempt, or the request must not run twice.
    AttemptsUsedUp,
    /// The retry budget is used up.
    BudgetUsedUp,
}

/// Whether another attempt is allowed; takes a retry from the budget if it needs one.
pub(super) fn may_attempt(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
) -> bool {
    let Some(failure) = progress.last_failure else { return true };
    if std::mem::take(&mut progress.holds_retry) {
        return true;
    }
    match try_retry(gateway, request, progress.send_history) {
        RetryDecision::Allowed { uses_retry_budget } => {
            if uses_retry_budget {
                meters::retry(failure);
            }
            true
        }
        denied => {
            let is_quarantined = denied == RetryDecision::Quarantined;
            if !is_quarantined && stream_end::try_ask(gateway, request, progress) {
                return true;
            }
            tracing::info!(target: LOG_TARGET, request = %request.id, %failure, decision = %denied, "request is not sent again");
            false
        }
    }
}

/// Secures an endpoint and a retry for a request whose endpoint is silent or leaves, which its next attempt takes.
/// Returns false if no other endpoint can take the request over now.
pub(crate) fn try_replace(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
    silent: &SelectedEndpoint,
    failure: Failure,
) -> bool {
    if !has_time_to_send(request.time_left().as_secs_f64() * 1000.0, request.route.goal_ms) {
        return false;
    }
    let mut tried = progress.tried.clone();
    tried.push(silent.id.clone());
    let version = progress.required_version.as_ref();
    let Ok(chosen) = select_endpoint(gateway, request, &tried, version) else { return false };
    let mut history = progress.send_history;
    history.record_failure(failure);
    let decision = try_retry(gateway, request, history);
    let is_allowed = matches!(decision, RetryDecision::Allowed { .. });
    if is_allowed {
        meters::retry(failure);
        progress.preselected = Some(chosen);
        progress.holds_retry = true;
    }
    is_allowed
}

/// Decides whether a request is sent again after a failure; takes a retry from the budget if it needs
/// one.
pub(super) fn try_retry(
    gateway: &Gateway,
    request: &Request,
    history: SendHistory,
) -> RetryDecision {
    if suspects::is_quarantined(gateway, request) {
        return RetryDecision::Quarantined;
    }
    match history.next_step(request.route.retry_safety, request.route.attempts) {
        NextStep::NotRun | NextStep::Unknown => RetryDecision::AttemptsUsedUp,
        NextStep::Resend { uses_retry_budget } => {
            let now_ms = clock::now_ms();
            if uses_retry_budget && !gateway.budgets().try_acquire(&request.service, now_ms) {
                return RetryDecision::BudgetUsedUp;
            }
            RetryDecision::Allowed { uses_retry_budget }
        }
    }
}

/// Whether the route allows another attempt if the current one failed.
pub(super) fn has_attempt_left(request: &Request, progress: &RequestProgress) -> bool {
    let attempts_left = progress.send_history.may_have_run + 1 < request.route.attempts;
    request.route.retry_safety.allows_resend() && attempts_left
}

/// Whether the request could be retried if the current attempt failed.
pub(super) fn has_another_attempt(
    gateway: &Gateway,
    request: &Request,
    progress: &RequestProgress,
) -> bool {
    has_attempt_left(request, progress)
        && gateway.budgets().is_available(&request.service, clock::now_ms())
}

/// When the current attempt is overdue, so that another endpoint may take the request over: the
/// caller's deadline unless the route allows another attempt.
pub(crate) fn attempt_deadline(
    gateway: &Gateway,
    request: &Request,
    progress: &RequestProgress,
) -> Instant {
    if !has_attempt_left(request, progress) {
        return request.deadline;
    }
    let goal = Duration::from_millis(request.route.goal_ms).mul_f64(ATTEMPT_TIMEOUT_GOAL_FACTOR);
    let now_ms = clock::now_ms();
    let delay_ms = gateway.admission().delay_ms(&request.service, request.rank, now_ms);
    let delay = Duration::from_secs_f64(delay_ms.max(0.0) * ATTEMPT_TIMEOUT_DELAY_FACTOR / 1000.0);
    request.deadline.min(Instant::now() + goal.max(MIN_ATTEMPT_TIMEOUT) + delay)
}

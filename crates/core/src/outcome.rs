//! What became of a request, and why.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// What a caller is told became of its request. Every request ends in exactly one.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The endpoint's whole answer to this request was delivered.
    Answered,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run; nobody can tell.
    Unknown,
}

/// Why a request was refused, retried or left without an answer.
///
/// The name of each variant is the label of its counter and the value of the
/// `X-Outcome-Reason` header.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request could not be parsed.
    Malformed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// A header that must be single stands twice.
    DuplicateHeader,
    /// No path of ours.
    UnknownPath,
    /// No or unknown credentials.
    Unauthenticated,
    /// The credentials have expired.
    CredentialExpired,
    /// The class is not in the sheet.
    UnknownClass,
    /// The model or service is not in the sheet.
    UnknownTarget,
    /// The class does not serve this kind of request.
    WrongKind,
    /// A class that may not be repeated needs an idempotency key.
    KeyMissing,
    /// The idempotency key has neither a ticket nor a time in it.
    KeyMalformed,
    /// The idempotency key is older than claims are kept.
    KeyExpired,
    /// The idempotency key lies in the future.
    KeyFromFuture,
    /// The table of idempotency keys is full.
    KeyTableFull,
    /// The request of this key is still running elsewhere.
    KeyInProgress,
    /// The key's owner cannot be reached.
    OwnerUnreachable,
    /// The key's request ran, but its answer is no longer kept.
    AnswerNotKept,
    /// The same key came with another body.
    KeyReused,
    /// The platform's log cannot be written and the key has no ticket.
    LogUnavailable,
    /// No sheet is in force yet.
    NotReady,
    /// The instance is stopping.
    Stopping,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Infeasible,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The account used up its share while others waited.
    OverShare,
    /// No endpoint serves the model or service.
    NoEndpoint,
    /// The endpoint refused before running.
    EndpointRefused,
    /// The connection to the endpoint could not be opened.
    ConnectFailed,
    /// The endpoint broke off before the answer was whole.
    EndpointBroke,
    /// The endpoint took too long.
    EndpointTimeout,
    /// The endpoint's answer was not an answer to this request.
    WrongAnswer,
    /// The endpoint's answer could not be parsed.
    BadAnswer,
    /// The stream was preempted for a higher tier.
    Preempted,
    /// Requests like this one have crashed several endpoints.
    Quarantined,
    /// The fleet's budget of retries is spent.
    RetryBudget,
    /// The caller went away.
    CallerLeft,
    /// Too many streams are open.
    TooManyStreams,
}

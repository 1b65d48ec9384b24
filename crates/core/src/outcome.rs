//! Outcome of a request and the reason for it.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Outcome of a request as reported to the caller. Every request has exactly one.
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
    /// The endpoint's complete answer to this request was delivered.
    Answered,
    /// The request was not executed and will not be.
    NotRun,
    /// The request may have been executed. It is not known whether it was.
    Unknown,
}

/// Why a request was refused, retried or left without an answer.
///
/// The name of each variant in snake case is the label of its counter and the value of the
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
    /// A header that may appear only once is repeated.
    DuplicateHeader,
    /// The path is not served.
    UnknownPath,
    /// The credential is missing or unknown.
    Unauthenticated,
    /// The credential has expired.
    CredentialExpired,
    /// The class is not in the sheet.
    UnknownClass,
    /// The model or service is not in the sheet.
    UnknownTarget,
    /// The class does not allow this kind of request.
    WrongKind,
    /// The class is not repeatable and the request has no idempotency key.
    KeyMissing,
    /// The idempotency key contains neither a ticket nor a time.
    KeyMalformed,
    /// The idempotency key is older than the retention time of claims.
    KeyExpired,
    /// The time in the idempotency key is in the future.
    KeyFromFuture,
    /// The table of idempotency keys is full.
    KeyTableFull,
    /// A request with this key is already running.
    KeyInProgress,
    /// The instance that owns the key cannot be reached.
    OwnerUnreachable,
    /// A request with this key was executed, but its answer is no longer stored.
    AnswerNotKept,
    /// The key was already used with a different body.
    KeyReused,
    /// The platform's log cannot be written and the idempotency key contains no ticket.
    LogUnavailable,
    /// No sheet is in force yet.
    NotReady,
    /// The instance is shutting down.
    Stopping,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met.
    Infeasible,
    /// The deadline passed while the request was queued.
    DeadlinePassed,
    /// The client account used up its share while others were waiting.
    OverShare,
    /// No endpoint serves the model or service.
    NoEndpoint,
    /// The endpoint refused the request before executing it.
    EndpointRefused,
    /// The connection to the endpoint could not be opened.
    ConnectFailed,
    /// The connection to the endpoint broke before the answer was complete.
    EndpointBroke,
    /// The endpoint did not answer in time.
    EndpointTimeout,
    /// The endpoint's answer does not belong to this request.
    WrongAnswer,
    /// The endpoint's answer could not be parsed.
    BadAnswer,
    /// The stream was preempted for a higher tier.
    Preempted,
    /// Requests with the same fingerprint have crashed several endpoints.
    Quarantined,
    /// The retry budget of the deployment is used up.
    RetryBudget,
    /// The caller disconnected.
    CallerLeft,
    /// Too many streams are open.
    TooManyStreams,
    /// All endpoints have named limits, which are used up.
    EndpointLimit,
    /// It is not known which software version began the stream that the caller takes up.
    UnknownVersion,
    /// No endpoint of the software version that began the stream is left.
    VersionGone,
    /// All endpoints have asked for time.
    EndpointBackoff,
    /// It is not known whether endpoints of the software version that began the stream still run it.
    VersionUnproven,
}

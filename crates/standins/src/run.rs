//! What an engine remembers of its runs.

use tokio::time::Instant;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It has not.
    Running,
    /// All its tokens were generated.
    Finished,
    /// Its caller left.
    Cancelled,
    /// The engine broke off.
    Died,
}

/// What an engine remembers of a run. Refused requests leave none.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// `X-Request-Id`, empty if absent.
    pub request_id: String,
    /// `X-Attempt`, 0 if absent.
    pub attempt: u32,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// `X-Client-Account`.
    pub client_account: Option<String>,
    /// `X-Service-Class`.
    pub service_class: Option<String>,
    /// `X-Priority`.
    pub priority: Option<u32>,
    /// Hash of the messages.
    pub hash: u64,
    /// When it arrived.
    pub arrived: Instant,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt found in the prefix cache.
    pub cached_tokens: u32,
    /// Number of the first token it was to generate.
    pub resumed_from_token: u32,
    /// Tokens it generated.
    pub generated_tokens: u32,
    /// Those of them generated after its caller had left.
    pub generated_after_cancel_tokens: u32,
    /// How it ended.
    pub end: RunEnd,
}

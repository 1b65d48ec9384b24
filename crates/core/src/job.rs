//! A job: one attempt of a request, as the scheduler sees it.

use crate::{
    Name,
    admission::Capacity,
    endpoint_pool::EndpointIndex,
    length_predictor::LengthKey,
    prefix_index::PrefixHashes,
    request_fingerprints::RequestFingerprints,
    sheet::{OutputPrior, TargetKind},
};

/// One attempt of a request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the attempt; unique within the instance.
    pub id: u64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Name of the target, as [`crate::endpoint_pool::target_name`] gives it.
    pub target: Name,
    /// Service class of the request.
    pub class: Name,
    /// Rank of the class's priority tier; 0 is the most urgent.
    pub tier_rank: usize,
    /// Share of dispatches that the class is guaranteed under any load, in percent.
    pub floor_percent: u32,
    /// Response lengths that the sheet expects for the class, in tokens.
    pub prior: OutputPrior,
    /// Target time to first token of the class, in milliseconds.
    pub first_token_ms: u64,
    /// Client account of the request.
    pub account: Name,
    /// Size of the request body, in bytes.
    pub bytes: usize,
    /// When the request arrived, in milliseconds.
    pub arrived_ms: u64,
    /// When the caller stops waiting, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens that earlier attempts delivered to the caller.
    pub delivered_tokens: u32,
    /// Maximum number of tokens that the caller requested, over all attempts.
    pub limit_tokens: Option<u32>,
    /// Whether the response is streamed, so that its tokens can be counted as they arrive.
    pub is_stream: bool,
    /// Hashes of the prompt's prefixes.
    pub prefix: PrefixHashes,
    /// What the quarantine recognizes the request by.
    pub fingerprints: RequestFingerprints,
    /// Endpoints at which earlier attempts failed.
    pub avoid: Vec<EndpointIndex>,
    /// Whether this is a trial: an endpoint went down while it ran the request, and the trial shows
    /// whether the request was the cause.
    pub is_suspect: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a complete response.
    Answered,
    /// The endpoint failed before it accepted the request.
    NotAccepted,
    /// The endpoint broke off the response or sent an invalid one.
    Interrupted,
    /// The endpoint broke off the response and accepts no connections since.
    EndpointLost,
    /// The endpoint was too slow.
    TooSlow,
    /// Without a fault of the endpoint, for example because the caller left.
    Released,
}

impl Job {
    /// Latest dispatch that still meets the target time to first token; unlimited for a job that
    /// has delivered tokens already.
    pub(crate) fn first_token_start_by_ms(&self, capacity: &Capacity) -> u64 {
        if self.delivered_tokens > 0 {
            return u64::MAX;
        }
        let start_ms = capacity.first_token_upper_ms as u64;
        (self.arrived_ms + self.first_token_ms).saturating_sub(start_ms)
    }

    /// Key under which the length of its response is learnt.
    pub(crate) fn length_key(&self) -> LengthKey {
        LengthKey {
            class: self.class.clone(),
            account: self.account.clone(),
            model: self.target.clone(),
        }
    }
}

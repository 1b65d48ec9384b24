//! One attempt of a request, as the policy sees it.

use crate::{
    Name,
    admission::Capacity,
    endpoint_pool::EndpointIndex,
    length_predictor::LengthKey,
    prefix_index::PrefixHashes,
    quarantine::Fingerprint,
    sheet::{OutputPrior, TargetKind},
};

/// A request that asks for an endpoint, for one attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique at the instance, new for each attempt.
    pub id: u64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// What it asks for.
    pub kind: TargetKind,
    /// The target's name, as [`crate::endpoint_pool::target_name`] gives it.
    pub target: Name,
    /// Its class.
    pub class: Name,
    /// Rank of the class's tier.
    pub tier_rank: usize,
    /// Share of dispatches the class gets under any load, in percent.
    pub floor_percent: u32,
    /// What the sheet says of its answers' length.
    pub prior: OutputPrior,
    /// Its class's target for the first token.
    pub first_token_ms: u64,
    /// Who asks.
    pub account: Name,
    /// Bytes of its body.
    pub bytes: usize,
    /// When the request arrived.
    pub arrived_ms: u64,
    /// When its caller stops waiting.
    pub deadline_ms: u64,
    /// Tokens that earlier attempts delivered.
    pub delivered_tokens: u32,
    /// Most tokens the caller asked for, over all attempts.
    pub limit_tokens: Option<u32>,
    /// Whether its tokens can be seen as they come.
    pub is_stream: bool,
    /// Prefixes of its prompt.
    pub prefix: PrefixHashes,
    /// What it is known by if it crashes endpoints.
    pub fingerprint: Fingerprint,
    /// Endpoints that failed it.
    pub avoid: Vec<EndpointIndex>,
    /// An endpoint was lost with it, and whether by it is being found out.
    pub is_suspect: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// With a whole answer.
    Answered,
    /// By the endpoint's fault, before it took the request.
    NotAccepted,
    /// By the endpoint's fault: it broke off or gave no proper answer.
    Interrupted,
    /// The endpoint went down with it: it broke off and takes no connection since.
    EndpointLost,
    /// By the endpoint's fault: it was too slow.
    TooSlow,
    /// By no fault of the endpoint.
    Released,
}

impl Job {
    /// Until when a dispatch meets the target for the first token; for a job that has begun, always.
    pub(crate) fn on_time_until_ms(&self, capacity: &Capacity) -> u64 {
        if self.delivered_tokens > 0 {
            return u64::MAX;
        }
        let start_ms = capacity.first_token_upper_ms as u64;
        (self.arrived_ms + self.first_token_ms).saturating_sub(start_ms)
    }

    /// What its answer's length is learnt under.
    pub(crate) fn length_key(&self) -> LengthKey {
        LengthKey {
            class: self.class.clone(),
            account: self.account.clone(),
            model: self.target.clone(),
        }
    }
}

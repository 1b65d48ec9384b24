//! Affinity of requests that share a prompt part to the same few endpoints.
//!
//! Endpoints are ranked for each part by rendezvous hashing, so that all instances agree on the
//! order without communication.

use crate::{
    endpoint::Endpoint,
    prompt_part::{self, PromptPart},
};

/// Endpoints ranked next after the preferred ones that requests for a part may also go to.
const FALLBACK_ENDPOINTS: usize = 2;
/// Preferred endpoints of a part for each endpoint that its requests would fill.
const PREFERRED_PER_FILLED_ENDPOINT: f64 = 1.3;

/// Ranking of the candidate endpoints for one shared part.
pub(crate) struct PrefixAffinity {
    /// Id of the shared part. Absent for a request without parts.
    part: Option<u64>,
    /// Weight of each candidate, in no particular order.
    weights: Vec<u64>,
    /// Number of preferred endpoints, the first ones in the ranking. Each is expected to have the
    /// part cached. More than one if the part is requested often.
    pub(crate) preferred_count: usize,
}

impl PrefixAffinity {
    /// `share` is the share of all requests that contain the part, from 0 to 1.
    pub(crate) fn new(part: Option<u64>, candidates: &[&Endpoint], share: f64) -> PrefixAffinity {
        let weights = match part {
            Some(part) => candidates.iter().map(|it| mix64(part, it.seed)).collect(),
            None => Vec::new(),
        };
        let needed = share * candidates.len() as f64 * PREFERRED_PER_FILLED_ENDPOINT;
        PrefixAffinity { part, weights, preferred_count: (needed as usize).max(1) }
    }

    /// Rank of an endpoint for the part, 0 being the most preferred. 1 if there is no part.
    pub(crate) fn rank(&self, endpoint: &Endpoint) -> usize {
        let Some(part) = self.part else { return 1 };
        let own_weight = mix64(part, endpoint.seed);
        self.weights.iter().filter(|it| **it > own_weight).count()
    }

    /// Whether a request may go to `endpoint`.
    ///
    /// Endpoints of a lower rank are excluded unless they have the whole shared prefix cached. They
    /// would prefill the part for this request alone, and all instances would pick the same idle
    /// endpoint at the same time.
    pub(crate) fn allows(&self, endpoint: &Endpoint, parts: &[PromptPart]) -> bool {
        if self.part.is_none() {
            return true;
        }
        let is_ranked_high = self.rank(endpoint) < self.preferred_count + FALLBACK_ENDPOINTS;
        is_ranked_high
            || endpoint.cached_parts.cached_prefix_tokens(parts)
                >= prompt_part::shared_prefix_tokens(parts)
    }
}

/// Hashes two numbers to a uniformly distributed one, with the finalizer of SplitMix64.
pub(crate) fn mix64(a: u64, b: u64) -> u64 {
    let mut hash = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

//! The order in which endpoints take a shared part, the same for all instances.

use crate::{
    endpoint::Endpoint,
    prompt_part::{self, PromptPart},
};

/// Endpoints after the homes of a part that its requests may go to.
const SECOND_CHOICES: usize = 2;
/// Homes of a part for each endpoint that its requests would fill.
const HOT_SPREAD: f64 = 1.3;

/// The order in which endpoints take a shared part.
pub(crate) struct PrefixAffinity {
    part: Option<u64>,
    /// Weight of every candidate.
    weights: Vec<u64>,
    /// How many of the first keep the part; more than one if it is asked for often.
    pub(crate) preferred_count: usize,
}

impl PrefixAffinity {
    pub(crate) fn new(part: Option<u64>, candidates: &[&Endpoint], share: f64) -> PrefixAffinity {
        let weights = match part {
            Some(part) => candidates.iter().map(|it| mix64(part, it.seed)).collect(),
            None => Vec::new(),
        };
        let needed = share * candidates.len() as f64 * HOT_SPREAD;
        PrefixAffinity { part, weights, preferred_count: (needed as usize).max(1) }
    }

    /// Place of an endpoint in the order; 0 is the first home.
    pub(crate) fn rank(&self, endpoint: &Endpoint) -> usize {
        let Some(part) = self.part else { return 1 };
        let own = mix64(part, endpoint.seed);
        self.weights.iter().filter(|it| **it > own).count()
    }

    /// Whether a request may go there: another place in the order would read the part for this
    /// request alone, and every instance would find the same idle endpoint at once.
    pub(crate) fn allows(&self, endpoint: &Endpoint, parts: &[PromptPart]) -> bool {
        if self.part.is_none() {
            return true;
        }
        let near = self.rank(endpoint) < self.preferred_count + SECOND_CHOICES;
        near || endpoint.cached_parts.cached_prefix_tokens(parts)
            >= prompt_part::shared_prefix_tokens(parts)
    }
}

/// Spreads two numbers evenly over all numbers.
pub(crate) fn mix64(a: u64, b: u64) -> u64 {
    let mut it = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b;
    it = (it ^ (it >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    it = (it ^ (it >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    it ^ (it >> 31)
}

//! Parts of prompts, and which of them an endpoint is expected to have in its prefix cache.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Parts remembered for one endpoint before the least recently used half is evicted.
const MAX_PARTS: usize = 2_048;

/// One part of a prompt, such as a system prompt, a document or the request's own text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the text; equal texts have equal ids.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The parts of a prompt, in order. The last one is specific to the request or its session; the
/// others may be shared.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// The last part that other requests may share. Requests with the same one share most of their
/// prompt and are routed to the same endpoints. `None` for an empty prompt.
pub fn shared_part(parts: &[PromptPart]) -> Option<PromptPart> {
    match parts {
        [] => None,
        [only] => Some(*only),
        [.., shared, _] => Some(*shared),
    }
}

/// Tokens of all parts but the last; of a single part, all its tokens.
pub fn shared_prefix_tokens(parts: &[PromptPart]) -> u32 {
    match parts {
        [] => 0,
        [only] => only.tokens,
        [shared @ .., _] => shared.iter().map(|it| it.tokens).sum(),
    }
}

/// Tokens of the whole prompt.
pub fn total_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().map(|it| it.tokens).sum()
}

/// The ids of the parts in hexadecimal, separated by commas, for the log.
pub fn format_ids(parts: &[PromptPart]) -> String {
    let ids: Vec<String> = parts.iter().map(|it| format!("{:x}", it.id)).collect();
    ids.join(",")
}

/// Parts that one endpoint was sent and is expected to have cached. A wrong guess costs prefill
/// time but does not affect correctness.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    /// Time at which each part was last sent, by part id.
    last_used_ms: HashMap<u64, u64>,
}

impl CachedParts {
    /// Records that a prompt was sent to the endpoint.
    pub fn record_sent(&mut self, parts: &[PromptPart], now_ms: u64) {
        for it in parts {
            self.last_used_ms.insert(it.id, now_ms);
        }
        if self.last_used_ms.len() > MAX_PARTS {
            self.evict_older_half();
        }
    }

    /// Tokens at the beginning of the prompt that are expected to be cached.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let cached = parts.iter().take_while(|it| self.last_used_ms.contains_key(&it.id));
        cached.map(|it| it.tokens).sum()
    }

    /// Forgets all parts, as after a restart of the endpoint.
    pub fn clear(&mut self) {
        self.last_used_ms.clear();
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.last_used_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median_ms, _) = times.select_nth_unstable(middle);
        let median_ms = *median_ms;
        self.last_used_ms.retain(|_, it| *it > median_ms);
    }
}

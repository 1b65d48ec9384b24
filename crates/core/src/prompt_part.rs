//! Parts of prompts, and which of them an endpoint is believed to keep.

use std::collections::HashMap;

use smallvec::SmallVec;

/// Parts kept for one endpoint before the oldest are dropped.
const PART_LIMIT: usize = 2_048;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its text; equal parts have equal ids.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// The parts of a prompt, in order. The last one belongs to the request or its session.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// The part by which requests that share most of their prompt are brought together: the last
/// one that others may share.
pub fn shared_part(parts: &[PromptPart]) -> Option<PromptPart> {
    match parts {
        [] => None,
        [only] => Some(*only),
        [.., shared, _] => Some(*shared),
    }
}

/// Tokens of all parts but the last.
pub fn shared_prefix_tokens(parts: &[PromptPart]) -> u32 {
    match parts {
        [] => 0,
        [only] => only.tokens,
        [shared @ .., _] => shared.iter().map(|it| it.tokens).sum(),
    }
}

/// Tokens of all parts.
pub fn total_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().map(|it| it.tokens).sum()
}

/// What was sent to one endpoint. It may be wrong; that costs time, never an answer.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    /// When each part was last sent there.
    used_ms: HashMap<u64, u64>,
}

impl CachedParts {
    /// A prompt was sent there.
    pub fn record_sent(&mut self, parts: &[PromptPart], now_ms: u64) {
        for it in parts {
            self.used_ms.insert(it.id, now_ms);
        }
        if self.used_ms.len() > PART_LIMIT {
            self.forget_older_half();
        }
    }

    /// Tokens at the beginning of a prompt that need not be read again.
    pub fn cached_prefix_tokens(&self, parts: &[PromptPart]) -> u32 {
        let kept = parts.iter().take_while(|it| self.used_ms.contains_key(&it.id));
        kept.map(|it| it.tokens).sum()
    }

    /// Nothing is kept any more.
    pub fn clear(&mut self) {
        self.used_ms.clear();
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<u64> = self.used_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, middle_ms, _) = times.select_nth_unstable(middle);
        let middle_ms = *middle_ms;
        self.used_ms.retain(|_, it| *it > middle_ms);
    }
}

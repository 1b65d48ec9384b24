//! A prompt prefix cache in limited memory.

use std::num::NonZeroUsize;

use lru::LruCache;

/// Size of a block of the cache, in tokens.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// Bytes of text that count as a token.
pub(crate) const TOKEN_BYTES: usize = 4;

const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;

/// The blocks of prompts seen lately, each known by the hash of all text before
/// its end. The least recently used are forgotten.
pub(crate) struct PrefixCache {
    blocks: Option<LruCache<u64, ()>>,
}

impl PrefixCache {
    pub(crate) fn new(capacity_blocks: usize) -> PrefixCache {
        PrefixCache { blocks: NonZeroUsize::new(capacity_blocks).map(LruCache::new) }
    }

    /// Stores a prompt and returns how many of its leading tokens were there.
    pub(crate) fn insert(&mut self, prompt: &[u8]) -> u32 {
        let Some(blocks) = &mut self.blocks else {
            return 0;
        };
        let mut hasher = blake3::Hasher::new();
        let mut cached_tokens = 0;
        let mut all_cached = true;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            hasher.update(block);
            let known = blocks.put(crate::answer::leading_u64(&hasher.finalize()), ()).is_some();
            all_cached &= known;
            if all_cached {
                cached_tokens += BLOCK_TOKENS;
            }
        }
        cached_tokens
    }

    pub(crate) fn clear(&mut self) {
        if let Some(blocks) = &mut self.blocks {
            blocks.clear();
        }
    }
}

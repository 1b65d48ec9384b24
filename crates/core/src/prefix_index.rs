//! Index of the endpoints that are expected to have a prompt's prefix in their KV cache.

use indexmap::IndexMap;

use crate::{choice::CachedPrefix, endpoint_pool::EndpointIndex};

/// Size of a prompt block, in bytes.
pub const BLOCK_BYTES: usize = 512;

/// Tokens that a block is assumed to have.
const BLOCK_TOKENS: u32 = 128;

/// Maximum number of a prompt's blocks that are hashed.
const MAX_BLOCKS: usize = 64;

/// Maximum number of endpoints remembered for a block.
const MAX_HOLDERS: usize = 4;

/// Hashes of a prompt's prefixes, one per block; each covers all blocks up to and including its
/// own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes(pub Vec<u64>);

impl PrefixHashes {
    /// Hashes the complete blocks of a prompt, together with the model's name.
    pub fn new(model: &str, prompt: &[u8]) -> PrefixHashes {
        let mut hasher = blake3::Hasher::new();
        hasher.update(model.as_bytes());
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
        PrefixHashes(blocks.map(|it| first_bytes(hasher.update(it))).collect())
    }
}

/// Map from blocks to the endpoints that hold them. It may list endpoints that have evicted a
/// block and miss others; both cost prefill time but do not affect correctness.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// By prefix hash; at most `limit`.
    blocks: IndexMap<u64, Block>,
    limit: usize,
    /// Incremented when an endpoint's entries become invalid; by [`EndpointIndex`].
    epochs: Vec<u32>,
    /// Sequence number of each endpoint's last cache event, 0 for none; by [`EndpointIndex`].
    last_events: Vec<u64>,
    /// Position of the CLOCK eviction's hand.
    cursor: usize,
}

#[derive(Clone, Debug, Default)]
struct Block {
    holders: [Option<Holder>; MAX_HOLDERS],
    /// Whether it was used since the eviction cursor last passed it.
    is_recently_used: bool,
    /// Index of the holder that is replaced next.
    next_holder: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    endpoint: EndpointIndex,
    /// Epoch of the endpoint at insertion; the entry is valid while it is current.
    epoch: u32,
}

impl PrefixIndex {
    /// Creates an index of at most `limit` blocks, about 100 bytes each.
    pub fn new(limit: usize) -> PrefixIndex {
        let blocks = IndexMap::new();
        PrefixIndex {
            blocks,
            limit: limit.max(1),
            epochs: Vec::new(),
            last_events: Vec::new(),
            cursor: 0,
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the endpoints that hold a prefix of the prompt, each with the length it holds.
    pub fn lookup(&mut self, prefix: &PrefixHashes) -> Vec<CachedPrefix> {
        let mut found: Vec<CachedPrefix> = Vec::new();
        for (at, hash) in prefix.0.iter().enumerate() {
            let tokens = (at as u32 + 1) * BLOCK_TOKENS;
            let Some(block) = self.blocks.get_mut(hash) else { break };
            block.is_recently_used = true;
            let holders = block.holders.iter().flatten();
            let valid = holders.filter(|it| self.epochs.get(it.endpoint.0) == Some(&it.epoch));
            for it in valid {
                set_cached_tokens(&mut found, it.endpoint, tokens);
            }
        }
        found
    }

    /// Records that a prompt was sent to an endpoint, or that the endpoint reported having it
    /// cached.
    pub fn insert(&mut self, endpoint: EndpointIndex, prefix: &PrefixHashes) {
        let holder = Holder { endpoint, epoch: self.epoch(endpoint) };
        for &hash in &prefix.0 {
            self.evict_if_full(hash);
            let block = self.blocks.entry(hash).or_default();
            block.is_recently_used = true;
            block.set_holder(holder);
        }
    }

    /// Records that an endpoint reported evicting a block.
    pub fn remove(&mut self, endpoint: EndpointIndex, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else { return };
        for it in &mut block.holders {
            if it.is_some_and(|it| it.endpoint == endpoint) {
                *it = None;
            }
        }
    }

    /// Records the sequence number of an endpoint's cache event. A gap means that events were
    /// missed and invalidates all of its entries. Returns whether there was a gap.
    pub fn record_event(&mut self, endpoint: EndpointIndex, number: u64) -> bool {
        self.epoch(endpoint);
        let last = std::mem::replace(&mut self.last_events[endpoint.0], number);
        let has_gap = last != 0 && number != last + 1;
        if has_gap {
            self.invalidate_endpoint(endpoint);
        }
        has_gap
    }

    /// Invalidates all entries of an endpoint, as after its restart.
    pub fn invalidate_endpoint(&mut self, endpoint: EndpointIndex) {
        self.epoch(endpoint);
        self.epochs[endpoint.0] = self.epochs[endpoint.0].wrapping_add(1);
    }

    /// Current epoch of an endpoint; makes room for one that is new.
    fn epoch(&mut self, endpoint: EndpointIndex) -> u32 {
        if self.epochs.len() <= endpoint.0 {
            self.epochs.resize(endpoint.0 + 1, 0);
            self.last_events.resize(endpoint.0 + 1, 0);
        }
        self.epochs[endpoint.0]
    }

    /// If the index is full and lacks the block, evicts one that was not used since the cursor last
    /// passed it (CLOCK eviction).
    fn evict_if_full(&mut self, hash: u64) {
        if self.blocks.len() < self.limit || self.blocks.contains_key(&hash) {
            return;
        }
        for _ in 0..=self.blocks.len() {
            self.cursor = (self.cursor + 1) % self.blocks.len();
            if !std::mem::take(&mut self.blocks[self.cursor].is_recently_used) {
                break;
            }
        }
        self.blocks.swap_remove_index(self.cursor);
    }
}

impl Block {
    /// Adds or renews a holder; when all places are taken, replaces them in turn.
    fn set_holder(&mut self, holder: Holder) {
        let is_free = |it: &Option<Holder>| it.is_none_or(|it| it.endpoint == holder.endpoint);
        let existing = self.holders.iter().flatten().position(|it| it.endpoint == holder.endpoint);
        let at =
            existing.or_else(|| self.holders.iter().position(is_free)).unwrap_or(self.next_holder);
        self.holders[at] = Some(holder);
        self.next_holder = (at + 1) % MAX_HOLDERS;
    }
}

fn set_cached_tokens(found: &mut Vec<CachedPrefix>, endpoint: EndpointIndex, tokens: u32) {
    match found.iter_mut().find(|it| it.endpoint == endpoint) {
        Some(it) => it.tokens = tokens,
        None => found.push(CachedPrefix { endpoint, tokens }),
    }
}

fn first_bytes(hasher: &blake3::Hasher) -> u64 {
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_first_chunk::<8>().unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*first)
}

//! Which endpoints are believed to have a prompt's prefix in cache.

use indexmap::IndexMap;

use crate::{choice::CachedPrefix, endpoint_pool::EndpointIndex};

/// Bytes of a prompt that make a block.
pub const BLOCK_BYTES: usize = 512;

/// Tokens that a block is taken for.
const BLOCK_TOKENS: u32 = 128;

/// Most blocks of a prompt that are looked at.
const BLOCK_LIMIT: usize = 64;

/// Endpoints remembered for a block.
const HOLDERS: usize = 4;

/// Hashes of a prompt's prefixes, one a block; each covers all blocks up to its own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixHashes(pub Vec<u64>);

impl PrefixHashes {
    /// Hashes the whole blocks of a prompt. The model is hashed in.
    pub fn new(model: &str, prompt: &[u8]) -> PrefixHashes {
        let mut hasher = blake3::Hasher::new();
        hasher.update(model.as_bytes());
        let blocks = prompt.chunks_exact(BLOCK_BYTES).take(BLOCK_LIMIT);
        PrefixHashes(blocks.map(|it| first_bytes(hasher.update(it))).collect())
    }
}

/// Blocks and who holds them. It may be wrong in either way; that costs time, never an answer.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    /// At most [`PrefixIndex::limit`].
    blocks: IndexMap<u64, Block>,
    limit: usize,
    /// Raised when an endpoint's cache is no longer trusted; by [`EndpointIndex`].
    epochs: Vec<u32>,
    /// Number of the last event of each endpoint; by [`EndpointIndex`].
    events: Vec<u64>,
    cursor: usize,
}

#[derive(Clone, Debug, Default)]
struct Block {
    holders: [Option<Holder>; HOLDERS],
    /// It was asked for since the eviction last passed it.
    used: bool,
    /// Which holder is replaced next.
    turn: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Holder {
    endpoint: EndpointIndex,
    epoch: u32,
}

impl PrefixIndex {
    /// An index of at most that many blocks, about 100 bytes each.
    pub fn new(limit: usize) -> PrefixIndex {
        let blocks = IndexMap::new();
        PrefixIndex {
            blocks,
            limit: limit.max(1),
            epochs: Vec::new(),
            events: Vec::new(),
            cursor: 0,
        }
    }

    /// Number of blocks known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// The endpoints that hold the beginning of a prompt, and how much of it.
    pub fn lookup(&mut self, prefix: &PrefixHashes) -> Vec<CachedPrefix> {
        let mut found: Vec<CachedPrefix> = Vec::new();
        for (at, hash) in prefix.0.iter().enumerate() {
            let tokens = (at as u32 + 1) * BLOCK_TOKENS;
            let Some(block) = self.blocks.get_mut(hash) else { break };
            block.used = true;
            let holders = block.holders.iter().flatten();
            let trusted = holders.filter(|it| self.epochs.get(it.endpoint.0) == Some(&it.epoch));
            for it in trusted {
                extend(&mut found, it.endpoint, tokens);
            }
        }
        found
    }

    /// A prompt was sent to an endpoint, or the endpoint reported that it keeps it.
    pub fn insert(&mut self, endpoint: EndpointIndex, prefix: &PrefixHashes) {
        let holder = Holder { endpoint, epoch: self.epoch(endpoint) };
        for &hash in &prefix.0 {
            self.make_room(hash);
            let block = self.blocks.entry(hash).or_default();
            block.used = true;
            block.hold(holder);
        }
    }

    /// An endpoint reported that it dropped a block.
    pub fn remove(&mut self, endpoint: EndpointIndex, hash: u64) {
        let Some(block) = self.blocks.get_mut(&hash) else { return };
        for it in &mut block.holders {
            if it.is_some_and(|it| it.endpoint == endpoint) {
                *it = None;
            }
        }
    }

    /// Notes the number of an endpoint's cache event; after a gap nothing older is trusted.
    /// Returns whether there was a gap.
    pub fn record_event(&mut self, endpoint: EndpointIndex, number: u64) -> bool {
        self.epoch(endpoint);
        let last = std::mem::replace(&mut self.events[endpoint.0], number);
        let gap = last != 0 && number != last + 1;
        if gap {
            self.invalidate_endpoint(endpoint);
        }
        gap
    }

    /// Forgets what an endpoint holds, as after its restart.
    pub fn invalidate_endpoint(&mut self, endpoint: EndpointIndex) {
        self.epoch(endpoint);
        self.epochs[endpoint.0] = self.epochs[endpoint.0].wrapping_add(1);
    }

    fn epoch(&mut self, endpoint: EndpointIndex) -> u32 {
        if self.epochs.len() <= endpoint.0 {
            self.epochs.resize(endpoint.0 + 1, 0);
            self.events.resize(endpoint.0 + 1, 0);
        }
        self.epochs[endpoint.0]
    }

    /// Evicts a block that was not used since the last pass, if there must be room for another.
    fn make_room(&mut self, hash: u64) {
        if self.blocks.len() < self.limit || self.blocks.contains_key(&hash) {
            return;
        }
        for _ in 0..=self.blocks.len() {
            self.cursor = (self.cursor + 1) % self.blocks.len();
            if !std::mem::take(&mut self.blocks[self.cursor].used) {
                break;
            }
        }
        self.blocks.swap_remove_index(self.cursor);
    }
}

impl Block {
    fn hold(&mut self, holder: Holder) {
        let same = |it: &Option<Holder>| it.is_none_or(|it| it.endpoint == holder.endpoint);
        let known = self.holders.iter().flatten().position(|it| it.endpoint == holder.endpoint);
        let at = known.or_else(|| self.holders.iter().position(same)).unwrap_or(self.turn);
        self.holders[at] = Some(holder);
        self.turn = (at + 1) % HOLDERS;
    }
}

fn extend(found: &mut Vec<CachedPrefix>, endpoint: EndpointIndex, tokens: u32) {
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

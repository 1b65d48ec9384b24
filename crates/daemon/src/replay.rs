//! Remembers nonces so that no message is taken twice.

use std::collections::{HashSet, VecDeque};

use crate::seal::{FRESH_MS, Nonce, SealError};

/// Nonces remembered at most; beyond it new messages are refused.
pub const MAX_NONCES: usize = 16_384;

/// The nonces of all messages that are still fresh.
#[derive(Debug)]
pub struct ReplayGuard {
    /// Messages sent before this are refused: their nonces may have been known to
    /// an earlier process at this address. In milliseconds of Unix time.
    start_unix_ms: u64,
    seen: HashSet<Nonce>,
    /// In the order of arrival.
    queue: VecDeque<Remembered>,
}

#[derive(Debug)]
struct Remembered {
    nonce: Nonce,
    forget_unix_ms: u64,
}

impl ReplayGuard {
    /// A guard of a process that started at a moment.
    pub fn new(start_unix_ms: u64) -> ReplayGuard {
        ReplayGuard { start_unix_ms, seen: HashSet::new(), queue: VecDeque::new() }
    }

    /// Admits a message whose code was checked, once.
    ///
    /// # Errors
    /// It was admitted before, may have been, or cannot be remembered.
    pub fn admit(
        &mut self,
        nonce: Nonce,
        sent_unix_ms: u64,
        now_unix_ms: u64,
    ) -> Result<(), SealError> {
        if sent_unix_ms < self.start_unix_ms {
            return Err(SealError::NotFresh);
        }
        self.forget(now_unix_ms);
        if self.seen.contains(&nonce) {
            return Err(SealError::Replayed);
        }
        if self.queue.len() >= MAX_NONCES {
            return Err(SealError::NonceMemoryFull);
        }
        self.seen.insert(nonce);
        // The sender's clock may be ahead, so that the message stays fresh for twice the window.
        self.queue.push_back(Remembered { nonce, forget_unix_ms: now_unix_ms + 2 * FRESH_MS + 1 });
        Ok(())
    }

    fn forget(&mut self, now_unix_ms: u64) {
        while let Some(oldest) = self.queue.front()
            && oldest.forget_unix_ms <= now_unix_ms
        {
            self.seen.remove(&oldest.nonce);
            self.queue.pop_front();
        }
    }
}

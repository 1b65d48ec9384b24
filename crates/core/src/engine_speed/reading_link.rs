//! Which readings one peer has been told.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::reading::{MOMENTARY, Reading};

/// Most readings in one message; the rest follows in the next ones.
const MAX_READINGS: usize = 1_024;
/// Time between comparisons of the values that stand for samples, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 2_000;
/// An unchanged reading is told again after this time, in milliseconds, so that the receiver can drop
/// those of which it hears no more.
const REPEAT_MS: u64 = 20_000;

/// Readings for a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingMessage {
    /// Number of the message among those to this peer; from 1.
    sequence: u64,
    /// Number of the last message that was received from the peer; 0 if there is none.
    received: u64,
    /// Values that are new to the peer.
    pub readings: Vec<Reading>,
}

/// State of the exchange with one peer. A message that was lost, or a peer that started again, shows
/// in the numbers, and everything is told again.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadingLink {
    /// What the peer was told, and when, in milliseconds.
    told: HashMap<u32, (Reading, u64)>,
    /// Number of the last message to the peer.
    sequence: u64,
    /// Number of that message which the peer received last.
    acknowledged: u64,
    /// Number of the last message from the peer.
    received: u64,
    /// When a message was built or received last, in milliseconds.
    used_ms: u64,
    /// When values that stand for samples are compared next, in milliseconds.
    compared_again_ms: u64,
}

impl ReadingLink {
    /// Whether the next message should have the values that stand for samples too. They change slowly,
    /// and comparing thousands of them for each message would take a hub much time.
    pub(super) fn wants_samples(&self, now_ms: u64) -> bool {
        self.acknowledged != self.sequence
            || self.told.is_empty()
            || now_ms >= self.compared_again_ms
    }

    /// Builds the next message to the peer.
    pub(super) fn message(&mut self, readings: &[Reading], now_ms: u64) -> ReadingMessage {
        if self.acknowledged != self.sequence {
            self.told.clear();
        }
        self.told.retain(|_, (_, told_ms)| now_ms.saturating_sub(*told_ms) < REPEAT_MS);
        let is_news =
            |it: &&Reading| it.is_news_after(self.told.get(&it.key).map(|(known, _)| *known));
        let news: Vec<Reading> =
            readings.iter().filter(is_news).take(MAX_READINGS).copied().collect();
        self.told.extend(news.iter().map(|it| (it.key, (*it, now_ms))));
        let is_cut = news.len() == MAX_READINGS;
        if readings.iter().any(|it| it.weight != MOMENTARY) {
            self.compared_again_ms = now_ms + if is_cut { 0 } else { COMPARE_INTERVAL_MS };
        }
        self.sequence += 1;
        self.used_ms = now_ms;
        ReadingMessage { sequence: self.sequence, received: self.received, readings: news }
    }

    /// Records a message of the peer.
    pub(super) fn record_received(&mut self, message: &ReadingMessage, now_ms: u64) {
        self.used_ms = now_ms;
        self.received = message.sequence;
        self.acknowledged = message.received;
    }

    /// Whether the peer sent a message.
    pub(super) fn has_received(&self) -> bool {
        self.received > 0
    }

    /// Whether a message was built or received within the last `max_age_ms`.
    pub(super) fn is_used(&self, now_ms: u64, max_age_ms: u64) -> bool {
        now_ms.saturating_sub(self.used_ms) < max_age_ms
    }
}

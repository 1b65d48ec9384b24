//! At which software version each stream began, across all instances.
//!
//! A caller may take a stream up at another instance than the one that began it, which may have been
//! killed meanwhile. Instances therefore tell each other what they began, with the reports that they
//! exchange: each member its zone's hub, hubs each other, and each hub its members.

use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    Name,
    update_log::{LogPosition, UpdateLog},
};

/// How long a stream is remembered, in milliseconds: longer than callers try one request.
pub const STREAM_RETENTION_MS: u64 = 60_000;
/// Maximum number of streams that are remembered; beyond it the oldest are dropped.
pub const MAX_STREAMS: usize = 16_384;
/// Maximum number of streams in one message. An instance that starts gets the others with the next
/// messages, so that they do not delay the load reports.
pub const MAX_MESSAGE_STREAMS: usize = 512;

/// Identifies a request that began or continued a stream: the first 8 bytes of a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey([u8; 8]);

/// Where the instance that told of a stream is, from nearest to farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamOrigin {
    /// This instance.
    ThisInstance,
    /// A member of this zone, told by itself.
    OwnZone,
    /// Anywhere, told by a hub.
    Elsewhere,
}

/// Peers to which streams are told, which decides about the streams they lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAudience {
    /// The hub of this zone; each member tells its own streams.
    Hub,
    /// The hub of another zone; each hub tells those of its zone.
    OtherZone,
    /// A member of this zone; its hub tells all.
    Member,
}

/// Streams that began at one version, as they are sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsOfVersion {
    /// The software version.
    pub version: Name,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// Streams that a peer has not received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreamUpdates {
    /// The streams, by version; at most [`MAX_MESSAGE_STREAMS`] in all.
    pub versions: Vec<StreamsOfVersion>,
    /// Position from which to ask for further updates.
    pub next: LogPosition,
}

/// The software versions at which streams began recently.
#[derive(Clone, Debug)]
pub struct BegunStreams {
    /// At most [`MAX_STREAMS`].
    streams: HashMap<StreamKey, Stream>,
    /// The keys of `streams` in the order in which this instance learned of them.
    oldest_first: VecDeque<StreamKey>,
    /// Streams that this instance learned of, for peers.
    updates: UpdateLog<Update>,
}

#[derive(Clone, Debug)]
struct Stream {
    version: Name,
    origin: StreamOrigin,
    /// When this instance learned of it; monotonic time.
    learned_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Update {
    key: StreamKey,
    origin: StreamOrigin,
}

impl StreamKey {
    /// Key of a request of a client account to a service.
    pub fn new(account: &str, service: &str, request_id: &str) -> StreamKey {
        let mut hasher = blake3::Hasher::new();
        for part in [account, service, request_id] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut key = [0; 8];
        hasher.finalize_xof().fill(&mut key);
        StreamKey(key)
    }
}

impl StreamAudience {
    /// The farthest streams that it is told of.
    fn farthest(self) -> StreamOrigin {
        match self {
            StreamAudience::Hub => StreamOrigin::ThisInstance,
            StreamAudience::OtherZone => StreamOrigin::OwnZone,
            StreamAudience::Member => StreamOrigin::Elsewhere,
        }
    }
}

impl BegunStreams {
    /// Starts without streams. `log` identifies this process's updates and is not 0.
    pub fn new(log: u64) -> BegunStreams {
        let updates = UpdateLog::new(log, MAX_STREAMS);
        BegunStreams { streams: HashMap::new(), oldest_first: VecDeque::new(), updates }
    }

    /// Number of streams that are remembered.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Records that this instance began a stream, or went on with it, at a version. `now_ms` is
    /// monotonic, as in all methods.
    pub fn record(&mut self, key: StreamKey, version: &Name, now_ms: u64) {
        self.learn(key, version, StreamOrigin::ThisInstance, now_ms);
    }

    /// Takes back what was recorded of a stream. Peers that were told keep it.
    pub fn forget(&mut self, key: StreamKey) {
        if self.streams.remove(&key).is_some() {
            self.oldest_first.retain(|it| *it != key);
        }
    }

    /// Version at which a stream began; `None` if it is not known or too long ago.
    pub fn version_of(&self, key: StreamKey, now_ms: u64) -> Option<&Name> {
        let stream = self.streams.get(&key)?;
        is_retained(stream, now_ms).then_some(&stream.version)
    }

    /// The streams that peers of a kind lack that received those before `position`, as many as a
    /// message may have.
    pub fn updates_since(
        &self,
        position: LogPosition,
        audience: StreamAudience,
        now_ms: u64,
    ) -> BegunStreamUpdates {
        let updates = self.updates.since_or_oldest(position);
        let mut next = updates.begin;
        let mut by_version: IndexMap<&Name, Vec<StreamKey>> = IndexMap::new();
        let mut count = 0;
        for update in updates.entries {
            if count == MAX_MESSAGE_STREAMS {
                break;
            }
            next.offset += 1;
            if update.origin > audience.farthest() {
                continue;
            }
            if let Some(version) = self.version_of(update.key, now_ms) {
                by_version.entry(version).or_default().push(update.key);
                count += 1;
            }
        }
        let of_version =
            |(version, streams): (&Name, _)| StreamsOfVersion { version: version.clone(), streams };
        BegunStreamUpdates { versions: by_version.into_iter().map(of_version).collect(), next }
    }

    /// Merges what a peer told. What was not known becomes an update for other peers.
    pub fn merge(&mut self, versions: Vec<StreamsOfVersion>, origin: StreamOrigin, now_ms: u64) {
        for StreamsOfVersion { version, streams } in versions {
            for key in streams {
                self.learn(key, &version, origin, now_ms);
            }
        }
    }

    /// Drops streams that began too long ago.
    pub fn expire(&mut self, now_ms: u64) {
        while let Some(key) = self.oldest_first.front() {
            if self.streams.get(key).is_some_and(|it| is_retained(it, now_ms)) {
                return;
            }
            self.drop_oldest();
        }
    }

    fn learn(&mut self, key: StreamKey, version: &Name, origin: StreamOrigin, now_ms: u64) {
        match self.streams.get_mut(&key) {
            // A member tells its new hub what the hub before it may not have passed on.
            Some(known) if origin < known.origin => known.origin = origin,
            Some(_) => return,
            None => {
                if self.streams.len() >= MAX_STREAMS {
                    self.drop_oldest();
                }
                let stream = Stream { version: version.clone(), origin, learned_ms: now_ms };
                self.streams.insert(key, stream);
                self.oldest_first.push_back(key);
            }
        }
        self.updates.extend([Update { key, origin }]);
    }

    fn drop_oldest(&mut self) {
        if let Some(key) = self.oldest_first.pop_front() {
            self.streams.remove(&key);
        }
    }
}

fn is_retained(stream: &Stream, now_ms: u64) -> bool {
    now_ms.saturating_sub(stream.learned_ms) < STREAM_RETENTION_MS
}

//! State and stored responses of the requests whose idempotency keys this process owns.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    Name, Reason,
    key::{KeyId, RequestDigest},
};

/// Bytes charged for a stored response on top of its headers and body.
const RESPONSE_OVERHEAD_BYTES: usize = 256;

/// A complete response, stored to answer later requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers, in the order received.
    pub headers: Vec<(Name, Arc<[u8]>)>,
    /// The whole body.
    pub body: Arc<[u8]>,
}

impl StoredResponse {
    fn cost_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.0.len() + it.1.len()).sum();
        RESPONSE_OVERHEAD_BYTES + headers + self.body.len()
    }
}

/// State of a key's request. The transitions are
/// `Reserved → Waiting → Running → Answered | OutcomeUnknown`, `Reserved | Waiting → Refused` and,
/// if no byte reached an endpoint or the endpoint refused to run the request,
/// `Running → Waiting`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// The key has an entry, but no request has arrived yet.
    Reserved,
    /// The request waits for dispatch.
    Waiting,
    /// Bytes of the request may have reached an endpoint.
    Running,
    /// The request ran. The response is `None` once it was evicted to make room.
    Answered(Option<Arc<StoredResponse>>),
    /// The request did not run, and no later request with the key will.
    Refused(Reason),
    /// It is unknown whether the request ran.
    OutcomeUnknown(Reason),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: KeyState,
    digest: Option<RequestDigest>,
    expires_unix_ms: u64,
}

/// Result of [`KeyTable::reserve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The key now has an entry.
    Reserved,
    /// The key had an entry already.
    AlreadyPresent,
    /// The table has no room for another key.
    Full,
    /// The key has expired.
    Expired,
}

/// What to do with a request, as [`KeyTable::submit`] decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Dispatch it. Only one submitted request of a key gets this answer.
    Run,
    /// Another request with the key is in progress: wait for a change of its state.
    Wait,
    /// Respond with this stored response.
    Replay(Arc<StoredResponse>),
    /// Report that it did not run.
    NotRun(Reason),
    /// Report that it may have run.
    Unknown(Reason),
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it, to one endpoint.
    Proceed,
    /// Do not send it: it is being sent already, or has ended, or its key has expired.
    Abort,
}

/// The idempotency keys that one process owns. An entry stays until its key expires, so that no
/// key is forgotten while a request with it would still be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyTable {
    max_keys: usize,
    max_response_bytes: usize,
    entries: BTreeMap<KeyId, Entry>,
    by_expiry: BTreeSet<(u64, KeyId)>,
    /// Keys with stored responses, oldest first.
    answered: VecDeque<KeyId>,
    /// Size of the stored responses, at most `max_response_bytes`.
    response_bytes: usize,
    /// The latest time seen, so that a clock that steps back does not revive an expired key.
    now_unix_ms: u64,
}

impl KeyTable {
    /// Creates an empty table with room for the given number of keys and bytes of responses.
    pub fn new(max_keys: usize, max_response_bytes: usize) -> KeyTable {
        KeyTable {
            max_keys,
            max_response_bytes,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            answered: VecDeque::new(),
            response_bytes: 0,
            now_unix_ms: 0,
        }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of the stored responses, in bytes.
    pub fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    /// State of a key's request; `None` if the table has no entry for the key.
    pub fn state(&self, key: KeyId) -> Option<&KeyState> {
        self.entries.get(&key).map(|it| &it.state)
    }

    /// Adds an entry for a key, before the key is claimed or issued as a ticket.
    pub fn reserve(&mut self, key: KeyId, expires_unix_ms: u64, now_unix_ms: u64) -> Reservation {
        self.advance(now_unix_ms);
        if self.entries.contains_key(&key) {
            return Reservation::AlreadyPresent;
        }
        if expires_unix_ms < self.now_unix_ms {
            return Reservation::Expired;
        }
        if self.entries.len() >= self.max_keys {
            return Reservation::Full;
        }
        let entry = Entry { state: KeyState::Reserved, digest: None, expires_unix_ms };
        self.entries.insert(key, entry);
        self.by_expiry.insert((expires_unix_ms, key));
        Reservation::Reserved
    }

    /// Removes the entry of a key that another process won, if no request was submitted yet.
    pub fn release(&mut self, key: KeyId) {
        let reserved = self.entries.get(&key).filter(|it| it.state == KeyState::Reserved);
        if let Some(expires_unix_ms) = reserved.map(|it| it.expires_unix_ms) {
            self.entries.remove(&key);
            self.by_expiry.remove(&(expires_unix_ms, key));
        }
    }

    /// Submits a request with a key that this process owns.
    pub fn submit(&mut self, key: KeyId, digest: RequestDigest, now_unix_ms: u64) -> RequestAction {
        self.advance(now_unix_ms);
        let Some(entry) = self.entries.get_mut(&key) else {
            return RequestAction::Unknown(Reason::KeyExpired);
        };
        if *entry.digest.get_or_insert(digest) != digest {
            return RequestAction::Unknown(Reason::KeyReused);
        }
        match &entry.state {
            KeyState::Reserved => {
                entry.state = KeyState::Waiting;
                RequestAction::Run
            }
            KeyState::Waiting | KeyState::Running => RequestAction::Wait,
            KeyState::Answered(Some(response)) => RequestAction::Replay(response.clone()),
            KeyState::Answered(None) => RequestAction::Unknown(Reason::AnswerNotKept),
            KeyState::Refused(reason) => RequestAction::NotRun(*reason),
            KeyState::OutcomeUnknown(reason) => RequestAction::Unknown(*reason),
        }
    }

    /// Must be called immediately before the first byte is sent to an endpoint.
    pub fn begin_dispatch(&mut self, key: KeyId) -> DispatchDecision {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.state == KeyState::Waiting => {
                entry.state = KeyState::Running;
                DispatchDecision::Proceed
            }
            _ => DispatchDecision::Abort,
        }
    }

    /// Returns a running request to the waiting state: no byte of it reached the endpoint, or the
    /// endpoint refused to run it.
    pub fn cancel_dispatch(&mut self, key: KeyId) {
        self.transition(key, |state| match state {
            KeyState::Running => KeyState::Waiting,
            other => other,
        });
    }

    /// Marks a request as refused, or its outcome as unknown if it may have run. The caller must
    /// be told what [`KeyTable::submit`] returns afterwards.
    pub fn refuse(&mut self, key: KeyId, reason: Reason) {
        self.transition(key, |state| match state {
            KeyState::Reserved | KeyState::Waiting => KeyState::Refused(reason),
            KeyState::Running => KeyState::OutcomeUnknown(reason),
            other => other,
        });
    }

    /// Marks the outcome of a running request as unknown, because no response will come.
    pub fn mark_outcome_unknown(&mut self, key: KeyId, reason: Reason) {
        self.transition(key, |state| match state {
            KeyState::Running => KeyState::OutcomeUnknown(reason),
            other => other,
        });
    }

    /// Stores the complete response of a running request, and evicts the oldest responses beyond
    /// the size limit.
    pub fn complete(&mut self, key: KeyId, response: Arc<StoredResponse>) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.state != KeyState::Running {
            return;
        }
        self.response_bytes += response.cost_bytes();
        entry.state = KeyState::Answered(Some(response));
        self.answered.push_back(key);
        while self.response_bytes > self.max_response_bytes {
            let Some(oldest) = self.answered.pop_front() else { return };
            self.drop_response(oldest);
        }
    }

    fn transition(&mut self, key: KeyId, next: impl Fn(KeyState) -> KeyState) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = next(entry.state.clone());
        }
    }

    fn drop_response(&mut self, key: KeyId) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let KeyState::Answered(stored) = &mut entry.state
            && let Some(response) = stored.take()
        {
            self.response_bytes -= response.cost_bytes();
        }
    }

    /// Removes expired keys. Requests that still wait for one can only be told that theirs may
    /// have run.
    fn advance(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = self.now_unix_ms.max(now_unix_ms);
        while let Some((expires_unix_ms, key)) = self.by_expiry.first().copied() {
            if expires_unix_ms >= self.now_unix_ms {
                return;
            }
            self.by_expiry.pop_first();
            self.drop_response(key);
            self.entries.remove(&key);
            self.answered.retain(|it| *it != key);
        }
    }
}

//! What became of the requests whose keys this process owns.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use crate::{
    Name, Reason,
    key::{KeyId, RequestDigest},
};

/// Bytes a kept answer costs besides its body.
const ANSWER_OVERHEAD_BYTES: usize = 256;

/// A whole answer, kept for those who ask again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers, in order.
    pub headers: Vec<(Name, Arc<[u8]>)>,
    /// Body.
    pub body: Arc<[u8]>,
}

impl StoredResponse {
    fn cost_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|it| it.0.len() + it.1.len()).sum();
        ANSWER_OVERHEAD_BYTES + headers + self.body.len()
    }
}

/// Where a key's request stands. The legal steps are
/// `Reserved → Waiting → Running → Answered | Lost`, `Reserved | Waiting → Refused` and,
/// if no byte reached an endpoint or it refused before running, `Running → Waiting`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// Room is kept; no request came yet.
    Reserved,
    /// A request waits to be dispatched.
    Waiting,
    /// Bytes may have reached an endpoint.
    Running,
    /// It ran; the answer is kept, or was dropped for want of room.
    Answered(Option<Arc<StoredResponse>>),
    /// It did not run, and no later request with the key will.
    Refused(Reason),
    /// It may have run, and nobody can tell.
    OutcomeUnknown(Reason),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    state: KeyState,
    digest: Option<RequestDigest>,
    expires_unix_ms: u64,
}

/// Whether room was kept for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It was, now.
    Reserved,
    /// It was, before.
    AlreadyPresent,
    /// The table is full.
    Full,
    /// The key has expired.
    Expired,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Dispatch it; the caller of this function alone may.
    Run,
    /// Another request with the key is under way: wait for what becomes of it.
    Wait,
    /// Give this answer.
    Replay(Arc<StoredResponse>),
    /// Say that it did not run.
    NotRun(Reason),
    /// Say that it may have run.
    Unknown(Reason),
}

/// Whether a request may be sent to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it, once.
    Proceed,
    /// It was refused, answered or lost meanwhile, or it is being sent already.
    Abort,
}

/// The keys of one process. An entry stays until its key expires, so that no key is
/// forgotten while a request with it would still be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyTable {
    max_keys: usize,
    max_answer_bytes: usize,
    entries: BTreeMap<KeyId, Entry>,
    by_expiry: BTreeSet<(u64, KeyId)>,
    /// Keys with kept answers, oldest first.
    answered: VecDeque<KeyId>,
    /// At most `max_answer_bytes`.
    answer_bytes: usize,
    /// The latest time seen. A clock that steps back revives no key.
    now_unix_ms: u64,
}

impl KeyTable {
    /// An empty table with room for that many keys and bytes of answers.
    pub fn new(max_keys: usize, max_answer_bytes: usize) -> KeyTable {
        KeyTable {
            max_keys,
            max_answer_bytes,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            answered: VecDeque::new(),
            answer_bytes: 0,
            now_unix_ms: 0,
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no keys are held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answers held.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Where a key's request stands; nothing if the table has never heard of it.
    pub fn state(&self, key: KeyId) -> Option<&KeyState> {
        self.entries.get(&key).map(|it| &it.state)
    }

    /// Keeps room for a key, before it is claimed or given out.
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

    /// Gives room back for a key that another process won.
    pub fn release(&mut self, key: KeyId) {
        let reserved = self.entries.get(&key).filter(|it| it.state == KeyState::Reserved);
        if let Some(expires_unix_ms) = reserved.map(|it| it.expires_unix_ms) {
            self.entries.remove(&key);
            self.by_expiry.remove(&(expires_unix_ms, key));
        }
    }

    /// Takes a request with a key that this process owns.
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
            KeyState::Answered(Some(answer)) => RequestAction::Replay(answer.clone()),
            KeyState::Answered(None) => RequestAction::Unknown(Reason::AnswerNotKept),
            KeyState::Refused(reason) => RequestAction::NotRun(*reason),
            KeyState::OutcomeUnknown(reason) => RequestAction::Unknown(*reason),
        }
    }

    /// To be asked immediately before the first byte goes to an endpoint.
    pub fn begin_dispatch(&mut self, key: KeyId) -> DispatchDecision {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.state == KeyState::Waiting => {
                entry.state = KeyState::Running;
                DispatchDecision::Proceed
            }
            _ => DispatchDecision::Abort,
        }
    }

    /// No byte reached the endpoint, or it refused before running.
    pub fn cancel_dispatch(&mut self, key: KeyId) {
        self.transition(key, |state| match state {
            KeyState::Running => KeyState::Waiting,
            other => other,
        });
    }

    /// The request will not be run. If it may have, it counts as lost instead; the
    /// caller is to be told what [`KeyTable::submit`] then says.
    pub fn refuse(&mut self, key: KeyId, reason: Reason) {
        self.transition(key, |state| match state {
            KeyState::Reserved | KeyState::Waiting => KeyState::Refused(reason),
            KeyState::Running => KeyState::OutcomeUnknown(reason),
            other => other,
        });
    }

    /// The request ran, or may have, and its answer will not come.
    pub fn mark_outcome_unknown(&mut self, key: KeyId, reason: Reason) {
        self.transition(key, |state| match state {
            KeyState::Running => KeyState::OutcomeUnknown(reason),
            other => other,
        });
    }

    /// The whole answer came.
    pub fn complete(&mut self, key: KeyId, answer: Arc<StoredResponse>) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if entry.state != KeyState::Running {
            return;
        }
        self.answer_bytes += answer.cost_bytes();
        entry.state = KeyState::Answered(Some(answer));
        self.answered.push_back(key);
        while self.answer_bytes > self.max_answer_bytes {
            let Some(oldest) = self.answered.pop_front() else { return };
            self.drop_answer(oldest);
        }
    }

    fn transition(&mut self, key: KeyId, next: impl Fn(KeyState) -> KeyState) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = next(entry.state.clone());
        }
    }

    fn drop_answer(&mut self, key: KeyId) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        if let KeyState::Answered(kept) = &mut entry.state
            && let Some(answer) = kept.take()
        {
            self.answer_bytes -= answer.cost_bytes();
        }
    }

    /// Forgets what has expired; who still waits for it can only be told that it may have run.
    fn advance(&mut self, now_unix_ms: u64) {
        self.now_unix_ms = self.now_unix_ms.max(now_unix_ms);
        while let Some((expires_unix_ms, key)) = self.by_expiry.first().copied() {
            if expires_unix_ms >= self.now_unix_ms {
                return;
            }
            self.by_expiry.pop_first();
            self.drop_answer(key);
            self.entries.remove(&key);
            self.answered.retain(|it| *it != key);
        }
    }
}

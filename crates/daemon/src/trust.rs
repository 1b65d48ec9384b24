//! What an instance seals and opens messages with.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Mutex, PoisonError, RwLock},
    time::SystemTime,
};

use metrics::counter;
use tanagergauge_core::Name;

use crate::{
    clock::unix_ms,
    keyring::{KeyRing, KeyRingError, Rights},
    replay::ReplayGuard,
    seal::{Direction, Nonce, Opened, Route, SealError, Sealed, Stamp},
};

/// Keys, and the memory of what was received.
#[derive(Debug)]
pub struct Trust {
    name: Name,
    rights: Rights,
    ring: RwLock<KeyRing>,
    guard: Mutex<ReplayGuard>,
}

/// A file of keys that is read again when it changes.
#[derive(Debug)]
pub struct KeyFile {
    path: PathBuf,
    modified: Option<SystemTime>,
}

impl Trust {
    /// The trust of an instance, or of an operator if `rights` are [`Rights::Read`].
    pub fn new(name: Name, rights: Rights, ring: KeyRing) -> Trust {
        let guard = Mutex::new(ReplayGuard::new(unix_ms()));
        Trust { name, rights, ring: RwLock::new(ring), guard }
    }

    /// Takes keys in place of those so far.
    pub fn replace(&self, ring: KeyRing) {
        *self.ring.write().unwrap_or_else(PoisonError::into_inner) = ring;
    }

    /// Seals a message.
    ///
    /// # Errors
    /// No key is valid now.
    pub fn seal(
        &self,
        route: Route<'_>,
        nonce: Nonce,
        payload: &[u8],
    ) -> Result<Sealed, SealError> {
        let now_unix_ms = unix_ms();
        let ring = self.ring.read().unwrap_or_else(PoisonError::into_inner);
        let key = ring.sealing(self.rights, now_unix_ms).ok_or(SealError::NoKey)?;
        let stamp = Stamp { from: &self.name, now_unix_ms, nonce };
        Ok(Sealed::new(key, stamp, route, payload))
    }

    /// Seals an answer with the key of the question, which its sender is known to have.
    ///
    /// # Errors
    /// That key is no longer known or valid.
    pub fn seal_answer(
        &self,
        route: Route<'_>,
        question: &Sealed,
        nonce: Nonce,
        payload: &[u8],
    ) -> Result<Sealed, SealError> {
        let now_unix_ms = unix_ms();
        let ring = self.ring.read().unwrap_or_else(PoisonError::into_inner);
        let key = ring.get(&question.key_id).filter(|it| it.is_valid(now_unix_ms));
        let key = key.ok_or(SealError::NoKey)?;
        let stamp = Stamp { from: &self.name, now_unix_ms, nonce };
        Ok(Sealed::new(key, stamp, route, payload))
    }

    /// Opens a question, once.
    ///
    /// # Errors
    /// It is not what a holder of sufficient rights sent to this instance just now.
    pub fn open_question(
        &self,
        sealed: &Sealed,
        method: &str,
        own: SocketAddr,
        needed: Rights,
    ) -> Result<Opened, SealError> {
        let opened = self.open_question_uncounted(sealed, method, own, needed);
        if let Err(error) = opened {
            let reason: &'static str = error.into();
            counter!("tanagergauge_control_refusals_total", "reason" => reason).increment(1);
        }
        opened
    }

    /// Opens the answer to a question with this nonce.
    ///
    /// # Errors
    /// It is not the answer that the asked instance gave just now.
    pub fn open_answer(
        &self,
        sealed: &Sealed,
        method: &str,
        asked: SocketAddr,
        nonce: Nonce,
    ) -> Result<Vec<u8>, SealError> {
        let route = Route { direction: Direction::Answer, method, asked };
        let ring = self.ring.read().unwrap_or_else(PoisonError::into_inner);
        let opened = sealed.open(&ring, route, unix_ms())?;
        if opened.nonce == nonce { Ok(opened.payload) } else { Err(SealError::Replayed) }
    }

    fn open_question_uncounted(
        &self,
        sealed: &Sealed,
        method: &str,
        own: SocketAddr,
        needed: Rights,
    ) -> Result<Opened, SealError> {
        let now_unix_ms = unix_ms();
        let route = Route { direction: Direction::Question, method, asked: own };
        let ring = self.ring.read().unwrap_or_else(PoisonError::into_inner);
        let opened = sealed.open(&ring, route, now_unix_ms)?;
        drop(ring);
        if opened.rights < needed {
            return Err(SealError::NotAllowed);
        }
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.admit(opened.nonce, opened.sent_unix_ms, now_unix_ms)?;
        Ok(opened)
    }
}

impl KeyFile {
    /// A file that has not been read yet.
    pub fn new(path: PathBuf) -> KeyFile {
        KeyFile { path, modified: None }
    }

    /// The keys, if the file changed since it was last read.
    ///
    /// # Errors
    /// It changed and cannot be used; the keys in use stay.
    pub fn read_changed(&mut self) -> Result<Option<KeyRing>, KeyRingError> {
        let metadata = std::fs::metadata(&self.path).map_err(KeyRingError::Read)?;
        let modified = metadata.modified().ok();
        if modified.is_some() && modified == self.modified {
            return Ok(None);
        }
        let ring = KeyRing::load(&self.path)?;
        self.modified = modified;
        Ok(Some(ring))
    }
}

//! Idempotency keys of an instance: who owns them, and what became of those it owns.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use ractor::{Actor, ActorRef};
use tanagergauge_core::{
    Name, Reason,
    claim::{Claim, ClaimStatus},
    key::{KeyAge, KeyId, KeyLimits, RequestDigest, uuid_unix_ms},
    key_table::{KeyTable, Reservation},
    owner::Owner,
    ticket::{MAC_BYTES, Ticket, TicketError},
};
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};

use crate::{
    claimer::{self, Claimer},
    clock::unix_ms,
    fleet::Fleet,
    fleet_view::FleetView,
    idempotency::IdempotencySettings,
    instance::StartError,
    meter::Meter,
    platform::Platform,
    refusal::Refusal,
    rpc::RpcClient,
    shared::Shared,
    work::Work,
};

/// When to come again for a ticket, or after the log failed, in milliseconds.
const RETRY_MS: u64 = 1000;

/// Idempotency keys of an instance.
#[derive(Debug)]
pub struct Keys {
    /// This process.
    pub owner: Owner,
    /// What is known of the fleet.
    pub fleet: watch::Receiver<Arc<FleetView>>,
    /// Calls other owners.
    pub rpc: Arc<RpcClient>,
    settings: IdempotencySettings,
    limits: KeyLimits,
    /// Never leaves the process: only the issuer checks a ticket.
    mac_key: [u8; blake3::KEY_LEN],
    serial: AtomicU64,
    /// When the tickets of each account end, in milliseconds of Unix time, oldest first.
    tickets: Mutex<HashMap<Name, VecDeque<u64>>>,
    table: Mutex<KeyTable>,
    changed: watch::Sender<()>,
    claimers: Vec<ActorRef<claimer::Message>>,
}

/// A request with its key.
#[derive(Clone, Debug)]
pub struct Keyed {
    /// The key, for this account.
    pub id: KeyId,
    /// What the request asks for.
    pub digest: RequestDigest,
    key: Key,
}

#[derive(Clone, Debug)]
enum Key {
    Ticket(Vec<u8>, Ticket),
    Timed { unix_ms: u64 },
}

/// Who may run a request.
#[derive(Clone, Debug)]
pub enum Place {
    /// This process.
    Here,
    /// Another one.
    At(Owner),
}

/// A ticket for a caller.
#[derive(Clone, Debug)]
pub struct GivenTicket {
    /// What to send as `Idempotency-Key`.
    pub text: String,
    /// When it ends, in milliseconds of Unix time.
    pub expires_unix_ms: u64,
}

impl Keyed {
    /// Reads the key of a request that may not be repeated.
    ///
    /// # Errors
    /// The key is neither a ticket nor a UUID of version 7, so that it never ran anywhere.
    pub fn new(work: &Work) -> Result<Keyed, Refusal> {
        let missing = || Refusal::not_run(Reason::KeyMissing, "Idempotency-Key is required");
        let text = work.caller.key.as_ref().ok_or_else(missing)?;
        let key = Key::parse(text).ok_or_else(|| {
            let message = "Idempotency-Key is neither a ticket nor a UUID of version 7";
            Refusal::not_run(Reason::KeyMalformed, message)
        })?;
        let call = &work.call;
        let class = &work.caller.class.class.name;
        let target = format!("{} {}", work.target.name, call.uri);
        Ok(Keyed {
            id: KeyId::new(&work.caller.account, text),
            digest: RequestDigest::new(class, call.method.as_str(), &target, &call.body),
            key,
        })
    }
}

impl Key {
    fn parse(text: &str) -> Option<Key> {
        if let Some(unix_ms) = uuid_unix_ms(text) {
            return Some(Key::Timed { unix_ms });
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).ok()?;
        let ticket = Ticket::decode_unverified(&bytes).ok()?;
        Some(Key::Ticket(bytes, ticket))
    }
}

/// Starts what keys need.
///
/// # Errors
/// A part did not start.
pub async fn start(
    shared: &Arc<Shared>,
    fleet: &Fleet,
    meter: &Arc<Meter>,
) -> Result<(), StartError> {
    let settings = shared.settings.idempotency;
    let owner = Owner { instance: shared.settings.instance.clone(), incarnation: rand::random() };
    let mut claimers = Vec::new();
    for partition in 0..settings.partitions {
        let arguments = claimer::Arguments {
            partition,
            platform: Platform::metered(shared.settings.platform.log, Arc::clone(meter)),
            owner: owner.clone(),
            limits: settings.limits(),
            spacing_ms: settings.append_spacing_ms,
            clock: shared.clock,
        };
        let started = Actor::spawn(None, Claimer, arguments).await;
        claimers.push(started.map_err(|_| StartError::Part("claimer of keys"))?.0);
    }
    let keys = Keys {
        owner,
        fleet: fleet.view.clone(),
        rpc: Arc::clone(&fleet.rpc),
        settings,
        limits: settings.limits(),
        mac_key: rand::random(),
        serial: AtomicU64::new(0),
        tickets: Mutex::default(),
        table: Mutex::new(KeyTable::new(settings.table_keys, settings.answer_bytes)),
        changed: watch::Sender::new(()),
        claimers,
    };
    // It is set once, here.
    let _ = shared.keys.set(Arc::new(keys));
    Ok(())
}

impl Keys {
    /// The table of keys that this process owns.
    pub fn table(&self) -> MutexGuard<'_, KeyTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the table and wakes those who wait for a key.
    pub fn change(&self, change: impl FnOnce(&mut KeyTable)) {
        change(&mut self.table());
        self.changed.send_replace(());
    }

    /// Tells of changes of the table from now on.
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Gives an account a ticket.
    ///
    /// # Errors
    /// There is no room, or the account has too many.
    pub fn give_ticket(&self, account: &Name) -> Result<GivenTicket, Refusal> {
        let now_unix_ms = unix_ms();
        let expires_unix_ms = now_unix_ms + self.settings.ticket_life_ms;
        let full =
            |message| Refusal::not_run(Reason::KeyTableFull, message).retry_after_ms(RETRY_MS);
        let mut tickets = self.tickets.lock().unwrap_or_else(PoisonError::into_inner);
        let held = tickets.entry(account.clone()).or_default();
        while held.front().is_some_and(|it| *it < now_unix_ms) {
            held.pop_front();
        }
        if held.len() >= self.settings.tickets_per_account {
            return Err(full("the account holds as many tickets as it may"));
        }
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let account = account.clone();
        let ticket = Ticket { issuer: self.owner.clone(), account, expires_unix_ms, serial };
        let text = URL_SAFE_NO_PAD.encode(ticket.encode(|it| self.mac(it)));
        let id = KeyId::new(&ticket.account, &text);
        match self.table().reserve(id, expires_unix_ms, now_unix_ms) {
            Reservation::Reserved => held.push_back(expires_unix_ms),
            Reservation::AlreadyPresent | Reservation::Full | Reservation::Expired => {
                return Err(full("no more keys can be kept"));
            }
        }
        Ok(GivenTicket { text, expires_unix_ms })
    }

    /// Finds out who may run a request, and claims its key if need be.
    ///
    /// # Errors
    /// What the caller is told if nobody can run it now.
    pub async fn place(&self, keyed: &Keyed, work: &Work, now_ms: u64) -> Result<Place, Refusal> {
        match &keyed.key {
            Key::Ticket(bytes, ticket) => self.place_of_ticket(bytes, ticket, &work.caller.account),
            Key::Timed { unix_ms } => {
                let wait = Duration::from_millis(self.settings.claim_wait_ms);
                self.place_of_claim(keyed, *unix_ms, wait.min(work.time_left(now_ms))).await
            }
        }
    }

    fn place_of_ticket(
        &self,
        bytes: &[u8],
        ticket: &Ticket,
        account: &Name,
    ) -> Result<Place, Refusal> {
        if ticket.account != *account {
            let message = "the ticket was given to another client account";
            return Err(Refusal::not_run(Reason::KeyReused, message));
        }
        if ticket.issuer != self.owner {
            return Ok(Place::At(ticket.issuer.clone()));
        }
        match Ticket::decode(bytes, |it| self.mac(it)) {
            Ok(_) => Ok(Place::Here),
            Err(TicketError::Malformed | TicketError::BadMac) => {
                Err(Refusal::not_run(Reason::KeyMalformed, "the ticket is not genuine"))
            }
        }
    }

    async fn place_of_claim(
        &self,
        keyed: &Keyed,
        key_unix_ms: u64,
        wait: Duration,
    ) -> Result<Place, Refusal> {
        let now_unix_ms = unix_ms();
        check_age(self.limits.age(key_unix_ms, now_unix_ms))?;
        let expires_unix_ms = key_unix_ms + self.limits.max_age_ms;
        match self.table().reserve(keyed.id, expires_unix_ms, now_unix_ms) {
            Reservation::Reserved | Reservation::AlreadyPresent => {}
            Reservation::Full => {
                let refusal = Refusal::unknown(Reason::KeyTableFull, "no more keys can be kept");
                return Err(refusal.retry_after_ms(RETRY_MS));
            }
            Reservation::Expired => return Err(expired()),
        }
        let claim = Claim { key: keyed.id, key_unix_ms, digest: keyed.digest };
        let status = timeout(wait, self.claim(claim)).await.ok().flatten();
        match status {
            Some(ClaimStatus::Won(winner)) if *winner.owner == self.owner => Ok(Place::Here),
            Some(ClaimStatus::Uncertain(winner)) if *winner.owner == self.owner => Err(expired()),
            Some(ClaimStatus::Won(winner) | ClaimStatus::Uncertain(winner)) => {
                self.table().release(keyed.id);
                Ok(Place::At(winner.owner.as_ref().clone()))
            }
            Some(ClaimStatus::Unclaimed) | None => Err(unclaimed()),
        }
    }

    async fn claim(&self, claim: Claim) -> Option<ClaimStatus> {
        let partition = claim.key.partition(self.settings.partitions);
        let claimer = self.claimers.get(partition as usize)?;
        let (reply, status) = oneshot::channel();
        claimer.send_message(claimer::Message::Claim(claim, reply)).ok()?;
        status.await.ok()
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&blake3::keyed_hash(&self.mac_key, bytes).as_bytes()[..MAC_BYTES]);
        mac
    }
}

fn check_age(age: KeyAge) -> Result<(), Refusal> {
    match age {
        KeyAge::Valid => Ok(()),
        KeyAge::Expired => Err(expired()),
        KeyAge::PossiblyFromFuture => {
            let message = "the idempotency key lies in the future, but perhaps not elsewhere";
            Err(Refusal::unknown(Reason::KeyFromFuture, message))
        }
        KeyAge::FromFuture => {
            let message = "the idempotency key lies in the future";
            Err(Refusal::not_run(Reason::KeyFromFuture, message))
        }
    }
}

fn expired() -> Refusal {
    let message = "the idempotency key is older than claims are kept";
    Refusal::unknown(Reason::KeyExpired, message)
}

/// Another instance may have run the request earlier, or may own the key by now.
fn unclaimed() -> Refusal {
    let message = "the key could not be claimed; send it again, or send a ticket";
    Refusal::unknown(Reason::LogUnavailable, message).retry_after_ms(RETRY_MS)
}

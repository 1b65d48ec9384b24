//! Requests that may not be repeated: run by their key's owner, at most once.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue},
};
use tanagergauge_core::{
    Name, Outcome, Reason,
    key::KeyId,
    key_table::{DispatchDecision, RequestAction, StoredResponse},
};
use tokio::time::timeout;

use crate::{
    clock::unix_ms,
    exchange::{self, WholeAnswer},
    forward,
    keys::{Keyed, Keys, Place},
    refusal::Refusal,
    shared::Shared,
    work::Work,
};

/// How much longer than its deadline a caller waits for a request that another one started.
const GRACE: Duration = Duration::from_millis(200);

/// A request that this process runs. Dropping it unfinished leaves its outcome unknown.
#[derive(Debug)]
pub struct Hold {
    keys: Arc<Keys>,
    id: KeyId,
    is_finished: bool,
}

/// Runs a request at its key's owner.
///
/// # Errors
/// What the caller is told if there is no answer.
pub async fn run(shared: &Arc<Shared>, work: &Work) -> Result<WholeAnswer, Refusal> {
    let keys = shared.keys()?;
    let keyed = Keyed::new(work)?;
    match keys.place(&keyed, work, shared.clock.now_ms()).await? {
        Place::Here => here(shared, keys, work, &keyed).await,
        Place::At(owner) => forward::ask(shared, keys, work, &owner).await,
    }
}

/// Runs a request that another instance passed on; it is never passed on again.
///
/// # Errors
/// What the caller is told if there is no answer.
pub async fn run_forwarded(shared: &Arc<Shared>, work: &Work) -> Result<WholeAnswer, Refusal> {
    let keys = shared.keys()?;
    let keyed = Keyed::new(work)?;
    match keys.place(&keyed, work, shared.clock.now_ms()).await? {
        Place::Here => here(shared, keys, work, &keyed).await,
        Place::At(_) => {
            let message = "the key's owner says that it is another's";
            Err(Refusal::unknown(Reason::OwnerUnreachable, message))
        }
    }
}

/// Runs a request whose key this process owns, or waits for another request with the key.
async fn here(
    shared: &Arc<Shared>,
    keys: &Arc<Keys>,
    work: &Work,
    keyed: &Keyed,
) -> Result<WholeAnswer, Refusal> {
    let mut changes = keys.changes();
    loop {
        let action = keys.table().submit(keyed.id, keyed.digest, unix_ms());
        match action {
            RequestAction::Run => return start(shared, keys, work, keyed.id).await,
            RequestAction::Replay(answer) => return Ok(whole(&answer)),
            RequestAction::NotRun(reason) => {
                let message = "the key's request was refused and will not run; take a new key";
                return Err(Refusal::not_run(reason, message));
            }
            RequestAction::Unknown(reason) => {
                let message = format!("the key's request may have run ({reason})");
                return Err(Refusal::unknown(reason, message));
            }
            RequestAction::Wait => {}
        }
        let left = work.time_left(shared.clock.now_ms()) + GRACE;
        if timeout(left, changes.changed()).await.is_err() {
            let message = "another request with the key is still under way";
            return Err(Refusal::unknown(Reason::KeyInProgress, message));
        }
    }
}

/// Runs the request in a task of its own, which goes on if the caller leaves.
async fn start(
    shared: &Arc<Shared>,
    keys: &Arc<Keys>,
    work: &Work,
    id: KeyId,
) -> Result<WholeAnswer, Refusal> {
    let hold = Hold { keys: Arc::clone(keys), id, is_finished: false };
    let shared = Arc::clone(shared);
    let work = work.clone();
    let task = tokio::spawn(async move {
        let _in_progress = shared.progress.begin();
        let ended = exchange::run(&shared, &work, Some(&hold)).await;
        hold.finish(&ended);
        ended
    });
    task.await.unwrap_or_else(|_| {
        Err(Refusal::unknown(Reason::EndpointBroke, "the request broke off here"))
    })
}

impl Hold {
    /// To be asked immediately before the request is sent to an endpoint.
    ///
    /// # Errors
    /// It may not be sent.
    pub fn begin(&self) -> Result<(), Refusal> {
        match self.keys.table().begin_dispatch(self.id) {
            DispatchDecision::Proceed => Ok(()),
            DispatchDecision::Abort => {
                let message = "the key expired before the request was sent";
                Err(Refusal::unknown(Reason::KeyExpired, message))
            }
        }
    }

    /// No byte of the request reached the endpoint, or it refused before running.
    pub fn retract(&self) {
        self.keys.change(|table| table.cancel_dispatch(self.id));
    }

    fn finish(mut self, ended: &Result<WholeAnswer, Refusal>) {
        self.is_finished = true;
        self.keys.change(|table| match ended {
            Ok(answer) => table.complete(self.id, kept(answer)),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                table.refuse(self.id, refusal.reason);
            }
            Err(refusal) => table.mark_outcome_unknown(self.id, refusal.reason),
        });
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if !self.is_finished {
            self.keys.change(|table| table.mark_outcome_unknown(self.id, Reason::EndpointBroke));
        }
    }
}

fn kept(answer: &WholeAnswer) -> Arc<StoredResponse> {
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        (Name::from(name.as_str()), Arc::from(value.as_bytes()))
    };
    Arc::new(StoredResponse {
        status: answer.status.as_u16(),
        headers: answer.headers.iter().map(header).collect(),
        body: Arc::from(answer.body.as_ref()),
    })
}

fn whole(answer: &StoredResponse) -> WholeAnswer {
    let mut headers = HeaderMap::new();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    WholeAnswer {
        // It was a status when it was kept.
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        headers,
        body: Bytes::copy_from_slice(&answer.body),
        tokens: 0,
    }
}

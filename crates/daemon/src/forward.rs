//! Passes a request on to the process that owns its key.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, StatusCode, Uri,
    header::{HeaderName, HeaderValue},
};
use metrics::counter;
use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name, Outcome, Reason, owner::Owner, prefix_index::PrefixHashes, quarantine::Fingerprint,
    sheet::TargetKind,
};

use crate::{
    attempt::Call,
    caller::Caller,
    exchange::WholeAnswer,
    fingerprint,
    keys::Keys,
    once,
    refusal::Refusal,
    rpc::RpcError,
    shared::Shared,
    view::Target,
    work::{Content, Work},
};

/// Name of the method by which instances pass requests on.
pub const RUN: &str = "run";

/// Tries to reach an owner. Asking twice does no harm, since the owner knows the key.
const TRIES: u32 = 3;
/// Pause between tries.
const TRY_PAUSE: Duration = Duration::from_millis(50);
/// How much longer than the caller's deadline an owner's answer is waited for.
const GRACE: Duration = Duration::from_millis(400);

/// A request on its way to its key's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunQuestion {
    owner: Owner,
    request_id: Name,
    account: Name,
    class: Name,
    key: Name,
    kind: TargetKind,
    target: Name,
    method: String,
    uri: String,
    headers: Vec<HeaderLine>,
    body: Vec<u8>,
    fingerprint: [u8; 16],
    limit_tokens: Option<u32>,
    left_ms: u64,
}

/// One header.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeaderLine {
    name: String,
    value: Vec<u8>,
}

/// What the owner says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RunAnswer {
    /// The endpoint's whole answer.
    Answered {
        /// Status.
        status: u16,
        /// Headers.
        headers: Vec<HeaderLine>,
        /// Body.
        body: Vec<u8>,
    },
    /// What the caller is to be told.
    Refused {
        /// What became of the request.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// The reason in words.
        message: String,
        /// When to come again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

/// Asks the owner of a request's key to run it.
///
/// # Errors
/// What the owner says, or that it cannot be reached and nobody else can tell.
pub async fn ask(
    shared: &Shared,
    keys: &Keys,
    work: &Work,
    owner: &Owner,
) -> Result<WholeAnswer, Refusal> {
    counter!("tanagergauge_forwarded_total").increment(1);
    let address = address(keys, owner).ok_or_else(|| unreachable(owner))?;
    for number in 1..=TRIES {
        let left = work.time_left(shared.clock.now_ms());
        let question = RunQuestion::new(work, owner, left);
        let asked = keys.rpc.call(address, RUN, &question, left + GRACE).await;
        match asked {
            Ok(answer) => return RunAnswer::result(answer),
            Err(RpcError::Unreachable | RpcError::NoAnswer)
                if number < TRIES && !left.is_zero() =>
            {
                tokio::time::sleep(TRY_PAUSE).await;
            }
            Err(error) => {
                tracing::debug!(%error, %owner, "the owner of a key gave no answer");
                break;
            }
        }
    }
    Err(unreachable(owner))
}

/// Where the owner listens, if this process has heard of its instance.
fn address(keys: &Keys, owner: &Owner) -> Option<SocketAddr> {
    let fleet = keys.fleet.borrow();
    let is_us = owner.instance == keys.owner.instance;
    fleet.members.get(&owner.instance).filter(|_| !is_us).map(|it| it.control_address)
}

fn unreachable(owner: &Owner) -> Refusal {
    let message = format!("`{owner}` owns the key, may have run it, and cannot be reached");
    Refusal::unknown(Reason::OwnerUnreachable, message)
}

/// Runs a request for another instance.
pub async fn answer(shared: Arc<Shared>, question: RunQuestion) -> RunAnswer {
    let _in_progress = shared.progress.begin();
    match run(&shared, question).await {
        Ok(answer) => RunAnswer::Answered {
            status: answer.status.as_u16(),
            headers: lines(&answer.headers),
            body: answer.body.into(),
        },
        Err(it) => RunAnswer::Refused {
            outcome: it.outcome,
            reason: it.reason,
            message: it.message,
            retry_after_ms: it.retry_after_ms,
        },
    }
}

async fn run(shared: &Arc<Shared>, question: RunQuestion) -> Result<WholeAnswer, Refusal> {
    if shared.keys()?.owner != question.owner {
        return Err(unreachable(&question.owner));
    }
    let work = question.work(shared).ok_or_else(|| {
        let message = "the key's owner cannot read the request";
        Refusal::unknown(Reason::OwnerUnreachable, message)
    })?;
    once::run_forwarded(shared, &work).await
}

impl RunQuestion {
    fn new(work: &Work, owner: &Owner, left: Duration) -> RunQuestion {
        let call = &work.call;
        RunQuestion {
            owner: owner.clone(),
            request_id: call.request_id.clone(),
            account: work.caller.account.clone(),
            class: work.caller.class.class.name.clone(),
            key: work.caller.key.clone().unwrap_or_default(),
            kind: work.target.kind,
            target: work.target.name.clone(),
            method: call.method.to_string(),
            uri: call.uri.to_string(),
            headers: lines(&call.headers),
            body: call.body.to_vec(),
            fingerprint: work.content.fingerprints.request.bytes(),
            limit_tokens: work.content.limit_tokens,
            left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// The request as this instance sees it; nothing if its sheet has no such class.
    fn work(self, shared: &Shared) -> Option<Work> {
        let class = shared.view().ok()?.class(&self.class)?.clone();
        let call = Call {
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            uri: self.uri.parse::<Uri>().ok()?,
            headers: header_map(self.headers),
            body: Bytes::from(self.body),
            request_id: self.request_id,
            repeatable: false,
        };
        let deadline_ms = self.left_ms;
        let caller = Caller { account: self.account, class, deadline_ms, key: Some(self.key) };
        let target = Target { kind: self.kind, name: self.target };
        let request = Fingerprint::from_bytes(self.fingerprint);
        let content = Content {
            is_stream: false,
            limit_tokens: self.limit_tokens,
            prefix: PrefixHashes::default(),
            fingerprints: fingerprint::of_forwarded(request, &target.name, &call.body),
        };
        Some(Work { caller, target, call, content, arrived_ms: shared.clock.now_ms() })
    }
}

impl RunAnswer {
    fn result(self) -> Result<WholeAnswer, Refusal> {
        match self {
            RunAnswer::Answered { status, headers, body } => Ok(WholeAnswer {
                status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
                headers: header_map(headers),
                body: Bytes::from(body),
                tokens: 0,
            }),
            RunAnswer::Refused { outcome, reason, message, retry_after_ms } => {
                Err(Refusal { outcome, reason, message, retry_after_ms })
            }
        }
    }
}

fn lines(map: &HeaderMap) -> Vec<HeaderLine> {
    let line = |(name, value): (&HeaderName, &HeaderValue)| HeaderLine {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    map.iter().map(line).collect()
}

fn header_map(lines: Vec<HeaderLine>) -> HeaderMap {
    let mut map = HeaderMap::new();
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&line.value)) {
            map.append(name, value);
        }
    }
    map
}

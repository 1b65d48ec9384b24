//! Streams that their callers take up again after they broke off.
//!
//! What servers of two software versions write does not fit together, so that a stream goes on only at
//! the version that began it. That version is known from the attempt that the caller names, or because no
//! other was in service for as long as the stream can be old.

use std::{sync::Arc, time::Duration};

use hyper::HeaderMap;
use tanagergauge_core::{
    Name, Reason,
    begun_streams::StreamKey,
    routing::{RetrySafety, Route},
    version_history::{SoleVersion, VersionHistory},
};
use tokio::time::{Instant, sleep};

use crate::{
    clock, gateway::Gateway, header_names::HeaderNames, progress::SHORT_RETRY_MS, request::Request,
    response::Refusal,
};

/// Longest wait for a list of endpoints that is younger than a request.
const MAX_LIST_WAIT: Duration = Duration::from_millis(800);
/// Interval at which the list is looked at meanwhile.
const LIST_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a caller says of the stream that it takes up.
#[derive(Clone, Debug)]
pub(crate) struct TakeUp {
    /// Id of the attempt that brought the stream's first event; `None` if the caller does not name one.
    pub(crate) resumes: Option<Name>,
}

/// How it is known which software version has to continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum VersionSource {
    /// The attempt that the caller names is known.
    Known,
    /// No other version can have begun the stream.
    OnlyVersion,
    /// It is not known.
    Unknown,
}

/// At which software version a request may run.
#[derive(Clone, Debug)]
pub(crate) enum VersionChoice {
    /// At any: the request begins a stream, or brings none.
    Any,
    /// Only at this one, which began the stream.
    Required { version: Name, source: VersionSource },
    /// It is not known which version began the stream.
    Unknown {
        /// An instance may tell it soon.
        may_become_known: bool,
    },
}

impl TakeUp {
    /// Reads the headers of a request. `None` if it asks for all events, from the first on, or if the
    /// route's streams may not be resumed.
    pub(crate) fn read(headers: &HeaderMap, names: &HeaderNames, route: &Route) -> Option<TakeUp> {
        let has_events = headers.get_all(&names.last_event_id).iter().any(|it| !it.is_empty());
        let is_take_up = has_events && route.retry_safety == RetrySafety::ResumableStream;
        is_take_up.then(|| TakeUp { resumes: read_resumes(headers, names) })
    }
}

/// Id of the event after which a request takes its stream up; `None` if it takes up none, or names several.
pub(crate) fn last_event_id<'r>(request: &'r Request, names: &HeaderNames) -> Option<&'r [u8]> {
    request.take_up.as_ref()?;
    let mut values = request.headers.get_all(&names.last_event_id).iter();
    let id = values.next()?;
    values.next().is_none().then(|| id.as_bytes())
}

/// Id of the attempt that a request resumes; `None` if it names none, or several.
fn read_resumes(headers: &HeaderMap, names: &HeaderNames) -> Option<Name> {
    let mut values = headers.get_all(&names.resumes).iter();
    let id = values.next()?.to_str().ok()?.trim();
    (!id.is_empty() && values.next().is_none()).then(|| Name::from(id))
}

/// What is known so far of the version at which a request may run.
enum Finding {
    /// This does not change.
    Final(VersionChoice),
    /// More is known soon; until then this holds.
    Waiting(VersionChoice),
}

/// Finds out at which software version a request may run. Where one version alone is known, it waits for a
/// list of endpoints that is younger than the request, as the stream may have begun at a newer version of
/// which this instance has not heard.
pub(crate) async fn choose_version(gateway: &Gateway, request: &Request) -> VersionChoice {
    let Some(take_up) = &request.take_up else { return VersionChoice::Any };
    let asked_ms = clock::now_ms();
    let wait_end = request.deadline.min(Instant::now() + MAX_LIST_WAIT);
    loop {
        match find_version(gateway, request, take_up, asked_ms) {
            Finding::Final(choice) => return choice,
            Finding::Waiting(choice) if Instant::now() >= wait_end => return choice,
            Finding::Waiting(_) => {
                gateway.list_wanted.notify_one();
                sleep(LIST_CHECK_INTERVAL).await;
            }
        }
    }
}

fn find_version(gateway: &Gateway, request: &Request, take_up: &TakeUp, asked_ms: u64) -> Finding {
    let now_ms = clock::now_ms();
    if let Some(resumes) = &take_up.resumes {
        let key = stream_key(request, resumes);
        if let Some(version) = gateway.begun_streams().version_of(key, now_ms).cloned() {
            let source = VersionSource::Known;
            return Finding::Final(VersionChoice::Required { version, source });
        }
    }
    let list_age_ms = gateway.endpoints_age_ms();
    let history = gateway.version_history();
    let unknown = VersionChoice::Unknown { may_become_known: true };
    match history.sole_version(&request.service, list_age_ms, now_ms) {
        SoleVersion::One(version)
            if VersionHistory::is_confirmed_since(list_age_ms, asked_ms, now_ms) =>
        {
            let source = VersionSource::OnlyVersion;
            Finding::Final(VersionChoice::Required { version, source })
        }
        SoleVersion::One(_) => Finding::Waiting(unknown),
        SoleVersion::Several => {
            let may_become_known = take_up.resumes.is_some();
            Finding::Final(VersionChoice::Unknown { may_become_known })
        }
        SoleVersion::Unknown if history.is_loading() => Finding::Waiting(unknown),
        SoleVersion::Unknown => Finding::Final(unknown),
    }
}

/// The refusal of a stream of which it is not known which software version began it. Without a delay the
/// caller has to begin anew.
pub(crate) fn unknown_version_refusal(may_become_known: bool) -> Refusal {
    let refusal = Refusal::not_run(Reason::UnknownVersion);
    if may_become_known { refusal.retry_after_ms(SHORT_RETRY_MS) } else { refusal }
}

/// Records at which software version a stream began or goes on, under the ids of this attempt and of the
/// one that it resumes.
pub(crate) fn record_begun(gateway: &Arc<Gateway>, request: &Request, version: &Name) {
    let resumes = request.take_up.as_ref().and_then(|it| it.resumes.as_ref());
    let now_ms = clock::now_ms();
    for id in [&request.id].into_iter().chain(resumes) {
        gateway.begun_streams().record(stream_key(request, id), version, now_ms);
    }
}

/// Takes back what [`record_begun`] recorded. Peers that were told keep it.
pub(crate) fn forget_begun(gateway: &Gateway, request: &Request) {
    let resumes = request.take_up.as_ref().and_then(|it| it.resumes.as_ref());
    for id in [&request.id].into_iter().chain(resumes) {
        gateway.begun_streams().forget(stream_key(request, id));
    }
}

fn stream_key(request: &Request, id: &str) -> StreamKey {
    let account = request.account.as_ref().map_or("", |it| &*it.name);
    StreamKey::new(account, &request.service, id)
}

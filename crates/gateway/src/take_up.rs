//! Streams that their callers take up again after they broke off.

use hyper::HeaderMap;
use tanagergauge_core::{
    Name,
    routing::{RetrySafety, Route},
};

use crate::header_names::HeaderNames;

/// What a caller says of the stream that it takes up.
#[derive(Clone, Debug)]
pub(crate) struct TakeUp {
    /// Id of the attempt that brought the stream's first event; `None` if the caller does not name one.
    pub(crate) resumes: Option<Name>,
}

impl TakeUp {
    /// Reads the headers of a request; `None` if it begins a stream, or if its route has none that may be
    /// resumed.
    pub(crate) fn read(headers: &HeaderMap, names: &HeaderNames, route: &Route) -> Option<TakeUp> {
        if route.retry_safety != RetrySafety::ResumableStream {
            return None;
        }
        let has_events = headers.get_all(&names.last_event_id).iter().any(|it| !it.is_empty());
        let resumes = read_resumes(headers, names);
        (has_events || resumes.is_some()).then_some(TakeUp { resumes })
    }
}

/// Id of the attempt that a request resumes; `None` if it names none, or several.
fn read_resumes(headers: &HeaderMap, names: &HeaderNames) -> Option<Name> {
    let mut values = headers.get_all(&names.resumes).iter();
    let id = values.next()?.to_str().ok()?.trim();
    (!id.is_empty() && values.next().is_none()).then(|| Name::from(id))
}

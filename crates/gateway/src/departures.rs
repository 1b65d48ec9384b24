//! Endpoints that are about to be taken away, and when their streams are moved to others.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tanagergauge_core::{Name, selection::SelectedEndpoint};
use tokio::time::Instant;

use crate::request::{Request, fraction, uniform_hash};

/// Part of the time that an endpoint has left after which the first stream is moved; earlier ones may still
/// end there. The notice is known later than it was given, so that less time is left than it says.
const FIRST_MOVE: f64 = 0.2;
/// Part of that time over which the moves are spread, so that not all streams begin elsewhere at once.
const MOVE_SPREAD: f64 = 0.4;

/// Listed endpoints that have told when they are taken away.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: Mutex<HashMap<Name, Departure>>,
    /// Number of them, which is read for each event of a stream.
    count: AtomicUsize,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: u64,
    noticed: Instant,
    leaves_in: Duration,
}

impl Departures {
    /// Records that an endpoint is taken away soon. The first notice of a process counts.
    pub(crate) fn record(&self, endpoint: &Name, incarnation: u64, leaves_in_ms: u64) {
        let mut known = self.lock();
        if known.get(endpoint).is_none_or(|it| it.incarnation != incarnation) {
            let leaves_in = Duration::from_millis(leaves_in_ms);
            let departure = Departure { incarnation, noticed: Instant::now(), leaves_in };
            known.insert(endpoint.clone(), departure);
            tracing::info!(%endpoint, leaves_in_ms, "endpoint is about to be taken away");
        }
        self.count.store(known.len(), Ordering::Relaxed);
    }

    /// Forgets an endpoint.
    pub(crate) fn remove(&self, endpoint: &str) {
        if self.count.load(Ordering::Relaxed) > 0 {
            let mut known = self.lock();
            known.remove(endpoint);
            self.count.store(known.len(), Ordering::Relaxed);
        }
    }

    /// Whether a stream should be moved from its endpoint now.
    pub(crate) fn is_due(&self, request: &Request, chosen: &SelectedEndpoint) -> bool {
        if self.count.load(Ordering::Relaxed) == 0 {
            return false;
        }
        let departure = self.lock().get(&chosen.id).copied();
        departure.filter(|it| it.incarnation == chosen.incarnation).is_some_and(|it| {
            let place = fraction(uniform_hash(&request.id));
            it.noticed.elapsed() >= it.leaves_in.mul_f64(FIRST_MOVE + MOVE_SPREAD * place)
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Departure>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

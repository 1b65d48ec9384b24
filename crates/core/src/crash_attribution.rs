//! Decides which part of its prompt, if any, makes a request crash endpoints.
//!
//! Requests that crash endpoints may have nothing in common but one part of their prompts. Their
//! other parts, and those of requests that ran beside them, are lost with the same endpoints, but
//! occur in requests that complete as well, which clears them. A part that is rarely used may not
//! have been cleared yet. So a part is blamed only for crashes that no other suspect explains that
//! the request lacks: a request with all parts that may be to blame is refused, one with only some
//! of them runs, and shows which of them it was.

use crate::{
    Name,
    quarantine::{Fingerprint, Quarantine},
    request_fingerprints::RequestFingerprints,
};

/// Losses less than this time apart count as one, in milliseconds: when many endpoints fail at
/// once, a part that is in use at several of them is not the cause.
const SAME_INCIDENT_MS: u64 = 150;

/// Index of the first of a request's parts that is to blame for as many crashes as quarantine a
/// part; `None` if there is none.
pub fn blamed_part(
    suspects: &Quarantine,
    request: &RequestFingerprints,
    now_ms: u64,
) -> Option<usize> {
    request.parts.iter().position(|part| is_blamed(suspects, *part, request, now_ms))
}

fn is_blamed(
    suspects: &Quarantine,
    part: Fingerprint,
    request: &RequestFingerprints,
    now_ms: u64,
) -> bool {
    if crash_count(suspects, part, None, now_ms) < suspects.part_loss_limit() {
        return false;
    }
    let others = suspects.fingerprints().filter(|it| !request.contains(*it));
    let mut others =
        others.filter(|it| crash_count(suspects, *it, None, now_ms) >= suspects.part_loss_limit());
    others.all(|it| crash_count(suspects, part, Some(it), now_ms) >= suspects.part_loss_limit())
}

/// Number of crashes that count against a suspect and that `explanation` does not explain, because
/// it was not running at the endpoint, or came when the endpoint had crashed already.
fn crash_count(
    suspects: &Quarantine,
    suspect: Fingerprint,
    explanation: Option<Fingerprint>,
    now_ms: u64,
) -> usize {
    let Some(losses) = suspects.losses_of(suspect, now_ms) else { return 0 };
    let explained = explanation.and_then(|it| suspects.losses_of(it, now_ms));
    let is_explained = |endpoint: &Name, lost_ms: u64| {
        let ran_there =
            |(it, at_ms): (&Name, u64)| it == endpoint && at_ms < lost_ms + SAME_INCIDENT_MS;
        explained.clone().is_some_and(|mut losses| losses.any(ran_there))
    };
    let mut times: Vec<u64> = losses
        .filter(|(endpoint, lost_ms)| !is_explained(endpoint, *lost_ms))
        .map(|(_, lost_ms)| lost_ms)
        .collect();
    times.sort_unstable();
    count_incidents(&times)
}

/// Number of times, in ascending order, that are at least [`SAME_INCIDENT_MS`] apart.
fn count_incidents(times_ms: &[u64]) -> usize {
    let mut count = 0;
    let mut last_ms = None;
    for &at_ms in times_ms {
        if last_ms.is_none_or(|last_ms| at_ms >= last_ms + SAME_INCIDENT_MS) {
            count += 1;
            last_ms = Some(at_ms);
        }
    }
    count
}

//! Rendezvous hashing (highest random weight): which few of many candidates take a task.

/// Weight of a candidate for a task. The candidates with the greatest weights take it.
pub fn weight(task: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(task.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Rank of `own` among the candidates for a task; 0 is the first choice.
///
/// `candidates` may or may not contain `own`. Adding or removing one candidate changes the rank of
/// every other by at most one.
pub fn rank<'a>(task: &str, own: &str, candidates: impl Iterator<Item = &'a str>) -> usize {
    let own_weight = (weight(task, own), own);
    candidates.filter(|it| *it != own && (weight(task, it), *it) > own_weight).count()
}

//! Rendezvous hashing: which few of many candidates take a task.

/// Weight of a candidate for a task. The greatest weights win.
pub fn weight(task: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(task.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Place of `own` among the candidates for a task; 0 is the first choice.
///
/// `candidates` need not contain `own`. One candidate's coming or going moves
/// no other candidate by more than one place.
pub fn rank<'a>(task: &str, own: &str, candidates: impl Iterator<Item = &'a str>) -> usize {
    let mine = (weight(task, own), own);
    candidates.filter(|it| *it != own && (weight(task, it), *it) > mine).count()
}

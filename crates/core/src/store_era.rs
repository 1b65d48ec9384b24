//! Which history of the store an answer belongs to.
//!
//! A store that comes back from an older copy begins a new history: offsets after the copy's end are
//! given out again, for other records. Each history has an era, and only offsets of the same era can
//! be compared.

/// Era of a store that never came back from a copy.
pub const FIRST_ERA: u64 = 1;

/// How the era of an answer relates to the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The answer belongs to the known history.
    None,
    /// The store came back from a copy: everything known has to be compared with what it holds now.
    Began,
    /// The answer was given before the store came back, and arrived late.
    Outdated,
}

impl EraChange {
    /// Compares an answer's era, absent if the store does not tell it, with the known one.
    pub fn of(known: u64, answered: Option<u64>) -> EraChange {
        match answered {
            Some(answered) if answered > known => EraChange::Began,
            Some(answered) if answered < known => EraChange::Outdated,
            Some(_) | None => EraChange::None,
        }
    }
}

/// Era of a topic that was read as a whole, because the store had no records at the offset
/// `known_end`. A store that does not tell eras has come back from a copy if it ends before it.
pub fn era_after_lost_history(
    known_era: u64,
    known_end: Option<u64>,
    answered_era: Option<u64>,
    answered_end: u64,
) -> u64 {
    match answered_era {
        Some(era) => era,
        None if known_end.is_some_and(|it| answered_end < it) => known_era + 1,
        None => known_era,
    }
}

//! A difference between two configurations, by its effect.

use std::fmt;

use serde::Serialize;

use crate::Name;

/// What callers will notice of one difference between two versions of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallerChange {
    /// Which requests or callers are concerned, such as `class live`.
    pub subject: String,
    /// What becomes different for them.
    pub effect: String,
}

impl fmt::Display for CallerChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.effect)
    }
}

/// Changes that are being collected for one subject.
pub(super) struct Changes<'a> {
    subject: String,
    changes: &'a mut Vec<CallerChange>,
}

impl<'a> Changes<'a> {
    pub(super) fn of(subject: String, changes: &'a mut Vec<CallerChange>) -> Changes<'a> {
        Changes { subject, changes }
    }

    /// Adds an effect.
    pub(super) fn add(&mut self, effect: impl Into<String>) {
        self.changes.push(CallerChange { subject: self.subject.clone(), effect: effect.into() });
    }

    /// Adds how many credentials of an account are no longer in force, and how many are new.
    pub(super) fn count_keys(&mut self, removed: usize, added: usize) {
        if removed > 0 {
            self.add(format!("credentials that are no longer accepted as before: {removed}"));
        }
        if added > 0 {
            self.add(format!("credentials that are accepted from now on: {added}"));
        }
    }

    /// Adds an effect if two values differ.
    pub(super) fn compare<T: PartialEq + fmt::Debug>(&mut self, what: &str, old: &T, new: &T) {
        if old != new {
            self.add(format!("{what} was {old:?} and becomes {new:?}"));
        }
    }
}

/// Pairs entries of two lists by name, those of the new list first.
pub(super) fn pairs<'a, T>(
    old: &'a [T],
    new: &'a [T],
    name: impl Fn(&T) -> &Name + Copy,
) -> Vec<(Option<&'a T>, Option<&'a T>)> {
    let find = |list: &'a [T], sought: &T| list.iter().find(|it| name(it) == name(sought));
    let kept = new.iter().map(|it| (find(old, it), Some(it)));
    let removed = old.iter().filter(|it| find(new, it).is_none()).map(|it| (Some(it), None));
    kept.chain(removed).collect()
}

//! What differs between two sheets.

use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Change {
    /// Where, with the names of list entries.
    pub(crate) path: String,
    /// What was there.
    pub(crate) old: Option<Value>,
    /// What is there now.
    pub(crate) new: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {}: {old} -> {new}", self.path),
            (None, Some(new)) => write!(f, "+ {}: {new}", self.path),
            (Some(old), None) => write!(f, "- {}: {old}", self.path),
            (None, None) => Ok(()),
        }
    }
}

/// What differs from `old` to `new`. Entries of lists are matched by name.
pub(crate) fn changes<T: Serialize>(old: &T, new: &T) -> Vec<Change> {
    let mut changes = Vec::new();
    let value = |it| serde_json::to_value(it).unwrap_or(Value::Null);
    compare(String::new(), Some(value(old)), Some(value(new)), &mut changes);
    changes
}

fn compare(path: String, old: Option<Value>, new: Option<Value>, changes: &mut Vec<Change>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            compare_fields(&path, old, new, changes);
        }
        (Some(Value::Array(old)), Some(Value::Array(new))) if is_named(&old) && is_named(&new) => {
            let moved = order_changed(&old, &new);
            compare_fields(&path, by_name(old), by_name(new), changes);
            if moved {
                let text = |it: &str| Some(Value::from(it));
                changes.push(Change { path, old: text("one order"), new: text("another order") });
            }
        }
        (old, new) => changes.push(Change { path, old, new }),
    }
}

fn compare_fields(
    path: &str,
    mut old: Map<String, Value>,
    new: Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    let at = |name: &str| match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    };
    for (name, value) in new {
        compare(at(&name), old.remove(&name), Some(value), changes);
    }
    for (name, value) in old {
        compare(at(&name), Some(value), None, changes);
    }
}

fn name_of(value: &Value) -> Option<&str> {
    value.get("name").and_then(Value::as_str)
}

fn is_named(list: &[Value]) -> bool {
    list.iter().all(|it| name_of(it).is_some())
}

fn by_name(list: Vec<Value>) -> Map<String, Value> {
    let entry = |it: Value| (name_of(&it).unwrap_or_default().to_owned(), it);
    list.into_iter().map(entry).collect()
}

/// Whether entries that are in both stand in another order, which counts for tiers.
fn order_changed(old: &[Value], new: &[Value]) -> bool {
    let names = |list: &[Value], other: &[Value]| -> Vec<String> {
        let common = |it: &&str| other.iter().any(|value| name_of(value) == Some(*it));
        list.iter().filter_map(name_of).filter(common).map(str::to_owned).collect()
    };
    names(old, new) != names(new, old)
}

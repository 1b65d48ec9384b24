//! What callers notice when routes and services take the place of others.

use super::{
    caller_change::{CallerChange, Changes, pairs},
    routes::{AccountEntry, RoutingTable},
};
use crate::routing::Route;

/// What callers will notice when `new` comes into force in place of `old`.
pub fn route_changes<'a>(old: &'a RoutingTable, new: &'a RoutingTable) -> Vec<CallerChange> {
    let mut changes = Vec::new();
    let mut all = Changes::of("all requests".to_owned(), &mut changes);
    let (before, after) = (old.limits.body_bytes, new.limits.body_bytes);
    all.compare("the largest body, in bytes,", &before, &after);
    let (before, after) = (old.limits.idle_timeout_ms, new.limits.idle_timeout_ms);
    all.compare("the time for which an idle connection is kept, in ms,", &before, &after);
    let (before, after) = (Admitted::by(old), Admitted::by(new));
    if before != after {
        all.add(after.effect());
    }
    for (before, after) in pairs(&old.routes, &new.routes, |it| &it.name) {
        compare_routes(before, after, &mut changes);
    }
    let accounts = |it: &'a RoutingTable| it.accounts.as_deref().unwrap_or_default();
    for (before, after) in pairs(accounts(old), accounts(new), |it| &it.account.name) {
        compare_accounts(before, after, &mut changes);
    }
    changes
}

/// Who may send requests by a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admitted {
    /// Everyone.
    Everyone,
    /// Holders of keys.
    KeyHolders,
    /// Nobody, as no account has a key.
    Nobody,
}

impl Admitted {
    fn by(table: &RoutingTable) -> Admitted {
        match &table.accounts {
            None => Admitted::Everyone,
            Some(accounts) if accounts.iter().any(|it| !it.keys.is_empty()) => Admitted::KeyHolders,
            Some(_) => Admitted::Nobody,
        }
    }

    /// What callers notice if it is so from now on.
    fn effect(self) -> &'static str {
        match self {
            Admitted::Everyone => "those without a credential are accepted",
            Admitted::KeyHolders => {
                "those with a key of a client account are accepted, others on public routes only"
            }
            Admitted::Nobody => "they are refused except on public routes, as no account has a key",
        }
    }
}

fn compare_accounts(
    old: Option<&AccountEntry>,
    new: Option<&AccountEntry>,
    changes: &mut Vec<CallerChange>,
) {
    let Some(entry) = new.or(old) else { return };
    let mut changes = Changes::of(format!("client account {}", entry.account.name), changes);
    match (old, new) {
        (Some(old), Some(new)) => {
            changes.compare("the priority", &old.account.priority, &new.account.priority);
            let removed = old.keys.iter().filter(|it| !new.keys.contains(it)).count();
            let added = new.keys.iter().filter(|it| !old.keys.contains(it)).count();
            changes.count_keys(removed, added);
        }
        (None, _) => changes.add("its callers are accepted"),
        (_, None) => changes.add("its callers are refused"),
    }
}

fn compare_routes(old: Option<&Route>, new: Option<&Route>, changes: &mut Vec<CallerChange>) {
    let Some(route) = new.or(old) else { return };
    let mut changes = Changes::of(format!("route {}", route.name), changes);
    let matched = |it: &Route| format!("{}{}", it.host, it.path_prefix);
    let (Some(old), Some(new)) = (old, new) else {
        let text = matched(route);
        return changes.add(match new {
            Some(_) => format!("requests to {text} are routed by it"),
            None => format!("requests to {text} are routed by a shorter prefix, or refused"),
        });
    };
    changes.compare("what it matches", &matched(old), &matched(new));
    changes.compare("whether its requests are sent again", &old.retry_safety, &new.retry_safety);
    changes.compare("the longest time of a request, in ms,", &old.timeout_ms, &new.timeout_ms);
    changes.compare("the goal for the first byte, in ms,", &old.goal_ms, &new.goal_ms);
    let (before, after) = (old.event_gap_goal_ms, new.event_gap_goal_ms);
    changes.compare("the goal for the gap of events, in ms,", &before, &after);
    changes.compare("the priority", &old.priority, &new.priority);
    changes.compare("the most endpoints that may run a request", &old.attempts, &new.attempts);
    if old.public != new.public {
        changes.add(match new.public {
            true => "requests without a credential are accepted",
            false => "requests without a credential are refused",
        });
    }
    let shares = |it: &Route| -> Vec<String> {
        it.targets.iter().map(|it| format!("{} ({})", it.service, it.weight)).collect()
    };
    changes.compare("the services, with their weights,", &shares(old), &shares(new));
}

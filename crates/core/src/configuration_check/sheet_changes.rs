//! What callers notice when a sheet takes the place of another one.

use super::caller_change::{CallerChange, Changes, pairs};
use crate::sheet::{Class, ClientAccount, Sheet};

/// What callers will notice when `new` comes into force in place of `old`.
pub fn sheet_changes(old: &Sheet, new: &Sheet) -> Vec<CallerChange> {
    let mut changes = Vec::new();
    let mut all = Changes::of("all requests".to_owned(), &mut changes);
    all.compare("the goal of the deployment", &old.goal, &new.goal);
    let tiers = |it: &Sheet| it.tiers.iter().map(|it| it.name.to_string()).collect::<Vec<_>>();
    all.compare("the order of tiers", &tiers(old), &tiers(new));
    for (before, after) in pairs(&old.classes, &new.classes, |it| &it.name) {
        compare_classes(before, after, &mut changes);
    }
    for (before, after) in pairs(&old.client_accounts, &new.client_accounts, |it| &it.name) {
        compare_accounts(before, after, &mut changes);
    }
    for (before, after) in pairs(&old.models, &new.models, |it| &it.name) {
        let Some(model) = after.or(before) else { continue };
        let mut model = Changes::of(format!("model {}", model.name), &mut changes);
        match (before, after) {
            (None, _) => model.add("requests for it are accepted"),
            (_, None) => model.add("requests for it are refused"),
            (Some(before), Some(after)) => {
                model.compare("the version", &before.version, &after.version);
                model.compare("the adapters", &before.adapters, &after.adapters);
            }
        }
    }
    compare_slots(old, new, &mut changes);
    changes
}

fn compare_classes(old: Option<&Class>, new: Option<&Class>, changes: &mut Vec<CallerChange>) {
    let Some(class) = new.or(old) else { return };
    let mut changes = Changes::of(format!("class {}", class.name), changes);
    let (Some(old), Some(new)) = (old, new) else {
        return changes.add(match new {
            Some(_) => "requests of it are accepted",
            None => "requests of it are refused",
        });
    };
    changes.compare("the tier", &old.tier, &new.tier);
    changes.compare("the kind of endpoint", &old.kind, &new.kind);
    if old.repeatable != new.repeatable {
        changes.add(match new.repeatable {
            true => "requests need no idempotency key, and may run more than once",
            false => "requests need an idempotency key, and run at most once",
        });
    }
    let (before, after) = (old.first_token_ms, new.first_token_ms);
    changes.compare("the target for the first token, in ms,", &before, &after);
    let (before, after) = (old.between_tokens_ms, new.between_tokens_ms);
    changes.compare("the target between tokens, in ms,", &before, &after);
    let (before, after) = (old.whole_answer_ms, new.whole_answer_ms);
    changes.compare(
        "the target for the whole answer and the default deadline, in ms,",
        &before,
        &after,
    );
    changes.compare(
        "the least share of dispatches, in percent,",
        &old.floor_percent,
        &new.floor_percent,
    );
}

fn compare_accounts(
    old: Option<&ClientAccount>,
    new: Option<&ClientAccount>,
    changes: &mut Vec<CallerChange>,
) {
    let Some(account) = new.or(old) else { return };
    let mut changes = Changes::of(format!("client account {}", account.name), changes);
    let (Some(old), Some(new)) = (old, new) else {
        return changes.add(match new {
            Some(_) => "its callers are accepted",
            None => "its callers are refused",
        });
    };
    let (before, after) = (old.share_percent, new.share_percent);
    changes.compare("the share when all accounts ask for more, in percent,", &before, &after);
    if old.classes != new.classes {
        let text = |it: &ClientAccount| match it.classes.is_empty() {
            true => "all".to_owned(),
            false => it.classes.iter().map(|it| it.as_str()).collect::<Vec<_>>().join(", "),
        };
        changes.add(format!("the classes it may use were {} and become {}", text(old), text(new)));
    }
    let removed = old.credentials.iter().filter(|it| !new.credentials.contains(it)).count();
    let added = new.credentials.iter().filter(|it| !old.credentials.contains(it)).count();
    changes.count_keys(removed, added);
}

/// Compares how many requests of each model or service run at once.
fn compare_slots(old: &Sheet, new: &Sheet, changes: &mut Vec<CallerChange>) {
    let slots = |sheet: &Sheet, name: &str| -> u64 {
        let serving =
            sheet.endpoints.iter().filter(|it| it.serves.iter().any(|it| it.as_str() == name));
        serving.map(|it| u64::from(it.slots)).sum()
    };
    let served = |sheet: &Sheet| -> Vec<String> {
        let names = sheet.endpoints.iter().flat_map(|it| &it.serves);
        names.map(|it| it.to_string()).collect()
    };
    let mut names = [served(old), served(new)].concat();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let (before, after) = (slots(old, &name), slots(new, &name));
        let mut changes = Changes::of(format!("requests for {name}"), changes);
        changes.compare("the number that runs at once without queueing", &before, &after);
    }
}

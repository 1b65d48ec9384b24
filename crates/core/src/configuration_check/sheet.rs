//! Entries of a sheet that no request reaches, and targets that contradict each other.

use crate::{
    finding::{Findings, Path},
    sheet::{Class, Sheet},
};

/// Warns of entries that serve no request, and of limits that cannot be kept together.
pub fn check_reachability(sheet: &Sheet, findings: &mut Findings) {
    let list = |name: &str| Path::root().field(name);
    // A class whose tier is unknown may be meant for any of them.
    let are_known = sheet.classes.iter().all(|it| sheet.tier_rank(&it.tier).is_some());
    for (i, tier) in sheet.tiers.iter().enumerate() {
        if are_known && !sheet.classes.iter().any(|it| it.tier == tier.name) {
            let path = list("tiers").index(i);
            let finding = findings.warning(path, "a tier without a class", "a class of that tier");
            finding.rests_on = Some(list("classes"));
        }
    }
    for (i, class) in sheet.classes.iter().enumerate() {
        let at = list("classes").index(i);
        if !is_allowed(sheet, class) {
            let found = "a class that no client account may use";
            let finding = findings.warning(at.clone(), found, "an account that may use it");
            finding.rests_on = Some(list("client_accounts"));
        }
        check_gap(&at, class, findings);
    }
    for (i, account) in sheet.client_accounts.iter().enumerate() {
        if account.share_percent == 0.0 {
            let path = list("client_accounts").index(i).field("share_percent");
            let expected = "more than 0, or the account is served only when others leave room";
            findings.warning(path, "0", expected);
        }
    }
}

fn is_allowed(sheet: &Sheet, class: &Class) -> bool {
    let accounts = &sheet.client_accounts;
    accounts.is_empty() || accounts.iter().any(|it| it.may_use(&class.name))
}

fn check_gap(at: &Path, class: &Class, findings: &mut Findings) {
    let whole = class.whole_answer_ms;
    if let Some(gap) = class.between_tokens_ms.filter(|it| *it > whole) {
        let expected = format!("at most `whole_answer_ms`, which is {whole}");
        let path = at.field("between_tokens_ms");
        let finding = findings.warning(path, gap.to_string(), expected);
        finding.rests_on = Some(at.field("whole_answer_ms"));
    }
}

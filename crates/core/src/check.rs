//! Checks a sheet as a whole.

use std::collections::{HashMap, HashSet};

use crate::{
    Name,
    document::Document,
    finding::{Findings, Path},
    sheet::{Class, ClientAccount, Credential, Endpoint, Model, Price, Sheet, TargetKind},
};

/// Longest name, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// Digits of a BLAKE3 hash in hexadecimal.
const BLAKE3_DIGITS: usize = 64;

/// Fastest pace that an engine can be asked for.
const MIN_BETWEEN_TOKENS_MS: u64 = 1;

/// What the percentages of a list may sum to.
const MAX_PERCENT: f64 = 100.0;

/// What rounding may add to a sum of percentages.
const PERCENT_SLACK: f64 = 1e-6;

/// Reads a sheet from YAML text.
///
/// # Errors
///
/// All that is wrong with it, if anything is an error; warnings alone are dropped.
pub fn parse_sheet(text: &str) -> Result<Sheet, Findings> {
    let (sheet, findings) = review_sheet(text);
    sheet.ok_or(findings)
}

/// Reads a sheet from YAML text and returns it, if it is without errors, with all findings.
pub fn review_sheet(text: &str) -> (Option<Sheet>, Findings) {
    let document = Document::<Sheet>::new(text);
    let checked = document.value.as_ref().map(check_sheet).unwrap_or_default();
    document.finish(checked)
}

/// Checks a sheet that has no text. The findings have no places.
pub fn check_sheet(sheet: &Sheet) -> Findings {
    let mut check = Check { sheet, findings: Findings::default() };
    check.lists();
    check.classes();
    check.client_accounts();
    check.models();
    check.endpoints();
    check.prices();
    check.findings
}

/// Reports each name that stands in `list` more than once or is not a proper name.
pub fn check_names<'a>(
    findings: &mut Findings,
    list: &Path,
    names: impl Iterator<Item = &'a Name>,
) {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        let path = list.index(i).field("name");
        check_name(findings, path.clone(), name);
        if !seen.insert(name) {
            findings.error(path, format!("the name \"{name}\" again"), "each name once");
        }
    }
}

/// Reports a name that could not stand in a header.
pub fn check_name(findings: &mut Findings, path: Path, name: &Name) {
    let proper = name.chars().all(|it| it.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_NAME_CHARS || !proper {
        let expected = format!("1 to {MAX_NAME_CHARS} visible ASCII characters");
        findings.error(path, format!("the name \"{}\"", name.escape_debug()), expected);
    }
}

struct Check<'a> {
    sheet: &'a Sheet,
    findings: Findings,
}

impl Check<'_> {
    fn lists(&mut self) {
        let sheet = self.sheet;
        self.names("availability_zones", sheet.availability_zones.iter().map(|it| &it.name));
        self.names("tiers", sheet.tiers.iter().map(|it| &it.name));
        self.names("classes", sheet.classes.iter().map(|it| &it.name));
        self.names("client_accounts", sheet.client_accounts.iter().map(|it| &it.name));
        self.names("models", sheet.models.iter().map(|it| &it.name));
        self.names("endpoints", sheet.endpoints.iter().map(|it| &it.name));
        self.not_empty("availability_zones", sheet.availability_zones.is_empty());
        self.not_empty("tiers", sheet.tiers.is_empty());
        self.not_empty("classes", sheet.classes.is_empty());
        self.not_empty("client_accounts", sheet.client_accounts.is_empty());
        let zones = list("availability_zones");
        for (i, zone) in sheet.availability_zones.iter().enumerate() {
            check_name(&mut self.findings, zones.index(i).field("region"), &zone.region);
        }
    }

    fn names<'n>(&mut self, field: &str, names: impl Iterator<Item = &'n Name>) {
        check_names(&mut self.findings, &list(field), names);
    }

    fn not_empty(&mut self, field: &str, empty: bool) {
        if empty {
            self.findings.error(list(field), "an empty list", "at least one entry");
        }
    }

    fn classes(&mut self) {
        for (i, class) in self.sheet.classes.iter().enumerate() {
            let at = list("classes").index(i);
            self.reference(at.field("tier"), &class.tier, "tiers");
            self.targets(&at, class);
            self.prior(&at, class);
            self.percent(at.field("floor_percent"), f64::from(class.floor_percent));
            self.served(&at, class);
        }
        let floors = self.sheet.classes.iter().map(|it| f64::from(it.floor_percent));
        self.sum("classes", "floor_percent", floors.collect());
    }

    fn targets(&mut self, at: &Path, class: &Class) {
        let (first, whole) = (class.first_token_ms, class.whole_answer_ms);
        if first == 0 {
            self.findings.error(at.field("first_token_ms"), "0", "1 or more");
        }
        if whole < first {
            let expected = format!("at least `first_token_ms`, which is {first}");
            let path = at.field("whole_answer_ms");
            let finding = self.findings.error(path, whole.to_string(), expected);
            finding.rests_on = Some(at.field("first_token_ms"));
        } else if whole == 0 {
            self.findings.error(at.field("whole_answer_ms"), "0", "1 or more");
        }
        if class.between_tokens_ms == Some(0) {
            self.findings.error(at.field("between_tokens_ms"), "0", "1 or more, or no such field");
        }
    }

    fn prior(&mut self, class_at: &Path, class: &Class) {
        let at = class_at.field("output_tokens");
        let prior = class.output_tokens;
        if prior.p50_tokens == 0 {
            self.findings.error(at.field("p50_tokens"), "0", "1 or more");
        }
        if prior.p95_tokens < prior.p50_tokens {
            let expected = format!("at least `p50_tokens`, which is {}", prior.p50_tokens);
            let found = prior.p95_tokens.to_string();
            let finding = self.findings.error(at.field("p95_tokens"), found, expected);
            finding.rests_on = Some(at.field("p50_tokens"));
        }
        let fastest_ms = u64::from(prior.p50_tokens) * MIN_BETWEEN_TOKENS_MS;
        if class.kind == TargetKind::Model && fastest_ms > class.whole_answer_ms {
            let found = format!("{} tokens for half of the answers", prior.p50_tokens);
            let whole = class.whole_answer_ms;
            let expected = format!("as many as fit in `whole_answer_ms`, which is {whole}");
            let finding = self.findings.error(at.field("p50_tokens"), found, expected);
            finding.rests_on = Some(class_at.field("whole_answer_ms"));
        }
    }

    fn served(&mut self, at: &Path, class: &Class) {
        if self.sheet.endpoints.iter().any(|it| it.kind == class.kind) {
            return;
        }
        let kind = match class.kind {
            TargetKind::Model => "model",
            TargetKind::Service => "service",
        };
        let found = format!("a class of kind {kind} without an endpoint");
        let expected = "an endpoint of that kind";
        let path = if class.kind == TargetKind::Model { at.clone() } else { at.field("kind") };
        self.findings.error(path, found, expected).rests_on = Some(list("endpoints"));
    }

    fn client_accounts(&mut self) {
        let mut credentials = HashMap::new();
        for (i, account) in self.sheet.client_accounts.iter().enumerate() {
            let at = list("client_accounts").index(i);
            self.percent(at.field("share_percent"), account.share_percent);
            for (j, class) in account.classes.iter().enumerate() {
                self.reference(at.field("classes").index(j), class, "classes");
            }
            self.credentials(&at, account, &mut credentials);
        }
        let shares = self.sheet.client_accounts.iter().map(|it| it.share_percent);
        self.sum("client_accounts", "share_percent", shares.collect());
    }

    fn credentials<'a>(
        &mut self,
        at: &Path,
        account: &'a ClientAccount,
        seen: &mut HashMap<&'a Name, &'a Name>,
    ) {
        let at = at.field("credentials");
        if account.credentials.is_empty() {
            self.findings.warning(at.clone(), "no credential", "one, or nobody is the account");
        }
        for (i, Credential { blake3, .. }) in account.credentials.iter().enumerate() {
            let path = at.index(i).field("blake3");
            let digit = |it: char| matches!(it, '0'..='9' | 'a'..='f');
            if blake3.len() != BLAKE3_DIGITS || !blake3.chars().all(digit) {
                let expected = format!("{BLAKE3_DIGITS} hexadecimal digits in lower case");
                let found = format!("\"{}\"", blake3.escape_debug());
                self.findings.error(path.clone(), found, expected);
            }
            if let Some(owner) = seen.insert(blake3, &account.name) {
                let found = format!("the credential of \"{owner}\"");
                self.findings.error(path, found, "a credential of this account only");
            }
        }
    }

    fn models(&mut self) {
        for (i, model) in self.sheet.models.iter().enumerate() {
            let at = list("models").index(i);
            if model.name.contains(':') {
                let found = format!("\"{}\"", model.name);
                self.findings.error(at.field("name"), found, "a name without `:`");
            }
            self.adapters(&at, model);
            if !self.sheet.endpoints.iter().any(|it| it.serves.contains(&model.name)) {
                let finding =
                    self.findings.warning(at, "a model without an endpoint", "one that serves it");
                finding.rests_on = Some(list("endpoints"));
            }
        }
    }

    fn adapters(&mut self, at: &Path, model: &Model) {
        let mut seen = HashSet::new();
        for (i, adapter) in model.adapters.iter().enumerate() {
            let path = at.field("adapters").index(i);
            check_name(&mut self.findings, path.clone(), adapter);
            if !seen.insert(adapter) {
                let found = format!("the adapter \"{adapter}\" again");
                self.findings.error(path, found, "each adapter once");
            }
        }
    }

    fn endpoints(&mut self) {
        let mut addresses = HashMap::new();
        let models: HashSet<&Name> = self.sheet.models.iter().map(|it| &it.name).collect();
        for (i, endpoint) in self.sheet.endpoints.iter().enumerate() {
            let at = list("endpoints").index(i);
            let zone = &endpoint.availability_zone;
            self.reference(at.field("availability_zone"), zone, "availability_zones");
            self.address(&at, endpoint);
            if let Some(other) = addresses.insert(endpoint.address, &endpoint.name) {
                let found = format!("{}, the address of \"{other}\"", endpoint.address);
                self.findings.error(at.field("address"), found, "an address of its own");
            }
            if endpoint.slots == 0 {
                self.findings.error(at.field("slots"), "0", "1 or more");
            }
            self.serves(&at, endpoint, &models);
        }
    }

    fn address(&mut self, at: &Path, endpoint: &Endpoint) {
        let address = endpoint.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let expected = "the IP number and port of one instance";
            self.findings.error(at.field("address"), address.to_string(), expected);
        }
    }

    fn serves(&mut self, at: &Path, endpoint: &Endpoint, models: &HashSet<&Name>) {
        let at = at.field("serves");
        if endpoint.serves.is_empty() {
            self.findings.error(at.clone(), "an empty list", "at least one name");
        }
        let mut seen = HashSet::new();
        for (i, name) in endpoint.serves.iter().enumerate() {
            let path = at.index(i);
            check_name(&mut self.findings, path.clone(), name);
            if !seen.insert(name) {
                self.findings.error(path.clone(), format!("\"{name}\" again"), "each name once");
            }
            if endpoint.kind == TargetKind::Model && !models.contains(name) {
                let found = format!("the unknown model \"{name}\"");
                let finding = self.findings.error(path, found, "a name in `models`");
                finding.rests_on = Some(list("models"));
            }
        }
    }

    fn prices(&mut self) {
        let mut pairs = HashSet::new();
        for (i, price) in self.sheet.prices.iter().enumerate() {
            let at = list("prices").index(i);
            self.region(at.field("from"), &price.from);
            self.region(at.field("to"), &price.to);
            self.price(&at, price);
            if !pairs.insert((&price.from, &price.to)) {
                let found = format!("a second price from \"{}\" to \"{}\"", price.from, price.to);
                self.findings.error(at, found, "one price for each pair");
            }
        }
    }

    fn price(&mut self, at: &Path, price: &Price) {
        if !price.per_gigabyte.is_finite() || price.per_gigabyte < 0.0 {
            let found = price.per_gigabyte.to_string();
            self.findings.error(at.field("per_gigabyte"), found, "0 or more");
        }
        if price.from == price.to {
            let found = format!("\"{}\", where the bytes come from", price.to);
            self.findings.error(at.field("to"), found, "another region");
        }
    }

    fn region(&mut self, path: Path, region: &Name) {
        if !self.sheet.availability_zones.iter().any(|it| it.region == *region) {
            let found = format!("the unknown region \"{region}\"");
            let finding = self.findings.error(path, found, "the region of an availability zone");
            finding.rests_on = Some(list("availability_zones"));
        }
    }

    fn reference(&mut self, path: Path, name: &Name, field: &str) {
        let sheet = self.sheet;
        let known = match field {
            "tiers" => sheet.tiers.iter().any(|it| it.name == *name),
            "classes" => sheet.classes.iter().any(|it| it.name == *name),
            _ => sheet.availability_zones.iter().any(|it| it.name == *name),
        };
        if !known {
            let found = format!("the unknown name \"{}\"", name.escape_debug());
            let finding = self.findings.error(path, found, format!("a name in `{field}`"));
            finding.rests_on = Some(list(field));
        }
    }

    fn percent(&mut self, path: Path, percent: f64) {
        if !(0.0..=MAX_PERCENT).contains(&percent) {
            self.findings.error(path, percent.to_string(), "0 to 100");
        }
    }

    /// Reports the entry with which a list's percentages pass the maximum.
    fn sum(&mut self, field: &str, percent: &str, shares: Vec<f64>) {
        let total: f64 = shares.iter().sum();
        let mut sum = 0.0;
        for (i, share) in shares.iter().enumerate() {
            sum += share;
            if sum > MAX_PERCENT + PERCENT_SLACK {
                let found = format!("a sum of {total} % over the list, past 100 % here");
                let path = list(field).index(i).field(percent);
                self.findings.error(path, found, "100 % at most").rests_on = Some(list(field));
                return;
            }
        }
    }
}

fn list(field: &str) -> Path {
    Path::root().field(field)
}

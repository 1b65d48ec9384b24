//! Validation of sheets.

use std::collections::{HashMap, HashSet};

use crate::{
    Name,
    configuration_check::check_reachability,
    document::Document,
    finding::{Findings, Path},
    sheet::{Class, ClientAccount, Credential, Endpoint, Model, Price, Sheet, TargetKind},
};

/// Maximum length of a name, in characters.
pub const MAX_NAME_CHARS: usize = 64;

/// Hexadecimal digits of a BLAKE3 hash.
const BLAKE3_HEX_DIGITS: usize = 64;

/// Shortest time that an engine is assumed to need for each output token.
const MIN_BETWEEN_TOKENS_MS: u64 = 1;

/// Upper limit of a percentage and of the sum over a list.
const MAX_PERCENT: f64 = 100.0;

/// Tolerance for rounding errors in a sum of percentages.
const PERCENT_TOLERANCE: f64 = 1e-6;

/// Parses and validates a sheet in YAML.
///
/// # Errors
///
/// All findings, if at least one is an error. Warnings alone are dropped.
pub fn parse_sheet(text: &str) -> Result<Sheet, Findings> {
    let (sheet, findings) = review_sheet(text);
    sheet.ok_or(findings)
}

/// Parses and validates a sheet in YAML. Returns all findings, including warnings, and the sheet
/// unless one of them is an error.
pub fn review_sheet(text: &str) -> (Option<Sheet>, Findings) {
    let document = Document::<Sheet>::new(text);
    let checked = document.value.as_ref().map(check_sheet).unwrap_or_default();
    document.finish(checked)
}

/// Validates a sheet that is already parsed. The findings have no location.
pub fn check_sheet(sheet: &Sheet) -> Findings {
    let mut checker = SheetChecker { sheet, findings: Findings::default() };
    checker.check_lists();
    checker.check_classes();
    checker.check_client_accounts();
    checker.check_models();
    checker.check_endpoints();
    checker.check_prices();
    check_reachability(sheet, &mut checker.findings);
    checker.findings
}

/// Reports each name in `list` that is invalid or a duplicate.
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
            findings.error(path, format!("the duplicate name \"{name}\""), "unique names");
        }
    }
}

/// Reports a name that is empty, too long or cannot be sent in an HTTP header.
pub fn check_name(findings: &mut Findings, path: Path, name: &Name) {
    let is_visible_ascii = name.chars().all(|it| it.is_ascii_graphic());
    if name.is_empty() || name.len() > MAX_NAME_CHARS || !is_visible_ascii {
        let expected = format!("1 to {MAX_NAME_CHARS} visible ASCII characters");
        findings.error(path, format!("the name \"{}\"", name.escape_debug()), expected);
    }
}

struct SheetChecker<'a> {
    sheet: &'a Sheet,
    findings: Findings,
}

impl SheetChecker<'_> {
    fn check_lists(&mut self) {
        let sheet = self.sheet;
        self.check_name_list(
            "availability_zones",
            sheet.availability_zones.iter().map(|it| &it.name),
        );
        self.check_name_list("tiers", sheet.tiers.iter().map(|it| &it.name));
        self.check_name_list("classes", sheet.classes.iter().map(|it| &it.name));
        self.check_name_list("client_accounts", sheet.client_accounts.iter().map(|it| &it.name));
        self.check_name_list("models", sheet.models.iter().map(|it| &it.name));
        self.check_name_list("endpoints", sheet.endpoints.iter().map(|it| &it.name));
        self.check_not_empty("availability_zones", sheet.availability_zones.is_empty());
        self.check_not_empty("tiers", sheet.tiers.is_empty());
        self.check_not_empty("classes", sheet.classes.is_empty());
        self.check_not_empty("client_accounts", sheet.client_accounts.is_empty());
        let zones = list("availability_zones");
        for (i, zone) in sheet.availability_zones.iter().enumerate() {
            check_name(&mut self.findings, zones.index(i).field("region"), &zone.region);
        }
    }

    fn check_name_list<'n>(&mut self, field: &str, names: impl Iterator<Item = &'n Name>) {
        check_names(&mut self.findings, &list(field), names);
    }

    fn check_not_empty(&mut self, field: &str, empty: bool) {
        if empty {
            self.findings.error(list(field), "an empty list", "at least one entry");
        }
    }

    fn check_classes(&mut self) {
        for (i, class) in self.sheet.classes.iter().enumerate() {
            let at = list("classes").index(i);
            self.check_reference(at.field("tier"), &class.tier, "tiers");
            self.check_targets(&at, class);
            self.check_output_lengths(&at, class);
            self.check_percent(at.field("floor_percent"), f64::from(class.floor_percent));
            self.check_has_endpoint(&at, class);
        }
        let floors = self.sheet.classes.iter().map(|it| f64::from(it.floor_percent));
        self.check_percent_sum("classes", "floor_percent", floors.collect());
    }

    fn check_targets(&mut self, at: &Path, class: &Class) {
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
            self.findings.error(
                at.field("between_tokens_ms"),
                "0",
                "1 or more, or the field left out",
            );
        }
    }

    fn check_output_lengths(&mut self, class_at: &Path, class: &Class) {
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
        let min_answer_ms = u64::from(prior.p50_tokens) * MIN_BETWEEN_TOKENS_MS;
        if class.kind == TargetKind::Model && min_answer_ms > class.whole_answer_ms {
            let found = format!("a median of {} tokens", prior.p50_tokens);
            let whole = class.whole_answer_ms;
            let expected = format!("as many as can be sent in `whole_answer_ms`, which is {whole}");
            let finding = self.findings.error(at.field("p50_tokens"), found, expected);
            finding.rests_on = Some(class_at.field("whole_answer_ms"));
        }
    }

    /// Reports a class for whose kind there is no endpoint.
    fn check_has_endpoint(&mut self, at: &Path, class: &Class) {
        if self.sheet.endpoints.iter().any(|it| it.kind == class.kind) {
            return;
        }
        let kind = match class.kind {
            TargetKind::Model => "model",
            TargetKind::Service => "service",
        };
        let found = format!("a class of kind {kind} without an endpoint");
        let expected = "an endpoint of that kind";
        // `kind` defaults to `model` and may be absent from the text.
        let path = if class.kind == TargetKind::Model { at.clone() } else { at.field("kind") };
        self.findings.error(path, found, expected).rests_on = Some(list("endpoints"));
    }

    fn check_client_accounts(&mut self) {
        let mut credentials = HashMap::new();
        for (i, account) in self.sheet.client_accounts.iter().enumerate() {
            let at = list("client_accounts").index(i);
            self.check_percent(at.field("share_percent"), account.share_percent);
            for (j, class) in account.classes.iter().enumerate() {
                self.check_reference(at.field("classes").index(j), class, "classes");
            }
            self.check_credentials(&at, account, &mut credentials);
        }
        let shares = self.sheet.client_accounts.iter().map(|it| it.share_percent);
        self.check_percent_sum("client_accounts", "share_percent", shares.collect());
    }

    fn check_credentials<'a>(
        &mut self,
        at: &Path,
        account: &'a ClientAccount,
        seen: &mut HashMap<&'a Name, &'a Name>,
    ) {
        let at = at.field("credentials");
        if account.credentials.is_empty() {
            self.findings.warning(
                at.clone(),
                "no credentials",
                "one, or no client can use the account",
            );
        }
        for (i, Credential { blake3, .. }) in account.credentials.iter().enumerate() {
            let path = at.index(i).field("blake3");
            let is_hex_digit = |it: char| matches!(it, '0'..='9' | 'a'..='f');
            if blake3.len() != BLAKE3_HEX_DIGITS || !blake3.chars().all(is_hex_digit) {
                let expected = format!("{BLAKE3_HEX_DIGITS} hexadecimal digits in lower case");
                let found = format!("\"{}\"", blake3.escape_debug());
                self.findings.error(path.clone(), found, expected);
            }
            if let Some(owner) = seen.insert(blake3, &account.name) {
                let found = format!("a credential that \"{owner}\" has too");
                self.findings.error(path, found, "a credential of one account only");
            }
        }
    }

    fn check_models(&mut self) {
        for (i, model) in self.sheet.models.iter().enumerate() {
            let at = list("models").index(i);
            if model.name.contains(':') {
                let found = format!("\"{}\"", model.name);
                self.findings.error(at.field("name"), found, "a name without `:`");
            }
            self.check_adapters(&at, model);
            if !self.sheet.endpoints.iter().any(|it| it.serves.contains(&model.name)) {
                let finding = self.findings.warning(
                    at,
                    "a model without an endpoint",
                    "an endpoint that serves it",
                );
                finding.rests_on = Some(list("endpoints"));
            }
        }
    }

    fn check_adapters(&mut self, at: &Path, model: &Model) {
        let mut seen = HashSet::new();
        for (i, adapter) in model.adapters.iter().enumerate() {
            let path = at.field("adapters").index(i);
            check_name(&mut self.findings, path.clone(), adapter);
            if !seen.insert(adapter) {
                let found = format!("the duplicate adapter \"{adapter}\"");
                self.findings.error(path, found, "unique adapters");
            }
        }
    }

    fn check_endpoints(&mut self) {
        let mut addresses = HashMap::new();
        let models: HashSet<&Name> = self.sheet.models.iter().map(|it| &it.name).collect();
        for (i, endpoint) in self.sheet.endpoints.iter().enumerate() {
            let at = list("endpoints").index(i);
            let zone = &endpoint.availability_zone;
            self.check_reference(at.field("availability_zone"), zone, "availability_zones");
            self.check_address(&at, endpoint);
            if let Some(other) = addresses.insert(endpoint.address, &endpoint.name) {
                let found = format!("{}, the address of \"{other}\"", endpoint.address);
                self.findings.error(at.field("address"), found, "a unique address");
            }
            if endpoint.slots == 0 {
                self.findings.error(at.field("slots"), "0", "1 or more");
            }
            self.check_serves(&at, endpoint, &models);
        }
    }

    fn check_address(&mut self, at: &Path, endpoint: &Endpoint) {
        let address = endpoint.address;
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let expected = "the IP address and port of one endpoint";
            self.findings.error(at.field("address"), address.to_string(), expected);
        }
    }

    fn check_serves(&mut self, at: &Path, endpoint: &Endpoint, models: &HashSet<&Name>) {
        let at = at.field("serves");
        if endpoint.serves.is_empty() {
            self.findings.error(at.clone(), "an empty list", "at least one name");
        }
        let mut seen = HashSet::new();
        for (i, name) in endpoint.serves.iter().enumerate() {
            let path = at.index(i);
            check_name(&mut self.findings, path.clone(), name);
            if !seen.insert(name) {
                self.findings.error(
                    path.clone(),
                    format!("the duplicate name \"{name}\""),
                    "unique names",
                );
            }
            if endpoint.kind == TargetKind::Model && !models.contains(name) {
                let found = format!("the unknown model \"{name}\"");
                let finding = self.findings.error(path, found, "a name in `models`");
                finding.rests_on = Some(list("models"));
            }
        }
    }

    fn check_prices(&mut self) {
        let mut pairs = HashSet::new();
        for (i, price) in self.sheet.prices.iter().enumerate() {
            let at = list("prices").index(i);
            self.check_region(at.field("from"), &price.from);
            self.check_region(at.field("to"), &price.to);
            self.check_price(&at, price);
            if !pairs.insert((&price.from, &price.to)) {
                let found = format!("a second price from \"{}\" to \"{}\"", price.from, price.to);
                self.findings.error(at, found, "one price for each pair of regions");
            }
        }
    }

    fn check_price(&mut self, at: &Path, price: &Price) {
        if !price.per_gigabyte.is_finite() || price.per_gigabyte < 0.0 {
            let found = price.per_gigabyte.to_string();
            self.findings.error(at.field("per_gigabyte"), found, "0 or more");
        }
        if price.from == price.to {
            let found = format!("\"{}\", the same region as `from`", price.to);
            self.findings.error(at.field("to"), found, "another region");
        }
    }

    fn check_region(&mut self, path: Path, region: &Name) {
        if !self.sheet.availability_zones.iter().any(|it| it.region == *region) {
            let found = format!("the unknown region \"{region}\"");
            let finding = self.findings.error(path, found, "the region of an availability zone");
            finding.rests_on = Some(list("availability_zones"));
        }
    }

    fn check_reference(&mut self, path: Path, name: &Name, field: &str) {
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

    fn check_percent(&mut self, path: Path, percent: f64) {
        if !(0.0..=MAX_PERCENT).contains(&percent) {
            self.findings.error(path, percent.to_string(), "0 to 100");
        }
    }

    /// Reports the first entry at which the running sum of a list's percentages exceeds the limit.
    fn check_percent_sum(&mut self, field: &str, percent_field: &str, shares: Vec<f64>) {
        let total: f64 = shares.iter().sum();
        let mut sum = 0.0;
        for (i, share) in shares.iter().enumerate() {
            sum += share;
            if sum > MAX_PERCENT + PERCENT_TOLERANCE {
                let found =
                    format!("a sum of {total} % over the list, more than 100 % from this entry on");
                let path = list(field).index(i).field(percent_field);
                self.findings.error(path, found, "at most 100 %").rests_on = Some(list(field));
                return;
            }
        }
    }
}

fn list(field: &str) -> Path {
    Path::root().field(field)
}

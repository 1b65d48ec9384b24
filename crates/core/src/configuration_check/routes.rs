//! Routes and services that no request reaches, and limits that contradict each other.

use std::collections::{HashMap, HashSet};

use crate::{
    Name,
    finding::{Findings, Path},
    routing::{CallerLimits, ClientAccount, RetrySafety, Route, ScaleLimits, Service},
};

/// A client account with its credentials.
#[derive(Clone, Debug)]
pub struct AccountEntry {
    /// The account.
    pub account: ClientAccount,
    /// Its credentials, which no message may show.
    pub keys: Vec<Name>,
}

/// Routes, services and accounts in the order of their document.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Client accounts; `None` if the document has no list of them, so that requests need no key. An empty
    /// list lets nobody in.
    pub accounts: Option<Vec<AccountEntry>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Checks routes and services. Paths are those of [`RoutingTable`]; the findings have no location.
///
/// An instance puts such a table into force in any case. What is called an error refuses every request
/// of a route.
pub fn check_routes(table: &RoutingTable) -> Findings {
    let mut findings = Findings::default();
    let mut prefixes = HashMap::new();
    for (i, route) in table.routes.iter().enumerate() {
        let at = Path::root().field("routes").index(i);
        let first = prefixes.entry((&route.host, &route.path_prefix)).or_insert(&route.name);
        if !std::ptr::eq(*first, &route.name) {
            let found = format!("\"{}\", which route \"{first}\" has too", route.path_prefix);
            let expected = "another prefix, or no request reaches the route";
            findings.warning(at.field("path_prefix"), found, expected);
        }
        if !route.path_prefix.starts_with('/') {
            let found = format!("\"{}\"", route.path_prefix);
            let expected = "a prefix that begins with a slash, as all paths do";
            findings.warning(at.field("path_prefix"), found, expected);
        }
        check_targets(&at, route, &table.services, &mut findings);
        check_times(&at, route, &mut findings);
        check_attempts(&at, route, &mut findings);
    }
    check_services(table, &mut findings);
    if let Some(accounts) = &table.accounts {
        check_accounts(accounts, &mut findings);
    }
    findings
}

fn check_targets(at: &Path, route: &Route, services: &[Service], findings: &mut Findings) {
    let list = at.field("targets");
    if route.targets.is_empty() {
        findings.error(list.clone(), "no service", "at least one, or all requests are refused");
    }
    let have_no_weight = route.targets.iter().all(|it| it.weight == 0);
    if !route.targets.is_empty() && have_no_weight {
        findings.error(list.clone(), "no weight", "one above 0, or all requests are refused");
    }
    for (i, target) in route.targets.iter().enumerate() {
        if !services.iter().any(|it| it.name == target.service) {
            let found = format!("the unknown service \"{}\"", target.service.escape_debug());
            let finding =
                findings.error(list.index(i).field("service"), found, "a service of the list");
            finding.rests_on = Some(Path::root().field("services"));
        }
        if target.weight == 0 {
            let expected = "1 or more, or the service gets none of the route's requests";
            findings.warning(list.index(i).field("weight"), "0", expected);
        }
    }
}

fn check_times(at: &Path, route: &Route, findings: &mut Findings) {
    let timeout_ms = route.timeout_ms;
    if timeout_ms == 0 {
        findings.error(at.field("timeout_ms"), "0", "1 or more, or all requests are refused");
        return;
    }
    let goals = [("goal_ms", Some(route.goal_ms)), ("event_gap_goal_ms", route.event_gap_goal_ms)];
    for (field, goal_ms) in goals {
        if let Some(goal_ms) = goal_ms.filter(|it| *it > timeout_ms) {
            let expected = format!("at most the time-out, {timeout_ms}");
            findings.warning(at.field(field), goal_ms.to_string(), expected).rests_on =
                Some(at.field("timeout_ms"));
        }
    }
    if route.event_gap_goal_ms.is_some() && !route.retry_safety.is_stream() {
        let expected = "none, since its responses are no streams";
        findings.warning(at.field("event_gap_goal_ms"), "a goal for the gap of events", expected);
    }
}

fn check_attempts(at: &Path, route: &Route, findings: &mut Findings) {
    if route.attempts == 0 {
        findings.error(at.field("attempts"), "0", "1 or more, or all requests are refused");
    }
    // Streams of a service that cannot be resumed are sent again only before they may have run.
    if route.retry_safety == RetrySafety::NonIdempotent && route.attempts > 1 {
        let expected = "1, since its requests are not sent again after they may have run";
        findings.warning(at.field("attempts"), route.attempts.to_string(), expected);
    }
}

fn check_services(table: &RoutingTable, findings: &mut Findings) {
    let used: HashSet<&Name> =
        table.routes.iter().flat_map(|it| &it.targets).map(|it| &it.service).collect();
    let mut seen = HashSet::new();
    for (i, service) in table.services.iter().enumerate() {
        let at = Path::root().field("services").index(i);
        if !seen.insert(&service.name) {
            let found = format!("the duplicate name \"{}\"", service.name.escape_debug());
            findings.error(at.field("name"), found, "unique names");
        }
        if !used.contains(&service.name) {
            let found = "a service that no route names";
            findings.warning(at.clone(), found, "a route to it").rests_on =
                Some(Path::root().field("routes"));
        }
        if service.connection_limit == Some(0) {
            let expected = "1 or more, or its endpoints accept no connection";
            findings.warning(at.field("connection_limit"), "0", expected);
        }
        if service.engine.is_some_and(|it| it.slots == 0) {
            findings.warning(at.field("engine").field("slots"), "0", "1 or more");
        }
        if let Some(scale) = &service.scale {
            check_scale(&at.field("scale"), scale, findings);
        }
    }
}

fn check_accounts(accounts: &[AccountEntry], findings: &mut Findings) {
    if accounts.iter().all(|it| it.keys.is_empty()) {
        let found = "no account with a key";
        let expected = "one, or all requests are refused except on public routes";
        findings.warning(Path::root().field("accounts"), found, expected);
    }
    let mut owners = HashMap::new();
    for (i, AccountEntry { account, keys }) in accounts.iter().enumerate() {
        let at = Path::root().field("accounts").index(i);
        if keys.is_empty() {
            findings.warning(
                at.clone(),
                "an account without a key",
                "one, or no caller can use it",
            );
        }
        for (j, key) in keys.iter().enumerate() {
            if key.is_empty() {
                let path = at.field("keys").index(j);
                findings.warning(path, "an empty key", "another one, as no request can bring it");
            }
            if let Some(owner) = owners.insert(key, &account.name) {
                let found = format!("a key that account \"{owner}\" has too");
                let expected = "a key of one account only; the last one gets the requests";
                findings.warning(at.field("keys").index(j), found, expected);
            }
        }
    }
}

fn check_scale(at: &Path, scale: &ScaleLimits, findings: &mut Findings) {
    if scale.min > scale.max {
        let expected = format!("at most the greatest number, {}", scale.max);
        findings.error(at.field("min"), scale.min.to_string(), expected).rests_on =
            Some(at.field("max"));
    }
    if let Some(ratio) = scale.spot_price_ratio.filter(|it| !(0.0..=1.0).contains(it)) {
        let expected = "0 to 1, the part of an on-demand server's price";
        findings.warning(at.field("spot_price_ratio"), ratio.to_string(), expected);
    }
    let mut prices: Vec<_> = scale.zone_prices.iter().collect();
    prices.sort_unstable_by_key(|it| it.0);
    for (zone, price) in prices {
        if !price.is_finite() || *price < 0.0 {
            findings.error(at.field("zone_prices").field(zone), price.to_string(), "0 or more");
        }
    }
}

//! The route, the client account and the rank of a request.

use std::collections::HashMap;

use tanagergauge_core::{
    Name,
    access::{Access, Credential, CredentialFault, Identity},
    routing::{
        CallerLimits, ClientAccount, Configuration, EngineLimits, RetrySafety, Route, Service,
        Target,
    },
};

fn route(name: &str, path_prefix: &str, priority: u8) -> Route {
    Route {
        name: name.into(),
        host: "booth.example".into(),
        path_prefix: path_prefix.into(),
        retry_safety: RetrySafety::Idempotent,
        timeout_ms: 1_000,
        goal_ms: 100,
        event_gap_goal_ms: None,
        priority,
        targets: vec![Target { service: "cues".into(), weight: 1 }],
        attempts: 2,
        public: name == "public",
        has_prompt_parts: false,
    }
}

fn account(name: &str, priority: Option<u8>) -> ClientAccount {
    ClientAccount { name: name.into(), priority }
}

fn unauthenticated(fault: CredentialFault) -> Identity {
    Identity::Unauthenticated(fault)
}

fn configuration() -> Configuration {
    let accounts = HashMap::from([
        (Name::from("key-1"), account("pit", Some(0))),
        (Name::from("key-2"), account("house", Some(1))),
        (Name::from("key-3"), account("guest", None)),
    ]);
    configuration_with(Access::Accounts(accounts))
}

fn configuration_with(access: Access) -> Configuration {
    let routes =
        vec![route("short", "/a/", 0), route("long", "/a/b/", 1), route("public", "/p/", 2)];
    let service = Service {
        name: "cues".into(),
        connection_limit: Some(10),
        health_path: None,
        engine: None,
        scale: None,
    };
    let limits = CallerLimits { body_bytes: 100, idle_timeout_ms: 1_000 };
    Configuration::new(7, routes, vec![service], access, limits)
}

macro_rules! finds {
    ($($name:ident: $host:literal $path:literal => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let configuration = configuration();
            let found = configuration.route($host, $path).map(|it| it.name.to_string());
            assert_eq!(found.as_deref(), $expected);
        }
    )*};
}

finds! {
    the_longest_prefix_wins: "booth.example" "/a/b/c" => Some("long");
    a_shorter_prefix_matches_the_rest: "booth.example" "/a/bc" => Some("short");
    a_path_without_the_slash_of_the_prefix_has_no_route: "booth.example" "/a" => None;
    an_unknown_host_has_no_route: "hall.example" "/a/" => None;
    the_port_is_ignored: "booth.example:8740" "/a/" => Some("short");
    the_case_of_the_host_is_ignored: "Booth.Example" "/a/" => Some("short");
}

macro_rules! identifies {
    ($($name:ident: $path:literal $key:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let configuration = configuration();
            let route = configuration.route("booth.example", $path).expect("a route");
            assert_eq!(configuration.authenticate(route, $key), $expected);
        }
    )*};
}

identifies! {
    a_known_key_names_its_account: "/a/" Credential::Key("key-1") => Identity::Account(account("pit", Some(0)));
    an_unknown_key_is_refused: "/a/" Credential::Key("key-9") => unauthenticated(CredentialFault::Unknown);
    a_missing_key_is_refused: "/a/" Credential::Missing => unauthenticated(CredentialFault::Missing);
    a_public_route_needs_no_key: "/p/" Credential::Missing => Identity::Anonymous;
    an_unknown_key_is_refused_on_a_public_route: "/p/" Credential::Key("key-9") => unauthenticated(CredentialFault::Unknown);
    several_credentials_are_refused: "/a/" Credential::Ambiguous => unauthenticated(CredentialFault::Ambiguous);
    several_credentials_are_refused_on_a_public_route: "/p/" Credential::Ambiguous => unauthenticated(CredentialFault::Ambiguous);
    a_public_route_accepts_a_key: "/p/" Credential::Key("key-2") => Identity::Account(account("house", Some(1)));
}

/// Guards against access for everyone once the last key is taken away.
#[test]
fn accounts_without_a_key_let_nobody_in() {
    let configuration = configuration_with(Access::Accounts(HashMap::new()));
    let identify = |path: &str, key| {
        configuration
            .authenticate(configuration.route("booth.example", path).expect("a route"), key)
    };
    for key in [Credential::Missing, Credential::Key(""), Credential::Key("key-1")] {
        assert_eq!(identify("/a/", key), unauthenticated(CredentialFault::NoKeys), "{key:?}");
    }
    assert_eq!(identify("/p/", Credential::Missing), Identity::Anonymous);
}

#[test]
fn open_access_needs_no_key() {
    let configuration = configuration_with(Access::Open);
    let route = configuration.route("booth.example", "/a/").expect("a route");
    for key in [Credential::Missing, Credential::Key("key-1")] {
        assert_eq!(configuration.authenticate(route, key), Identity::Anonymous, "{key:?}");
    }
}

/// Most accounts have equal priority. When the account's priority replaced that of the route,
/// urgent routes of these accounts were preempted by less urgent ones.
#[test]
fn accounts_rank_before_routes_and_routes_within_accounts() {
    let configuration = configuration();
    let rank = |path, account: ClientAccount| {
        let route = configuration.route("booth.example", path).expect("a route");
        configuration.rank(route, Some(&account))
    };
    let order = [
        rank("/a/", account("pit", Some(0))),
        rank("/a/b/", account("pit", Some(0))),
        rank("/a/", account("house", Some(1))),
        rank("/a/b/", account("house", Some(1))),
        rank("/a/", account("guest", None)),
    ];
    assert!(order.is_sorted_by(|a, b| a < b), "{order:?}");
}

#[test]
fn targets_take_requests_by_weight() {
    let mut split = route("split", "/s/", 0);
    split.targets = vec![
        Target { service: "old".into(), weight: 90 },
        Target { service: "new".into(), weight: 10 },
    ];
    let new = (0..1_000).filter(|it| split.target(*it).is_some_and(|it| &**it == "new")).count();
    assert_eq!(new, 100);
}

/// Guards against a service that gets all requests although its weight says none.
#[test]
fn targets_without_a_weight_take_no_request() {
    let mut route = route("split", "/s/", 0);
    for targets in [&["old"][..], &["old", "new"], &[]] {
        let target = |it: &&str| Target { service: Name::from(*it), weight: 0 };
        route.targets = targets.iter().map(target).collect();
        assert!((0..100).all(|it| route.target(it).is_none()), "{targets:?}");
    }
    route.targets = vec![
        Target { service: "old".into(), weight: 0 },
        Target { service: "new".into(), weight: 1 },
    ];
    assert!((0..100).all(|it| route.target(it).is_some_and(|it| &**it == "new")));
}

macro_rules! is_latency_sensitive {
    ($($name:ident: $gap_goal_ms:literal, $tokens:literal => $expected:literal;)*) => {$(
        #[test]
        fn $name() {
            let engine =
                EngineLimits { slots: 48, kv_capacity_tokens: 400_000, tokens_per_event: $tokens };
            let mut route = route("stream", "/s/", 0);
            route.event_gap_goal_ms = Some($gap_goal_ms);
            assert_eq!(route.is_latency_sensitive(&engine), $expected);
        }
    )*};
}

is_latency_sensitive! {
    three_tokens_take_less_than_150_ms: 150, 3 => false;
    five_tokens_take_more_than_200_ms: 200, 5 => true;
    five_tokens_take_less_than_300_ms: 300, 5 => false;
    six_tokens_take_more_than_200_ms: 200, 6 => true;
}

//! The pages keep up with the code.

use std::{collections::BTreeSet, fs, path::PathBuf};

use strum::IntoEnumIterator;
use tanagergauge_core::Reason;

fn file(path: &str) -> String {
    let root = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    fs::read_to_string(root.join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn assert_names(page: &str, names: impl Iterator<Item = String>) {
    let text = file(page);
    let missing: Vec<String> = names.filter(|it| !text.contains(&format!("`{it}`"))).collect();
    assert!(missing.is_empty(), "{page} does not name {missing:?}");
}

/// The text between quotes that begins with `prefix`, wherever it stands in a package.
fn literals(package: &str, prefix: &str) -> BTreeSet<String> {
    let packages = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let entries = fs::read_dir(packages.join(package).join("src"));
    let mut found = BTreeSet::new();
    for entry in entries.expect("the sources can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            continue;
        }
        let text = fs::read_to_string(path).expect("the source can be read");
        found.extend(text.split('"').filter(|it| it.starts_with(prefix)).map(str::to_owned));
    }
    found
}

/// Pages with links to others.
const LINKING_PAGES: [&str; 8] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/CAPACITY.md",
    "docs/DESIGN.md",
    "docs/MEMBERSHIP.md",
    "docs/OPERATIONS.md",
    "docs/OUTCOMES.md",
    "docs/POLICY.md",
];

#[test]
fn every_reason_is_explained() {
    assert_names("docs/OPERATIONS.md", Reason::iter().map(|it| it.to_string()));
}

#[test]
fn every_metric_is_explained() {
    for package in ["daemon", "gateway"] {
        let metrics: BTreeSet<String> = literals(package, "tanagergauge_")
            .into_iter()
            .filter(|it| it.chars().all(|c| c == '_' || c.is_ascii_lowercase()))
            .collect();
        assert!(metrics.len() > 5, "{metrics:?}");
        assert_names("docs/OPERATIONS.md", metrics.into_iter());
    }
}

/// Fields of the settings' structs in a file of the daemon.
fn fields(path: &str) -> Vec<String> {
    let source = file(path);
    let fields = source.lines().filter_map(|it| it.strip_prefix("    pub "));
    let fields = fields.filter_map(|it| it.split_once(": ")).map(|it| it.0.to_owned());
    fields.filter(|it| !it.contains(' ')).collect()
}

#[test]
fn every_setting_is_explained() {
    let page = file("docs/OPERATIONS.md");
    let named = |field: &str| ["`", "."].iter().any(|it| page.contains(&format!("{it}{field}`")));
    let groups = ["platform", "limits", "stop", "policy", "idempotency"];
    let sources = ["settings", "policy", "idempotency"];
    let fields = sources.iter().flat_map(|it| fields(&format!("crates/daemon/src/{it}.rs")));
    let missing: Vec<String> =
        fields.filter(|it| !groups.contains(&it.as_str()) && !named(it)).collect();
    assert!(missing.is_empty(), "docs/OPERATIONS.md does not name {missing:?}");
}

#[test]
fn the_example_settings_hold_the_defaults() {
    let text = file("examples/settings.yaml");
    let required = text.split("# Where peers").next().expect("the text has a first part");
    let parse = |text: &str| {
        let settings = tanagergauge_daemon::Settings::parse(text);
        settings.unwrap_or_else(|findings| panic!("{findings}"))
    };
    assert_eq!(format!("{:?}", parse(&text)), format!("{:?}", parse(required)));
    for field in ["policy", "idempotency"].map(|it| format!("crates/daemon/src/{it}.rs")) {
        for field in fields(&field) {
            assert!(text.contains(&format!("  {field}: ")), "no {field}");
        }
    }
}

#[test]
fn links_lead_somewhere() {
    for page in LINKING_PAGES {
        let text = file(page);
        let directory = PathBuf::from(page).parent().map(PathBuf::from).unwrap_or_default();
        for link in text.split("](").skip(1).filter_map(|it| it.split(')').next()) {
            let path = directory.join(link);
            let root = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
            assert!(root.join(&path).exists(), "{page} links to {link}");
        }
    }
}

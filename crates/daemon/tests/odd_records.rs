//! Odd entries of the platform's list and odd records of the stream of sheets: instances run on, and
//! what follows them is obeyed.

use tanagergauge_core::{
    Name, Outcome,
    record::{Base, Body, Publication, SheetRecord},
};
use tanagergauge_testenv::{Call, Fleet, FleetOptions, URGENT_CLASS, eventually};
use tokio::net::TcpListener;

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");
/// Levels of a value that is nested too deeply for any call stack.
const LEVELS: usize = 200_000;
/// Longest log line, in bytes.
const MAX_LINE_BYTES: usize = 4_000;

async fn fleet() -> Fleet {
    let options = FleetOptions { instances: 2, ..FleetOptions::default() };
    Fleet::start(BINARY, options).await.unwrap()
}

async fn check_instances(fleet: &mut Fleet) {
    for instance in &mut fleet.instances {
        assert!(instance.is_running());
        let answer = Call::chat(URGENT_CLASS, "act").max_tokens(1).send(instance.address()).await;
        assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
        let longest = instance.log().iter().map(String::len).max().unwrap_or(0);
        assert!(longest < MAX_LINE_BYTES, "a log line of {longest} bytes");
    }
}

/// An entry of the list with one field replaced.
fn entry(field: &str, value: &str) -> String {
    let fields = [
        ("name", "\"odd\""),
        ("kind", "\"instance\""),
        ("address", "\"127.0.0.1:1\""),
        ("control_address", "null"),
        ("availability_zone", "\"zone-1\""),
        ("state", "\"live\""),
    ];
    let value_of = |(name, it): (&'static str, &'static str)| {
        format!("\"{name}\":{}", if name == field { value } else { it })
    };
    format!("{{{}}}", fields.map(value_of).join(","))
}

/// Entries of the list that cannot be read: an instance that is listed beside them is found.
macro_rules! odd_entries {
    ($($name:ident: $odd:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let mut fleet = fleet().await;
            let listed = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut entries = fleet.platform.entries();
            entries[0].name = "unknown".to_owned();
            entries[0].control_address = Some(listed.local_addr().unwrap());
            fleet.platform.set_odd_entries([$odd]);
            fleet.platform.set_entries(entries);
            let found = tokio::time::timeout(std::time::Duration::from_secs(20), listed.accept());
            drop(found.await.expect("the listed instance is called").unwrap());
            check_instances(&mut fleet).await;
        }
    )*};
}

odd_entries! {
    a_nested_entry: format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS));
    a_nested_field: entry("name", &format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS)));
    a_port_out_of_range: entry("address", "\"127.0.0.1:65536\"");
    a_control_port_out_of_range: entry("control_address", "\"127.0.0.1:99999\"");
    a_number_for_a_name: entry("name", "1e999");
    an_unknown_kind: entry("kind", "\"storage\"");
    an_unknown_state: entry("state", "\"resting\"");
    an_entry_without_fields: "{}".to_owned();
    a_large_entry: entry("state", &format!("\"{}\"", "s".repeat(1 << 20)));
}

fn sheet_text(text: impl Into<String>) -> Vec<u8> {
    let body = Body::Whole(Name::from(text.into()));
    let publication = Publication { publication_id: 9, base: Base::Version(0), body };
    SheetRecord::Publication(publication).encode()
}

/// A publication of this many edits, of which none follows.
fn edits_of_any_length() -> Vec<u8> {
    let body = Body::Edits(Vec::new());
    let publication = Publication { publication_id: 9, base: Base::Version(0), body };
    let mut bytes = SheetRecord::Publication(publication).encode();
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    bytes
}

/// Records of the stream of sheets that bring nothing into force: the next sheet does.
macro_rules! odd_sheets {
    ($($name:ident: $odd:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let mut fleet = fleet().await;
            for _ in 0..3 {
                fleet.platform.append("sheets", $odd);
            }
            check_instances(&mut fleet).await;
            let mut sheet = fleet.plan.sheet();
            sheet.client_accounts[0].credentials.clear();
            fleet.publish(&sheet);
            for number in 0..fleet.instances.len() {
                let address = fleet.instances[number].address();
                eventually("the next sheet is in force", async || {
                    let call = Call::chat(URGENT_CLASS, "act").max_tokens(1);
                    call.send(address).await.status == 401
                })
                .await;
            }
            for instance in &mut fleet.instances {
                assert!(instance.is_running());
                let longest = instance.log().iter().map(String::len).max().unwrap_or(0);
                assert!(longest < MAX_LINE_BYTES, "a log line of {longest} bytes");
            }
        }
    )*};
}

odd_sheets! {
    an_empty_record: Vec::new();
    a_record_of_ones: vec![0xff; 4_096];
    a_record_of_zeros: vec![1, 0, 0, 0, 0, 0, 0];
    a_large_record: vec![0x7f; 1 << 20];
    edits_without_end: edits_of_any_length();
    a_sheet_that_is_no_yaml: sheet_text("{{{");
    a_sheet_of_open_lists: sheet_text("[".repeat(LEVELS));
    a_sheet_of_nested_lists: sheet_text(format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS)));
    a_sheet_of_nested_objects: sheet_text("{a: ".repeat(LEVELS));
    a_sheet_of_nested_items: sheet_text("- ".repeat(LEVELS));
    a_sheet_nested_in_a_field: sheet_text(format!("sheet: {}", "[".repeat(LEVELS)));
    a_sheet_of_a_large_text: sheet_text(format!("sheet: {}", "x".repeat(1 << 20)));
    a_sheet_with_a_large_unknown_field: sheet_text(format!("{}: 1", "x".repeat(100_000)));
    a_sheet_with_a_number_too_large: sheet_text("sheet: s\ntiers: [{name: t, priority: 1e999}]");
}

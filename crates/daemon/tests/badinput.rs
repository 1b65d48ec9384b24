//! Requests that cannot be accepted: a clear error, a counter, and nothing run.

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tanagergauge_core::{Name, Outcome, Reason, sheet::Credential};
use tanagergauge_testenv::{
    Call, Fleet, FleetOptions, LOOKUP_CLASS, OTHER_TOKEN, PUBLISH_CLASS, RawConnection, TOKEN,
    URGENT_CLASS, eventually,
};

const BINARY: &str = env!("CARGO_BIN_EXE_tanagergauged");

/// Largest body that the instances accept, in bytes.
const BODY_BYTES: usize = 10_000;

/// Limits of the instances; times in milliseconds.
const LIMITS: &str = "body_bytes: 10000, body_timeout_ms: 300, head_timeout_ms: 300";

const CHAT_PATH: &str = "/v1/chat/completions";

async fn fleet() -> Fleet {
    let options = FleetOptions { limits: LIMITS.to_owned(), ..FleetOptions::default() };
    Fleet::start(BINARY, options).await.unwrap()
}

/// Fails unless nothing ran, the reason was counted once, and the next request is served.
async fn assert_unharmed(fleet: &Fleet, reason: Reason) {
    assert!(fleet.engines[0].records().is_empty());
    assert!(fleet.services[0].runs().is_empty());
    let label = format!("reason=\"{reason}\"");
    eventually("the reason is counted", async || {
        fleet.instances[0].counter("tanagergauge_refusals_total", &label).await == 1
    })
    .await;
    let answer = chat().send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
}

fn chat() -> Call {
    Call::chat(URGENT_CLASS, "act one").max_tokens(3)
}

fn lookup() -> Call {
    Call::service(LOOKUP_CLASS, "lookup", "cue")
}

macro_rules! refused {
    ($($name:ident: $call:expr => $status:literal, $reason:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            let call = $call.id("bad-1");
            let answer = call.send(fleet.instances[0].address()).await;
            assert_eq!(answer.status, $status, "{answer:?}");
            assert_eq!(answer.outcome(), Some(Outcome::NotRun));
            assert_eq!(answer.reason(), Some(Reason::$reason), "{answer:?}");
            assert_eq!(answer.header("x-outcome-reason"), Some(Reason::$reason.into()));
            assert_eq!(answer.header("x-request-id"), Some("bad-1"));
            let error = answer.error().unwrap();
            assert_eq!(error["request_id"], "bad-1");
            assert!(error["message"].as_str().is_some_and(|it| !it.is_empty()));
            assert_unharmed(&fleet, Reason::$reason).await;
        }
    )*};
}

refused! {
    a_large_body: chat().body(vec![b' '; BODY_BYTES + 1]) => 413, BodyTooLarge;
    a_large_body_of_a_service: lookup().body(vec![0; BODY_BYTES + 1]) => 413, BodyTooLarge;
    an_empty_body: chat().body("") => 400, Malformed;
    a_body_that_is_no_json: chat().body("{{{") => 400, Malformed;
    a_body_that_ends_early: chat().body(r#"{"model":"libretto","messages":["#) => 400, Malformed;
    a_body_that_is_not_utf8: chat().body(&b"{\"model\":\"\xff\xfe\"}"[..]) => 400, Malformed;
    a_body_without_a_model: chat().body("{}") => 400, Malformed;
    a_model_that_is_no_text: chat().field("model", json!(7)) => 400, Malformed;
    a_body_nested_deeply: chat().body("[".repeat(5_000)) => 400, Malformed;
    our_own_field: chat().field("resume", json!({"delivered_tokens": 3})) => 400, Malformed;
    an_unknown_model: chat().field("model", json!("opera")) => 404, UnknownTarget;
    an_unknown_adapter: chat().field("model", json!("libretto:none")) => 404, UnknownTarget;
    an_unknown_service: lookup().path("/services/none/x") => 404, UnknownTarget;
    an_unknown_path: Call::get("/v2/anything").token(TOKEN) => 404, UnknownPath;
    an_unknown_class: chat().class("none") => 400, UnknownClass;
    no_class: chat().without("X-Service-Class") => 400, UnknownClass;
    a_class_for_services: chat().class(LOOKUP_CLASS) => 400, WrongKind;
    a_class_for_models: lookup().class(URGENT_CLASS) => 400, WrongKind;
    no_credentials: chat().without("Authorization") => 401, Unauthenticated;
    an_unknown_token: chat().token("guess") => 401, Unauthenticated;
    another_scheme: chat().header("Authorization", "Basic c3RhZ2U6") => 401, Unauthenticated;
    no_key_for_what_may_not_be_repeated: lookup().class(PUBLISH_CLASS) => 400, KeyMissing;
    a_key_with_spaces: lookup().class(PUBLISH_CLASS).key("a b") => 400, KeyMalformed;
    a_deadline_that_is_no_number: chat().header("X-Deadline-Ms", "soon") => 400, Malformed;
    a_deadline_of_nothing: chat().header("X-Deadline-Ms", "0") => 400, Malformed;
    two_classes: chat().second("X-Service-Class", URGENT_CLASS) => 400, DuplicateHeader;
    two_tokens: chat().second("Authorization", "Bearer stage-token") => 400, DuplicateHeader;
    two_keys: lookup().key("a").second("Idempotency-Key", "b") => 400, DuplicateHeader;
    two_deadlines:
        chat().deadline_ms(900).second("X-Deadline-Ms", "901") => 400, DuplicateHeader;
}

/// Guards against accounts that use classes which the sheet doesn't give them.
#[tokio::test]
async fn a_class_that_is_not_the_accounts_is_refused() {
    let mut fleet = fleet().await;
    let mut sheet = fleet.plan.sheet();
    sheet.client_accounts[0].classes = vec![Name::from(LOOKUP_CLASS)];
    fleet.publish(&sheet);
    eventually("the sheet is in force", async || {
        chat().send(fleet.instances[0].address()).await.status == 400
    })
    .await;
    let runs = fleet.engines[0].records().len();
    let refused = chat().send(fleet.instances[0].address()).await;
    let seen = (refused.status, refused.outcome(), refused.reason());
    assert_eq!(seen, (400, Some(Outcome::NotRun), Some(Reason::UnknownClass)));
    assert_eq!(fleet.engines[0].records().len(), runs);
    let allowed = lookup().send(fleet.instances[0].address()).await;
    assert_eq!(allowed.outcome(), Some(Outcome::Answered), "{allowed:?}");
    let other = chat().token(OTHER_TOKEN).send(fleet.instances[0].address()).await;
    assert_eq!(other.outcome(), Some(Outcome::Answered), "{other:?}");
}

/// Guards against an account whose last credential is taken away and that everyone may use then.
#[tokio::test]
async fn accounts_without_credentials_let_nobody_in() {
    let mut fleet = fleet().await;
    let mut sheet = fleet.plan.sheet();
    for account in &mut sheet.client_accounts {
        account.credentials.clear();
    }
    fleet.publish(&sheet);
    eventually("the sheet is in force", async || {
        chat().send(fleet.instances[0].address()).await.status == 401
    })
    .await;
    let runs = fleet.engines[0].records().len();
    for call in [chat(), chat().token("guess"), chat().token(""), chat().without("Authorization")] {
        let answer = call.send(fleet.instances[0].address()).await;
        assert_eq!((answer.status, answer.outcome()), (401, Some(Outcome::NotRun)), "{answer:?}");
    }
    assert_eq!(fleet.engines[0].records().len(), runs);
}

#[tokio::test]
async fn an_expired_token_is_named_as_such() {
    let mut fleet = fleet().await;
    let mut sheet = fleet.plan.sheet();
    let blake3 = Name::from(blake3::hash(b"old-token").to_string());
    let credential = Credential { blake3, not_after_unix_ms: Some(1) };
    sheet.client_accounts[0].credentials.push(credential);
    fleet.publish(&sheet);
    let call = chat().token("old-token");
    eventually("the sheet is in force", async || {
        let answer = call.send(fleet.instances[0].address()).await;
        assert_eq!((answer.status, answer.outcome()), (401, Some(Outcome::NotRun)));
        answer.reason() == Some(Reason::CredentialExpired)
    })
    .await;
    assert!(fleet.engines[0].records().is_empty());
}

/// A head that is right but for what a test adds.
fn head(more: &str) -> String {
    format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nHost: test\r\nX-Service-Class: {URGENT_CLASS}\r\n\
         Authorization: Bearer {TOKEN}\r\nConnection: close\r\n{more}\r\n"
    )
}

macro_rules! refused_raw {
    ($($name:ident: $bytes:expr => $status:literal, $reason:ident;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let fleet = fleet().await;
            let mut raw = RawConnection::open(fleet.instances[0].address()).await.unwrap();
            raw.write($bytes).await;
            let answer = raw.read_to_end().await;
            assert_eq!(answer.status(), Some($status), "{answer:?}");
            assert_unharmed(&fleet, Reason::$reason).await;
        }
    )*};
}

refused_raw! {
    a_body_that_never_comes: head("Content-Length: 5\r\n") => 408, BodyTimeout;
    half_a_body: head("Content-Length: 50\r\n") + "{\"model\"" => 408, BodyTimeout;
    chunks_beyond_the_limit:
        head("Transfer-Encoding: chunked\r\n") + "4e20\r\n" + &" ".repeat(20_000) + "\r\n0\r\n\r\n"
        => 413, BodyTooLarge;
    a_header_that_is_not_utf8:
        [head("Content-Length: 2\r\nX-Deadline-Ms: ").trim_end().as_bytes(), b"\xff\xfe\r\n\r\n{}"]
            .concat()
        => 400, Malformed;
    chunks_that_are_none: head("Transfer-Encoding: chunked\r\n") + "zz\r\n" => 400, Malformed;
    bytes_that_are_no_http: "\x00\x01\x02 what is this\r\n\r\n" => 400, Malformed;
    a_head_with_a_broken_line: "POST / HTTP/1.1\r\nno colon here\r\n\r\n" => 400, Malformed;
    two_lengths:
        head("Content-Length: 2\r\nContent-Length: 3\r\n") + "{}" => 400, Malformed;
    a_length_that_is_no_number: head("Content-Length: two\r\n") + "{}" => 400, Malformed;
    a_huge_head: head(&format!("X-Filler: {}\r\n", "a".repeat(200_000))) => 431, Malformed;
    too_many_headers: head(&"X-Filler: a\r\n".repeat(300)) => 431, Malformed;
}

#[tokio::test]
async fn a_head_that_never_ends_is_dropped() {
    let fleet = fleet().await;
    let mut raw = RawConnection::open(fleet.instances[0].address()).await.unwrap();
    raw.write("POST /v1/chat/completions HTTP/1.1\r\nHost: test\r\nX-Slow: ").await;
    // It must not take until the caller gives up.
    raw.read_to_end().await;
    assert!(fleet.engines[0].records().is_empty());
}

#[tokio::test]
async fn a_body_in_a_trickle_is_given_up() {
    let fleet = fleet().await;
    let mut raw = RawConnection::open(fleet.instances[0].address()).await.unwrap();
    raw.write(head("Content-Length: 1000\r\n")).await;
    let trickle = async {
        loop {
            raw.write(" ").await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let counted = eventually("it is given up", async || {
        let label = "reason=\"body_timeout\"";
        fleet.instances[0].counter("tanagergauge_refusals_total", label).await == 1
    });
    tokio::select! {
        () = trickle => {}
        () = counted => {}
    }
    assert_unharmed(&fleet, Reason::BodyTimeout).await;
}

#[tokio::test]
async fn a_body_that_breaks_off_runs_nothing() {
    let fleet = fleet().await;
    let mut raw = RawConnection::open(fleet.instances[0].address()).await.unwrap();
    raw.write(head("Content-Length: 50\r\n") + "{\"model\"").await;
    raw.close_writing().await;
    raw.read_to_end().await;
    assert_unharmed(&fleet, Reason::Malformed).await;
}

#[tokio::test]
async fn unknown_fields_and_headers_survive() {
    let fleet = fleet().await;
    let call = chat()
        .field("temperature", json!(0.5))
        .field("standin", json!({"output_tokens": 2}))
        .header("X-Anything", "kept");
    let answer = call.send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::Answered), "{answer:?}");
    // The engine makes the length it was told in a field that the instance does not know.
    assert_eq!(answer.json().unwrap()["usage"]["completion_tokens"], 2);
}

#[tokio::test]
async fn only_the_methods_of_a_path_are_served() {
    let fleet = fleet().await;
    let call = Call::new(Method::PUT, CHAT_PATH).token(TOKEN).class(URGENT_CLASS);
    let answer = call.send(fleet.instances[0].address()).await;
    assert_eq!(answer.outcome(), Some(Outcome::NotRun), "{answer:?}");
    assert_unharmed(&fleet, Reason::UnknownPath).await;
}

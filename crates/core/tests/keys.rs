//! Keys, tickets, claims, batches and the table of keys.

use std::sync::Arc;

use quickcheck::{Gen, QuickCheck};
use tanagergauge_core::{
    Name, Reason,
    claim::{Claim, ClaimIndex, ClaimRecord, ClaimStatus},
    claim_batch::{ClaimBatch, Due, MAX_CLAIMS},
    key::{KeyAge, KeyId, KeyLimits, RequestDigest, uuid_unix_ms},
    key_table::{DispatchDecision, KeyState, KeyTable, RequestAction, Reservation, StoredResponse},
    log::{LogRecord, Page},
    owner::Owner,
    ticket::{MAC_BYTES, Ticket, TicketError},
};

const LIMITS: KeyLimits = KeyLimits { max_age_ms: 1_000, max_skew_ms: 100, clock_error_ms: 50 };

fn key(text: &str) -> KeyId {
    KeyId::new(&Name::from("account"), text)
}

fn print(body: &str) -> RequestDigest {
    RequestDigest::new("class", "POST", "/", body.as_bytes())
}

fn owner(instance: &str) -> Owner {
    Owner { instance: Name::from(instance), incarnation: 1 }
}

fn answer(len: usize) -> Arc<StoredResponse> {
    Arc::new(StoredResponse { status: 200, headers: Vec::new(), body: vec![0; len].into() })
}

fn claim(text: &str, key_unix_ms: u64) -> Claim {
    Claim { key: key(text), key_unix_ms, digest: print("") }
}

/// Reads records given by offset, time of the append, instance and the claim's key time.
fn index(records: &[(u64, u64, &str, u64)]) -> ClaimIndex {
    let mut index = ClaimIndex::new(LIMITS);
    let record = |&(offset, appended_unix_ms, instance, key_unix_ms): &(u64, u64, &str, u64)| {
        let record = ClaimRecord { owner: owner(instance), claims: vec![claim("k", key_unix_ms)] };
        LogRecord { offset, appended_unix_ms, payload: record.encode() }
    };
    let records: Vec<LogRecord> = records.iter().map(record).collect();
    let first_offset = records[0].offset;
    index.apply(&Page { first_offset, next_offset: u64::MAX, records });
    index
}

fn won_by(index: &ClaimIndex, key_unix_ms: u64) -> Option<Name> {
    match index.status(key("k"), key_unix_ms) {
        ClaimStatus::Won(winner) => Some(winner.owner.instance.clone()),
        _ => None,
    }
}

fn running(table: &mut KeyTable, text: &str) {
    assert_eq!(table.reserve(key(text), 1_000, 0), Reservation::Reserved);
    assert_eq!(table.submit(key(text), print(""), 0), RequestAction::Run);
    assert_eq!(table.begin_dispatch(key(text)), DispatchDecision::Proceed);
}

fn mac(bytes: &[u8]) -> [u8; MAC_BYTES] {
    let sum = bytes.iter().fold(7u8, |sum, it| sum.wrapping_mul(31).wrapping_add(*it));
    [sum; MAC_BYTES]
}

fn ticket() -> Ticket {
    let account = Name::from("account");
    Ticket { issuer: owner("a"), account, expires_unix_ms: 1_000, serial: 3 }
}

macro_rules! cases {
    ($($name:ident: $body:expr;)*) => { $(#[test] fn $name() { $body })* };
}

cases! {
    same_text_of_two_accounts_is_two_keys: {
        assert_ne!(KeyId::new(&Name::from("a"), "k"), KeyId::new(&Name::from("b"), "k"));
        assert_ne!(KeyId::new(&Name::from("a"), "bk"), KeyId::new(&Name::from("ab"), "k"));
    };
    only_a_uuid_of_version_7_carries_a_time: {
        let text = "0190a0c0-1234-7abc-8def-0123456789ab";
        assert_eq!(uuid_unix_ms(text), Some(0x0190_a0c0_1234));
        assert_eq!(uuid_unix_ms(&text.replace("7abc", "4abc")), None);
        assert_eq!(uuid_unix_ms("cue 12"), None);
    };
    age_has_an_uncertain_edge: {
        assert_eq!(LIMITS.age(1_000, 2_000), KeyAge::Valid);
        assert_eq!(LIMITS.age(1_000, 2_001), KeyAge::Expired);
        assert_eq!(LIMITS.age(2_100, 2_000), KeyAge::Valid);
        assert_eq!(LIMITS.age(2_150, 2_000), KeyAge::PossiblyFromFuture);
        assert_eq!(LIMITS.age(2_151, 2_000), KeyAge::FromFuture);
    };
    lowest_offset_wins: assert_eq!(
        won_by(&index(&[(0, 500, "a", 500), (1, 501, "b", 500)]), 500),
        Some(Name::from("a"))
    );
    late_append_does_not_count: assert_eq!(
        won_by(&index(&[(0, 1_501, "a", 500)]), 500),
        None
    );
    early_append_does_not_count: assert_eq!(
        won_by(&index(&[(0, 399, "a", 500), (1, 500, "b", 500)]), 500),
        Some(Name::from("b"))
    );
    claim_behind_a_gap_is_disputed: {
        let index = index(&[(5, 450, "a", 500)]);
        assert!(matches!(index.status(key("k"), 500), ClaimStatus::Uncertain(_)));
        assert!(matches!(index.status(key("k"), 551), ClaimStatus::Won(_)));
    };
    claims_are_forgotten_when_none_can_be_in_time: {
        let mut index = index(&[(0, 500, "a", 500)]);
        let record = LogRecord { offset: 1, appended_unix_ms: 1_501, payload: Vec::new() };
        index.apply(&Page { first_offset: 0, next_offset: 2, records: vec![record] });
        assert!(index.is_empty());
    };
    lone_claim_waits_for_nothing: {
        let mut batch = ClaimBatch::new(owner("a"), 20);
        assert_eq!(batch.due(0), Due::Never);
        batch.push(claim("k", 0));
        assert_eq!(batch.due(0), Due::Now);
        batch.take(0);
        batch.push(claim("l", 0));
        batch.push(claim("l", 0));
        assert_eq!(batch.due(5), Due::At(20));
        assert_eq!(batch.take(20).claims.len(), 1);
    };
    record_of_claims_is_bounded: {
        let mut batch = ClaimBatch::new(owner("a"), 20);
        (0..=MAX_CLAIMS).for_each(|it| batch.push(claim(&it.to_string(), 0)));
        assert_eq!(batch.take(0).claims.len(), MAX_CLAIMS);
        assert_eq!(batch.take(20).claims.len(), 1);
    };
    refusal_is_final: {
        let mut table = KeyTable::new(1, 0);
        table.reserve(key("k"), 1_000, 0);
        assert_eq!(table.submit(key("k"), print(""), 0), RequestAction::Run);
        table.refuse(key("k"), Reason::QueueFull);
        assert_eq!(table.submit(key("k"), print(""), 1), RequestAction::NotRun(Reason::QueueFull));
        assert_eq!(table.begin_dispatch(key("k")), DispatchDecision::Abort);
    };
    refusal_after_dispatch_is_a_loss: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        table.refuse(key("k"), Reason::EndpointTimeout);
        assert_eq!(
            table.submit(key("k"), print(""), 1),
            RequestAction::Unknown(Reason::EndpointTimeout)
        );
    };
    only_one_request_runs: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.submit(key("k"), print(""), 1), RequestAction::Wait);
        assert_eq!(table.begin_dispatch(key("k")), DispatchDecision::Abort);
    };
    other_body_gets_no_answer: {
        let mut table = KeyTable::new(1, 1_000);
        running(&mut table, "k");
        table.complete(key("k"), answer(1));
        assert_eq!(table.submit(key("k"), print("x"), 1), RequestAction::Unknown(Reason::KeyReused));
    };
    old_answers_make_room: {
        let mut table = KeyTable::new(2, 700);
        running(&mut table, "k");
        running(&mut table, "l");
        table.complete(key("k"), answer(100));
        table.complete(key("l"), answer(100));
        assert_eq!(table.state(key("k")), Some(&KeyState::Answered(None)));
        assert_eq!(table.submit(key("k"), print(""), 1), RequestAction::Unknown(Reason::AnswerNotKept));
        assert_eq!(table.submit(key("l"), print(""), 1), RequestAction::Replay(answer(100)));
    };
    full_table_keeps_its_keys: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.reserve(key("l"), 1_000, 1_000), Reservation::Full);
        assert_eq!(table.reserve(key("l"), 2_000, 1_001), Reservation::Reserved);
    };
    clock_that_steps_back_revives_no_key: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.submit(key("k"), print(""), 1_001), RequestAction::Unknown(Reason::KeyExpired));
        assert_eq!(table.reserve(key("k"), 1_000, 5), Reservation::Expired);
    };
    ticket_of_another_key_is_forged: {
        let bytes = ticket().encode(mac);
        assert_eq!(Ticket::decode(&bytes, mac), Ok(ticket()));
        assert_eq!(Ticket::decode_unverified(&bytes), Ok(ticket()));
        assert_eq!(Ticket::decode(&bytes, |_| [9; MAC_BYTES]), Err(TicketError::BadMac));
        assert_eq!(Ticket::decode_unverified(&bytes[..9]), Err(TicketError::Malformed));
    };
}

/// No change of one byte of a ticket passes, and no bytes make the reader panic.
#[test]
fn changed_tickets_are_refused() {
    fn holds(at: usize, change: u8, noise: Vec<u8>) -> bool {
        let mut bytes = ticket().encode(mac);
        let at = at % bytes.len();
        bytes[at] ^= change.max(1);
        let _ = Ticket::decode_unverified(&noise);
        Ticket::decode(&bytes, mac).is_err()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 6))
        .quickcheck(holds as fn(usize, u8, Vec<u8>) -> bool);
}

//! Idempotency keys, tickets, claims, batches of claims and the key table.

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

fn digest(body: &str) -> RequestDigest {
    RequestDigest::new("class", "POST", "/", body.as_bytes())
}

fn owner(instance: &str) -> Owner {
    Owner { instance: Name::from(instance), incarnation: 1 }
}

fn response(len: usize) -> Arc<StoredResponse> {
    Arc::new(StoredResponse { status: 200, headers: Vec::new(), body: vec![0; len].into() })
}

fn claim(text: &str, key_unix_ms: u64) -> Claim {
    Claim { key: key(text), key_unix_ms, digest: digest("") }
}

/// Index of records given as offset, time of the append, instance and time of the claimed key.
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
    assert_eq!(table.submit(key(text), digest(""), 0), RequestAction::Run);
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
        assert_eq!(uuid_unix_ms("not a uuid"), None);
    };
    a_key_beyond_the_skew_is_possibly_from_the_future: {
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
    late_append_is_no_valid_claim: assert_eq!(
        won_by(&index(&[(0, 1_501, "a", 500)]), 500),
        None
    );
    early_append_is_no_valid_claim: assert_eq!(
        won_by(&index(&[(0, 399, "a", 500), (1, 500, "b", 500)]), 500),
        Some(Name::from("b"))
    );
    claim_after_a_gap_is_uncertain: {
        let index = index(&[(5, 450, "a", 500)]);
        assert!(matches!(index.status(key("k"), 500), ClaimStatus::Uncertain(_)));
        assert!(matches!(index.status(key("k"), 551), ClaimStatus::Won(_)));
    };
    claims_are_removed_when_no_later_one_can_be_valid: {
        let mut index = index(&[(0, 500, "a", 500)]);
        let record = LogRecord { offset: 1, appended_unix_ms: 1_501, payload: Vec::new() };
        index.apply(&Page { first_offset: 0, next_offset: 2, records: vec![record] });
        assert!(index.is_empty());
    };
    first_claim_is_appended_without_delay: {
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
    claims_per_record_are_bounded: {
        let mut batch = ClaimBatch::new(owner("a"), 20);
        (0..=MAX_CLAIMS).for_each(|it| batch.push(claim(&it.to_string(), 0)));
        assert_eq!(batch.take(0).claims.len(), MAX_CLAIMS);
        assert_eq!(batch.take(20).claims.len(), 1);
    };
    refusal_is_final: {
        let mut table = KeyTable::new(1, 0);
        table.reserve(key("k"), 1_000, 0);
        assert_eq!(table.submit(key("k"), digest(""), 0), RequestAction::Run);
        table.refuse(key("k"), Reason::QueueFull);
        assert_eq!(table.submit(key("k"), digest(""), 1), RequestAction::NotRun(Reason::QueueFull));
        assert_eq!(table.begin_dispatch(key("k")), DispatchDecision::Abort);
    };
    refusal_after_dispatch_leaves_the_outcome_unknown: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        table.refuse(key("k"), Reason::EndpointTimeout);
        assert_eq!(
            table.submit(key("k"), digest(""), 1),
            RequestAction::Unknown(Reason::EndpointTimeout)
        );
    };
    only_one_request_runs: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.submit(key("k"), digest(""), 1), RequestAction::Wait);
        assert_eq!(table.begin_dispatch(key("k")), DispatchDecision::Abort);
    };
    another_body_gets_no_stored_response: {
        let mut table = KeyTable::new(1, 1_000);
        running(&mut table, "k");
        table.complete(key("k"), response(1));
        assert_eq!(table.submit(key("k"), digest("x"), 1), RequestAction::Unknown(Reason::KeyReused));
    };
    oldest_responses_are_evicted: {
        let mut table = KeyTable::new(2, 700);
        running(&mut table, "k");
        running(&mut table, "l");
        table.complete(key("k"), response(100));
        table.complete(key("l"), response(100));
        assert_eq!(table.state(key("k")), Some(&KeyState::Answered(None)));
        assert_eq!(table.submit(key("k"), digest(""), 1), RequestAction::Unknown(Reason::AnswerNotKept));
        assert_eq!(table.submit(key("l"), digest(""), 1), RequestAction::Replay(response(100)));
    };
    full_table_accepts_a_key_only_after_another_expires: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.reserve(key("l"), 1_000, 1_000), Reservation::Full);
        assert_eq!(table.reserve(key("l"), 2_000, 1_001), Reservation::Reserved);
    };
    clock_set_back_does_not_revive_an_expired_key: {
        let mut table = KeyTable::new(1, 0);
        running(&mut table, "k");
        assert_eq!(table.submit(key("k"), digest(""), 1_001), RequestAction::Unknown(Reason::KeyExpired));
        assert_eq!(table.reserve(key("k"), 1_000, 5), Reservation::Expired);
    };
    ticket_with_another_mac_key_is_rejected: {
        let bytes = ticket().encode(mac);
        assert_eq!(Ticket::decode(&bytes, mac), Ok(ticket()));
        assert_eq!(Ticket::decode_unverified(&bytes), Ok(ticket()));
        assert_eq!(Ticket::decode(&bytes, |_| [9; MAC_BYTES]), Err(TicketError::BadMac));
        assert_eq!(Ticket::decode_unverified(&bytes[..9]), Err(TicketError::Malformed));
    };
}

/// A ticket with one changed byte is rejected, and arbitrary bytes do not make the decoder panic.
#[test]
fn changed_tickets_are_rejected() {
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

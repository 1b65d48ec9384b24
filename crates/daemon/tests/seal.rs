//! What a sealed message, a ring of keys and the memory of nonces refuse.

use std::net::SocketAddr;

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use tanagergauge_core::Name;
use tanagergauge_daemon::{
    keyring::{KeyRing, KeyRingError, Rights},
    replay::{MAX_NONCES, ReplayGuard},
    seal::{Direction, FRESH_MS, Route, SealError, Sealed, Stamp},
};
use tanagergauge_testenv::{TestKey, key_file};

const NOW_UNIX_MS: u64 = 1_800_000_000_000;

fn ring(keys: &[TestKey]) -> KeyRing {
    KeyRing::parse(&key_file(keys)).unwrap()
}

fn asked(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn route(method: &str) -> Route<'_> {
    Route { direction: Direction::Question, method, asked: asked(1) }
}

fn sealed(ring: &KeyRing) -> Sealed {
    let key = ring.sealing(Rights::Peer, NOW_UNIX_MS).unwrap();
    let from = Name::from("entry-1");
    let stamp = Stamp { from: &from, now_unix_ms: NOW_UNIX_MS, nonce: [7; 16] };
    Sealed::new(key, stamp, route("peer_pull"), b"payload")
}

fn open(message: &Sealed, keys: &[TestKey]) -> Result<Vec<u8>, SealError> {
    message.open(&ring(keys), route("peer_pull"), NOW_UNIX_MS).map(|it| it.payload)
}

#[test]
fn what_was_sealed_is_opened() {
    let keys = [TestKey::peer("a", 0)];
    let opened = sealed(&ring(&keys)).open(&ring(&keys), route("peer_pull"), NOW_UNIX_MS).unwrap();
    assert_eq!(opened.payload, b"payload");
    assert_eq!(opened.from.as_str(), "entry-1");
    assert_eq!(opened.rights, Rights::Peer);
}

macro_rules! refused {
    ($($name:ident: $change:expr, $keys:expr => $error:ident;)*) => {$(
        #[test]
        fn $name() {
            let mut message = sealed(&ring(&[TestKey::peer("a", 0)]));
            let change: fn(&mut Sealed) = $change;
            change(&mut message);
            assert_eq!(open(&message, &$keys), Err(SealError::$error));
        }
    )*};
}

refused! {
    a_key_with_another_secret: |_| (), [TestKey::peer("a", 1)] => WrongMac;
    a_key_nobody_knows: |_| (), [TestKey::peer("b", 0)] => UnknownKey;
    a_key_that_expired: |_| (),
        [TestKey { not_after_unix_ms: NOW_UNIX_MS, ..TestKey::peer("a", 0) }] => KeyNotValid;
    a_key_that_is_not_valid_yet: |_| (),
        [TestKey { not_before_unix_ms: NOW_UNIX_MS + 1, ..TestKey::peer("a", 0) }] => KeyNotValid;
    another_payload: |it| it.payload_base64 = STANDARD_NO_PAD.encode(b"other"),
        [TestKey::peer("a", 0)] => WrongMac;
    another_sender: |it| it.from = Name::from("entry-2"), [TestKey::peer("a", 0)] => WrongMac;
    another_time: |it| it.sent_unix_ms += 1, [TestKey::peer("a", 0)] => WrongMac;
    another_nonce: |it| it.nonce_base64 = STANDARD_NO_PAD.encode([8; 16]),
        [TestKey::peer("a", 0)] => WrongMac;
    no_code: |it| it.mac_base64.clear(), [TestKey::peer("a", 0)] => Malformed;
    a_short_code: |it| { it.mac_base64.truncate(4) }, [TestKey::peer("a", 0)] => Malformed;
    no_base64: |it| it.payload_base64.push('?'), [TestKey::peer("a", 0)] => Malformed;
}

#[test]
fn a_message_holds_for_its_method_instance_and_direction_only() {
    let keys = ring(&[TestKey::peer("a", 0)]);
    let message = sealed(&keys);
    let elsewhere = [
        route("peer_push"),
        Route { asked: asked(2), ..route("peer_pull") },
        Route { direction: Direction::Answer, ..route("peer_pull") },
    ];
    for route in elsewhere {
        let opened = message.open(&keys, route, NOW_UNIX_MS);
        assert_eq!(opened.unwrap_err(), SealError::WrongMac, "{route:?}");
    }
}

#[test]
fn a_message_grows_stale_both_ways() {
    let keys = ring(&[TestKey::peer("a", 0)]);
    let message = sealed(&keys);
    let at = |now_unix_ms| message.open(&keys, route("peer_pull"), now_unix_ms).map(|_| ());
    assert_eq!(at(NOW_UNIX_MS + FRESH_MS), Ok(()));
    assert_eq!(at(NOW_UNIX_MS + FRESH_MS + 1), Err(SealError::NotFresh));
    assert_eq!(at(NOW_UNIX_MS - FRESH_MS - 1), Err(SealError::NotFresh));
}

#[test]
fn a_nonce_is_admitted_once_for_as_long_as_its_message_is_fresh() {
    let mut guard = ReplayGuard::new(NOW_UNIX_MS);
    let admit = |guard: &mut ReplayGuard, nonce: u64, sent, now| {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&nonce.to_le_bytes());
        guard.admit(bytes, sent, now)
    };
    assert_eq!(admit(&mut guard, 1, NOW_UNIX_MS - 1, NOW_UNIX_MS), Err(SealError::NotFresh));
    // The sender's clock is ahead by the whole window.
    let sent = NOW_UNIX_MS + FRESH_MS;
    assert_eq!(admit(&mut guard, 1, sent, NOW_UNIX_MS), Ok(()));
    let last_fresh = sent + FRESH_MS;
    assert_eq!(admit(&mut guard, 1, sent, last_fresh), Err(SealError::Replayed));
    for nonce in 2..=MAX_NONCES as u64 {
        assert_eq!(admit(&mut guard, nonce, sent, NOW_UNIX_MS), Ok(()));
    }
    let next = MAX_NONCES as u64 + 1;
    assert_eq!(admit(&mut guard, next, sent, NOW_UNIX_MS), Err(SealError::NonceMemoryFull));
    assert_eq!(admit(&mut guard, next, sent, last_fresh + 1), Ok(()));
}

#[test]
fn the_key_that_became_valid_last_seals() {
    let keys = ring(&[
        TestKey::peer("old", 0),
        TestKey { not_before_unix_ms: NOW_UNIX_MS, ..TestKey::peer("new", 1) },
        TestKey { not_before_unix_ms: NOW_UNIX_MS + 1, ..TestKey::peer("next", 2) },
        TestKey::read("operator", 1),
    ]);
    let id = |rights, now| keys.sealing(rights, now).map(|it| it.id.as_str());
    assert_eq!(id(Rights::Peer, NOW_UNIX_MS - 1), Some("old"));
    assert_eq!(id(Rights::Peer, NOW_UNIX_MS), Some("new"));
    assert_eq!(id(Rights::Read, NOW_UNIX_MS), Some("operator"));
}

#[test]
fn files_of_keys_are_checked() {
    let twice = key_file(&[TestKey::peer("a", 0), TestKey::peer("a", 1)]);
    assert!(matches!(KeyRing::parse(&twice), Err(KeyRingError::DuplicateId(_))));
    let ended = TestKey { not_after_unix_ms: 5, not_before_unix_ms: 5, ..TestKey::peer("a", 0) };
    assert!(matches!(KeyRing::parse(&key_file(&[ended])), Err(KeyRingError::Life(_))));
    let short = "keys: [{id: a, rights: peer, not_after_unix_ms: 9, secret_base64: AAAA}]";
    assert!(matches!(KeyRing::parse(short), Err(KeyRingError::Secret(_))));
    let endless = "keys: [{id: a, rights: peer, secret_base64: AAAA}]";
    assert!(matches!(KeyRing::parse(endless), Err(KeyRingError::Parse(_))));
    let debug = format!("{:?}", ring(&[TestKey::peer("a", 0)]));
    assert!(!debug.contains("secret"), "{debug}");
}

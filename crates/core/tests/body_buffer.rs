//! Guards against LOST: a body in pieces of one byte takes many times the memory of its bytes.

use bytes::Bytes;
use tanagergauge_core::body_buffer::{BodyBuffer, BodyTooLarge};

/// Limit of the bodies.
const LIMIT_BYTES: usize = 1 << 20;

#[test]
fn pieces_of_one_byte_take_no_more_than_twice_their_bytes() {
    let mut body = BodyBuffer::new(LIMIT_BYTES);
    for number in 0..LIMIT_BYTES {
        body.push(&[number as u8]).expect("the body is within its limit");
        assert!(body.memory_bytes() <= (2 * (number + 1)).max(64));
    }
    assert_eq!(body.push(b"x"), Err(BodyTooLarge));
    assert_eq!(body.into_bytes().len(), LIMIT_BYTES);
}

#[test]
fn a_piece_beyond_the_limit_is_refused_whole() {
    let mut body = BodyBuffer::new(4);
    assert_eq!(body.push(b"abc"), Ok(()));
    assert_eq!(body.push(b"de"), Err(BodyTooLarge));
    assert_eq!(body.push(b"d"), Ok(()));
    assert_eq!(body.into_bytes(), Bytes::from_static(b"abcd"));
}

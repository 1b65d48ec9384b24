//! Tickets: idempotency keys that an instance issues in advance, so that their owner is known
//! without a claim in the log.

use serde::{Deserialize, Serialize};

use crate::{Name, owner::Owner};

/// Length of a ticket's message authentication code (MAC), in bytes.
pub const MAC_BYTES: usize = 16;

/// Format version, the first byte of every ticket.
const FORMAT: u8 = 1;

/// An idempotency key that an instance issued in advance. Only the issuer may run the request, so
/// that only the issuer verifies the MAC, and the MAC's key never leaves its process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The process that issued the ticket and may run the request.
    pub issuer: Owner,
    /// The client account that it was issued to.
    pub account: Name,
    /// When it expires, in milliseconds of Unix time by the issuer's clock.
    pub expires_unix_ms: u64,
    /// Makes the tickets of one issuer unique.
    pub serial: u64,
}

/// Why a ticket is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// The bytes cannot be decoded.
    Malformed,
    /// The MAC does not match.
    BadMac,
}

impl Ticket {
    /// Encodes the ticket, followed by the `mac` of all bytes before it.
    pub fn encode(&self, mac: impl Fn(&[u8]) -> [u8; MAC_BYTES]) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        let mut bytes = bytes.expect("tickets are always encodable");
        let code = mac(&bytes);
        bytes.extend_from_slice(&code);
        bytes
    }

    /// Decodes a ticket without verifying its MAC, to find the issuer, which alone can verify it.
    ///
    /// # Errors
    /// [`TicketError::Malformed`] if the bytes cannot be decoded.
    pub fn decode_unverified(bytes: &[u8]) -> Result<Ticket, TicketError> {
        let (signed, _) = split_mac(bytes)?;
        parse(signed)
    }

    /// Verifies and decodes a ticket that this process issued.
    ///
    /// # Errors
    /// The MAC does not match, or the bytes cannot be decoded.
    pub fn decode(
        bytes: &[u8],
        mac: impl Fn(&[u8]) -> [u8; MAC_BYTES],
    ) -> Result<Ticket, TicketError> {
        let (signed, code) = split_mac(bytes)?;
        if !constant_time_eq(&mac(signed), code) {
            return Err(TicketError::BadMac);
        }
        parse(signed)
    }
}

fn split_mac(bytes: &[u8]) -> Result<(&[u8], &[u8]), TicketError> {
    let at = bytes.len().checked_sub(MAC_BYTES).ok_or(TicketError::Malformed)?;
    Ok(bytes.split_at(at))
}

fn parse(signed: &[u8]) -> Result<Ticket, TicketError> {
    let rest = signed.strip_prefix(&[FORMAT]).ok_or(TicketError::Malformed)?;
    match postcard::take_from_bytes(rest) {
        Ok((ticket, [])) => Ok(ticket),
        _ => Err(TicketError::Malformed),
    }
}

/// Compares in constant time, so that an attacker cannot find the MAC byte by byte.
fn constant_time_eq(a: &[u8; MAC_BYTES], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}

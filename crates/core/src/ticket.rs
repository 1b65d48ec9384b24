//! Keys whose owner is known without the log.

use serde::{Deserialize, Serialize};

use crate::{Name, owner::Owner};

/// Length of a ticket's authentication code, in bytes.
pub const MAC_BYTES: usize = 16;

/// Format of a ticket; another value is another format.
const FORMAT: u8 = 1;

/// A key that an instance gave out beforehand. Only its issuer may run the request, so
/// only the issuer has to check the code, and the code's key never leaves the process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Who gave it out, and alone may run it.
    pub issuer: Owner,
    /// The account it was given to.
    pub account: Name,
    /// The moment it stops being accepted, by the issuer's clock, in Unix milliseconds.
    pub expires_unix_ms: u64,
    /// Tells tickets of one issuer apart.
    pub serial: u64,
}

/// Why bytes are no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketError {
    /// They cannot be read.
    Malformed,
    /// The code is not the issuer's.
    BadMac,
}

impl Ticket {
    /// The ticket's bytes, with a code made by `mac` over all that stands before it.
    pub fn encode(&self, mac: impl Fn(&[u8]) -> [u8; MAC_BYTES]) -> Vec<u8> {
        let bytes = postcard::to_extend(self, vec![FORMAT]);
        let mut bytes = bytes.expect("a ticket can always be encoded");
        let code = mac(&bytes);
        bytes.extend_from_slice(&code);
        bytes
    }

    /// Reads a ticket without checking its code, to learn who can.
    pub fn decode_unverified(bytes: &[u8]) -> Result<Ticket, TicketError> {
        let (signed, _) = split_mac(bytes)?;
        parse(signed)
    }

    /// Reads a ticket of this process.
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

/// Compares without telling by its duration where two codes differ.
fn constant_time_eq(a: &[u8; MAC_BYTES], b: &[u8]) -> bool {
    a.iter().zip(b).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}

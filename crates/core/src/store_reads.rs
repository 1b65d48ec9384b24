//! Which instances read the store, and how often.
//!
//! An instance gets the store's changes from the hub of its availability zone. If the store turns
//! away some instances, or is away for all, hundreds of instances that each ask it again would be
//! the greatest load on it; so an instance whose hub responds asks seldom, and the members of a
//! zone together no more often than a few instances alone.

/// Largest age of the hub's store data at which members rely on it alone, in milliseconds.
const MAX_HUB_DATA_AGE_MS: u64 = 1_500;
/// Time without a response of the hub after which members read the store themselves, in
/// milliseconds.
const HUB_TIMEOUT_MS: u64 = 700;
/// Age of its own store data at which a hub asks the hubs of other zones, in milliseconds. Less
/// than the age at which its members read the store.
const BEHIND_AGE_MS: u64 = 1_200;
/// Time between two reads of a topic by any member of a zone whose hub has old data, in
/// milliseconds.
const ZONE_READ_INTERVAL_MS: u64 = 100;
/// Longest time between two such reads by the same member, in milliseconds.
const MAX_READ_INTERVAL_MS: u64 = 4_000;
/// How long an instance that has started waits for the first response of its hub before it
/// follows the store itself, in milliseconds.
pub const FIRST_RESPONSE_WAIT_MS: u64 = 400;

/// What a member of a zone can expect of its hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubUpdates {
    /// The hub forwards recent records, so the store need not be read.
    Current,
    /// The hub responds, but its own data is old. The store is read at this interval, in
    /// milliseconds.
    Old {
        /// Time between two reads of a topic.
        read_interval_ms: u64,
    },
    /// There is no hub, or it does not respond.
    None,
}

/// What a member can expect of a hub of `members` instances that last responded
/// `since_response_ms` ago, if it ever did, with data that was `data_age_ms` old.
pub fn hub_updates(
    has_responded: bool,
    since_response_ms: u64,
    data_age_ms: u64,
    members: usize,
) -> HubUpdates {
    if !has_responded || since_response_ms >= HUB_TIMEOUT_MS {
        HubUpdates::None
    } else if data_age_ms < MAX_HUB_DATA_AGE_MS {
        HubUpdates::Current
    } else {
        let read_interval_ms = ZONE_READ_INTERVAL_MS * members as u64;
        HubUpdates::Old { read_interval_ms: read_interval_ms.min(MAX_READ_INTERVAL_MS) }
    }
}

/// Whether a hub reports to another zone's hub, and so gets records from it. Each pair of zones
/// needs one report; a hub that cannot read the store needs the response of a hub that can.
pub fn reports_to_zone(own_zone: &str, zone: &str, data_age_ms: Option<u64>) -> bool {
    let is_behind = data_age_ms.is_none_or(is_behind);
    zone > own_zone || (is_behind && zone != own_zone)
}

/// Whether a hub's store data is so old that others tell it what they know.
pub fn is_behind(data_age_ms: u64) -> bool {
    data_age_ms >= BEHIND_AGE_MS
}

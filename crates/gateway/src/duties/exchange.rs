//! What instances tell each other of the duties.

use serde::{Deserialize, Serialize};
use tanagergauge_core::{
    Name,
    usage::{ClockOffsets, CommittedReport, KEPT_WINDOWS, Scope, SourceWindow},
};

use super::usage::{ReceivedReport, Usage, UsagePosition};
use crate::{boot_clock, clock, gateway::Gateway, peers::SenderRole};

/// Least time between two messages with counts to a peer, in milliseconds.
const COUNTS_INTERVAL_MS: u64 = 1_000;
/// The same while this instance stops, so that it leaves no counts behind.
const STOPPING_INTERVAL_MS: u64 = 50;
/// The same once a window was closed.
const CLOSED_INTERVAL_MS: u64 = 250;

/// Between whom a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    /// From a member to its hub.
    MemberToHub,
    /// From a hub to a member.
    HubToMember,
    /// From a hub to that of another zone.
    HubToHub,
}

/// The newest record of the lease that an instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaseNews {
    era: u64,
    offset: u64,
    /// Time since it was read by the one that read it first, in milliseconds.
    age_ms: u64,
    /// It gives the lease up.
    is_released: bool,
}

/// Clocks of the sender.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ClockReading {
    /// Its time since the start of its machine, in milliseconds, which the response repeats.
    boot_ms: u64,
    unix_ms: u64,
    /// What its clock is corrected by.
    correction_ms: i64,
    /// Half of the last round trip to the receiver, in milliseconds; 0 if unknown.
    delay_ms: u64,
    /// In a response: `boot_ms` of the report.
    echoed_boot_ms: Option<u64>,
}

/// Counts and reports that the receiver has not received yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct UsageNews {
    /// Up to where the receiver has the sender's news with these.
    next: UsagePosition,
    counts: Vec<SourceWindow>,
    reports: Vec<CommittedReport>,
}

/// What an instance tells another of the duties.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct DutiesMessage {
    lease: Option<LeaseNews>,
    clock: ClockReading,
    /// Up to where the sender has the receiver's news.
    received: UsagePosition,
    /// The sender reports usage and needs the counts of all.
    wants_counts: bool,
    news: Option<UsageNews>,
}

/// What to tell a peer in a report, in the role of `sender`.
pub(crate) fn report(gateway: &Gateway, peer: &str, sender: SenderRole) -> Option<DutiesMessage> {
    let direction = match sender {
        SenderRole::Member => Direction::MemberToHub,
        SenderRole::Hub => Direction::HubToHub,
    };
    message(gateway, peer, direction, None)
}

/// What to tell a peer in the response to its report, whose sections were applied.
pub(crate) fn response(gateway: &Gateway, peer: &str, sender: SenderRole) -> Option<DutiesMessage> {
    let duties = gateway.duties.as_ref()?;
    let report = duties.usage().peers.get_mut(peer)?.report.take()?;
    message(gateway, peer, response_direction(sender), Some(report))
}

fn response_direction(sender: SenderRole) -> Direction {
    match sender {
        SenderRole::Member => Direction::HubToMember,
        SenderRole::Hub => Direction::HubToHub,
    }
}

/// What to tell a peer. `report` is what is responded to.
fn message(
    gateway: &Gateway,
    peer: &str,
    direction: Direction,
    report: Option<ReceivedReport>,
) -> Option<DutiesMessage> {
    let duties = gateway.duties.as_ref()?;
    let lease = duties.holder.with_lease(|it, now_ms| {
        let (newest, is_released) = (it.newest()?, it.is_released());
        let age_ms = now_ms.saturating_sub(newest.at_ms);
        Some(LeaseNews { era: newest.era, offset: newest.offset, age_ms, is_released })
    });
    let wants_counts = duties.holder.token().is_some();
    let mut usage = duties.usage();
    let now_ms = boot_clock::now_ms();
    let exchange = usage.peers.get(peer).copied().unwrap_or_default();
    let clock = ClockReading {
        boot_ms: now_ms,
        unix_ms: clock::unix_ms(),
        correction_ms: usage.offsets.correction_ms(now_ms),
        delay_ms: exchange.delay_ms,
        echoed_boot_ms: report.map(|it| it.boot_ms),
    };
    let scope = match direction {
        Direction::MemberToHub => Scope::Source(usage.source.clone()),
        Direction::HubToHub => Scope::Direct,
        Direction::HubToMember if report.is_some_and(|it| it.wants_counts) => Scope::All,
        Direction::HubToMember => Scope::Nothing,
    };
    let is_stopping = gateway.is_stopping();
    let news = usage_news(&mut usage, peer, &scope, is_stopping, now_ms);
    Some(DutiesMessage { lease, clock, received: exchange.received, wants_counts, news })
}

/// Identifies a run of a process and what it leaves out; receivers can't compare positions of others.
fn log_id(incarnation: u64, scope: &Scope) -> u64 {
    let number = match scope {
        Scope::Nothing => 0,
        Scope::Source(_) => 1,
        Scope::Direct => 2,
        Scope::All => 3,
    };
    incarnation.wrapping_add(number)
}

/// News for a peer, if any are due.
fn usage_news(
    usage: &mut Usage,
    peer: &str,
    scope: &Scope,
    is_stopping: bool,
    now_ms: u64,
) -> Option<UsageNews> {
    let log = log_id(usage.source.incarnation, scope);
    let exchange = usage.peers.get(peer).copied().unwrap_or_default();
    let acked = if exchange.acked.log == log { exchange.acked } else { UsagePosition::default() };
    let counts = if *scope == Scope::Nothing { 0 } else { usage.table.sequence() };
    let next = UsagePosition { log, counts, reports: usage.reports.sequence() };
    let has_closed = usage.table.has_closed_since(acked.counts, scope);
    let interval_ms = match (is_stopping, has_closed) {
        (true, _) => STOPPING_INTERVAL_MS,
        (false, true) => CLOSED_INTERVAL_MS,
        (false, false) => COUNTS_INTERVAL_MS,
    };
    let has_reports = next.reports > acked.reports;
    if next == acked || (!has_reports && now_ms < exchange.sent_ms + interval_ms) {
        return None;
    }
    let counts = usage.table.changes_since(acked.counts, scope);
    let own_only = matches!(scope, Scope::Source(_));
    let reports = usage.reports.since(acked.reports, own_only);
    usage.peers.entry(Name::from(peer)).or_default().sent_ms = now_ms;
    Some(UsageNews { next, counts, reports })
}

/// Whether a peer has all that this instance counted.
pub(crate) fn is_usage_told(gateway: &Gateway) -> bool {
    let Some(duties) = &gateway.duties else { return true };
    let usage = duties.usage();
    let incarnation = usage.source.incarnation;
    let scopes = [Scope::Source(usage.source.clone()), Scope::Direct];
    let logs = scopes.map(|it| log_id(incarnation, &it));
    let sequence = usage.table.sequence();
    let has_all = |it: &UsagePosition| logs.contains(&it.log) && it.counts >= sequence;
    usage.peers.is_empty() || usage.peers.values().any(|it| has_all(&it.acked))
}

/// Applies what a peer told. `sender` is the role of the instance that sent the report.
pub(crate) fn apply(gateway: &Gateway, peer: &Name, sender: SenderRole, message: DutiesMessage) {
    let Some(duties) = &gateway.duties else { return };
    let direction = match (sender, message.clock.echoed_boot_ms) {
        (SenderRole::Member, None) => Direction::MemberToHub,
        (SenderRole::Member, Some(_)) => Direction::HubToMember,
        (SenderRole::Hub, _) => Direction::HubToHub,
    };
    if let Some(it) = message.lease {
        duties.holder.hear(it.era, it.offset, it.age_ms, it.is_released);
    }
    let mut usage = duties.usage();
    let now_ms = boot_clock::now_ms();
    match direction {
        Direction::MemberToHub => usage.contacts.member_ms = now_ms,
        Direction::HubToMember => usage.contacts.hub_ms = now_ms,
        Direction::HubToHub => {
            usage.contacts.zones.insert(peer.clone(), now_ms);
        }
    }
    apply_clock(&mut usage, peer, direction, message.clock);
    let window = {
        let unix_ms = usage.unix_ms();
        usage.timing.window_at(unix_ms)
    };
    let exchange = usage.peers.entry(peer.clone()).or_default();
    exchange.acked = message.received;
    if message.clock.echoed_boot_ms.is_none() {
        let (boot_ms, wants_counts) = (message.clock.boot_ms, message.wants_counts);
        exchange.report = Some(ReceivedReport { boot_ms, wants_counts });
    }
    let Some(news) = message.news else { return };
    if exchange.received.log == news.next.log {
        exchange.received.counts = exchange.received.counts.max(news.next.counts);
        exchange.received.reports = exchange.received.reports.max(news.next.reports);
    } else {
        exchange.received = news.next;
    }
    // Clocks that are not corrected yet may differ by some seconds.
    let kept = window.saturating_sub(KEPT_WINDOWS)..=window + 2;
    let is_direct = direction == Direction::MemberToHub;
    usage.table.merge(news.counts, is_direct, kept.clone());
    for report in news.reports {
        if kept.contains(&report.window) {
            usage.reports.insert(report, false);
        }
    }
}

fn apply_clock(usage: &mut Usage, peer: &Name, direction: Direction, reading: ClockReading) {
    let now_ms = boot_clock::now_ms();
    let round_trip_ms = match reading.echoed_boot_ms {
        Some(sent_ms) => now_ms.saturating_sub(sent_ms),
        None if reading.delay_ms > 0 => 2 * reading.delay_ms,
        None => return,
    };
    if reading.echoed_boot_ms.is_some() {
        usage.peers.entry(peer.clone()).or_default().delay_ms = (round_trip_ms / 2).max(1);
    }
    let measure = |peer_ms| ClockOffsets::measure(peer_ms, clock::unix_ms(), round_trip_ms);
    let corrected_ms = reading.unix_ms.saturating_add_signed(reading.correction_ms);
    match direction {
        Direction::HubToMember => {
            let Some(offset_ms) = measure(corrected_ms) else { return };
            usage.offsets.record_reference(offset_ms, now_ms);
        }
        Direction::MemberToHub => {
            let Some(offset_ms) = measure(reading.unix_ms) else { return };
            usage.offsets.record(peer, offset_ms, now_ms);
        }
        Direction::HubToHub => {
            let Some(offset_ms) = measure(corrected_ms) else { return };
            usage.offsets.record(peer, offset_ms, now_ms);
        }
    }
    usage.is_synchronized = true;
}

//! Graceful stop.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{duties, gateway::Gateway};

/// How long new connections are still accepted after `/readyz` reports not ready, so that load
/// balancers have time to notice.
const NOTICE_PERIOD: Duration = Duration::from_millis(2_500);
/// Largest part of the grace period that is spent so.
const MAX_NOTICE_FRACTION: f64 = 1.0 / 3.0;
/// Time reserved at the end of the grace period for the last answers and for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Part of that time in which the last answers are written.
const LAST_ANSWERS_PERIOD: Duration = Duration::from_millis(150);
/// Part of the grace period, after its end without the margin, by which a peer has to have this instance's
/// usage.
const USAGE_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait for it, in a stop that is over earlier.
const MAX_USAGE_WAIT: Duration = Duration::from_millis(600);
/// Interval at which open connections are counted.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Phase {
    /// No stop was requested.
    Serving,
    /// Not ready; new requests are served, and responses close their connections.
    Leaving,
    /// Idle connections are closed; requests in progress are finished. One that becomes complete now is
    /// refused, as it may not be finished in time.
    Closing,
    /// Requests without a response are told so.
    Ending,
}

/// Stops the instance and lets requests in progress finish within the grace period.
pub(crate) async fn stop(gateway: &Arc<Gateway>) {
    let grace = Duration::from_secs_f64(gateway.settings.stop.grace_s);
    let end = Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    let in_progress = gateway.in_progress.load(Ordering::Relaxed);
    tracing::info!(in_progress, grace_s = gateway.settings.stop.grace_s, "stop begins");
    gateway.phase.send_replace(Phase::Leaving);
    sleep(NOTICE_PERIOD.min(grace.mul_f64(MAX_NOTICE_FRACTION))).await;
    gateway.phase.send_replace(Phase::Closing);
    wait_for_connections(gateway, end).await;
    gateway.phase.send_replace(Phase::Ending);
    wait_for_connections(gateway, Instant::now() + LAST_ANSWERS_PERIOD).await;
    wait_for_usage(gateway, end + USAGE_PERIOD).await;
    let in_progress = gateway.in_progress.load(Ordering::Relaxed);
    tracing::info!(in_progress, "stopped");
}

/// Waits until no caller is connected, at the latest until `end`.
async fn wait_for_connections(gateway: &Gateway, end: Instant) {
    while gateway.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Waits until a peer has all usage that this instance counted, at the latest until `end`.
async fn wait_for_usage(gateway: &Gateway, end: Instant) {
    let end = end.min(Instant::now() + MAX_USAGE_WAIT);
    while !duties::is_usage_told(gateway) && Instant::now() < end {
        sleep(CHECK_INTERVAL).await;
    }
}

//! Whether this process ran all the while: it may have been stopped, or its machine suspended.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::sleep;

use crate::{boot_clock, clock, gateway::Gateway};

/// Interval at which the process records that it runs.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a tick that counts as a pause, in milliseconds.
const MIN_PAUSE_MS: u64 = 600;

/// Pauses of this process.
#[derive(Debug, Default)]
pub(crate) struct Pauses {
    /// Last tick, on the clock that also runs while the machine is suspended; 0 before the first one.
    last_tick_ms: AtomicU64,
    /// End of the last pause; 0 if there was none.
    last_end_ms: AtomicU64,
}

impl Pauses {
    fn tick(&self) {
        let now_ms = boot_clock::now_ms();
        let last_ms = self.last_tick_ms.swap(now_ms, Ordering::Relaxed);
        if last_ms > 0 && now_ms.saturating_sub(last_ms) >= MIN_PAUSE_MS {
            let paused_ms = now_ms - last_ms;
            tracing::info!(paused_ms, "the process did not run for a while");
            self.last_end_ms.store(clock::now_ms(), Ordering::Relaxed);
        }
    }

    /// Whether the process did not run for a while since a time, or has only just woken.
    pub(crate) fn has_paused_since(&self, since_ms: u64) -> bool {
        self.tick();
        self.last_end_ms.load(Ordering::Relaxed) >= since_ms.max(1)
    }
}

/// Records that the process runs, until it ends.
pub(crate) async fn watch(gateway: Arc<Gateway>) {
    loop {
        gateway.pauses.tick();
        sleep(TICK_INTERVAL).await;
    }
}

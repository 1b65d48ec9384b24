//! Monotonic time that also runs while the machine is suspended, by which leases are measured.

use nix::time::{ClockId, clock_gettime};

/// Milliseconds since the machine's start.
pub fn now_ms() -> u64 {
    // Cannot fail on Linux, where the clock always exists. A time past all leases makes no call if it does.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    time.map_or(u64::MAX >> 1, |it| it.tv_sec() as u64 * 1000 + it.tv_nsec() as u64 / 1_000_000)
}

//! Usage of client accounts: how many requests of each began to run in each window of true time, and the
//! reports of it.

mod clock_offset;
mod readiness;
mod reports;
mod table;

pub use clock_offset::ClockOffsets;
pub use readiness::{Coverage, Standing, WindowTiming, may_commit};
pub use reports::{CommittedReport, Reports};
pub use table::{Scope, SourceWindow, UsageSource, UsageTable};

/// Number of windows that are kept, the current one included.
pub const KEPT_WINDOWS: u64 = 6;

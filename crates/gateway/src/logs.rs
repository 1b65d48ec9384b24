//! Logs: JSON lines on standard output, written by a dedicated thread. Logging never blocks:
//! lines that do not fit into the buffer are dropped and counted.

use std::sync::OnceLock;

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Registry, fmt::MakeWriter, layer::SubscriberExt, reload, util::SubscriberInitExt,
};

/// Capacity of the buffer between the instance and the writer thread.
const BUFFER_LINES: usize = 8_192;

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();
static FILTER: OnceLock<reload::Handle<EnvFilter, Registry>> = OnceLock::new();

/// Starts logging. Dropping the guard flushes the buffer.
///
/// # Errors
/// The filter cannot be parsed.
pub(crate) fn init(filter: &str) -> Result<WorkerGuard, String> {
    let filter = EnvFilter::try_new(filter).map_err(|error| format!("log filter: {error}"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFER_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let _ = DROPPED.set(writer.error_counter());
    let (filter, handle) = reload::Layer::new(filter);
    let _ = FILTER.set(handle);
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_writer(move || writer.make_writer());
    tracing_subscriber::registry().with(filter).with(lines).init();
    Ok(guard)
}

/// Replaces the log filter; an invalid filter leaves the current one in place.
pub(crate) fn set_filter(filter: &str) {
    let Ok(filter) = EnvFilter::try_new(filter) else {
        tracing::warn!(filter, "invalid log filter; keeping the current one");
        return;
    };
    if let Some(handle) = FILTER.get()
        && let Err(error) = handle.reload(filter)
    {
        tracing::warn!(%error, "cannot change the log filter");
    }
}

/// Number of log lines dropped so far.
pub(crate) fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

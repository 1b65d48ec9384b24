//! Counters of what became of requests, by reason.

use std::{sync::OnceLock, time::Duration};

use metrics::{counter, histogram};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tanagergauge_core::{Name, Outcome, Reason};

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder of this process, once.
pub fn install() {
    RECORDER.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Whoever embeds the daemon may have a recorder already; theirs stays.
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// All metrics in Prometheus text.
pub fn render() -> String {
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Folds histograms together; called now and then so that they stay small.
pub fn upkeep() {
    if let Some(handle) = RECORDER.get() {
        handle.run_upkeep();
    }
}

/// A request ended.
pub fn outcome(class: &Name, outcome: Outcome) {
    let outcome: &'static str = outcome.into();
    counter!("tanagergauge_requests_total", "class" => class.to_string(), "outcome" => outcome)
        .increment(1);
}

/// A request was refused, or its outcome is unknown.
pub fn refusal(reason: Reason) {
    let reason: &'static str = reason.into();
    counter!("tanagergauge_refusals_total", "reason" => reason).increment(1);
}

/// A request is tried again.
pub fn retry(reason: Reason) {
    let reason: &'static str = reason.into();
    counter!("tanagergauge_retries_total", "reason" => reason).increment(1);
}

/// Tokens or bytes of a whole answer reached a caller.
pub fn delivered(class: &Name, tokens: u64) {
    counter!("tanagergauge_delivered_tokens_total", "class" => class.to_string()).increment(tokens);
}

/// The first token or byte reached a caller.
pub fn first_token(class: &Name, after: Duration) {
    histogram!("tanagergauge_first_token_seconds", "class" => class.to_string())
        .record(after.as_secs_f64());
}

//! Metrics in the Prometheus text format.

use std::{
    sync::{OnceLock, atomic::Ordering},
    time::Duration,
};

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tanagergauge_core::{
    Name, Outcome, Reason, access::CredentialFault, duties::CallError,
    engine_speed::IgnoredSlowness, send_history::Failure,
};

use crate::{
    clock,
    gateway::Gateway,
    logs,
    store::{PlainTopic, StoreError, Topic, result_label},
};

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Upper bounds of the histogram buckets, in seconds.
const BUCKETS_S: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0, 15.0];

/// Installs the process-wide metrics recorder; later calls have no effect.
pub(crate) fn install() {
    RECORDER.get_or_init(|| {
        let suffix = Matcher::Suffix("_seconds".to_owned());
        let builder = PrometheusBuilder::new().set_buckets_for_metric(suffix, &BUCKETS_S);
        let builder = builder.unwrap_or_else(|error| {
            tracing::warn!(%error, "cannot set the histogram buckets; using the defaults");
            PrometheusBuilder::new()
        });
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        if metrics::set_global_recorder(recorder).is_err() {
            tracing::warn!("a metrics recorder is already installed");
        }
        handle
    });
}

/// Renders all metrics.
pub(crate) fn render(gateway: &Gateway) -> String {
    gauge!("tanagergauge_log_lines_dropped").set(logs::dropped_lines() as f64);
    gauge!("tanagergauge_configuration_version")
        .set(gateway.configuration().map_or(0.0, |it| it.version as f64));
    // -1 also while no configuration is known.
    let keys = gateway.configuration().and_then(|it| it.key_count());
    gauge!("tanagergauge_client_keys").set(keys.map_or(-1.0, |it| it as f64));
    gauge!("tanagergauge_endpoints_age_seconds")
        .set(gateway.endpoints_age_ms().map_or(-1.0, |it| it as f64 / 1000.0));
    gauge!("tanagergauge_store_era").set(gateway.store_era() as f64);
    set_gauges(gateway);
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Sets the gauges to the current state of the instance.
fn set_gauges(gateway: &Gateway) {
    let as_f64 = |it: usize| it as f64;
    gauge!("tanagergauge_requests_in_progress")
        .set(as_f64(gateway.in_progress.load(Ordering::Relaxed)));
    gauge!("tanagergauge_connections_open")
        .set(as_f64(gateway.connections.load(Ordering::Relaxed)));
    gauge!("tanagergauge_instances_known").set(as_f64(gateway.peers.roster().len()));
    gauge!("tanagergauge_suspects").set(as_f64(gateway.suspects().len()));
    gauge!("tanagergauge_begun_streams").set(as_f64(gateway.begun_streams().len()));
    let now_ms = clock::now_ms();
    let (counts, peer_loads_age_ms) = {
        let balancer = gateway.balancer();
        gauge!("tanagergauge_endpoint_limits").set(as_f64(balancer.limits().len()));
        gauge!("tanagergauge_unproven_endpoints").set(as_f64(balancer.unproven_count()));
        gauge!("tanagergauge_endpoint_backoffs").set(as_f64(balancer.backoff_count(now_ms)));
        (balancer.endpoint_counts(now_ms), balancer.peer_loads_age_ms(now_ms))
    };
    set_speed_gauges(gateway);
    gauge!("tanagergauge_others_age_seconds")
        .set(peer_loads_age_ms.map_or(-1.0, |it| it as f64 / 1000.0));
    let states = [
        ("good", counts.good),
        ("probation", counts.on_probation),
        ("paused", counts.paused),
        ("leaving", counts.leaving),
    ];
    for (state, endpoints) in states {
        gauge!("tanagergauge_endpoints", "state" => state).set(f64::from(endpoints));
    }
}

/// Sets the gauges of learned engine speeds, for the services whose speeds are learned.
fn set_speed_gauges(gateway: &Gateway) {
    let balancer = gateway.balancer();
    for (name, it) in balancer.speeds().services() {
        let spread = balancer.speed_spread(name).unwrap_or(1.0);
        let values = [
            ("tanagergauge_engine_prefill_tokens_per_ms", it.prefill_tokens_per_ms),
            ("tanagergauge_engine_idle_first_event_ms", it.idle_first_event_ms),
            ("tanagergauge_engine_prefill_step_ms", it.prefill_step_ms),
            ("tanagergauge_engine_speed_spread", spread),
            ("tanagergauge_engine_estimate_error_ratio", it.error_ratio),
        ];
        for (metric, value) in values {
            gauge!(metric, "service" => name.to_string()).set(value);
        }
        if let Some(step_ms) = it.step_ms {
            gauge!("tanagergauge_engine_step_ms", "service" => name.to_string()).set(step_ms);
        }
    }
}

/// Counts a request that ended.
pub(crate) fn request_ended(route: &Name, outcome: Outcome, took: Duration) {
    let outcome: &'static str = outcome.into();
    counter!("tanagergauge_requests_total", "route" => route.to_string(), "outcome" => outcome)
        .increment(1);
    histogram!("tanagergauge_request_seconds", "route" => route.to_string())
        .record(took.as_secs_f64());
}

/// Counts a request that was refused or whose outcome is unknown.
pub(crate) fn request_refused(reason: Reason) {
    let reason: &'static str = reason.into();
    counter!("tanagergauge_refusals_total", "reason" => reason).increment(1);
}

/// Counts a request that was refused because it has no client account.
pub(crate) fn unauthenticated(fault: CredentialFault) {
    let credential: &'static str = fault.into();
    counter!("tanagergauge_unauthenticated_total", "credential" => credential).increment(1);
}

/// Counts an endpoint's process that was asked when it started.
pub(crate) fn process_report(result: &'static str) {
    counter!("tanagergauge_process_reports_total", "result" => result).increment(1);
}

/// Counts a failed attempt.
pub(crate) fn attempt_failed(failure: Failure) {
    let reason: &'static str = failure.into();
    counter!("tanagergauge_send_failures_total", "reason" => reason).increment(1);
}

/// Counts a load report of an endpoint whose slowness is ignored.
pub(crate) fn load_report_ignored(reason: IgnoredSlowness) {
    let reason: &'static str = reason.into();
    counter!("tanagergauge_load_reports_ignored_total", "reason" => reason).increment(1);
}

/// Counts a retry after a failure.
pub(crate) fn retry(after: Failure) {
    let reason: &'static str = after.into();
    counter!("tanagergauge_retries_total", "reason" => reason).increment(1);
}

/// Records the time to the first byte of a response.
pub(crate) fn first_byte(route: &Name, after: Duration) {
    histogram!("tanagergauge_first_byte_seconds", "route" => route.to_string())
        .record(after.as_secs_f64());
}

/// Counts that the store came back from a copy, when a topic was read again.
pub(crate) fn store_restored(topic: Topic) {
    counter!("tanagergauge_store_restores_total", "topic" => <&str>::from(topic)).increment(1);
}

/// Counts a call to the store on a plain topic.
pub(crate) fn plain_call<T>(topic: PlainTopic, result: &Result<T, StoreError>) {
    let (topic, result): (&'static str, _) = (topic.into(), result_label(result));
    counter!("tanagergauge_store_calls_total", "topic" => topic, "result" => result).increment(1);
}

/// Records whether this instance holds the lease of the duties, and its fencing token.
pub(crate) fn lease_held(token: Option<u64>) {
    gauge!("tanagergauge_duty_held").set(if token.is_some() { 1.0 } else { 0.0 });
    if let Some(token) = token {
        gauge!("tanagergauge_lease_generation").set(token as f64);
    }
}

/// Counts an attempt to claim, renew or release the lease of the duties.
pub(crate) fn lease_claim(result: &'static str) {
    counter!("tanagergauge_lease_claims_total", "result" => result).increment(1);
}

/// Counts a report of usage that was committed or sent.
pub(crate) fn usage_report(result: &'static str) {
    counter!("tanagergauge_usage_reports_total", "result" => result).increment(1);
}

/// Counts a usage window that was not reported in time.
pub(crate) fn usage_window_missed() {
    counter!("tanagergauge_usage_windows_missed_total").increment(1);
}

/// Counts a call to the control service.
pub(crate) fn control_call(result: &Result<(), CallError>) {
    let result: &'static str = result.map_or_else(Into::into, |()| "ok");
    counter!("tanagergauge_control_calls_total", "result" => result).increment(1);
}

/// Counts the bytes of a message between instances, without its head.
pub(crate) fn peer_bytes(direction: &'static str, bytes: usize) {
    counter!("tanagergauge_peer_bytes_total", "direction" => direction).increment(bytes as u64);
}

/// Counts an exchange with a peer that failed, by the phase in which it did.
pub(crate) fn peer_exchange_failed(phase: &'static str) {
    counter!("tanagergauge_peer_exchange_failures_total", "phase" => phase).increment(1);
}

/// Counts a configuration that came into force, by where it was read.
pub(crate) fn configuration_read(source: &'static str) {
    counter!("tanagergauge_configurations_total", "source" => source).increment(1);
}

/// Counts a call to the store.
pub(crate) fn store_call(topic: Topic, result: &'static str) {
    let topic: &'static str = topic.into();
    counter!("tanagergauge_store_calls_total", "topic" => topic, "result" => result).increment(1);
}

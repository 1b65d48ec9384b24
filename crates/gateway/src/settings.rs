//! Settings of an instance, read from a YAML file.

use std::{collections::HashMap, fs, net::SocketAddr, path::Path};

use serde::Deserialize;
use tanagergauge_core::{
    Name,
    check::check_name,
    engine_speed::LearnSpeeds,
    finding::{self, Findings},
    selection::BalanceSettings,
    settings::{self, SettingsError},
    windowed_retry_budget::RetryWindowSettings,
};

use crate::duty_settings::DutySettings;

/// Settings of an instance.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of the instance; unique among all instances.
    pub instance: Name,
    /// Availability zone of the instance.
    pub availability_zone: Name,
    /// Region of the instance.
    pub region: Name,
    /// Region of each availability zone.
    pub regions: HashMap<Name, Name>,
    /// Address for callers' requests.
    pub listen: SocketAddr,
    /// Address that serves `/readyz`.
    pub ready_listen: SocketAddr,
    /// Address for peers' reports and `/metrics`.
    pub control_listen: SocketAddr,
    /// Control addresses of a few peers, asked for configuration and endpoints until both are
    /// known; they may be outdated.
    pub seeds: Vec<SocketAddr>,
    /// Address of the deployment's store.
    pub store: SocketAddr,
    /// Retry budget that all instances share.
    #[serde(rename = "repeats")]
    pub retry_budget: RetrySettings,
    /// Graceful stop.
    pub stop: StopSettings,
    /// Cost estimates for choosing endpoints.
    #[serde(default)]
    pub balance: EndpointCosts,
    /// Duties that one instance at a time performs; absent where the deployment has no control service.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Log filter directives, such as `info` or `tanagergauge_gateway=debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// Retry budget of each service, shared by all instances.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RetrySettings {
    /// Retries allowed per request within a window.
    pub ratio: f64,
    /// Retries allowed in a window regardless of traffic.
    pub slack: f64,
    /// Length of the sliding window, in seconds.
    pub window_s: f64,
}

/// Settings of a graceful stop.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StopSettings {
    /// Time from the signal until the process is killed, in seconds.
    pub grace_s: f64,
}

/// Cost estimates for choosing endpoints.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct EndpointCosts {
    /// Prompt tokens that an engine prefills per millisecond.
    pub read_tokens_per_ms: f64,
    /// Initial estimate of the processing time of a request at a service without an engine, in
    /// milliseconds.
    pub plain_work_ms: f64,
    /// Cost of sending a request to another availability zone of the same region, in milliseconds.
    pub zone_cost_ms: f64,
    /// Cost of sending a request to another region, in milliseconds.
    pub region_cost_ms: f64,
    /// For which services the speeds of engines are learned.
    pub learn_speeds: LearnSpeeds,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read or parsed, or the settings are invalid; lists every finding.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        settings::read(path, fs::read_to_string(path), Settings::parse)
    }

    /// Parses and checks settings in YAML.
    ///
    /// # Errors
    /// Every finding in the text.
    pub fn parse(text: &str) -> Result<Settings, Findings> {
        settings::parse(text, Settings::check)
    }

    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let root = finding::Path::root();
        check_name(&mut findings, root.field("instance"), &self.instance);
        check_name(&mut findings, root.field("availability_zone"), &self.availability_zone);
        let minimums = [
            ("ratio", self.retry_budget.ratio, 0.0),
            ("slack", self.retry_budget.slack, 0.0),
            ("window_s", self.retry_budget.window_s, 0.1),
        ];
        for (field, value, least) in minimums {
            if value < least {
                let path = root.field("repeats").field(field);
                findings.error(path, value.to_string(), format!("at least {least}"));
            }
        }
        if let Some(duties) = &self.duties {
            duties.check(&mut findings, &root.field("duties"));
        }
        findings
    }

    /// Retry budget in the form that the core uses.
    pub(crate) fn budget(&self) -> RetryWindowSettings {
        let window_ms = (self.retry_budget.window_s * 1000.0) as u64;
        RetryWindowSettings {
            ratio: self.retry_budget.ratio,
            slack: self.retry_budget.slack,
            window_ms,
        }
    }

    /// Cost estimates in the form that the balancer uses.
    pub(crate) fn balance(&self) -> BalanceSettings {
        BalanceSettings {
            prefill_tokens_per_ms: self.balance.read_tokens_per_ms,
            initial_service_ms: self.balance.plain_work_ms,
            zone_cost_ms: self.balance.zone_cost_ms,
            region_cost_ms: self.balance.region_cost_ms,
            learn_speeds: self.balance.learn_speeds,
        }
    }
}

impl Default for EndpointCosts {
    fn default() -> EndpointCosts {
        EndpointCosts {
            read_tokens_per_ms: 55.0,
            plain_work_ms: 30.0,
            zone_cost_ms: 3.0,
            region_cost_ms: 55.0,
            learn_speeds: LearnSpeeds::Auto,
        }
    }
}

fn default_log() -> String {
    "info".to_owned()
}

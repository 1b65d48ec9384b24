//! Settings of an instance, from one YAML file.

use std::{collections::HashMap, fs, net::SocketAddr, path::Path};

use serde::Deserialize;
use tanagergauge_core::{
    Name,
    balancer::BalanceSettings,
    check::check_name,
    finding::{self, Findings},
    settings::{self, SettingsError},
    windowed_retry_budget::RetryWindowSettings,
};

/// Everything an instance is told when it starts.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: Name,
    /// The availability zone it stands in.
    pub availability_zone: Name,
    /// Its region.
    pub region: Name,
    /// Region of each availability zone.
    pub regions: HashMap<Name, Name>,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address of `/readyz`.
    pub ready_listen: SocketAddr,
    /// Address for peers and of `/metrics`.
    pub control_listen: SocketAddr,
    /// Control addresses of a few peers; they may be stale.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// The fleet's budget of repeats.
    pub repeats: RepeatSettings,
    /// How a planned stop goes.
    pub stop: StopSettings,
    /// Figures by which endpoints are chosen.
    #[serde(default)]
    pub balance: BalanceFigures,
    /// Filter of the log, as `info` or `tanagergauge_gateway=debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// The fleet's budget of repeats, for each service.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct RepeatSettings {
    /// Repeats allowed for each request of a window.
    pub ratio: f64,
    /// Repeats allowed in a window whatever the traffic.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

/// How a planned stop goes.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StopSettings {
    /// Time from the signal until the process is killed, in seconds.
    pub grace_s: f64,
}

/// Figures by which endpoints are chosen.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct BalanceFigures {
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_tokens_per_ms: f64,
    /// Time of a plain service for one request before any was seen, in milliseconds.
    pub plain_work_ms: f64,
    /// What sending to another availability zone of the region costs, in milliseconds.
    pub zone_cost_ms: f64,
    /// What sending to another region costs, in milliseconds.
    pub region_cost_ms: f64,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or everything that is wrong with it.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        settings::read(path, fs::read_to_string(path), Settings::parse)
    }

    /// Reads and checks settings from YAML text.
    ///
    /// # Errors
    /// Everything that is wrong with them.
    pub fn parse(text: &str) -> Result<Settings, Findings> {
        settings::parse(text, Settings::check)
    }

    fn check(&self) -> Findings {
        let mut findings = Findings::default();
        let root = finding::Path::root();
        check_name(&mut findings, root.field("instance"), &self.instance);
        check_name(&mut findings, root.field("availability_zone"), &self.availability_zone);
        let figures = [
            ("ratio", self.repeats.ratio, 0.0),
            ("slack", self.repeats.slack, 0.0),
            ("window_s", self.repeats.window_s, 0.1),
        ];
        for (field, value, least) in figures {
            if value < least {
                let path = root.field("repeats").field(field);
                findings.error(path, value.to_string(), format!("at least {least}"));
            }
        }
        findings
    }

    /// Bounds of repeats.
    pub(crate) fn budget(&self) -> RetryWindowSettings {
        let window_ms = (self.repeats.window_s * 1000.0) as u64;
        RetryWindowSettings { ratio: self.repeats.ratio, slack: self.repeats.slack, window_ms }
    }

    /// Figures for the choice of endpoints.
    pub(crate) fn balance(&self) -> BalanceSettings {
        BalanceSettings {
            prefill_tokens_per_ms: self.balance.read_tokens_per_ms,
            initial_service_ms: self.balance.plain_work_ms,
            zone_cost_ms: self.balance.zone_cost_ms,
            region_cost_ms: self.balance.region_cost_ms,
        }
    }
}

impl Default for BalanceFigures {
    fn default() -> BalanceFigures {
        BalanceFigures {
            read_tokens_per_ms: 55.0,
            plain_work_ms: 30.0,
            zone_cost_ms: 3.0,
            region_cost_ms: 55.0,
        }
    }
}

fn default_log() -> String {
    "info".to_owned()
}

//! Settings of an instance, from one YAML file.

use std::{
    fs,
    net::SocketAddr,
    path::{Path as FilePath, PathBuf},
};

use serde::Deserialize;
use tanagergauge_core::{
    Name,
    check::check_name,
    finding::{Findings, Path},
    settings::{self, SettingsError},
};

use crate::{idempotency::IdempotencySettings, policy::PolicySettings};

/// Smallest head that the HTTP library can be told to accept, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Everything an instance is told when it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub instance: Name,
    /// The availability zone it stands in.
    pub availability_zone: Name,
    /// Address for callers; port 0 takes any free port.
    pub listen: SocketAddr,
    /// Address for peers and operators; port 0 takes any free port.
    pub control_listen: SocketAddr,
    /// Address by which peers and operators reach this instance; `control_listen` if absent.
    #[serde(default)]
    pub control_address: Option<SocketAddr>,
    /// File of the keys that instances and operators share. Without it nobody is
    /// trusted, and the instance goes on alone.
    #[serde(default)]
    pub keys: Option<PathBuf>,
    /// Where the platform answers.
    pub platform: PlatformSettings,
    /// Control addresses of peers to ask first; others are learnt.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Bounds on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// The policy under load.
    #[serde(default)]
    pub policy: PolicySettings,
    /// How a planned stop goes.
    #[serde(default)]
    pub stop: StopSettings,
    /// How idempotency keys are kept.
    #[serde(default)]
    pub idempotency: IdempotencySettings,
    /// Level or filter of the log, as `info` or `tanagergauge_daemon=debug`.
    #[serde(default = "default_log")]
    pub log: String,
}

/// Where the platform answers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log.
    pub log: SocketAddr,
    /// The list of instances and endpoints.
    pub list: SocketAddr,
    /// How long the log keeps a record, in milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest whole answer of an endpoint, in bytes.
    pub answer_bytes: usize,
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest wait for the head of a request, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest wait for the whole body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// Longest silence of an endpoint within a stream, in milliseconds.
    pub stream_idle_ms: u64,
    /// Streams open at once.
    pub streams: usize,
    /// Connections of callers open at once.
    pub connections: usize,
    /// Attempts at most for one request.
    pub attempts: u32,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or everything that is wrong with it.
    pub fn load(path: &FilePath) -> Result<Settings, SettingsError> {
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
        let root = Path::root();
        check_name(&mut findings, root.field("instance"), &self.instance);
        check_name(&mut findings, root.field("availability_zone"), &self.availability_zone);
        self.limits.check(&root.field("limits"), &mut findings);
        let retention_ms = self.platform.retention_ms;
        self.idempotency.check(retention_ms, &root.field("idempotency"), &mut findings);
        findings
    }
}

impl Limits {
    fn check(&self, path: &Path, findings: &mut Findings) {
        let sizes = [
            ("body_bytes", self.body_bytes),
            ("answer_bytes", self.answer_bytes),
            ("streams", self.streams),
            ("connections", self.connections),
        ];
        for (field, value) in sizes {
            at_least(findings, path.field(field), value, 1);
        }
        at_least(findings, path.field("head_bytes"), self.head_bytes, MIN_HEAD_BYTES);
        at_least(findings, path.field("attempts"), self.attempts as usize, 1);
    }
}

fn at_least(findings: &mut Findings, path: Path, value: usize, least: usize) {
    if value < least {
        findings.error(path, value.to_string(), format!("at least {least}"));
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            body_bytes: 4 << 20,
            answer_bytes: 16 << 20,
            head_bytes: 32 << 10,
            head_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            stream_idle_ms: 10_000,
            streams: 4096,
            connections: 8192,
            attempts: 4,
        }
    }
}

/// How a planned stop goes.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// How long the instance goes on accepting after `/readyz` turned, in milliseconds.
    pub notice_ms: u64,
}

impl Default for StopSettings {
    fn default() -> StopSettings {
        StopSettings { notice_ms: 3000 }
    }
}

fn default_retention_ms() -> u64 {
    7 * 24 * 60 * 60 * 1000
}

fn default_log() -> String {
    "info".to_owned()
}

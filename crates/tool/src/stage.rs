//! A whole deployment in this process: stand-ins, a sheet and instances on loopback.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use tanagergauge_core::{
    Name,
    record::{Base, Body, Publication, SHEETS_STREAM, SheetRecord},
    sheet::{Endpoint, Sheet, TargetKind},
};
use tanagergauge_daemon::{Running, Settings};
use tanagergauge_standins::{
    Engine, EngineSettings, Leaving, Platform, PlatformSettings, Service,
    platform::{Entry as ListEntry, EntryKind, EntryState},
};
use tempfile::TempDir;
use uuid::Uuid;

use crate::{
    client::Client,
    failure::Failure,
    output::write,
    plan::Entry,
    profile::{Change, Pace, What},
};

/// Length of a key's secret.
const SECRET_BYTES: usize = 32;

/// The end of a key's life, long after that of the deployment.
const NEVER_UNIX_MS: u64 = 1 << 52;

/// Pause between looks whether an instance is ready.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// How long somebody may take to start the instances.
const START_TIMEOUT: Duration = Duration::from_secs(120);

/// How long an instance may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// An engine and the endpoint of the sheet that it stands in for.
pub(crate) struct StagedEngine {
    /// The endpoint's name.
    pub(crate) name: Name,
    /// Its availability zone.
    pub(crate) zone: Name,
    /// The engine.
    pub(crate) engine: Engine,
}

/// A deployment that lives as long as this value.
pub(crate) struct Stage {
    /// The sheet with the stand-ins' addresses.
    pub(crate) sheet: Sheet,
    /// The engines.
    pub(crate) engines: Vec<StagedEngine>,
    /// Where callers send requests.
    pub(crate) entries: Vec<Entry>,
    /// The file of the keys that its instances share.
    pub(crate) keys: PathBuf,
    /// YAML lines that each instance's settings end with.
    more_settings: String,
    platform: Platform,
    instances: Vec<Running>,
    _services: Vec<Service>,
    /// Holds the keys.
    _directory: TempDir,
}

impl Stage {
    /// Starts stand-ins for every endpoint of the sheet and the platform, and publishes
    /// the sheet with their addresses.
    ///
    /// # Errors
    ///
    /// A port cannot be had.
    pub(crate) async fn raise(
        mut sheet: Sheet,
        pace: Pace,
        more_settings: String,
    ) -> Result<Stage, Failure> {
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for endpoint in &mut sheet.endpoints {
            match endpoint.kind {
                TargetKind::Model => engines.push(raise_engine(endpoint, pace).await?),
                TargetKind::Service => services.push(raise_service(endpoint, pace).await?),
            }
        }
        let platform = Platform::start(PlatformSettings::default()).await.map_err(no_port)?;
        platform.append(SHEETS_STREAM, first_publication(&sheet)?);
        let directory = tempfile::tempdir().map_err(|it| Failure::Refused(it.to_string()))?;
        let keys = directory.path().join("keys.yaml");
        write(&keys, &key_file())?;
        Ok(Stage {
            sheet,
            engines,
            entries: Vec::new(),
            keys,
            more_settings,
            platform,
            instances: Vec::new(),
            _services: services,
            _directory: directory,
        })
    }

    /// Starts instances in this process, by turns in each availability zone, and waits
    /// until they are ready.
    ///
    /// # Errors
    ///
    /// An instance does not start or does not get ready.
    pub(crate) async fn start_instances(
        &mut self,
        count: usize,
        listen: SocketAddr,
    ) -> Result<(), Failure> {
        for i in 0..count {
            let zone = self.zone(i);
            let listen = if i == 0 { listen } else { loopback() };
            let settings = parse_settings(&self.settings(i, &zone, listen, loopback()))?;
            let running = tanagergauge_daemon::start(settings).await;
            let running = running.map_err(|it| Failure::Refused(it.to_string()))?;
            let control = Some(running.control_address);
            self.entries.push(Entry { address: running.address, control, zone });
            self.instances.push(running);
        }
        self.list();
        self.wait_until_ready(READY_TIMEOUT).await
    }

    /// Writes the settings of instances into a directory and waits until somebody has
    /// started them.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or an instance does not get ready in time.
    pub(crate) async fn await_instances(
        &mut self,
        count: usize,
        directory: &Path,
    ) -> Result<(), Failure> {
        self.keys = directory.join("keys.yaml");
        write(&self.keys, &key_file())?;
        for i in 0..count {
            let zone = self.zone(i);
            let (address, control) = (free_address()?, free_address()?);
            let path = directory.join(format!("instance-{i}.yaml"));
            write(&path, &self.settings(i, &zone, address, control))?;
            eprintln!("waiting for: tanagergauged {}", path.display());
            self.entries.push(Entry { address, control: Some(control), zone });
        }
        self.list();
        self.wait_until_ready(START_TIMEOUT).await
    }

    async fn wait_until_ready(&self, timeout: Duration) -> Result<(), Failure> {
        let client = Client::new();
        for entry in &self.entries {
            ready(&client, entry.address, timeout).await?;
        }
        Ok(())
    }

    /// Puts the instances on the platform's list.
    fn list(&self) {
        let listed = self.entries.iter().enumerate().map(|(i, entry)| ListEntry {
            name: instance_name(i, &entry.zone),
            kind: EntryKind::Instance,
            address: entry.address,
            control_address: entry.control,
            availability_zone: entry.zone.to_string(),
            state: EntryState::Live,
        });
        self.platform.set_entries(listed.collect());
    }

    /// The availability zone of the instance of that number.
    fn zone(&self, i: usize) -> Name {
        let zones = &self.sheet.availability_zones;
        zones[i % zones.len()].name.clone()
    }

    /// The address of the stand-in platform.
    pub(crate) fn platform(&self) -> SocketAddr {
        self.platform.address()
    }

    /// The engine of an endpoint.
    pub(crate) fn engine(&self, name: &str) -> Option<&Engine> {
        self.engines.iter().find(|it| it.name.as_str() == name).map(|it| &it.engine)
    }

    /// Makes a change of a profile happen.
    pub(crate) async fn apply(&self, change: &Change) {
        let Some(engine) = change.who.as_deref().and_then(|it| self.engine(it)) else {
            return;
        };
        match change.what {
            What::Lengths => {}
            What::SlowEngine => engine.switch(|it| it.slow_factor = change.factor),
            What::KillEngine => engine.crash().await,
            What::ReviveEngine => engine.revive().await,
            What::LeavingEngine => engine.switch(|it| it.leaving = Leaving::Refuses),
        }
    }

    fn settings(&self, i: usize, zone: &Name, listen: SocketAddr, control: SocketAddr) -> String {
        let platform = self.platform.address();
        let peers: Vec<String> =
            self.entries.iter().filter_map(|it| it.control).map(|it| format!("\"{it}\"")).collect();
        format!(
            "instance: {}\navailability_zone: {zone}\nlisten: {listen}\n\
             control_listen: {control}\nkeys: {}\npeers: [{}]\n\
             platform: {{ log: {platform}, list: {platform} }}\nlog: warn\n{}",
            instance_name(i, zone),
            self.keys.display(),
            peers.join(", "),
            self.more_settings,
        )
    }
}

fn instance_name(i: usize, zone: &Name) -> String {
    format!("{zone}-instance-{i}")
}

/// A file of new keys: one for instances and one for operators.
fn key_file() -> String {
    let secret = || STANDARD.encode(rand::random::<[u8; SECRET_BYTES]>());
    let key = |id: &str, rights: &str| {
        format!(
            "  - id: {id}\n    rights: {rights}\n    not_after_unix_ms: {NEVER_UNIX_MS}\n    \
             secret_base64: {}\n",
            secret()
        )
    };
    format!("keys:\n{}{}", key("fleet", "peer"), key("operators", "read"))
}

fn parse_settings(text: &str) -> Result<Settings, Failure> {
    Settings::parse(text).map_err(|findings| {
        eprint!("{}", findings.report("settings", text));
        Failure::Findings(findings)
    })
}

async fn raise_engine(endpoint: &mut Endpoint, pace: Pace) -> Result<StagedEngine, Failure> {
    let settings = EngineSettings {
        models: Vec::new(),
        slots: endpoint.slots as usize,
        max_waiting: pace.max_waiting,
        prefill_tokens_per_s: pace.prefill_tokens_per_s,
        decode_tokens_per_s: pace.decode_tokens_per_s,
        batch_slowdown_percent: pace.batch_slowdown_percent,
        load_lag_ms: pace.load_lag_ms,
        ..EngineSettings::default()
    };
    let engine = Engine::start(settings).await.map_err(no_port)?;
    endpoint.address = engine.address();
    let (name, zone) = (endpoint.name.clone(), endpoint.availability_zone.clone());
    Ok(StagedEngine { name, zone, engine })
}

async fn raise_service(endpoint: &mut Endpoint, pace: Pace) -> Result<Service, Failure> {
    let service = Service::start().await.map_err(no_port)?;
    service.switch(|it| it.delay_ms = pace.service_ms);
    endpoint.address = service.address();
    Ok(service)
}

/// The record that brings a deployment's first sheet into force.
fn first_publication(sheet: &Sheet) -> Result<Vec<u8>, Failure> {
    let text = serde_saphyr::to_string(sheet);
    let text = text.map_err(|error| Failure::Refused(error.to_string()))?;
    let publication = Publication {
        publication_id: Uuid::now_v7().as_u128(),
        base: Base::First,
        body: Body::Whole(Name::from(text)),
    };
    Ok(SheetRecord::Publication(publication).encode())
}

/// Waits until an instance says that it is ready.
async fn ready(client: &Client, address: SocketAddr, timeout: Duration) -> Result<(), Failure> {
    let wait = async {
        loop {
            let asked = client.ask(Method::GET, address, "/readyz", Bytes::new(), timeout);
            if asked.await.is_ok_and(|it| it.status == 200) {
                return;
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    };
    let ended = tokio::time::timeout(timeout, wait).await;
    ended.map_err(|_| Failure::Unreachable(format!("the instance at {address} is not ready")))
}

/// An address of loopback that is free now.
fn free_address() -> Result<SocketAddr, Failure> {
    let listener = std::net::TcpListener::bind(loopback()).map_err(no_port)?;
    listener.local_addr().map_err(no_port)
}

/// Any free port of loopback.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn no_port(error: std::io::Error) -> Failure {
    Failure::Refused(format!("no port to listen on: {error}"))
}

/// A stage that tasks share.
pub(crate) type SharedStage = Arc<Stage>;

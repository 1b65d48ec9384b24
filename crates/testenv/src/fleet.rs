//! Several daemons, the platform, and the endpoints, with a proxy before each.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use tanagergauge_core::{record::Base, sheet::Sheet};
use tanagergauge_standins::{
    Engine, EngineSettings, Platform, PlatformSettings, Proxy, Service,
    platform::{Entry, EntryKind, EntryState},
};
use tempfile::TempDir;

use crate::{
    instance::{Instance, InstanceSettings},
    keys::{TestKey, default_keys, key_file},
    sheet::{SheetPlan, publication},
};

/// Retention that instances are told of, in milliseconds.
const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;

/// Notice before a planned stop, in milliseconds.
const NOTICE_MS: u64 = 100;

/// Slots of a service.
const SERVICE_SLOTS: u32 = 64;

/// Slots of an endpoint that only its address is known of.
const MORE_SLOTS: u32 = 8;

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of instances.
    pub instances: usize,
    /// An engine each.
    pub engines: Vec<EngineSettings>,
    /// Number of plain services.
    pub services: usize,
    /// Addresses of further engines.
    pub more_engines: Vec<SocketAddr>,
    /// Addresses of further services.
    pub more_services: Vec<SocketAddr>,
    /// Availability zones, over which instances and endpoints are spread.
    pub availability_zones: Vec<String>,
    /// Limits of the platform.
    pub platform: PlatformSettings,
    /// How long an instance serves on after a planned stop has begun, in milliseconds.
    pub notice_ms: u64,
    /// Fields of each instance's `limits`, as YAML between braces.
    pub limits: String,
    /// Further lines of YAML in each instance's settings.
    pub more: String,
    /// Keys of peers and operators; with none, no instance is trusted.
    pub keys: Vec<TestKey>,
    /// Whether peers and operators reach each instance through a proxy.
    pub control_proxies: bool,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        FleetOptions {
            instances: 1,
            engines: vec![EngineSettings::default()],
            services: 1,
            more_engines: Vec::new(),
            more_services: Vec::new(),
            availability_zones: vec!["zone-1".to_owned()],
            platform: PlatformSettings::default(),
            notice_ms: NOTICE_MS,
            limits: String::new(),
            more: String::new(),
            keys: default_keys(),
            control_proxies: false,
        }
    }
}

/// A fleet under test. Dropping it kills its processes.
///
/// The sheet names the proxies before the endpoints, and each instance reaches
/// the platform through a proxy of its own.
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// A proxy before the platform for each instance.
    pub platform_proxies: Vec<Proxy>,
    /// The engines.
    pub engines: Vec<Engine>,
    /// A proxy before each engine.
    pub engine_proxies: Vec<Proxy>,
    /// The plain services.
    pub services: Vec<Service>,
    /// A proxy before each service.
    pub service_proxies: Vec<Proxy>,
    /// A proxy before each instance's control address, if there are any.
    pub control_proxies: Vec<Proxy>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The sheet's plan as last published.
    pub plan: SheetPlan,
    binary: PathBuf,
    dir: TempDir,
    /// Offset of the sheet that was published last.
    version: Option<u64>,
    publications: u128,
}

impl Fleet {
    /// Starts everything, publishes the sheet, and waits until all are ready.
    ///
    /// # Errors
    /// A part did not start.
    pub async fn start(binary: impl AsRef<Path>, options: FleetOptions) -> io::Result<Fleet> {
        let mut fleet = Fleet::endpoints(binary.as_ref(), &options).await?;
        fleet.publish(&fleet.plan.sheet());
        for number in 0..options.instances {
            let instance = fleet.start_instance(number, &options).await?;
            fleet.instances.push(instance);
        }
        fleet.list_all();
        for instance in &fleet.instances {
            instance.wait_ready().await;
        }
        Ok(fleet)
    }

    /// Starts the platform and the endpoints, without an instance or a sheet.
    async fn endpoints(binary: &Path, options: &FleetOptions) -> io::Result<Fleet> {
        let mut fleet = Fleet {
            platform: Platform::start(options.platform.clone()).await?,
            platform_proxies: Vec::new(),
            engines: Vec::new(),
            engine_proxies: Vec::new(),
            services: Vec::new(),
            service_proxies: Vec::new(),
            control_proxies: Vec::new(),
            instances: Vec::new(),
            plan: SheetPlan::default(),
            binary: binary.to_owned(),
            dir: tempfile::tempdir()?,
            version: None,
            publications: 0,
        };
        fleet.set_keys(&options.keys)?;
        fleet.plan.availability_zones = options.availability_zones.clone();
        for settings in &options.engines {
            let engine = Engine::start(settings.clone()).await?;
            let proxy = Proxy::start(engine.address()).await?;
            let slots = u32::try_from(settings.slots).unwrap_or(u32::MAX);
            fleet.plan.engines.push((proxy.address(), slots));
            fleet.engines.push(engine);
            fleet.engine_proxies.push(proxy);
        }
        for _ in 0..options.services {
            let service = Service::start().await?;
            let proxy = Proxy::start(service.address()).await?;
            fleet.plan.services.push((proxy.address(), SERVICE_SLOTS));
            fleet.services.push(service);
            fleet.service_proxies.push(proxy);
        }
        let with_slots = |it: &SocketAddr| (*it, MORE_SLOTS);
        fleet.plan.engines.extend(options.more_engines.iter().map(with_slots));
        fleet.plan.services.extend(options.more_services.iter().map(with_slots));
        Ok(fleet)
    }

    /// Starts the instance of that number.
    async fn start_instance(
        &mut self,
        number: usize,
        options: &FleetOptions,
    ) -> io::Result<Instance> {
        let proxy = Proxy::start(self.platform.address()).await?;
        let zones = &options.availability_zones;
        let mut more = format!("keys: {}\n{}", self.key_path().display(), options.more);
        if options.control_proxies {
            let control_proxy = Proxy::without_target().await?;
            more = format!("control_address: \"{}\"\n{more}", control_proxy.address());
            self.control_proxies.push(control_proxy);
        }
        let settings = InstanceSettings {
            name: format!("instance-{number}"),
            availability_zone: zones[number % zones.len()].clone(),
            log: proxy.address(),
            list: proxy.address(),
            retention_ms: RETENTION_MS,
            notice_ms: options.notice_ms,
            limits: options.limits.clone(),
            more,
        };
        self.platform_proxies.push(proxy);
        self.run(number, settings).await
    }

    /// Runs an instance, and points the proxy before its control address at it.
    async fn run(&self, number: usize, settings: InstanceSettings) -> io::Result<Instance> {
        let instance = Instance::start(&self.binary, self.dir.path(), settings).await?;
        let proxy = self.control_proxies.get(number);
        if let (Some(proxy), Some(address)) = (proxy, instance.control_listen()) {
            proxy.set_target(address);
        }
        Ok(instance)
    }

    /// Starts an instance anew in place of one that ended, and waits until it is ready.
    ///
    /// # Errors
    /// It did not start.
    pub async fn restart(&mut self, number: usize) -> io::Result<()> {
        self.restart_unready(number).await?;
        self.instances[number].wait_ready().await;
        Ok(())
    }

    /// Starts an instance anew in place of one that ended, and waits only until it listens.
    ///
    /// # Errors
    /// It did not start.
    pub async fn restart_unready(&mut self, number: usize) -> io::Result<()> {
        self.instances[number].kill();
        let settings = self.instances[number].settings.clone();
        self.instances[number] = self.run(number, settings).await?;
        self.list_all();
        Ok(())
    }

    /// Writes the file of keys that all instances read.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn set_keys(&self, keys: &[TestKey]) -> io::Result<()> {
        // A file that is replaced whole is never seen half written.
        let half = self.dir.path().join("keys.new");
        fs::write(&half, key_file(keys))?;
        fs::rename(half, self.key_path())
    }

    fn key_path(&self) -> PathBuf {
        self.dir.path().join("keys.yaml")
    }

    /// Publishes a sheet in place of the one before, and returns its offset.
    pub fn publish(&mut self, sheet: &Sheet) -> u64 {
        let base = self.version.map_or(Base::First, Base::Version);
        self.publications += 1;
        let record = publication(sheet, base, self.publications);
        let offset = self.platform.append("sheets", record);
        self.version = Some(offset);
        offset
    }

    /// Takes note of a sheet that a test published by itself.
    pub fn set_version(&mut self, offset: u64) {
        self.version = Some(offset);
    }

    /// Where the settings of instances lie.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Puts every instance and endpoint on the platform's list as live.
    pub fn list_all(&self) {
        let instances = self.instances.iter().map(|it| Entry {
            name: it.settings.name.clone(),
            kind: EntryKind::Instance,
            address: it.address(),
            control_address: it.control_address(),
            availability_zone: it.settings.availability_zone.clone(),
            state: EntryState::Live,
        });
        let sheet = self.plan.sheet();
        let endpoints = sheet.endpoints.iter().map(|it| Entry {
            name: it.name.to_string(),
            kind: EntryKind::Endpoint,
            address: it.address,
            control_address: None,
            availability_zone: it.availability_zone.to_string(),
            state: EntryState::Live,
        });
        self.platform.set_entries(instances.chain(endpoints).collect());
    }
}

//! Instances of the deployed program, started with the command of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// The command of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/tanagergauge-instance";
/// The template of the deploy file.
const TEMPLATE: &str = "deploy/settings.yaml";
/// The zones of the small deployment; each lies in a region of its own.
pub(crate) const ZONES: [(&str, &str); 3] =
    [("tallinn-a", "tallinn"), ("tartu-a", "tartu"), ("helsinki-a", "helsinki")];
/// The ports that instances get, and their number.
const FIRST_PORT: u16 = 18_000;
const PORTS: u16 = 12_000;
/// Time within which an instance has to be ready.
const READY_TIME: Duration = Duration::from_secs(10);

/// A running instance, killed on drop.
pub(crate) struct Instance {
    pub(crate) name: String,
    /// Where clients connect.
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) control: SocketAddr,
    child: Child,
    /// The log, kept until the case ends.
    pub(crate) log: PathBuf,
}

/// A directory that is removed on drop.
pub(crate) struct TemporaryDirectory(PathBuf);

impl TemporaryDirectory {
    pub(crate) fn create() -> TemporaryDirectory {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir(&path).expect("a temporary directory can be created");
        TemporaryDirectory(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Addresses of an instance before it starts.
#[derive(Clone, Copy)]
pub(crate) struct Ports {
    pub(crate) front: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) control: SocketAddr,
}

impl Ports {
    /// Three free ports, below those that the system gives to outgoing connections.
    pub(crate) fn free() -> Ports {
        let [front, ready, control] = [free_port(), free_port(), free_port()];
        Ports { front, ready, control }
    }
}

/// A port of the loopback address that nobody uses; another one at each call.
fn free_port() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let tried = std::process::id() * 101 + TRIED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + u16::try_from(tried % u32::from(PORTS)).expect("fits");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Starts an instance whose store is at an address, with the template filled in as a platform does.
    pub(crate) fn start(
        directory: &TemporaryDirectory,
        name: &str,
        zone: (&str, &str),
        ports: Ports,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Instance {
        let zones: Vec<String> = ZONES.iter().map(|(z, r)| format!("\"{z}\":\"{r}\"")).collect();
        let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = |it: &str| format!("\"{it}\"");
        let fields = [
            ("node|json", text(name)),
            ("zone|json", text(zone.0)),
            ("region|json", text(zone.1)),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("listen.front|json", text(&ports.front.to_string())),
            ("listen.ready|json", text(&ports.ready.to_string())),
            ("listen.control|json", text(&ports.control.to_string())),
            ("seeds|json", format!("[{}]", seeds.join(","))),
            ("platform.address|json", text(&store.to_string())),
            ("bounds.retryRatio", "0.2".to_owned()),
            ("bounds.retrySlack", "52".to_owned()),
            ("bounds.retryWindowS", "10".to_owned()),
            ("bounds.graceS", "8".to_owned()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE).expect("the template can be read");
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!settings.contains("{{"), "a placeholder is left: {settings}");
        let path = directory.0.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = directory.0.join(format!("{name}.log"));
        let output = fs::OpenOptions::new().create(true).append(true).open(&log);
        let child = Command::new(PROGRAM)
            .env("TANAGERGAUGE_BOOT", &path)
            .stdout(output.expect("the log can be written"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        let Ports { front, ready, control } = ports;
        Instance { name: name.to_owned(), front, ready, control, child, log }
    }

    /// Waits until the instance says that it is ready.
    pub(crate) async fn wait_until_ready(&mut self) {
        let begin = Instant::now();
        while !is_ready(self.ready).await {
            assert!(self.is_running(), "{} has exited", self.name);
            assert!(begin.elapsed() < READY_TIME, "{} is not ready in time", self.name);
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a signal, such as `TERM` or `STOP`, to the process.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(sent.is_ok_and(|it| it.success()), "the signal is sent");
    }

    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Lines of the log that contain a text.
    pub(crate) fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let question = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    if stream.write_all(question.as_bytes()).await.is_err() {
        return false;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.is_ok() && answer.starts_with("HTTP/1.1 200")
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

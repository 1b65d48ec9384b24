//! A daemon in a process of its own.

use std::{
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child, ChildStderr, Command, ExitStatus, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde::Deserialize;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};

use crate::{LOOK_INTERVAL, PATIENCE, call::Call, eventually};

/// Settings of an instance under test.
#[derive(Clone, Debug)]
pub struct InstanceSettings {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub availability_zone: String,
    /// The platform's log.
    pub log: SocketAddr,
    /// The platform's list.
    pub list: SocketAddr,
    /// How long the log keeps records, in milliseconds.
    pub retention_ms: u64,
    /// How long it serves on after a planned stop has begun, in milliseconds.
    pub notice_ms: u64,
    /// Fields of `limits`, as YAML between braces.
    pub limits: String,
    /// Further lines of YAML.
    pub more: String,
}

/// The line a daemon logs when it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Listening {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    control_listen: Option<SocketAddr>,
}

/// A running daemon. Dropping it kills the process.
pub struct Instance {
    /// Its settings.
    pub settings: InstanceSettings,
    child: Child,
    pid: Pid,
    listening: Listening,
    lines: Arc<Mutex<Vec<String>>>,
}

impl InstanceSettings {
    fn yaml(&self) -> String {
        let mut yaml = String::new();
        let InstanceSettings { name, availability_zone, log, list, .. } = self;
        let (retention_ms, notice_ms) = (self.retention_ms, self.notice_ms);
        let written = write!(
            yaml,
            "instance: {name}\n\
             availability_zone: {availability_zone}\n\
             listen: 127.0.0.1:0\n\
             control_listen: 127.0.0.1:0\n\
             platform: {{ log: \"{log}\", list: \"{list}\", retention_ms: {retention_ms} }}\n\
             stop: {{ notice_ms: {notice_ms} }}\n\
             limits: {{ {} }}\n\
             {}\n",
            self.limits, self.more
        );
        written.expect("text can be written");
        yaml
    }
}

impl Instance {
    /// Starts a daemon and waits until it listens. Its settings go into `dir`.
    ///
    /// # Errors
    /// It did not start, with what it logged.
    pub async fn start(
        binary: &Path,
        dir: &Path,
        settings: InstanceSettings,
    ) -> io::Result<Instance> {
        let path = dir.join(format!("{}.yaml", settings.name));
        fs::write(&path, settings.yaml())?;
        let mut child = Command::new(binary)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (found, mut listening) = watch::channel(None);
        if let Some(stderr) = child.stderr.take() {
            let lines = Arc::clone(&lines);
            thread::spawn(move || read_log(stderr, &lines, &found));
        }
        let heard = timeout(PATIENCE, listening.wait_for(Option::is_some)).await;
        let heard = heard.ok().and_then(Result::ok).and_then(|it| *it);
        let Some(listening) = heard else {
            let _ = child.kill();
            let _ = child.wait();
            let lines = lines.lock().unwrap_or_else(PoisonError::into_inner).join("\n");
            return Err(io::Error::other(format!("{} did not start: {lines}", settings.name)));
        };
        let pid = Pid::from_raw(i32::try_from(child.id()).map_err(io::Error::other)?);
        Ok(Instance { settings, child, pid, listening, lines })
    }

    /// Address for callers.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Address for peers and operators, if it listens there.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.listening.control_address
    }

    /// Id of its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Address it listens on for peers and operators, behind any proxy.
    pub fn control_listen(&self) -> Option<SocketAddr> {
        self.listening.control_listen
    }

    /// What it logged so far, a line each.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until it is ready.
    ///
    /// # Panics
    /// When that takes longer than [`PATIENCE`].
    pub async fn wait_ready(&self) {
        let until = Instant::now() + PATIENCE;
        while !self.is_ready().await {
            let name = &self.settings.name;
            assert!(Instant::now() < until, "{name} is not ready: {}", self.log().join("\n"));
            sleep(LOOK_INTERVAL).await;
        }
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        Call::get("/readyz").send(self.address()).await.status == 200
    }

    /// Sum over all series of a counter whose labels hold `label`, as `reason="malformed"`.
    pub async fn counter(&self, name: &str, label: &str) -> u64 {
        let metrics = Call::get("/metrics").send(self.address()).await;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let series = text.lines().filter(|it| it.starts_with(name) && it.contains(label));
        let values = series.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum::<f64>() as u64
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Stops the process's time.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets the process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    /// When that takes longer than [`PATIENCE`].
    pub async fn wait_ended(&mut self) -> ExitStatus {
        let mut status = None;
        let what = format!("{} ends", self.settings.name);
        eventually(&what, async || {
            status = self.child.try_wait().ok().flatten();
            status.is_some()
        })
        .await;
        status.unwrap_or_default()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Signals the child, which is not waited for yet, so that its id is still its own.
    fn signal(&self, signal: Signal) {
        let _ = kill(self.pid, signal);
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn read_log(
    stderr: ChildStderr,
    lines: &Mutex<Vec<String>>,
    found: &watch::Sender<Option<Listening>>,
) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        if line.contains("\"listening\"")
            && let Ok(listening) = serde_json::from_str::<Listening>(&line)
        {
            found.send_replace(Some(listening));
        }
        lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}

//! Starts `target/release/tanagergauge-instance` as the deploy file does.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{client::Call, record::Record};

/// The program of the deploy file, from the repository's root.
const PROGRAM: &str = "target/release/tanagergauge-instance";

/// All processes and directories of this run.
static STARTED: Mutex<Vec<(Arc<Mutex<Child>>, PathBuf)>> = Mutex::new(Vec::new());

/// Ends all instances that this program started. Those that ended before are passed over.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for (child, directory) in started.drain(..) {
        end(&child, &directory);
    }
}

fn end(child: &Mutex<Child>, directory: &Path) {
    let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = child.kill();
    let _ = child.wait();
    let _ = fs::remove_dir_all(directory);
}

/// A running instance, killed on drop.
pub struct Instance {
    /// Where callers connect.
    pub listen: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Child>>,
    process_id: u32,
    directory: PathBuf,
    log: Arc<Mutex<Vec<String>>>,
}

impl Instance {
    /// Starts an instance and waits until it is ready.
    pub fn start(record: &Record, name: &str, store: SocketAddr, more: &str) -> Instance {
        let directory = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        let path = directory.join("boot.yaml");
        let settings = format!(
            "instance: \"{name}\"\navailability_zone: \"tallinn-a\"\nregion: \"tallinn\"\n\
             regions: {{\"tallinn-a\":\"tallinn\",\"tartu-a\":\"tartu\",\"helsinki-a\":\"helsinki\"}}\n\
             listen: \"127.0.0.1:0\"\nready_listen: \"127.0.0.1:0\"\ncontrol_listen: \"127.0.0.1:0\"\n\
             seeds: []\nstore: \"{store}\"\nrepeats:\n  ratio: 0.2\n  slack: 52\n  window_s: 10\n\
             stop:\n  grace_s: 8\n{more}log: info\n"
        );
        let written = fs::create_dir_all(&directory).and_then(|()| fs::write(&path, settings));
        if written.is_err() {
            crate::could_not_run(record, "the settings cannot be written");
        }
        let spawned =
            Command::new(PROGRAM).env("TANAGERGAUGE_BOOT", &path).stdout(Stdio::piped()).spawn();
        let Ok(mut child) = spawned else {
            crate::could_not_run(record, "the build of the deploy file is missing");
        };
        let log = Arc::<Mutex<Vec<String>>>::default();
        let (lines, output) = (Arc::clone(&log), child.stdout.take().expect("it is piped"));
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                lines.lock().expect("not poisoned").push(line);
            }
        });
        let begin = Instant::now();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let process_id = child.id();
        let child = Arc::new(Mutex::new(child));
        let started = (Arc::clone(&child), directory.clone());
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(started);
        let mut instance = Instance { listen: any, ready: any, child, process_id, directory, log };
        while begin.elapsed() < Duration::from_secs(10) {
            let found = instance.lines_with("\"start\"").into_iter().next();
            if let Some(line) = found {
                (instance.listen, instance.ready) =
                    (address(&line, "listen"), address(&line, "ready_listen"));
                if instance.is_ready() {
                    record.line(&format!("instance {name} is ready at {}", instance.listen));
                    return instance;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        crate::could_not_run(record, "the instance did not become ready within 10 s");
    }

    /// Whether it answers 200 to the platform's question.
    pub fn is_ready(&self) -> bool {
        let answer = Call::new("GET", "/readyz", "ready", "").send(self.ready);
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Log lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let log = self.log.lock().expect("not poisoned");
        log.iter().filter(|it| it.contains(text)).cloned().collect()
    }

    /// Id of the process.
    pub fn process_id(&self) -> u32 {
        self.process_id
    }
}

fn address(line: &str, field: &str) -> SocketAddr {
    let name = format!("\"{field}\":\"");
    let rest = line.split(&name).nth(1).unwrap_or("");
    rest.split('"').next().unwrap_or("").parse().expect("the start line names its addresses")
}

impl Drop for Instance {
    fn drop(&mut self) {
        end(&self.child, &self.directory);
    }
}

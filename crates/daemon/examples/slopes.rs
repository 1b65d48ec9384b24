//! Measures what control costs a daemon, along each axis of growth.
//!
//! Starts real daemons without callers and prints a table. Build the daemon
//! first: `cargo build --release -p tanagergauge-daemon`, then
//! `cargo run --release -p tanagergauge-daemon --example slopes [ROW...]`. The row
//! `sizes` prints sizes of records instead.

use std::{
    fs, io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use tanagergauge_core::{
    Member, MemberState, Name,
    edit::Edit,
    fact::Fact,
    record::{Base, Body, Publication, SHEETS_STREAM, SheetRecord, Snapshot},
    sheet::{
        AvailabilityZone, Class, ClientAccount, Credential, Endpoint, Model, OutputPrior, Sheet,
        TargetKind, Tier,
    },
};
use tanagergauge_standins::{
    Entry, Platform, PlatformSettings,
    platform::{EntryKind, EntryState},
};
use tanagergauge_testenv::{Call, Instance, InstanceSettings, default_keys, key_file};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time for instances to meet before a measurement.
const WARM_UP: Duration = Duration::from_secs(30);
/// Time measured.
const MEASURED: Duration = Duration::from_secs(16);
/// Clock ticks a second in the kernel's process times.
const TICKS_PER_S: f64 = 100.0;
/// Models in the sheet.
const MODELS: usize = 19;
/// Load reports so far; each differs from the one before.
static REPORTS: AtomicU32 = AtomicU32::new(0);

/// One line of the table.
#[derive(Clone, Copy)]
struct Row {
    name: &'static str,
    instances: usize,
    zones: usize,
    endpoints: usize,
    accounts: usize,
    changes_per_day: u64,
}

const ROWS: [Row; 16] = [
    row("zone-3", 3, 1, 210, 390, 0),
    row("zone-6", 6, 1, 210, 390, 0),
    row("zone-12", 12, 1, 210, 390, 0),
    row("zone-24", 24, 1, 210, 390, 0),
    row("zone-37", 37, 1, 210, 390, 0),
    row("zone-50", 50, 1, 210, 390, 0),
    row("fleet-50", 50, 10, 210, 390, 0),
    row("fleet-100", 100, 10, 210, 390, 0),
    row("fleet-200", 200, 10, 210, 390, 0),
    row("endpoints-15", 12, 1, 15, 390, 0),
    row("endpoints-60", 12, 1, 60, 390, 0),
    row("endpoints-2100", 12, 10, 2100, 390, 0),
    row("accounts-10", 12, 1, 210, 10, 0),
    row("accounts-100", 12, 1, 210, 100, 0),
    row("changes-10x", 12, 1, 210, 390, 18_000),
    row("changes-100x", 12, 1, 210, 390, 180_000),
];

const fn row(
    name: &'static str,
    instances: usize,
    zones: usize,
    endpoints: usize,
    accounts: usize,
    changes_per_day: u64,
) -> Row {
    Row { name, instances, zones, endpoints, accounts, changes_per_day }
}

/// What one daemon has used since it started.
#[derive(Clone, Copy, Default)]
struct Usage {
    peers_bytes: f64,
    endpoints_bytes: f64,
    platform_bytes: f64,
    messages: f64,
    busy_us: f64,
    cpu_s: f64,
    resident_mb: f64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let wanted: Vec<String> = std::env::args().skip(1).collect();
    if wanted.iter().any(|it| it == "sizes") {
        return print_sizes().await;
    }
    println!(
        "| row | daemons | zones | endpoints | accounts | changes/day | peers B/s | endpoints B/s \
         | platform B/s | all B/s | messages/s | CPU % of a core | gossip CPU % | RSS MB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for row in ROWS {
        if wanted.is_empty() || wanted.iter().any(|it| it == row.name) {
            println!("{}", measure(row).await?);
        }
    }
    Ok(())
}

/// Prints how large records of the configuration and facts are.
async fn print_sizes() -> io::Result<()> {
    println!("| endpoints | accounts | whole sheet, bytes | snapshot, bytes | one edit, bytes |");
    println!("|---|---|---|---|---|");
    for row in [row("", 0, 3, 15, 10, 0), row("", 0, 10, 2100, 10, 0), row("", 0, 10, 2100, 390, 0)]
    {
        let sheet = sheet(row).await?;
        let text = serde_json::to_string(&sheet).map_err(io::Error::other)?;
        let edit = Body::Edits(vec![Edit::PutEndpoint(sheet.endpoints[0].clone())]);
        let whole = record(Base::First, Body::Whole(Name::from(text))).len();
        let edit = record(Base::Version(1 << 20), edit).len();
        let sheet = Arc::new(sheet);
        let snapshot = Snapshot { version: 1, publication_id: 1, next_offset: 2, sheet };
        let snapshot = SheetRecord::Snapshot(snapshot).encode().len();
        let Row { endpoints, accounts, .. } = row;
        println!("| {endpoints} | {accounts} | {whole} | {snapshot} | {edit} |");
    }
    let fact = Fact::Member { name: Name::from("entry-300"), member: member() };
    println!(
        "\none instance's record: {} bytes",
        postcard::to_allocvec(&fact).unwrap_or_default().len()
    );
    Ok(())
}

fn member() -> Member {
    Member {
        incarnation: 1_800_000_000_000,
        refutation: 0,
        state: MemberState::Live,
        forget_unix_ms: 0,
        availability_zone: Name::from("zone-9"),
        address: ([127, 0, 0, 1], 40_000).into(),
        control_address: ([127, 0, 0, 1], 40_001).into(),
    }
}

async fn measure(row: Row) -> io::Result<String> {
    let dir = tempfile::tempdir()?;
    fs::write(dir.path().join("keys.yaml"), key_file(&default_keys()))?;
    let platform = Platform::start(PlatformSettings::default()).await?;
    let sheet = sheet(row).await?;
    let text = serde_json::to_string(&sheet).map_err(io::Error::other)?;
    let mut version = publish(&platform, Base::First, Body::Whole(Name::from(text)));
    let mut instances = Vec::new();
    for number in 0..row.instances {
        let settings = settings(row, number, &platform, &dir.path().join("keys.yaml"));
        instances.push(Instance::start(&binary()?, dir.path(), settings).await?);
    }
    platform.set_entries(entries(&instances));
    for instance in &instances {
        instance.wait_ready().await;
    }
    tokio::time::sleep(WARM_UP).await;
    let before = usages(&instances).await?;
    let started = Instant::now();
    while started.elapsed() < MEASURED {
        match row.changes_per_day {
            0 => tokio::time::sleep(MEASURED).await,
            changes => {
                tokio::time::sleep(Duration::from_secs(86_400) / changes as u32).await;
                version = change(&platform, &sheet, version);
            }
        }
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = usages(&instances).await?;
    Ok(line(row, &before, &after, elapsed_s))
}

fn line(row: Row, before: &[Usage], after: &[Usage], elapsed_s: f64) -> String {
    let count = before.len() as f64;
    let rate = |read: fn(&Usage) -> f64| {
        let sum = |usages: &[Usage]| usages.iter().map(read).sum::<f64>();
        (sum(after) - sum(before)) / count / elapsed_s
    };
    let (peers, endpoints, platform) =
        (rate(|it| it.peers_bytes), rate(|it| it.endpoints_bytes), rate(|it| it.platform_bytes));
    let resident_mb = after.iter().map(|it| it.resident_mb).fold(0.0, f64::max);
    format!(
        "| {} | {} | {} | {} | {} | {} | {peers:.0} | {endpoints:.0} | {platform:.0} | {:.0} \
         | {:.1} | {:.2} | {:.2} | {resident_mb:.1} |",
        row.name,
        row.instances,
        row.zones,
        row.endpoints,
        row.accounts,
        row.changes_per_day,
        peers + endpoints + platform,
        rate(|it| it.messages),
        rate(|it| it.cpu_s) * 100.0,
        rate(|it| it.busy_us) / 10_000.0,
    )
}

async fn usages(instances: &[Instance]) -> io::Result<Vec<Usage>> {
    let mut usages = Vec::new();
    for instance in instances {
        usages.push(usage(instance).await?);
    }
    Ok(usages)
}

async fn usage(instance: &Instance) -> io::Result<Usage> {
    let metrics = Call::get("/metrics").send(instance.address()).await;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let sum = |name: &str, label: &str| -> f64 {
        let series = text.lines().filter(|it| it.starts_with(name) && it.contains(label));
        series.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    let bytes = |partner: &str| sum("tanagergauge_control_bytes_total", partner);
    let stat = fs::read_to_string(format!("/proc/{}/stat", instance.id()))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let ticks = |place: usize| fields.get(place).and_then(|it| it.parse::<f64>().ok());
    let status = fs::read_to_string(format!("/proc/{}/status", instance.id()))?;
    let resident = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let resident_kb = resident.and_then(|it| it.trim().trim_end_matches(" kB").parse::<f64>().ok());
    Ok(Usage {
        peers_bytes: bytes("peers"),
        endpoints_bytes: bytes("endpoints"),
        platform_bytes: bytes("platform"),
        messages: sum("tanagergauge_control_messages_total", ""),
        busy_us: sum("tanagergauge_control_busy_microseconds_total", ""),
        cpu_s: (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_S,
        resident_mb: resident_kb.unwrap_or(0.0) / 1024.0,
    })
}

fn binary() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let target = own.ancestors().nth(2).map(PathBuf::from).unwrap_or_default();
    Ok(target.join("tanagergauged"))
}

fn settings(
    row: Row,
    number: usize,
    platform: &Platform,
    keys: &std::path::Path,
) -> InstanceSettings {
    InstanceSettings {
        name: format!("entry-{number}"),
        availability_zone: format!("zone-{}", number % row.zones),
        log: platform.address(),
        list: platform.address(),
        retention_ms: 86_400_000,
        notice_ms: 100,
        limits: String::new(),
        more: format!("keys: {}\nlog: warn,tanagergauge_daemon::instance=info\n", keys.display()),
    }
}

fn entries(instances: &[Instance]) -> Vec<Entry> {
    let entry = |it: &Instance| Entry {
        name: it.settings.name.clone(),
        kind: EntryKind::Instance,
        address: it.address(),
        control_address: it.control_address(),
        availability_zone: it.settings.availability_zone.clone(),
        state: EntryState::Live,
    };
    instances.iter().map(entry).collect()
}

fn publish(platform: &Platform, base: Base, body: Body) -> u64 {
    platform.append(SHEETS_STREAM, record(base, body))
}

fn record(base: Base, body: Body) -> Vec<u8> {
    let publication_id = u128::from(REPORTS.fetch_add(1, Ordering::Relaxed)) + (1 << 64);
    SheetRecord::Publication(Publication { publication_id, base, body }).encode()
}

/// Changes one endpoint's slots.
fn change(platform: &Platform, sheet: &Sheet, version: u64) -> u64 {
    let number = version as usize % sheet.endpoints.len();
    let mut endpoint = sheet.endpoints[number].clone();
    endpoint.slots += 1 + version as u32 % 7;
    publish(platform, Base::Version(version), Body::Edits(vec![Edit::PutEndpoint(endpoint)]))
}

async fn sheet(row: Row) -> io::Result<Sheet> {
    let zones = (0..row.zones).map(|it| AvailabilityZone {
        name: Name::from(format!("zone-{it}")),
        region: Name::from(format!("region-{}", it % 3)),
    });
    let tiers: Vec<Tier> =
        (0..7).map(|it| Tier { name: Name::from(format!("tier-{it}")) }).collect();
    let classes = tiers.iter().map(|tier| class(&tier.name));
    let models = (0..MODELS).map(|it| Model {
        name: Name::from(format!("model-{it}")),
        version: None,
        adapters: Vec::new(),
    });
    let mut endpoints = Vec::new();
    for number in 0..row.endpoints {
        endpoints.push(endpoint(row, number).await?);
    }
    Ok(Sheet {
        sheet: Name::from("slopes"),
        availability_zones: zones.collect(),
        classes: classes.collect(),
        client_accounts: (0..row.accounts).map(|it| account(row, it)).collect(),
        models: models.collect(),
        endpoints,
        tiers,
        ..Sheet::default()
    })
}

fn class(tier: &Name) -> Class {
    Class {
        name: Name::from(format!("class-of-{tier}")),
        tier: tier.clone(),
        kind: TargetKind::Model,
        repeatable: true,
        first_token_ms: 500,
        between_tokens_ms: Some(32),
        whole_answer_ms: 20_000,
        floor_percent: 0,
        output_tokens: OutputPrior::default(),
    }
}

fn account(row: Row, number: usize) -> ClientAccount {
    let hash = blake3::hash(format!("token-{number}").as_bytes());
    ClientAccount {
        name: Name::from(format!("account-{number}")),
        share_percent: 100.0 / (row.accounts + 1) as f64,
        credentials: vec![Credential {
            blake3: Name::from(hash.to_string()),
            not_after_unix_ms: None,
        }],
        classes: Vec::new(),
    }
}

/// An endpoint that only reports its load, another one each time.
async fn endpoint(row: Row, number: usize) -> io::Result<Endpoint> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(report(socket));
        }
    });
    Ok(Endpoint {
        name: Name::from(format!("endpoint-{number}")),
        availability_zone: Name::from(format!("zone-{}", number % row.zones)),
        address,
        kind: TargetKind::Model,
        serves: vec![Name::from(format!("model-{}", number % MODELS))],
        slots: 16,
        checks_fencing: false,
        checks_orders: false,
    })
}

async fn report(mut socket: TcpStream) {
    let mut buffer = [0; 1024];
    while let Ok(read) = socket.read(&mut buffer).await {
        if read == 0 || !buffer[..read].ends_with(b"\r\n\r\n") {
            return;
        }
        let running = REPORTS.fetch_add(1, Ordering::Relaxed) * 7 % 16;
        let body = format!(
            "{{\"running\":{running},\"waiting\":0,\"slots\":16,\"tokens_per_s\":500.0,\
             \"leaving\":false,\"as_of_unix_ms\":1800000000000}}"
        );
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if socket.write_all((head + &body).as_bytes()).await.is_err() {
            return;
        }
    }
}

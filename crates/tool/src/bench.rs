//! `bench`: what an instance costs against the direct path to the same stand-ins.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use tanagergauge_core::{Name, Outcome, check::parse_sheet, sheet::Kind};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    call::{Call, Fate},
    client::Client,
    failure::Failure,
    output::{Grid, Output},
    profile::Pace,
    stage::{Stage, loopback},
    tally::{Spread, millis},
};

/// The sheet of the bench: one engine and one plain service.
const SHEET: &str = include_str!("../../../examples/bench.yaml");

/// Bearer token of the bench's account.
const TOKEN: &str = "demo-bench";

/// Pace of each stream while latency is measured, in tokens a second.
const PACED_TOKENS_PER_S: f64 = 25.0;

/// Pace of the engine while throughput is measured, in tokens a second for each stream.
const FAST_TOKENS_PER_S: f64 = 20_000.0;

/// Probes of each path while the streams are open.
const PROBES: usize = 2000;

/// Callers that send short requests, each one after the other.
const CALLERS: usize = 64;

/// Time that streams get until all of them flow.
const SETTLE: Duration = Duration::from_millis(1500);

/// What `bench` is told.
#[derive(Debug)]
pub(crate) struct BenchOptions {
    /// Streams open at once.
    pub(crate) streams: usize,
    /// Tokens of each stream.
    pub(crate) tokens: usize,
    /// Short requests on each path.
    pub(crate) requests: usize,
    /// Where settings for the instance go, if somebody else starts it.
    pub(crate) settings: Option<PathBuf>,
    /// The instance's process.
    pub(crate) pid: Option<u32>,
    pub(crate) output: Output,
}

/// What one path reached.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct PathFigures {
    /// Short requests while the streams are open.
    probe: Spread,
    short_requests_per_s: f64,
    streamed_tokens_per_s: f64,
}

/// What the bench measured.
#[derive(Debug, Serialize)]
struct Figures {
    streams: usize,
    direct: PathFigures,
    routed: PathFigures,
    added_p50_ms: f64,
    added_p99_ms: f64,
    /// Requests that were not answered.
    failed: usize,
    /// Resident memory of the instance, in kilobytes, with the streams open and at the end.
    resident_kb: Option<[u64; 2]>,
}

/// A path to the stand-ins.
#[derive(Clone, Copy, Debug)]
enum Way {
    Direct,
    Routed,
}

/// The deployment of the bench.
struct Bench {
    stage: Stage,
    client: Client,
    tokens: usize,
}

/// Runs the bench and prints what it measured.
///
/// # Errors
///
/// The deployment does not come up, or a request was not answered.
pub(crate) async fn run(options: BenchOptions) -> Result<(), Failure> {
    let mut figures = Figures {
        streams: options.streams,
        direct: PathFigures::default(),
        routed: PathFigures::default(),
        added_p50_ms: 0.0,
        added_p99_ms: 0.0,
        failed: 0,
        resident_kb: None,
    };
    let bench = Arc::new(Bench::raise(&options).await?);
    let open_kb = latency(&bench, &options, &mut figures).await;
    short_requests(&bench, &options, &mut figures).await;
    streamed(&bench, &options, &mut figures).await;
    let end_kb = options.pid.and_then(resident_kb);
    figures.resident_kb = open_kb.zip(end_kb).map(|it| [it.0, it.1]);
    figures.added_p50_ms = figures.routed.probe.p50_ms - figures.direct.probe.p50_ms;
    figures.added_p99_ms = figures.routed.probe.p99_ms - figures.direct.probe.p99_ms;
    options.output.print(&figures, || table(&figures));
    match figures.failed {
        0 => Ok(()),
        count => Err(Failure::Check(format!("{count} requests were not answered"))),
    }
}

impl Bench {
    async fn raise(options: &BenchOptions) -> Result<Bench, Failure> {
        let sheet = parse_sheet(SHEET).map_err(Failure::Findings)?;
        let pace = Pace {
            decode_tokens_per_s: PACED_TOKENS_PER_S,
            batch_slowdown_percent: 0.0,
            prefill_tokens_per_s: 1e7,
            max_waiting: 4096,
            service_ms: 0,
            ..Pace::default()
        };
        let mut stage = Stage::raise(sheet, pace, String::new()).await?;
        match &options.settings {
            None => stage.start_instances(1, loopback()).await?,
            Some(directory) => stage.await_instances(1, directory).await?,
        }
        Ok(Bench { stage, client: Client::new(), tokens: options.tokens })
    }

    /// Makes the engine generate at this pace, in tokens a second for each stream.
    fn pace(&self, tokens_per_s: f64) {
        for staged in &self.stage.engines {
            staged.engine.switch(|it| it.slow_factor = PACED_TOKENS_PER_S / tokens_per_s);
        }
    }

    fn address(&self, way: Way, kind: Kind) -> SocketAddr {
        let endpoint = self.stage.sheet.endpoints.iter().find(|it| it.kind == kind);
        match (way, endpoint) {
            (Way::Direct, Some(endpoint)) => endpoint.address,
            _ => self.stage.entries[0].address,
        }
    }

    async fn short(&self, way: Way, number: usize) -> Fate {
        let path = match way {
            Way::Direct => "/calls",
            Way::Routed => "/services/echo/calls",
        };
        let body = json!({"number": number}).to_string();
        self.call(way, Kind::Service, path, body, number).await
    }

    async fn stream(&self, way: Way, tokens: usize, number: usize) -> Fate {
        let body = json!({
            "model": "plain",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("stream {number}")}],
        });
        self.call(way, Kind::Model, "/v1/chat/completions", body.to_string(), number).await
    }

    async fn call(&self, way: Way, kind: Kind, path: &str, body: String, number: usize) -> Fate {
        let class = match kind {
            Kind::Model => "stream",
            Kind::Service => "short",
        };
        let call = Call {
            instance: self.address(way, kind),
            token: Name::from(TOKEN),
            class: Name::from(class),
            request_id: format!("bench-{class}-{number}"),
            keyed: false,
            path: path.to_owned(),
            body: Bytes::from(body),
        };
        call.run(&self.client, Instant::now(), |_| {}).await
    }
}

/// Short requests on both paths by turns, while streams flow through the instance.
async fn latency(bench: &Arc<Bench>, options: &BenchOptions, figures: &mut Figures) -> Option<u64> {
    bench.pace(PACED_TOKENS_PER_S);
    let mut streams = JoinSet::new();
    let long = 10 * options.tokens.max(1000);
    for number in 0..options.streams {
        let bench = Arc::clone(bench);
        streams.spawn(async move { bench.stream(Way::Routed, long, number).await });
    }
    tokio::time::sleep(SETTLE).await;
    let (mut direct, mut routed) = (Vec::new(), Vec::new());
    for number in 0..PROBES {
        for (way, times) in [(Way::Direct, &mut direct), (Way::Routed, &mut routed)] {
            let fate = bench.short(way, number).await;
            figures.failed += usize::from(!answered(&fate));
            times.push(millis(fate.whole));
        }
    }
    figures.direct.probe = Spread::of(direct.into_iter());
    figures.routed.probe = Spread::of(routed.into_iter());
    let resident_kb = options.pid.and_then(resident_kb);
    figures.failed += streams.try_join_next().map_or(0, |_| 1);
    streams.shutdown().await;
    resident_kb
}

/// Short requests a second on each path.
async fn short_requests(bench: &Arc<Bench>, options: &BenchOptions, figures: &mut Figures) {
    for way in [Way::Direct, Way::Routed] {
        let each = options.requests / CALLERS;
        let start = Instant::now();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let bench = Arc::clone(bench);
            callers.spawn(async move {
                let mut failed = 0;
                for i in 0..each {
                    failed += usize::from(!answered(&bench.short(way, caller * each + i).await));
                }
                failed
            });
        }
        figures.failed += callers.join_all().await.into_iter().sum::<usize>();
        let per_s = (each * CALLERS) as f64 / start.elapsed().as_secs_f64();
        figures.of(way).short_requests_per_s = per_s;
    }
}

/// Tokens a second of streams on each path.
async fn streamed(bench: &Arc<Bench>, options: &BenchOptions, figures: &mut Figures) {
    bench.pace(FAST_TOKENS_PER_S);
    for way in [Way::Direct, Way::Routed] {
        let start = Instant::now();
        let mut streams = JoinSet::new();
        for number in 0..options.streams {
            let bench = Arc::clone(bench);
            streams.spawn(async move { bench.stream(way, bench.tokens, number).await });
        }
        let fates = streams.join_all().await;
        let tokens: u64 = fates.iter().map(|it| u64::from(it.tokens)).sum();
        figures.failed += fates.iter().filter(|it| !answered(it)).count();
        figures.of(way).streamed_tokens_per_s = tokens as f64 / start.elapsed().as_secs_f64();
    }
}

impl Figures {
    fn of(&mut self, way: Way) -> &mut PathFigures {
        match way {
            Way::Direct => &mut self.direct,
            Way::Routed => &mut self.routed,
        }
    }
}

fn answered(fate: &Fate) -> bool {
    fate.outcome == Outcome::Answered && fate.status == Some(200)
}

/// Resident memory of a process; absent if it cannot be read.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

fn table(figures: &Figures) -> String {
    let head = ["path", "probe p50", "probe p99", "short requests", "streamed tokens"];
    let mut grid = Grid::new(&head, 1);
    for (name, path) in [("direct", &figures.direct), ("routed", &figures.routed)] {
        grid.line(vec![
            name.to_owned(),
            format!("{:.3} ms", path.probe.p50_ms),
            format!("{:.3} ms", path.probe.p99_ms),
            format!("{:.0}/s", path.short_requests_per_s),
            format!("{:.0}/s", path.streamed_tokens_per_s),
        ]);
    }
    let mut text = format!(
        "{grid}\nadded at {} streams: p50 {:.3} ms, p99 {:.3} ms; {} failed\n",
        figures.streams, figures.added_p50_ms, figures.added_p99_ms, figures.failed,
    );
    if let Some([open, end]) = figures.resident_kb {
        text.push_str(&format!("resident: {open} kB with the streams open, {end} kB at the end\n"));
    }
    text
}

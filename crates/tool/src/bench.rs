//! `bench`: what an instance costs against the direct path to the same stand-ins.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use tanagergauge_core::{Name, Outcome, check::parse_sheet, sheet::TargetKind};
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

/// The sheet of the bench: engines and one plain service.
const SHEET: &str = include_str!("../../../examples/bench.yaml");

/// Bearer token of the bench's account.
const TOKEN: &str = "demo-bench";

/// Pace of each stream while latency is measured, in tokens a second.
const PACED_TOKENS_PER_S: f64 = 25.0;

/// By how much each engine is slower than the one before it.
const PACE_STEP: f64 = 0.013;

/// Pace of the engine while throughput is measured, in tokens a second for each stream.
const FAST_TOKENS_PER_S: f64 = 20_000.0;

/// Probes of each path while the streams are open.
const PROBES: usize = 2000;

/// Callers that send short requests, each one after the other.
const CALLERS: usize = 64;

/// Places of the user's and the system's ticks in a process's `stat`, from its state on.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Length of a tick, in microseconds.
const TICK_US: f64 = 10_000.0;

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
    /// File that holds the process id of the instance once it runs.
    pub(crate) pid_file: Option<PathBuf>,
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
    /// Processor time of the instance for a short request and for a streamed token.
    busy: Option<Busy>,
}

/// Processor time of the instance, in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
struct Busy {
    short_request_us: f64,
    streamed_token_us: f64,
}

/// Processor time of the instance when a phase began and ended, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Phase {
    begun_us: Option<f64>,
    ended_us: Option<f64>,
}

impl Phase {
    /// What each of `count` took.
    fn each_us(self, count: f64) -> Option<f64> {
        Some((self.ended_us? - self.begun_us?) / count.max(1.0))
    }
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
        busy: None,
    };
    let bench = Arc::new(Bench::raise(&options).await?);
    let open_kb = latency(&bench, &options, &mut figures).await;
    let short_request_us = short_requests(&bench, &options, &mut figures).await;
    let streamed_token_us = streamed(&bench, &options, &mut figures).await;
    let busy = short_request_us.zip(streamed_token_us);
    figures.busy = busy.map(|it| Busy { short_request_us: it.0, streamed_token_us: it.1 });
    let end_kb = options.resident_kb();
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

    /// Makes the engines generate at about this pace, in tokens a second for each stream.
    ///
    /// Engines differ a little, so that their steps do not stay together.
    fn pace(&self, tokens_per_s: f64) {
        for (i, staged) in self.stage.engines.iter().enumerate() {
            let factor = (1.0 + PACE_STEP * i as f64) * PACED_TOKENS_PER_S / tokens_per_s;
            staged.engine.switch(|it| it.slow_factor = factor);
        }
    }

    /// Where a request goes; on the direct path, to the endpoints of its kind in turn.
    fn address(&self, way: Way, kind: TargetKind, number: usize) -> SocketAddr {
        let endpoints: Vec<SocketAddr> = match way {
            Way::Routed => vec![self.stage.entries[0].address],
            Way::Direct => {
                let of_kind = self.stage.sheet.endpoints.iter().filter(|it| it.kind == kind);
                of_kind.map(|it| it.address).collect()
            }
        };
        endpoints[number % endpoints.len()]
    }

    async fn short(&self, way: Way, number: usize) -> Fate {
        let path = match way {
            Way::Direct => "/calls",
            Way::Routed => "/services/echo/calls",
        };
        let body = json!({"number": number}).to_string();
        self.call(way, TargetKind::Service, path, body, number).await
    }

    async fn stream(&self, way: Way, tokens: usize, number: usize) -> Fate {
        let body = json!({
            "model": "plain",
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": format!("stream {number}")}],
        });
        self.call(way, TargetKind::Model, "/v1/chat/completions", body.to_string(), number).await
    }

    async fn call(
        &self,
        way: Way,
        kind: TargetKind,
        path: &str,
        body: String,
        number: usize,
    ) -> Fate {
        let class = match kind {
            TargetKind::Model => "stream",
            TargetKind::Service => "short",
        };
        let call = Call {
            instance: self.address(way, kind, number),
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
    let resident_kb = options.resident_kb();
    // None of the streams is due to end yet.
    figures.failed += std::iter::from_fn(|| streams.try_join_next()).count();
    streams.shutdown().await;
    resident_kb
}

/// Short requests a second on each path. Returns the processor time of a routed one.
async fn short_requests(
    bench: &Arc<Bench>,
    options: &BenchOptions,
    figures: &mut Figures,
) -> Option<f64> {
    let each = options.requests / CALLERS;
    let mut phase = Phase::default();
    for way in [Way::Direct, Way::Routed] {
        phase.begun_us = options.busy_us();
        let start = Instant::now();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let bench = Arc::clone(bench);
            callers.spawn(async move { short_run(&bench, way, caller * each, each).await });
        }
        figures.failed += callers.join_all().await.into_iter().sum::<usize>();
        let per_s = (each * CALLERS) as f64 / start.elapsed().as_secs_f64();
        figures.of(way).short_requests_per_s = per_s;
        phase.ended_us = options.busy_us();
    }
    phase.each_us((each * CALLERS) as f64)
}

/// Short requests one after the other; returns how many failed.
async fn short_run(bench: &Bench, way: Way, from: usize, count: usize) -> usize {
    let mut failed = 0;
    for number in from..from + count {
        failed += usize::from(!answered(&bench.short(way, number).await));
    }
    failed
}

/// Tokens a second of streams on each path. Returns the processor time of a routed one.
async fn streamed(
    bench: &Arc<Bench>,
    options: &BenchOptions,
    figures: &mut Figures,
) -> Option<f64> {
    bench.pace(FAST_TOKENS_PER_S);
    let mut phase = Phase::default();
    let mut tokens = 0;
    for way in [Way::Direct, Way::Routed] {
        phase.begun_us = options.busy_us();
        let start = Instant::now();
        let mut streams = JoinSet::new();
        for number in 0..options.streams {
            let bench = Arc::clone(bench);
            streams.spawn(async move { bench.stream(way, bench.tokens, number).await });
        }
        let fates = streams.join_all().await;
        tokens = fates.iter().map(|it| u64::from(it.tokens)).sum();
        figures.failed += fates.iter().filter(|it| !answered(it)).count();
        figures.of(way).streamed_tokens_per_s = tokens as f64 / start.elapsed().as_secs_f64();
        phase.ended_us = options.busy_us();
    }
    phase.each_us(tokens as f64)
}

impl BenchOptions {
    /// Processor time that the instance's process has used, in microseconds.
    fn busy_us(&self) -> Option<f64> {
        let stat = self.of_process("stat")?;
        // The name may hold spaces; fields are counted behind it, from the state on.
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |at: usize| fields.get(at)?.parse::<f64>().ok();
        Some((ticks(USER_FIELD)? + ticks(SYSTEM_FIELD)?) * TICK_US)
    }

    /// Resident memory of the instance's process, in kilobytes.
    fn resident_kb(&self) -> Option<u64> {
        let status = self.of_process("status")?;
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    fn of_process(&self, file: &str) -> Option<String> {
        let pid = std::fs::read_to_string(self.pid_file.as_ref()?).ok()?;
        let pid: u32 = pid.trim().parse().ok()?;
        std::fs::read_to_string(format!("/proc/{pid}/{file}")).ok()
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
    if let Some(busy) = figures.busy {
        text.push_str(&format!(
            "processor time of the instance: {:.1} us a short request, {:.2} us a streamed token\n",
            busy.short_request_us, busy.streamed_token_us,
        ));
    }
    text
}

//! `load`: sends requests when they are due, whatever became of earlier ones.

use std::{
    collections::{HashMap, HashSet},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use indicatif::{ProgressBar, ProgressStyle};
use tanagergauge_core::{
    Name, Outcome,
    sheet::{Sheet, TargetKind},
};
use tanagergauge_standins::answer::expected_text;
use tokio::{sync::mpsc, time::Instant};

use crate::{
    call::Fate,
    client::Client,
    failure::Failure,
    output::{Grid, Output, json, write},
    plan::{Capacity, Entry, Plan, Planned, Planner, capacity, example_token},
    profile::Profile,
    report,
    stage::{SharedStage, Stage, loopback},
    tally::{EngineTally, Row, Spread, Tally, percent},
};

/// Reason noted of a request whose answer was not waited for any longer.
const STILL_OPEN: &str = "still_open";

/// What a load run is told.
#[derive(Debug)]
pub(crate) struct LoadOptions {
    pub(crate) sheet: Sheet,
    pub(crate) profile: Profile,
    /// Instances to start in this process; 0 where others are given.
    pub(crate) local: usize,
    /// Where settings for the instances go, if others start them.
    pub(crate) settings: Option<PathBuf>,
    /// YAML lines that each instance's settings end with.
    pub(crate) more_settings: String,
    /// Instances that run already.
    pub(crate) entries: Vec<Entry>,
    /// How long answers are waited for after the last request.
    pub(crate) drain: Duration,
    /// Rate as a multiple of the capacity; absent where the profile gives a rate.
    pub(crate) times_capacity: Option<f64>,
    pub(crate) output: Output,
    pub(crate) json: Option<PathBuf>,
    pub(crate) records: Option<PathBuf>,
    pub(crate) report: Option<PathBuf>,
    pub(crate) quiet: bool,
}

/// Runs a load and prints what it measured.
///
/// # Errors
///
/// The deployment does not come up, a file cannot be written, or a caller got an answer
/// that was not its own.
pub(crate) async fn run(options: LoadOptions) -> Result<(), Failure> {
    let stage = stage(&options).await?;
    let entries = stage.as_ref().map_or(options.entries.clone(), |it| it.entries.clone());
    let (tally, rows) = measure(&options, stage.as_ref(), &entries).await?;
    publish(&options, &tally, &rows)?;
    match tally.foreign {
        0 => Ok(()),
        count => Err(Failure::Check(format!("{count} answers were not those of their requests"))),
    }
}

/// Brings up what the options ask for; absent if instances are given.
async fn stage(options: &LoadOptions) -> Result<Option<SharedStage>, Failure> {
    if options.local == 0 {
        return Ok(None);
    }
    let (sheet, pace) = (options.sheet.clone(), options.profile.engine);
    let mut stage = Stage::raise(sheet, pace, options.more_settings.clone()).await?;
    match &options.settings {
        None => stage.start_instances(options.local, loopback()).await?,
        Some(directory) => stage.await_instances(options.local, directory).await?,
    }
    Ok(Some(Arc::new(stage)))
}

async fn measure(
    options: &LoadOptions,
    stage: Option<&SharedStage>,
    entries: &[Entry],
) -> Result<(Tally, Vec<Row>), Failure> {
    let (sheet, profile) = (&options.sheet, &options.profile);
    let full = capacity(profile, sheet);
    let rate_per_s = match (options.times_capacity, profile.rate_per_s) {
        (Some(times), _) => times * full.requests_per_s,
        (None, Some(rate_per_s)) => rate_per_s,
        (None, None) => full.requests_per_s,
    };
    let planner = Planner::new(profile, sheet, entries, &example_token);
    let plan: Plan = Arc::new(planner.plan(rate_per_s));
    if plan.is_empty() {
        return Err(Failure::Usage("the profile sends nothing".to_owned()));
    }
    let sent = send_all(options, stage, &plan).await;
    let mut rows = sent.rows;
    rows.sort_by(|a, b| a.due_ms.total_cmp(&b.due_ms));
    let duration_s = sent.duration.as_secs_f64();
    let classes = Tally::classes(sheet, &rows, duration_s);
    let tally = Tally {
        sheet: sheet.sheet.clone(),
        seed: profile.seed,
        rate_per_s,
        times_capacity: rate_per_s / full.requests_per_s,
        duration_s,
        sent: rows.len() as u64,
        goodput_tokens_per_s: classes.iter().map(|it| it.goodput_tokens_per_s).sum(),
        classes,
        bound_tokens_per_s: bound(full, &rows, duration_s),
        reasons: Tally::reasons(&rows),
        foreign: rows.iter().filter(|it| it.foreign).count() as u64,
        send_lateness: sent.lateness,
        engines: stage.map(|it| engine_tally(it, &rows)),
    };
    Ok((tally, rows))
}

/// Tokens a second that perfect knowledge could deliver: all that was asked, or all
/// that the engines can do.
fn bound(full: Capacity, rows: &[Row], duration_s: f64) -> f64 {
    let asked: u64 = rows.iter().map(|it| u64::from(it.wanted_tokens)).sum();
    full.tokens_per_s.min(asked as f64 / duration_s)
}

struct Sent {
    rows: Vec<Row>,
    lateness: Spread,
    /// From the start to the last answer.
    duration: Duration,
}

async fn send_all(options: &LoadOptions, stage: Option<&SharedStage>, plan: &Plan) -> Sent {
    let client = Client::new();
    let mut progress = progress(options.quiet, plan.len());
    let (sender, mut ended) = mpsc::unbounded_channel();
    let sheet = Arc::new(options.sheet.clone());
    let start = Instant::now();
    let changes =
        stage.map(|it| tokio::spawn(change(Arc::clone(it), options.profile.clone(), start)));
    let mut lateness_ms = Vec::with_capacity(plan.len());
    for i in 0..plan.len() {
        let due = start + plan[i].due;
        tokio::time::sleep_until(due).await;
        lateness_ms.push(due.elapsed().as_secs_f64() * 1e3);
        let (client, plan, sheet) = (client.clone(), Arc::clone(plan), Arc::clone(&sheet));
        let (sender, verify) = (sender.clone(), stage.is_some());
        tokio::spawn(async move {
            let _ = sender.send(one(&client, &plan, &sheet, i, due, verify).await);
        });
        while let Ok(row) = ended.try_recv() {
            keep(&mut progress, row);
        }
    }
    drop(sender);
    drain(&mut progress, &mut ended, options.drain).await;
    let duration = start.elapsed();
    let open = still_open(plan, &sheet, &progress.1, duration);
    progress.1.extend(open);
    progress.0.finish_and_clear();
    if let Some(changes) = changes {
        changes.abort();
    }
    let lateness = Spread::of(lateness_ms.into_iter());
    Sent { rows: progress.1, lateness, duration }
}

/// Makes the profile's changes happen when they are due.
async fn change(stage: SharedStage, profile: Profile, start: Instant) {
    let mut changes = profile.changes;
    changes.sort_by_key(|it| it.at_ms);
    for change in changes {
        tokio::time::sleep_until(start + Duration::from_millis(change.at_ms)).await;
        stage.apply(&change).await;
    }
}

/// Sends one request and makes its row.
async fn one(
    client: &Client,
    plan: &Plan,
    sheet: &Sheet,
    index: usize,
    due: Instant,
    verify: bool,
) -> Option<Row> {
    let planned = &plan[index];
    let class = sheet.class(&planned.call.class)?;
    let fate = planned.call.run(client, due, |_| {}).await;
    let answered = fate.outcome == Outcome::Answered && fate.status == Some(200);
    let foreign = verify
        && answered
        && match class.kind {
            TargetKind::Model => expected_text(&planned.call.body, 0).as_ref() != Some(&fate.text),
            TargetKind::Service => fate.echoed_id.as_ref() != Some(&planned.call.request_id),
        };
    Some(Row::new(planned, class, &fate, foreign))
}

/// A bar and the rows so far.
struct Progress(ProgressBar, Vec<Row>);

fn progress(quiet: bool, requests: usize) -> Progress {
    let bar = if quiet { ProgressBar::hidden() } else { ProgressBar::new(requests as u64) };
    let style = "{elapsed_precise} {wide_bar} {pos}/{len} ended, {per_sec}, {msg}";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    Progress(bar, Vec::with_capacity(requests))
}

fn keep(progress: &mut Progress, row: Option<Row>) {
    progress.0.inc(1);
    progress.1.extend(row);
}

/// Waits for the answers still to come.
async fn drain(
    progress: &mut Progress,
    ended: &mut mpsc::UnboundedReceiver<Option<Row>>,
    patience: Duration,
) {
    let end = Instant::now() + patience;
    while let Ok(Some(row)) = tokio::time::timeout_at(end, ended.recv()).await {
        keep(progress, row);
    }
}

/// Rows of the requests that have not ended; nobody knows what becomes of them.
fn still_open(plan: &Plan, sheet: &Sheet, rows: &[Row], duration: Duration) -> Vec<Row> {
    let ended: HashSet<&str> = rows.iter().map(|it| it.request_id.as_str()).collect();
    let open = plan.iter().filter(|it| !ended.contains(it.call.request_id.as_str()));
    let row = |planned: &Planned| {
        let class = sheet.class(&planned.call.class)?;
        let whole = duration.saturating_sub(planned.due);
        let fate = Fate::silent(Outcome::Unknown, STILL_OPEN, whole);
        Some(Row::new(planned, class, &fate, false))
    };
    open.filter_map(row).collect()
}

fn engine_tally(stage: &Stage, rows: &[Row]) -> EngineTally {
    let rows: HashMap<&str, &Row> = rows.iter().map(|it| (it.request_id.as_str(), it)).collect();
    let whole = rows.values().filter(|it| it.outcome == Outcome::Answered && !it.foreign);
    let delivered_tokens: u64 = whole.map(|it| u64::from(it.tokens)).sum();
    let mut tally = EngineTally::default();
    for staged in &stage.engines {
        for run in staged.engine.records() {
            tally.attempts += 1;
            tally.generated_tokens += u64::from(run.generated_tokens);
            tally.prompt_tokens += u64::from(run.prompt_tokens);
            tally.cached_tokens += u64::from(run.cached_tokens);
            let Some(row) = rows.get(run.request_id.as_str()) else { continue };
            let bytes = row.request_bytes + answer_bytes(row, run.generated_tokens);
            tally.add_route(&stage.sheet, &row.zone, &staged.zone, bytes);
        }
    }
    tally.wasted_tokens = tally.generated_tokens.saturating_sub(delivered_tokens);
    tally.wasted_percent = percent(tally.wasted_tokens, tally.generated_tokens);
    tally
}

/// Bytes of the part of an answer that an attempt generated.
fn answer_bytes(row: &Row, generated_tokens: u32) -> u64 {
    row.answer_bytes * u64::from(generated_tokens) / u64::from(row.tokens.max(1))
}

impl EngineTally {
    /// Counts bytes that went between two availability zones, if their regions differ.
    fn add_route(&mut self, sheet: &Sheet, from: &Name, to: &Name, bytes: u64) {
        let (Some(from), Some(to)) = (sheet.region(from), sheet.region(to)) else { return };
        if from == to {
            return;
        }
        self.cross_region_bytes += bytes;
        let price = sheet.prices.iter().find(|it| it.from == *from && it.to == *to);
        self.cross_region_price += price.map_or(0.0, |it| it.per_gigabyte * bytes as f64 / 1e9);
    }
}

/// Prints the tally and writes the files that were asked for.
fn publish(options: &LoadOptions, tally: &Tally, rows: &[Row]) -> Result<(), Failure> {
    options.output.print(tally, || table(tally));
    if let Some(path) = &options.json {
        write(path, &json(tally))?;
    }
    if let Some(path) = &options.records {
        let lines = rows.iter().map(|it| serde_json::to_string(it).unwrap_or_default() + "\n");
        write(path, &lines.collect::<String>())?;
    }
    if let Some(path) = &options.report {
        write(path, &report::html(tally, rows))?;
    }
    Ok(())
}

/// The tally as text.
fn table(tally: &Tally) -> String {
    let head = [
        "class",
        "tier",
        "sent",
        "answered",
        "not run",
        "unknown",
        "attained",
        "first p50",
        "first p99",
        "whole p50",
        "whole p99",
        "goodput",
    ];
    let mut grid = Grid::new(&head, 2);
    for class in &tally.classes {
        grid.line(vec![
            class.class.to_string(),
            class.tier.to_string(),
            class.sent.to_string(),
            class.answered.to_string(),
            class.not_run.to_string(),
            class.unknown.to_string(),
            format!("{:.1} %", class.attained_percent),
            format!("{:.0} ms", class.first.p50_ms),
            format!("{:.0} ms", class.first.p99_ms),
            format!("{:.0} ms", class.whole.p50_ms),
            format!("{:.0} ms", class.whole.p99_ms),
            format!("{:.0} tok/s", class.goodput_tokens_per_s),
        ]);
    }
    let mut text = format!("{grid}\n{}", totals(tally));
    for (class, reasons) in &tally.reasons {
        let reasons: Vec<String> = reasons.iter().map(|(name, n)| format!("{name} {n}")).collect();
        text.push_str(&format!("{class}: {}\n", reasons.join(", ")));
    }
    text
}

fn totals(tally: &Tally) -> String {
    let mut text = format!(
        "{} requests in {:.1} s, {:.1} a second ({:.2} times capacity), seed {}\n\
         goodput {:.0} tokens/s, bound {:.0} tokens/s; sent late by p99 {:.2} ms; foreign {}\n",
        tally.sent,
        tally.duration_s,
        tally.rate_per_s,
        tally.times_capacity,
        tally.seed,
        tally.goodput_tokens_per_s,
        tally.bound_tokens_per_s,
        tally.send_lateness.p99_ms,
        tally.foreign,
    );
    if let Some(engines) = &tally.engines {
        text.push_str(&format!(
            "engines: {} attempts, {} tokens generated, {} wasted ({:.2} %), \
             {} of {} prompt tokens cached, {} bytes across regions (price {:.6})\n",
            engines.attempts,
            engines.generated_tokens,
            engines.wasted_tokens,
            engines.wasted_percent,
            engines.cached_tokens,
            engines.prompt_tokens,
            engines.cross_region_bytes,
            engines.cross_region_price,
        ));
    }
    text
}

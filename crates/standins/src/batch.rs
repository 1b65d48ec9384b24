//! Continuous batching: which runs are computed together, and at what pace.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::Instant};

use crate::{
    body::Piece,
    engine::{EngineFaults, EngineSettings, Shared},
    prefix::PrefixCache,
    run::{RunEnd, RunRecord},
};

/// Most prompt tokens computed in one step, over all runs.
const PREFILL_CHUNK_TOKENS: u32 = 512;

/// A batch that fell behind its clock by more than this starts its clock anew.
const MAX_BEHIND: Duration = Duration::from_millis(200);

/// A run of a request.
pub(crate) struct Run {
    /// Index of its record.
    pub(crate) record: usize,
    /// Rank of the tier; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Prompt tokens still to be computed.
    pub(crate) prefill_tokens: u32,
    /// Number of the next token.
    pub(crate) next_token: u32,
    /// Number of tokens of the whole answer.
    pub(crate) end_token: u32,
    /// Where its output goes; closed when the caller has left.
    pub(crate) output: mpsc::UnboundedSender<Piece>,
}

/// The runs of an engine.
pub(crate) struct Batch {
    /// Runs without a slot, in order of arrival.
    pub(crate) waiting: Vec<Run>,
    /// Runs with a slot; never more than there are slots.
    pub(crate) running: Vec<Run>,
    /// Every run since the start, in order of arrival.
    pub(crate) records: Vec<RunRecord>,
    /// The prompt prefix cache.
    pub(crate) cache: PrefixCache,
    /// Tokens generated since the start.
    pub(crate) generated_tokens: u64,
}

/// What to do after a look at the batch.
enum Next {
    Sleep,
    Step(Duration),
}

impl Batch {
    pub(crate) fn new(cache_blocks: usize) -> Batch {
        Batch {
            waiting: Vec::new(),
            running: Vec::new(),
            records: Vec::new(),
            cache: PrefixCache::new(cache_blocks),
            generated_tokens: 0,
        }
    }

    /// Ends every run without an answer and forgets the cache.
    pub(crate) fn crash(&mut self) {
        let runs = self.waiting.drain(..).chain(self.running.drain(..));
        for run in runs {
            self.records[run.record].end = RunEnd::Died;
        }
        self.cache.clear();
    }

    /// Gives free slots to the waiting runs, the most urgent first.
    fn admit(&mut self, slots: usize) {
        let records = &mut self.records;
        self.waiting.retain(|run| {
            let left = run.output.is_closed();
            if left {
                records[run.record].end = RunEnd::Cancelled;
            }
            !left
        });
        while self.running.len() < slots && !self.waiting.is_empty() {
            let first = (0..self.waiting.len()).min_by_key(|&it| self.waiting[it].priority);
            let run = self.waiting.remove(first.unwrap_or(0));
            self.running.push(run);
        }
    }

    fn next(&mut self, settings: &EngineSettings, faults: &EngineFaults) -> Next {
        self.admit(settings.slots);
        if self.running.is_empty() {
            return Next::Sleep;
        }
        let decoding = self.running.iter().filter(|it| it.prefill_tokens == 0).count();
        let prefill_tokens: u32 = self.running.iter().map(|it| it.prefill_tokens).sum();
        let prefill_tokens = prefill_tokens.min(PREFILL_CHUNK_TOKENS);
        let prefill_s = f64::from(prefill_tokens) / settings.prefill_tokens_per_s;
        let decode_s = if decoding == 0 {
            0.0
        } else {
            let crowding = (decoding - 1) as f64 * settings.batch_slowdown_percent / 100.0;
            (1.0 + crowding) / settings.decode_tokens_per_s
        };
        Next::Step(Duration::from_secs_f64((prefill_s + decode_s) * faults.slow_factor.max(0.0)))
    }

    /// Does the work of one step.
    fn step(&mut self, faults: &EngineFaults) {
        let mut prefill_left_tokens = PREFILL_CHUNK_TOKENS;
        let records = &mut self.records;
        let generated_tokens = &mut self.generated_tokens;
        self.running.retain_mut(|run| {
            let record = &mut records[run.record];
            if run.prefill_tokens > 0 {
                let done_tokens = run.prefill_tokens.min(prefill_left_tokens);
                run.prefill_tokens -= done_tokens;
                prefill_left_tokens -= done_tokens;
            } else {
                *generated_tokens += u64::from(run.next_token < run.end_token);
                generate(run, record);
            }
            record.end = end_of(run, record, faults);
            record.end == RunEnd::Running
        });
    }
}

/// Generates one token of a run.
fn generate(run: &mut Run, record: &mut RunRecord) {
    if run.next_token < run.end_token {
        record.generated_tokens += 1;
        record.generated_after_cancel_tokens += u32::from(run.output.is_closed());
        let _ = run.output.send(Piece::Token(run.next_token));
        run.next_token += 1;
    }
}

fn end_of(run: &Run, record: &RunRecord, faults: &EngineFaults) -> RunEnd {
    if run.output.is_closed() && !faults.ignores_cancel {
        return RunEnd::Cancelled;
    }
    if faults.die_after_tokens.is_some_and(|limit| record.generated_tokens >= limit) {
        return RunEnd::Died;
    }
    if run.prefill_tokens > 0 || run.next_token < run.end_token {
        return RunEnd::Running;
    }
    let _ = run.output.send(Piece::End);
    RunEnd::Finished
}

/// Computes the batch until the engine is dropped.
pub(crate) async fn compute(shared: Arc<Shared>) {
    let mut faults = shared.faults.subscribe();
    let mut due = Instant::now();
    loop {
        let now_faults = faults.borrow_and_update().clone();
        if now_faults.hang {
            let _ = faults.changed().await;
            continue;
        }
        let next = shared.batch().next(&shared.settings, &now_faults);
        let Next::Step(step) = next else {
            shared.work.notified().await;
            due = Instant::now();
            continue;
        };
        due = (due + step).max(Instant::now() - MAX_BEHIND);
        tokio::time::sleep_until(due).await;
        if !faults.borrow().hang {
            shared.batch().step(&now_faults);
        }
        tokio::task::yield_now().await;
    }
}

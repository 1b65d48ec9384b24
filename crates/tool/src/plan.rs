//! The requests of a load run, each with the moment it is due.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rand_distr::{Distribution, Exp, LogNormal};
use serde_json::json;
use tanagergauge_core::{
    Name,
    sheet::{Class, Sheet, TargetKind},
};

use crate::{
    call::Call,
    profile::{Part, Profile, What, accounts_of},
};

/// Bytes that the stand-in engine counts as one token of a prompt.
const TOKEN_BYTES: usize = 4;

/// Longest answer that is asked for, in tokens.
const MAX_OUTPUT_TOKENS: f64 = 8192.0;

/// Longest prompt that is sent, in tokens.
const MAX_PROMPT_TOKENS: f64 = 65_536.0;

/// The standard normal distribution at 95 in 100.
const Z95: f64 = 1.644_853_6;

/// A request and the moment it is due.
#[derive(Clone, Debug)]
pub(crate) struct Planned {
    /// From the start of the run.
    pub(crate) due: Duration,
    /// The request.
    pub(crate) call: Call,
    /// Its account.
    pub(crate) account: Name,
    /// The availability zone of the instance it goes to; empty if that is not known.
    pub(crate) zone: Name,
    /// Tokens of its whole answer, 0 for a plain service.
    pub(crate) output_tokens: u32,
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// Address for callers.
    pub(crate) address: SocketAddr,
    /// Address for operators, if known.
    pub(crate) control: Option<SocketAddr>,
    /// Its availability zone; empty if that is not known.
    pub(crate) zone: Name,
}

/// Capacity of the stand-in engines for a mix, worked out from their settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Requests of the mix a second.
    pub(crate) requests_per_s: f64,
    /// Generated tokens a second.
    pub(crate) tokens_per_s: f64,
}

/// Works out what the engines of the sheet can do at most with full batches.
pub(crate) fn capacity(profile: &Profile, sheet: &Sheet) -> Capacity {
    let engines = sheet.endpoints.iter().filter(|it| it.kind == TargetKind::Model);
    let pace = profile.engine;
    let (mut seconds, mut tokens) = (0.0, 0.0);
    for part in &profile.mix {
        let Some(class) = sheet.class(&part.class) else { continue };
        if class.kind == TargetKind::Service {
            continue;
        }
        let output = mean(class.output_tokens.p50_tokens, class.output_tokens.p95_tokens);
        let prompt = mean(part.prompt_p50_tokens, part.prompt_p95_tokens);
        tokens += part.percent / 100.0 * output;
        seconds += part.percent / 100.0 * prompt / pace.prefill_tokens_per_s;
    }
    let mut requests_per_s = 0.0;
    for engine in engines {
        let slots = f64::from(engine.slots);
        let crowding = (slots - 1.0) * pace.batch_slowdown_percent / 100.0;
        let token_s = (1.0 + crowding) / pace.decode_tokens_per_s / slots;
        requests_per_s += 1.0 / (seconds + tokens * token_s).max(f64::MIN_POSITIVE);
    }
    Capacity { requests_per_s, tokens_per_s: requests_per_s * tokens }
}

/// Mean of a log-normal distribution with these percentiles.
fn mean(p50: u32, p95: u32) -> f64 {
    let sigma = sigma(p50, p95);
    f64::from(p50) * (sigma * sigma / 2.0).exp()
}

fn sigma(p50: u32, p95: u32) -> f64 {
    (f64::from(p95.max(1)) / f64::from(p50.max(1))).ln().max(0.0) / Z95
}

/// Makes all requests of a run, in the order they are due.
pub(crate) struct Planner<'a> {
    profile: &'a Profile,
    sheet: &'a Sheet,
    entries: &'a [Entry],
    /// The bearer token of each account, by the name.
    token: &'a dyn Fn(&Name) -> Name,
    random: StdRng,
    made: u64,
    run: u32,
}

impl<'a> Planner<'a> {
    /// A planner that has made nothing.
    pub(crate) fn new(
        profile: &'a Profile,
        sheet: &'a Sheet,
        entries: &'a [Entry],
        token: &'a dyn Fn(&Name) -> Name,
    ) -> Planner<'a> {
        let mut random = StdRng::seed_from_u64(profile.seed);
        let run = random.random();
        Planner { profile, sheet, entries, token, random, made: 0, run }
    }

    /// All requests at this mean rate, in the order they are due.
    pub(crate) fn plan(mut self, rate_per_s: f64) -> Vec<Planned> {
        let mut planned = Vec::new();
        for part in &self.profile.mix {
            self.steady(part, rate_per_s * part.percent / 100.0, &mut planned);
        }
        for i in 0..self.profile.bursts.len() {
            self.burst(i, &mut planned);
        }
        planned.sort_by_key(|it| it.due);
        planned
    }

    fn steady(&mut self, part: &Part, rate_per_s: f64, planned: &mut Vec<Planned>) {
        let Ok(gap) = Exp::new(rate_per_s) else { return };
        if rate_per_s <= 0.0 {
            return;
        }
        let end_s = self.profile.duration_ms as f64 / 1e3;
        let mut at_s: f64 = gap.sample(&mut self.random);
        while at_s < end_s {
            planned.extend(self.request(part, Duration::from_secs_f64(at_s)));
            at_s += gap.sample(&mut self.random);
        }
    }

    fn burst(&mut self, index: usize, planned: &mut Vec<Planned>) {
        let burst = &self.profile.bursts[index];
        if burst.at_ms >= self.profile.duration_ms {
            return;
        }
        let mut part = self.profile.part(&burst.class);
        if !burst.accounts.is_empty() {
            part.accounts = burst.accounts.clone();
        }
        for _ in 0..burst.requests {
            let after_ms = self.random.random_range(0..=burst.over_ms);
            let due = Duration::from_millis(burst.at_ms + after_ms);
            planned.extend(self.request(&part, due));
        }
    }

    fn request(&mut self, part: &Part, due: Duration) -> Option<Planned> {
        let class = self.sheet.class(&part.class)?;
        let account = self.account(part, class)?;
        let entry = self.entries.choose(&mut self.random)?.clone();
        let output_tokens = self.output_tokens(class, due);
        let (path, body) = match class.kind {
            TargetKind::Model => self.chat(part, class, &account, output_tokens)?,
            TargetKind::Service => self.service(part)?,
        };
        self.made += 1;
        let call = Call {
            instance: entry.address,
            token: (self.token)(&account),
            class: class.name.clone(),
            request_id: format!("load-{:08x}-{}", self.run, self.made),
            keyed: !class.repeatable,
            path,
            body,
        };
        Some(Planned { due, call, account, zone: entry.zone, output_tokens })
    }

    fn account(&mut self, part: &Part, class: &Class) -> Option<Name> {
        if !part.accounts.is_empty() {
            return part.accounts.choose(&mut self.random).cloned();
        }
        let accounts = accounts_of(self.sheet, class);
        let shares = accounts.choose_weighted(&mut self.random, |it| it.share_percent);
        shares.ok().or(accounts.first()).map(|it| it.name.clone())
    }

    fn output_tokens(&mut self, class: &Class, due: Duration) -> u32 {
        if class.kind == TargetKind::Service {
            return 0;
        }
        let prior = class.output_tokens;
        let factor = self.length_factor(class, due);
        let tokens = self.draw(prior.p50_tokens, prior.p95_tokens) * factor;
        tokens.clamp(1.0, MAX_OUTPUT_TOKENS) as u32
    }

    fn length_factor(&self, class: &Class, due: Duration) -> f64 {
        let concerns = |who: &Option<Name>| who.as_ref().is_none_or(|it| *it == class.name);
        let changes = self.profile.changes.iter().filter(|it| it.what == What::Lengths);
        let past = changes.filter(|it| Duration::from_millis(it.at_ms) <= due && concerns(&it.who));
        past.map(|it| it.factor).product()
    }

    /// A length from a log-normal distribution.
    fn draw(&mut self, p50: u32, p95: u32) -> f64 {
        let lengths = LogNormal::new(f64::from(p50.max(1)).ln(), sigma(p50, p95));
        lengths.map_or(f64::from(p50), |it| it.sample(&mut self.random))
    }

    fn chat(
        &mut self,
        part: &Part,
        class: &Class,
        account: &Name,
        output_tokens: u32,
    ) -> Option<(String, Bytes)> {
        let model = self.model(part)?;
        let drawn = self.draw(part.prompt_p50_tokens, part.prompt_p95_tokens);
        let prompt_tokens = drawn.clamp(1.0, MAX_PROMPT_TOKENS) as usize;
        let shared_tokens = prompt_tokens.min(part.shared_prompt_tokens as usize);
        let own_tokens = (prompt_tokens - shared_tokens).max(1);
        let shared = filler(&format!("{} {account} ", class.name), shared_tokens * TOKEN_BYTES);
        let own = filler(&format!("request {} ", self.made), own_tokens * TOKEN_BYTES);
        let body = json!({
            "model": model.as_str(),
            "stream": true,
            "standin": {"output_tokens": output_tokens},
            "messages": [
                {"role": "system", "content": shared},
                {"role": "user", "content": own},
            ],
        });
        Some(("/v1/chat/completions".to_owned(), Bytes::from(body.to_string())))
    }

    fn model(&mut self, part: &Part) -> Option<Name> {
        if part.target.is_some() {
            return part.target.clone();
        }
        let engines = self.sheet.endpoints.iter().filter(|it| it.kind == TargetKind::Model);
        let served: Vec<&Name> = engines.flat_map(|it| &it.serves).collect();
        served.choose(&mut self.random).map(|it| (*it).clone())
    }

    fn service(&mut self, part: &Part) -> Option<(String, Bytes)> {
        let service = part.target.clone().or_else(|| {
            let services = self.sheet.endpoints.iter().filter(|it| it.kind == TargetKind::Service);
            services.flat_map(|it| &it.serves).next().cloned()
        })?;
        let body = json!({"request": self.made});
        Some((format!("/services/{service}/calls"), Bytes::from(body.to_string())))
    }
}

/// Text of a length in bytes that begins with `start`.
fn filler(start: &str, length: usize) -> String {
    let mut text = String::with_capacity(length + start.len());
    while text.len() < length {
        text.push_str(start);
    }
    text.truncate(length);
    text
}

/// The bearer token that the shipped examples give an account.
pub(crate) fn example_token(account: &Name) -> Name {
    Name::from(format!("demo-{account}"))
}

/// The planned requests as they are shared between tasks.
pub(crate) type Plan = Arc<Vec<Planned>>;

//! What a load run sends: the mix of classes, bursts, lengths and faults.

use serde::Deserialize;
use tanagergauge_core::{
    Findings, Name,
    document::Document,
    finding::Path,
    sheet::{Class, ClientAccount, Sheet, TargetKind},
};

/// What a load run sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Profile {
    /// Fixes arrivals, lengths, accounts and the instance of each request.
    #[serde(default)]
    pub(crate) seed: u64,
    /// How long requests are sent.
    pub(crate) duration_ms: u64,
    /// Mean arrivals a second over the mix; absent where it is given as a multiple of
    /// the capacity.
    #[serde(default)]
    pub(crate) rate_per_s: Option<f64>,
    /// Parts of the steady traffic, Poisson arrivals each. Percentages sum to 100.
    #[serde(default)]
    pub(crate) mix: Vec<Part>,
    /// Many requests at once, beside the mix.
    #[serde(default)]
    pub(crate) bursts: Vec<Burst>,
    /// Changes of what comes, while it runs.
    #[serde(default)]
    pub(crate) changes: Vec<Change>,
    /// Size and pace of the stand-in engines.
    #[serde(default)]
    pub(crate) engine: Pace,
}

/// What the requests of a class look like.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Part {
    /// The class.
    pub(crate) class: Name,
    /// Its part of the arrivals, in percent.
    #[serde(default)]
    pub(crate) percent: f64,
    /// Accounts that send it, in equal parts; empty for all that may.
    #[serde(default)]
    pub(crate) accounts: Vec<Name>,
    /// The model or service asked for; absent for one that is served.
    #[serde(default)]
    pub(crate) target: Option<Name>,
    /// Half of the prompts are at most this long, in tokens.
    #[serde(default = "default_prompt_tokens")]
    pub(crate) prompt_p50_tokens: u32,
    /// 95 in 100 of the prompts are at most this long, in tokens.
    #[serde(default = "default_prompt_p95_tokens")]
    pub(crate) prompt_p95_tokens: u32,
    /// What all prompts of an account have in common, in tokens.
    #[serde(default)]
    pub(crate) shared_prompt_tokens: u32,
}

/// Many requests at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Burst {
    /// The class.
    pub(crate) class: Name,
    /// Accounts that send it; empty for those of the mix.
    #[serde(default)]
    pub(crate) accounts: Vec<Name>,
    /// When it begins.
    pub(crate) at_ms: u64,
    /// Over how long its requests are spread, evenly at random.
    #[serde(default)]
    pub(crate) over_ms: u64,
    /// How many requests.
    pub(crate) requests: u32,
}

/// A change of what comes, or of what the stand-ins do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Change {
    /// When.
    pub(crate) at_ms: u64,
    /// What.
    pub(crate) what: What,
    /// The endpoint it happens to; for `lengths`, the class, absent for all.
    #[serde(default)]
    pub(crate) who: Option<Name>,
    /// Times longer or slower.
    #[serde(default = "one")]
    pub(crate) factor: f64,
}

/// What changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum What {
    /// Answers get longer by the factor.
    Lengths,
    /// An engine gets slower by the factor.
    SlowEngine,
    /// An engine breaks off every run and takes no connections.
    KillEngine,
    /// An engine takes connections again.
    ReviveEngine,
    /// An engine leaves: it says so and refuses.
    LeavingEngine,
}

/// Size and pace of the stand-in engines; slots come from the sheet.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Pace {
    /// Pace of prompt tokens of an engine.
    pub(crate) prefill_tokens_per_s: f64,
    /// Pace of tokens generated for a run that is alone.
    pub(crate) decode_tokens_per_s: f64,
    /// What each further run of a batch adds to a step, in percent.
    pub(crate) batch_slowdown_percent: f64,
    /// Age of what load reports say.
    pub(crate) load_lag_ms: u64,
    /// Runs that may wait at an engine.
    pub(crate) max_waiting: usize,
    /// Time a plain service takes for a run.
    pub(crate) service_ms: u64,
}

impl Default for Pace {
    fn default() -> Pace {
        Pace {
            prefill_tokens_per_s: 20_000.0,
            decode_tokens_per_s: 200.0,
            batch_slowdown_percent: 2.0,
            load_lag_ms: 200,
            max_waiting: 64,
            service_ms: 5,
        }
    }
}

impl Profile {
    /// Reads a profile and checks it against the sheet.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub(crate) fn parse(text: &str, sheet: &Sheet) -> Result<Profile, Findings> {
        let document = Document::<Profile>::new(text);
        let checked = document.value.as_ref().map(|it| it.check(sheet)).unwrap_or_default();
        let (profile, findings) = document.finish(checked);
        profile.ok_or(findings)
    }

    fn check(&self, sheet: &Sheet) -> Findings {
        let mut findings = Findings::default();
        let mix = Path::root().field("mix");
        for (i, part) in self.mix.iter().enumerate() {
            check_class(&mut findings, &mix.index(i), &part.class, sheet);
            check_accounts(&mut findings, &mix.index(i), &part.accounts, sheet);
            check_lengths(&mut findings, &mix.index(i), part);
        }
        let bursts = Path::root().field("bursts");
        for (i, burst) in self.bursts.iter().enumerate() {
            check_class(&mut findings, &bursts.index(i), &burst.class, sheet);
            check_accounts(&mut findings, &bursts.index(i), &burst.accounts, sheet);
        }
        self.check_changes(&mut findings, sheet);
        let sum: f64 = self.mix.iter().map(|it| it.percent).sum();
        if !self.mix.is_empty() && (sum - 100.0).abs() > 1e-6 {
            findings.error(mix, format!("a sum of {sum} %"), "100 %");
        }
        if self.duration_ms == 0 {
            findings.error(Path::root().field("duration_ms"), "0", "1 or more");
        }
        findings
    }

    fn check_changes(&self, findings: &mut Findings, sheet: &Sheet) {
        let changes = Path::root().field("changes");
        for (i, change) in self.changes.iter().enumerate() {
            let at = changes.index(i);
            if !(change.factor.is_finite() && change.factor > 0.0) {
                let found = change.factor.to_string();
                findings.error(at.field("factor"), found, "a number above 0");
            }
            let Some(who) = &change.who else {
                if change.what != What::Lengths {
                    findings.error(at, "a change of nobody", "the endpoint's name as `who`");
                }
                continue;
            };
            let known = match change.what {
                What::Lengths => sheet.class(who).is_some(),
                _ => {
                    sheet.endpoints.iter().any(|it| it.name == *who && it.kind == TargetKind::Model)
                }
            };
            if !known {
                let found = format!("the unknown name \"{who}\"");
                findings.error(at.field("who"), found, "a class, or a model engine of the sheet");
            }
        }
    }

    /// What the requests of a class look like.
    pub(crate) fn part(&self, class: &str) -> Part {
        let part = self.mix.iter().find(|it| it.class.as_str() == class);
        part.cloned().unwrap_or_else(|| Part {
            class: Name::from(class),
            percent: 0.0,
            accounts: Vec::new(),
            target: None,
            prompt_p50_tokens: default_prompt_tokens(),
            prompt_p95_tokens: default_prompt_p95_tokens(),
            shared_prompt_tokens: 0,
        })
    }
}

/// Accounts of the sheet that may send a class.
pub(crate) fn accounts_of<'a>(sheet: &'a Sheet, class: &Class) -> Vec<&'a ClientAccount> {
    sheet.client_accounts.iter().filter(|it| it.may_use(&class.name)).collect()
}

fn check_class(findings: &mut Findings, at: &Path, class: &Name, sheet: &Sheet) {
    let Some(class) = sheet.class(class) else {
        let found = format!("the unknown class \"{class}\"");
        findings.error(at.field("class"), found, "a class of the sheet");
        return;
    };
    if accounts_of(sheet, class).is_empty() {
        findings.error(at.field("class"), "a class that no account may send", "another one");
    }
}

fn check_accounts(findings: &mut Findings, at: &Path, accounts: &[Name], sheet: &Sheet) {
    for (i, account) in accounts.iter().enumerate() {
        if !sheet.client_accounts.iter().any(|it| it.name == *account) {
            let path = at.field("accounts").index(i);
            let found = format!("the unknown account \"{account}\"");
            findings.error(path, found, "a client account of the sheet");
        }
    }
}

fn check_lengths(findings: &mut Findings, at: &Path, part: &Part) {
    if part.prompt_p50_tokens == 0 {
        findings.error(at.field("prompt_p50_tokens"), "0", "1 or more");
    }
    if part.prompt_p95_tokens < part.prompt_p50_tokens {
        let found = part.prompt_p95_tokens.to_string();
        findings.error(at.field("prompt_p95_tokens"), found, "at least `prompt_p50_tokens`");
    }
    if !(0.0..=100.0).contains(&part.percent) {
        findings.error(at.field("percent"), part.percent.to_string(), "0 to 100");
    }
}

fn default_prompt_tokens() -> u32 {
    200
}

fn default_prompt_p95_tokens() -> u32 {
    800
}

fn one() -> f64 {
    1.0
}

//! `try`: a whole deployment in this process, a request of each class, and what became
//! of them.

use std::{io::Write, net::SocketAddr};

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use tanagergauge_core::{
    Name, Outcome,
    sheet::{Class, Sheet, TargetKind},
};
use tokio::time::Instant;

use crate::{
    call::{Call, Fate},
    client::Client,
    failure::Failure,
    output::{Grid, Output},
    plan::example_token,
    profile::{Pace, accounts_of},
    stage::Stage,
    tally::millis,
};

/// Instances of the deployment.
const INSTANCES: usize = 1;

/// Longest answer that is asked for, so that the command ends soon, in tokens.
const MAX_TOKENS: u32 = 80;

/// What `try` is told.
#[derive(Debug)]
pub(crate) struct TrialOptions {
    pub(crate) sheet: Sheet,
    pub(crate) listen: SocketAddr,
    /// Whether the deployment stays up until Ctrl-C.
    pub(crate) keep: bool,
    pub(crate) output: Output,
}

/// A line of the table.
#[derive(Debug, Serialize)]
struct Line {
    class: Name,
    account: Name,
    outcome: Outcome,
    reason: Option<Name>,
    status: Option<u16>,
    first_ms: Option<f64>,
    whole_ms: f64,
    tokens: u32,
    request_id: String,
}

/// Brings up the deployment, sends the requests and prints the table.
///
/// # Errors
///
/// The deployment does not come up, or a request was not answered.
pub(crate) async fn run(options: TrialOptions) -> Result<(), Failure> {
    let pace = Pace { decode_tokens_per_s: 40.0, ..Pace::default() };
    let mut stage = Stage::raise(options.sheet, pace, String::new()).await?;
    stage.start_instances(INSTANCES, options.listen).await?;
    let address = stage.entries[0].address;
    eprintln!(
        "sheet {}: {} stand-in endpoints, an instance at http://{address}\n",
        stage.sheet.sheet,
        stage.sheet.endpoints.len(),
    );
    let client = Client::new();
    let mut lines = Vec::new();
    let mut streamed = false;
    for class in &stage.sheet.classes {
        let Some((account, call)) = call(&stage.sheet, class, address) else { continue };
        let show = class.kind == TargetKind::Model && !streamed && options.output == Output::Table;
        streamed |= show;
        lines.push(line(&client, class, account, &call, show).await);
    }
    options.output.print(&lines, || table(&lines));
    let unanswered = lines.iter().filter(|it| it.outcome != Outcome::Answered).count();
    if options.keep {
        keep(&stage, address).await?;
    }
    match unanswered {
        0 => Ok(()),
        count => Err(Failure::Check(format!("{count} requests were not answered"))),
    }
}

/// A request of a class, with the first account that may send it.
fn call(sheet: &Sheet, class: &Class, instance: SocketAddr) -> Option<(Name, Call)> {
    let account = accounts_of(sheet, class).first()?.name.clone();
    let endpoint = sheet.endpoints.iter().find(|it| it.kind == class.kind)?;
    let target = endpoint.serves.first()?;
    let (path, body) = match class.kind {
        TargetKind::Model => ("/v1/chat/completions".to_owned(), chat(target, class)),
        TargetKind::Service => {
            let body = json!({"class": class.name.as_str()}).to_string();
            (format!("/services/{target}/calls"), Bytes::from(body))
        }
    };
    let call = Call {
        instance,
        token: example_token(&account),
        class: class.name.clone(),
        request_id: format!("try-{}", class.name),
        keyed: !class.repeatable,
        path,
        body,
    };
    Some((account, call))
}

fn chat(model: &Name, class: &Class) -> Bytes {
    let body = json!({
        "model": model.as_str(),
        "stream": true,
        "max_tokens": class.output_tokens.p50_tokens.min(MAX_TOKENS),
        "messages": [{"role": "user", "content": format!("A request of {}", class.name)}],
    });
    Bytes::from(body.to_string())
}

async fn line(client: &Client, class: &Class, account: Name, call: &Call, show: bool) -> Line {
    if show {
        println!("{} streams:", class.name);
    }
    let fate = call
        .run(client, Instant::now(), |text| {
            if show {
                print!("{text}");
                let _ = std::io::stdout().flush();
            }
        })
        .await;
    if show {
        println!("\n");
    }
    Line::new(class, account, call, &fate)
}

impl Line {
    fn new(class: &Class, account: Name, call: &Call, fate: &Fate) -> Line {
        Line {
            class: class.name.clone(),
            account,
            outcome: fate.outcome,
            reason: fate.reason.clone(),
            status: fate.status,
            first_ms: fate.first.map(millis),
            whole_ms: millis(fate.whole),
            tokens: fate.tokens,
            request_id: call.request_id.clone(),
        }
    }
}

fn table(lines: &[Line]) -> String {
    let head = ["class", "account", "outcome", "status", "first", "whole", "tokens"];
    let mut grid = Grid::new(&head, 3);
    for line in lines {
        let outcome = match &line.reason {
            Some(reason) => format!("{} ({reason})", line.outcome),
            None => line.outcome.to_string(),
        };
        grid.line(vec![
            line.class.to_string(),
            line.account.to_string(),
            outcome,
            line.status.map_or("-".to_owned(), |it| it.to_string()),
            line.first_ms.map_or("-".to_owned(), |it| format!("{it:.1} ms")),
            format!("{:.1} ms", line.whole_ms),
            line.tokens.to_string(),
        ]);
    }
    grid.to_string()
}

/// Says how to go on by hand, and waits for Ctrl-C.
async fn keep(stage: &Stage, address: SocketAddr) -> Result<(), Failure> {
    let model_class = stage.sheet.classes.iter().find(|it| it.kind == TargetKind::Model);
    if let Some((_, call)) = model_class.and_then(|it| call(&stage.sheet, it, address)) {
        println!(
            "\nStill up; Ctrl-C ends it. To go on by hand:\n\n  \
             curl -N http://{address}{} \\\n    -H 'Authorization: Bearer {}' \\\n    \
             -H 'X-Service-Class: {}' \\\n    -d '{}'\n\n  \
             tanagergauge explain {} --control {} --keys {}\n  \
             tanagergauge sheet show --platform {}",
            call.path,
            call.token,
            call.class,
            String::from_utf8_lossy(&call.body),
            call.request_id,
            stage.entries[0].control.unwrap_or(address),
            stage.keys.display(),
            stage.platform(),
        );
    }
    let ended = tokio::signal::ctrl_c().await;
    ended.map_err(|error| Failure::Refused(format!("cannot wait for Ctrl-C: {error}")))
}

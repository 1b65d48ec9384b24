//! `status`, `events` and `explain`: asks instances what they do and why.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use tanagergauge_core::Name;
use tanagergauge_daemon::{
    journal::Event,
    keyring::{KeyRing, Rights},
    meter::{Meter, Partner},
    operator::{EVENTS, EXPLAIN, EventsQuestion, Explanation, STATUS, Status},
    rpc::{RpcClient, RpcError},
    trust::Trust,
};

use crate::{
    failure::Failure,
    output::{Grid, Output},
    tally::percent,
};

/// Longest wait for an instance's answer, beyond what it waits for its peers.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Name under which operators seal their questions.
const OPERATOR: &str = "operator";

/// Whom to ask, and with which keys.
#[derive(Debug)]
pub(crate) struct OperateOptions {
    /// Control addresses, asked in turn until one answers.
    pub(crate) control: Vec<SocketAddr>,
    /// The file of keys.
    pub(crate) keys: PathBuf,
    pub(crate) output: Output,
}

/// A client of the instances' control addresses.
struct Operator {
    rpc: RpcClient,
    control: Vec<SocketAddr>,
}

/// An answer, and who gave it.
struct Answered<A> {
    address: SocketAddr,
    answer: A,
}

impl Operator {
    fn new(options: &OperateOptions) -> Result<Operator, Failure> {
        let ring = KeyRing::load(&options.keys)
            .map_err(|it| Failure::Usage(format!("{}: {it}", options.keys.display())))?;
        let trust = Arc::new(Trust::new(Name::from(OPERATOR), Rights::Read, ring));
        let rpc = RpcClient::new(trust, Meter::new(Partner::Peers));
        Ok(Operator { rpc, control: options.control.clone() })
    }

    /// The first answer that an instance gives.
    async fn ask<Q: Serialize, A: DeserializeOwned>(
        &self,
        method: &'static str,
        question: &Q,
    ) -> Result<Answered<A>, Failure> {
        let mut causes = Vec::new();
        for address in &self.control {
            match self.rpc.call(*address, method, question, TIMEOUT).await {
                Ok(answer) => return Ok(Answered { address: *address, answer }),
                Err(error) => causes.push((address, error)),
            }
        }
        let refused = causes.iter().any(|(_, it)| matches!(it, RpcError::Refused(_)));
        let lines = causes.iter().map(|(address, error)| format!("{address}: {error}"));
        let text = lines.collect::<Vec<_>>().join("\n");
        Err(if refused { Failure::Refused(text) } else { Failure::Unreachable(text) })
    }
}

/// `status`: what one instance does and knows of the fleet.
///
/// # Errors
///
/// No instance answers, or the keys cannot be used.
pub(crate) async fn status(options: OperateOptions) -> Result<(), Failure> {
    let operator = Operator::new(&options)?;
    let answered: Answered<Status> = operator.ask(STATUS, &()).await?;
    options.output.print(&answered.answer, || status_table(&answered));
    Ok(())
}

fn status_table(answered: &Answered<Status>) -> String {
    let status = &answered.answer;
    let version = status.sheet_version.map_or("none".to_owned(), |it| format!("version {it}"));
    let mut text = format!(
        "{} at {} in {}: {}{}; sheet {version}; {} requests in progress; {} quarantines\n",
        status.instance,
        answered.address,
        status.availability_zone,
        if status.is_ready { "ready" } else { "not ready" },
        if status.is_stopping { ", stopping" } else { "" },
        status.in_progress,
        status.quarantines,
    );
    if !status.leaving_endpoints.is_empty() {
        let names: Vec<&str> = status.leaving_endpoints.iter().map(Name::as_str).collect();
        text.push_str(&format!("endpoints that take no new work: {}\n", names.join(", ")));
    }
    let mut grid = Grid::new(&["instance", "zone", "control address", "state"], 4);
    for member in &status.members {
        let suspect = if member.is_suspect { ", silent" } else { "" };
        grid.line(vec![
            member.instance.to_string(),
            member.availability_zone.to_string(),
            member.control_address.to_string(),
            format!("{}{suspect}", member.state),
        ]);
    }
    format!("{text}\n{grid}\n{}", class_table(status))
}

fn class_table(status: &Status) -> Grid {
    let head = ["class", "answered", "not run", "unknown", "attained"];
    let mut grid = Grid::new(&head, 1);
    for (class, counts) in &status.classes {
        let ended = counts.answered + counts.not_run + counts.unknown;
        grid.line(vec![
            class.to_string(),
            counts.answered.to_string(),
            counts.not_run.to_string(),
            counts.unknown.to_string(),
            format!("{:.1} %", percent(counts.attained, ended)),
        ]);
    }
    grid
}

/// `events`: the latest decisions of one instance.
///
/// # Errors
///
/// No instance answers, or the keys cannot be used.
pub(crate) async fn events(options: OperateOptions, limit: u32) -> Result<(), Failure> {
    let operator = Operator::new(&options)?;
    let answered: Answered<Vec<Event>> = operator.ask(EVENTS, &EventsQuestion { limit }).await?;
    options.output.print(&answered.answer, || events_table(None, &answered.answer));
    Ok(())
}

/// `explain`: what the fleet decided for a request, and why.
///
/// # Errors
///
/// No instance answers, the keys cannot be used, or nobody knows the request.
pub(crate) async fn explain(options: OperateOptions, request_id: Name) -> Result<(), Failure> {
    let operator = Operator::new(&options)?;
    let answered: Answered<Explanation> = operator.ask(EXPLAIN, &request_id).await?;
    let explanation = &answered.answer;
    options.output.print(explanation, || explanation_table(explanation));
    if explanation.found.is_empty() {
        return Err(Failure::Refused(format!("no instance remembers the request {request_id}")));
    }
    Ok(())
}

fn explanation_table(explanation: &Explanation) -> String {
    let tables: Vec<String> =
        explanation.found.iter().map(|it| events_table(Some(&it.instance), &it.events)).collect();
    let mut text = tables.join("\n");
    text.push_str(&format!("\n{} instances asked\n", explanation.asked));
    if !explanation.silent.is_empty() {
        let names: Vec<&str> = explanation.silent.iter().map(Name::as_str).collect();
        text.push_str(&format!("no answer from {}\n", names.join(", ")));
    }
    text
}

fn events_table(instance: Option<&Name>, events: &[Event]) -> String {
    let head = ["after", "event", "class", "account", "endpoint", "attempt", "reason", "outcome"];
    let mut grid = Grid::new(&[head.as_slice(), &["detail"]].concat(), head.len() + 1);
    let start_unix_ms = events.first().map_or(0, |it| it.at_unix_ms);
    for event in events {
        let name = |it: &Option<Name>| it.as_ref().map_or(String::new(), Name::to_string);
        grid.line(vec![
            format!("{} ms", event.at_unix_ms.saturating_sub(start_unix_ms)),
            event.kind.to_string(),
            name(&event.class),
            name(&event.account),
            name(&event.endpoint),
            event.attempt.map_or(String::new(), |it| it.to_string()),
            event.reason.map_or(String::new(), |it| it.to_string()),
            event.outcome.map_or(String::new(), |it| it.to_string()),
            event.detail.clone().unwrap_or_default(),
        ]);
    }
    match instance {
        Some(instance) => format!("{instance}\n{grid}"),
        None => grid.to_string(),
    }
}

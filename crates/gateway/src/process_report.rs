//! Asks an endpoint's process when it started, which tells it from another one at the same address.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use http_body_util::Full;
use hyper::{Response, StatusCode, body::Incoming, header::HOST};
use tanagergauge_core::{Name, endpoint::EndpointInfo, selection::SelectedEndpoint};
use tokio::time::{Instant, timeout_at};

use crate::{
    attempt::collect_body, clock, connection::Connection, gateway::Gateway, meters,
    upstream_response,
};

/// Time-out for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Most processes that are remembered not to report.
const MAX_SILENT_PROCESSES: usize = 4_096;

/// How endpoints report on themselves.
#[derive(Clone, Copy, Debug)]
pub struct ReportFormat {
    /// Path of the report.
    pub path: &'static str,
    /// Reads when the process started, in milliseconds of Unix time; `None` if the report does not tell.
    pub decode_start: fn(&[u8]) -> Option<u64>,
}

/// Processes that do not report when they started, so that they are not asked again: endpoint and
/// incarnation.
#[derive(Debug, Default)]
pub(crate) struct SilentProcesses(Mutex<HashSet<(Name, u64)>>);

/// A process of an endpoint, as its entry describes it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListedProcess<'a> {
    id: &'a Name,
    address: SocketAddr,
    /// Start of the process as Unix milliseconds; 0 if the entry does not tell.
    incarnation: u64,
}

impl<'a> From<&'a SelectedEndpoint> for ListedProcess<'a> {
    fn from(it: &'a SelectedEndpoint) -> ListedProcess<'a> {
        ListedProcess { id: &it.id, address: it.address, incarnation: it.incarnation }
    }
}

impl<'a> From<&'a EndpointInfo> for ListedProcess<'a> {
    fn from(it: &'a EndpointInfo) -> ListedProcess<'a> {
        ListedProcess { id: &it.id, address: it.address, incarnation: it.incarnation }
    }
}

/// What came of asking a process when it started.
#[derive(Debug)]
pub(crate) enum ProcessReport {
    /// It is that of the endpoint's entry. The connection may be used again, if it is there.
    Same(Option<Box<Connection>>),
    /// Another process of the endpoint's id, which started at this time, in milliseconds of Unix time.
    Replaced(u64),
    /// Another endpoint has the address.
    Misdirected,
    /// It does not tell.
    Untold,
    /// No answer came.
    Failed,
}

impl ProcessReport {
    fn label(&self) -> &'static str {
        match self {
            ProcessReport::Same(_) => "same",
            ProcessReport::Replaced(_) => "replaced",
            ProcessReport::Misdirected => "misdirected",
            ProcessReport::Untold => "untold",
            ProcessReport::Failed => "failed",
        }
    }
}

/// Whether the process of an endpoint can be asked: engines report.
pub(crate) fn can_ask<'a>(
    gateway: &Gateway,
    process: impl Into<ListedProcess<'a>>,
    service: &str,
) -> bool {
    let process = process.into();
    let configuration = gateway.configuration();
    let is_engine =
        configuration.is_some_and(|it| it.service(service).is_some_and(|it| it.engine.is_some()));
    is_engine && process.incarnation > 0 && !gateway.silent_processes.contains(process)
}

/// Asks the process that accepted a connection when it started, and records what that shows.
pub(crate) async fn ask<'a>(
    gateway: &Gateway,
    process: impl Into<ListedProcess<'a>>,
    connection: Connection,
) -> ProcessReport {
    let process = process.into();
    let (endpoint, asked_ms) = (process.id, clock::now_ms());
    let report = exchange(gateway, process, connection).await;
    meters::process_report(report.label());
    match &report {
        ProcessReport::Same(_) => {
            gateway.balancer().record_process_shown(endpoint, process.incarnation, asked_ms);
            tracing::debug!(%endpoint, "an endpoint's process reports that it is that of its entry");
        }
        ProcessReport::Replaced(started_unix_ms) => {
            tracing::info!(%endpoint, started_unix_ms, "another process has taken the place of an endpoint");
        }
        ProcessReport::Untold => gateway.silent_processes.insert(process),
        ProcessReport::Misdirected | ProcessReport::Failed => {}
    }
    report
}

async fn exchange(
    gateway: &Gateway,
    process: ListedProcess<'_>,
    mut connection: Connection,
) -> ProcessReport {
    let deadline = Instant::now() + REPORT_TIMEOUT;
    let request = hyper::Request::builder()
        .uri(gateway.report_format.path)
        .header(HOST, process.address.to_string())
        .header(&gateway.header_names.expected_endpoint, &**process.id)
        .body(Full::default());
    let Ok(request) = request else { return ProcessReport::Untold };
    connection.read_limit.await_head();
    let response = match timeout_at(deadline, connection.sender.send_request(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) | Err(_) => return ProcessReport::Failed,
    };
    connection.read_limit.head_received();
    let status = response.status();
    let closes = upstream_response::closes_connection(response.headers());
    match status {
        StatusCode::OK => {}
        StatusCode::MISDIRECTED_REQUEST => return ProcessReport::Misdirected,
        it if it.is_server_error() => return ProcessReport::Failed,
        _ => return ProcessReport::Untold,
    }
    let Some(started_unix_ms) = read_start(gateway, response, deadline).await else {
        return ProcessReport::Untold;
    };
    if started_unix_ms != process.incarnation {
        return ProcessReport::Replaced(started_unix_ms);
    }
    ProcessReport::Same((!closes).then(|| Box::new(connection)))
}

/// When the process started, as its report tells.
async fn read_start(
    gateway: &Gateway,
    response: Response<Incoming>,
    deadline: Instant,
) -> Option<u64> {
    let (head, body) = response.into_parts();
    if !upstream_response::is_json(&head) {
        return None;
    }
    let body = collect_body(gateway, body, deadline).await.ok()?;
    (gateway.report_format.decode_start)(&body)
}

impl SilentProcesses {
    fn contains(&self, process: ListedProcess<'_>) -> bool {
        let processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        processes.contains(&(process.id.clone(), process.incarnation))
    }

    fn insert(&self, process: ListedProcess<'_>) {
        let mut processes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if processes.len() >= MAX_SILENT_PROCESSES {
            processes.clear();
        }
        processes.insert((process.id.clone(), process.incarnation));
    }
}

//! The platform's log, as the tool reads and writes it.

use std::{net::SocketAddr, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use tanagergauge_core::{
    log::{LogRecord, Page},
    record::SHEETS_STREAM,
    sheet_replica::{Effect, SheetReplica},
};
use tanagergauge_daemon::rules::RULES;

use crate::{
    client::{Client, Silence},
    failure::Failure,
};

/// Longest wait for an answer of the log.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Records asked for at once.
const PAGE_RECORDS: usize = 500;

/// What became of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Append {
    /// The log said that it took effect.
    Done,
    /// It had no effect.
    Refused(String),
    /// It may have had one.
    Unknown(String),
}

/// The stream of sheets, folded as every instance folds it.
pub(crate) struct SheetLog {
    client: Client,
    platform: SocketAddr,
    /// The state after what was read.
    pub(crate) fold: SheetReplica,
}

impl SheetLog {
    /// A reader that has read nothing.
    pub(crate) fn new(platform: SocketAddr) -> SheetLog {
        SheetLog { client: Client::new(), platform, fold: SheetReplica::new(RULES) }
    }

    /// Reads on to the end of the stream and returns what that did.
    ///
    /// # Errors
    ///
    /// The log gives no usable answer.
    pub(crate) async fn read_on(&mut self) -> Result<Vec<Effect>, Failure> {
        let mut effects = Vec::new();
        loop {
            let page = self.page().await?;
            effects.extend(self.fold.apply_page(&page));
            if self.fold.next_offset() >= page.next_offset || page.records.is_empty() {
                return Ok(effects);
            }
        }
    }

    /// Appends a record.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Append {
        let path = format!("/v1/log/{SHEETS_STREAM}");
        let body = Bytes::from(record);
        let asked = self.client.ask(Method::POST, self.platform, &path, body, TIMEOUT).await;
        match asked {
            Ok(answer) if answer.status == 200 => Append::Done,
            Ok(answer) if answer.status < 500 => {
                Append::Refused(format!("the log answered with status {}", answer.status))
            }
            Ok(answer) => {
                Append::Unknown(format!("the log answered with status {}", answer.status))
            }
            Err(Silence::NotSent(cause)) => Append::Refused(cause),
            Err(Silence::Broken(cause)) => Append::Unknown(cause),
        }
    }

    async fn page(&self) -> Result<Page, Failure> {
        let from = self.fold.next_offset();
        let path = format!("/v1/log/{SHEETS_STREAM}?from={from}&limit={PAGE_RECORDS}&wait_ms=0");
        let asked = self.client.ask(Method::GET, self.platform, &path, Bytes::new(), TIMEOUT);
        let answer = asked.await.map_err(|it| self.unreachable(&it.to_string()))?;
        if answer.status != 200 {
            return Err(self.unreachable(&format!("status {}", answer.status)));
        }
        let wire: WirePage = serde_json::from_slice(&answer.body)
            .map_err(|it| self.unreachable(&format!("an unreadable page ({it})")))?;
        wire.page().ok_or_else(|| self.unreachable("an unreadable record"))
    }

    fn unreachable(&self, cause: &str) -> Failure {
        Failure::Unreachable(format!("the log at {} cannot be read: {cause}", self.platform))
    }
}

#[derive(Deserialize)]
struct WirePage {
    first_offset: u64,
    next_offset: u64,
    records: Vec<WireRecord>,
}

#[derive(Deserialize)]
struct WireRecord {
    offset: u64,
    appended_unix_ms: u64,
    payload_base64: String,
}

impl WirePage {
    fn page(self) -> Option<Page> {
        let records: Option<Vec<LogRecord>> =
            self.records.into_iter().map(WireRecord::record).collect();
        let (first_offset, next_offset) = (self.first_offset, self.next_offset);
        Some(Page { first_offset, next_offset, records: records? })
    }
}

impl WireRecord {
    fn record(self) -> Option<LogRecord> {
        let payload = STANDARD.decode(self.payload_base64).ok()?;
        Some(LogRecord { offset: self.offset, appended_unix_ms: self.appended_unix_ms, payload })
    }
}

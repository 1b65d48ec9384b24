//! A client that asks for streams and takes one up again, on a new channel, when it breaks off.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{model_server::EVENTS, record::Record};

/// Time limit of a stream, as on the users' sheet.
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Tries after the first one.
const RETRIES: usize = 3;
/// Longest time for opening a channel.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// The pause after which a client abandons a stream, by the pages at least two seconds.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// One stream as its client got it, over all tries.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// Software versions that wrote its events, in order and without repetitions.
    pub(crate) versions: Vec<String>,
    pub(crate) events: usize,
    pub(crate) is_complete: bool,
    /// Tries that were answered with a promise that nothing has run.
    pub(crate) refused: usize,
    /// Tries that took the stream up after an event.
    pub(crate) taken_up: usize,
    /// The attempt that brought the first event.
    first_attempt: Option<String>,
    last_event: usize,
}

/// How a try ended.
enum Try {
    Complete,
    Broken,
    /// Come again after this time.
    Refused(Duration),
}

/// Requests one stream; each try goes to the next of `fronts`.
pub(crate) async fn run_stream(
    name: &str,
    path: &str,
    key: &str,
    fronts: &[SocketAddr],
    record: &Arc<Record>,
) -> Stream {
    let begin = Instant::now();
    let mut stream = Stream::default();
    for number in 0..=RETRIES {
        let left = TIME_LIMIT.saturating_sub(begin.elapsed());
        if left < Duration::from_millis(200) {
            break;
        }
        let id = format!("{name}-{number}");
        let front = fronts[number % fronts.len()];
        let result = stream.attempt(&id, path, key, front, left).await;
        let versions = stream.versions.join("+");
        let events = stream.events;
        match result {
            Try::Complete => {
                record.line(&format!("client {id}: complete, {events} events of {versions}"));
                stream.is_complete = true;
                break;
            }
            Try::Broken => {
                record.line(&format!("client {id}: broken off, {events} events of {versions}"));
            }
            Try::Refused(after) => {
                stream.refused += 1;
                let after = after.min(TIME_LIMIT.saturating_sub(begin.elapsed()) / 3);
                record.line(&format!("client {id}: refused, comes again after {after:?}"));
                sleep(after).await;
            }
        }
    }
    stream
}

/// Opens a channel to the platform, which forwards it as soon as the instance accepts it.
async fn connect(front: SocketAddr) -> TcpStream {
    loop {
        if let Ok(channel) = TcpStream::connect(front).await {
            return channel;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

impl Stream {
    async fn attempt(
        &mut self,
        id: &str,
        path: &str,
        key: &str,
        front: SocketAddr,
        left: Duration,
    ) -> Try {
        self.exchange(id, path, key, front, left).await.unwrap_or(Try::Broken)
    }

    /// `None` if the channel broke.
    async fn exchange(
        &mut self,
        id: &str,
        path: &str,
        key: &str,
        front: SocketAddr,
        left: Duration,
    ) -> Option<Try> {
        let channel = timeout(CONNECT_TIME, connect(front)).await.ok()?;
        let opened = hyper::client::conn::http1::handshake(TokioIo::new(channel)).await;
        let (mut sender, driver) = opened.ok()?;
        let driver = tokio::spawn(driver);
        let mut request = Request::builder()
            .method("POST")
            .uri(path)
            .header("host", "booth.example")
            .header("x-request-id", id)
            .header("x-model", "m")
            .header("x-deadline-ms", left.as_millis().to_string())
            .header("authorization", format!("Bearer {key}"));
        if let Some(first) = &self.first_attempt {
            self.taken_up += 1;
            request = request.header("last-event-id", self.last_event).header("resumes", first);
        }
        let request = request.body(Empty::<Bytes>::new()).expect("the request is valid");
        let response = timeout(left, sender.send_request(request)).await.ok()?.ok()?;
        let (head, mut body) = response.into_parts();
        if matches!(head.status.as_u16(), 429 | 503) {
            let after = head.headers.get("retry-after").and_then(|it| it.to_str().ok());
            let after = after.and_then(|it| it.parse().ok()).unwrap_or(0.1);
            driver.abort();
            return Some(Try::Refused(Duration::from_secs_f64(after)));
        }
        if head.status != 200 {
            driver.abort();
            return Some(Try::Broken);
        }
        let mut text = String::new();
        let ended = loop {
            match timeout(PAUSE_LIMIT.min(left), body.frame()).await {
                Ok(None) => break Try::Complete,
                Ok(Some(Ok(frame))) => {
                    let bytes = frame.into_data().unwrap_or_default();
                    text.push_str(&String::from_utf8_lossy(&bytes));
                    while let Some(end) = text.find("\n\n") {
                        let event: String = text.drain(..end + 2).collect();
                        self.add_event(&event, id);
                    }
                }
                Ok(Some(Err(_))) | Err(_) => break Try::Broken,
            }
        };
        driver.abort();
        Some(ended)
    }

    fn add_event(&mut self, event: &str, attempt: &str) {
        let mut lines = event.lines();
        let number = lines.next().and_then(|it| it.strip_prefix("id: ")?.parse().ok());
        let version = lines.next().and_then(|it| it.strip_prefix("data: ")?.split(' ').next());
        let (Some(number), Some(version)) = (number, version) else { return };
        self.last_event = number;
        self.events += 1;
        self.first_attempt.get_or_insert_with(|| attempt.to_owned());
        if !self.versions.iter().any(|it| it == version) {
            self.versions.push(version.to_owned());
        }
    }

    /// Whether it holds events of servers of two software versions.
    pub(crate) fn is_mixed(&self) -> bool {
        self.versions.iter().collect::<BTreeSet<_>>().len() > 1
    }

    /// Whether all events came.
    pub(crate) fn is_whole(&self) -> bool {
        self.is_complete && self.events == EVENTS
    }
}

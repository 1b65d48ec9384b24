//! Counts what control costs, apart from callers' traffic.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Whom control traffic goes to or comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Partner {
    /// Other instances and operators.
    Peers,
    /// Endpoints asked for their load.
    Endpoints,
    /// The platform's log and list.
    Platform,
}

/// Bytes, messages and processor time of control with one kind of partner.
#[derive(Debug)]
pub struct Meter {
    partner: Partner,
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
    messages: AtomicU64,
    busy_us: AtomicU64,
}

/// A connection whose bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Arc<Meter>,
}

impl Meter {
    /// A meter that reads 0.
    pub fn new(partner: Partner) -> Arc<Meter> {
        Arc::new(Meter {
            partner,
            received_bytes: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
            messages: AtomicU64::new(0),
            busy_us: AtomicU64::new(0),
        })
    }

    /// Counts a call, sent or received.
    pub fn message(&self) {
        self.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts time spent on encoding, sealing and merging.
    pub fn busy(&self, elapsed: Duration) {
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.busy_us.fetch_add(elapsed_us, Ordering::Relaxed);
    }

    /// Shows the counts as metrics.
    pub fn export(&self) {
        let partner: &'static str = self.partner.into();
        let read = |it: &AtomicU64| it.load(Ordering::Relaxed);
        counter!("tanagergauge_control_bytes_total", "partner" => partner, "direction" => "received")
            .absolute(read(&self.received_bytes));
        counter!("tanagergauge_control_bytes_total", "partner" => partner, "direction" => "sent")
            .absolute(read(&self.sent_bytes));
        counter!("tanagergauge_control_messages_total", "partner" => partner)
            .absolute(read(&self.messages));
        counter!("tanagergauge_control_busy_microseconds_total", "partner" => partner)
            .absolute(read(&self.busy_us));
    }
}

impl<S> Metered<S> {
    /// Counts the bytes of a connection.
    pub fn new(stream: S, meter: Arc<Meter>) -> Metered<S> {
        Metered { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        self.meter.received_bytes.fetch_add(read as u64, Ordering::Relaxed);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = polled {
            self.meter.sent_bytes.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

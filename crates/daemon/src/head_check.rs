//! Checks the heads of responses as they are read: HTTP libraries take lone line feeds for ends of lines.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tanagergauge_core::head_scanner::HeadScanner;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of heads that were awaited so far on a connection.
#[derive(Debug, Default)]
pub struct AwaitedHeads(AtomicUsize);

/// A connection to an endpoint whose heads are checked. Reading fails inside one that is none.
#[derive(Debug)]
pub struct HeadChecked<S> {
    stream: S,
    awaited: Arc<AwaitedHeads>,
    /// Checks the head that is awaited; absent before the first one.
    scanner: Option<HeadScanner>,
    /// Heads for which there was a scanner.
    scanned_heads: usize,
}

impl AwaitedHeads {
    /// What is read next begins a head.
    pub fn await_head(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl<S> HeadChecked<S> {
    /// Checks the heads that are awaited on a connection.
    pub fn new(stream: S, awaited: Arc<AwaitedHeads>) -> HeadChecked<S> {
        HeadChecked { stream, awaited, scanner: None, scanned_heads: 0 }
    }

    fn scan(&mut self, bytes: &[u8]) -> io::Result<()> {
        let awaited_heads = self.awaited.0.load(Ordering::Relaxed);
        if self.scanned_heads != awaited_heads {
            self.scanned_heads = awaited_heads;
            self.scanner = Some(HeadScanner::default());
        }
        let Some(scanner) = &mut self.scanner else { return Ok(()) };
        scanner.push(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadChecked<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.scan(&buf.filled()[before..]))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadChecked<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

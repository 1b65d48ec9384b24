//! The socket of a caller, which shows how a response without framing ended.
//!
//! Such a response ends with its connection. One that broke off must end with a reset, since the
//! caller takes an orderly close for a regular end. The kernel closes the connections of a process that
//! was killed, so that the socket is set to end with a reset before the first byte of such a response.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Version that hyper writes in the head of a response without framing.
const UNFRAMED_VERSION: &[u8] = b"HTTP/1.0";
/// Version of the interface to callers.
const VERSION: &[u8] = b"HTTP/1.1";

/// What a connection's service says of the response that comes next.
#[derive(Debug, Default)]
pub(crate) struct ResponseState {
    /// The response ends with its connection.
    is_until_close: AtomicBool,
    /// The response's version is not written yet and has to be [`VERSION`]. hyper omits the framing
    /// of a response only in the older version.
    replaces_version: AtomicBool,
}

/// A caller's socket.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    response: Arc<ResponseState>,
    /// The socket ends with a reset when it is closed, by whomever.
    resets_on_close: bool,
}

impl ResponseState {
    /// Sets how the next response ends, before its head is written.
    pub(crate) fn begin(&self, is_until_close: bool, replaces_version: bool) {
        self.is_until_close.store(is_until_close, Ordering::Relaxed);
        self.replaces_version.store(replaces_version, Ordering::Relaxed);
    }
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, response: Arc<ResponseState>) -> CallerStream {
        CallerStream { stream, response, resets_on_close: false }
    }

    /// Makes the connection end with a reset until the response is written up to its end.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.resets_on_close || !self.response.is_until_close.load(Ordering::Relaxed) {
            return Ok(());
        }
        let set = self.stream.set_zero_linger();
        if let Err(error) = &set {
            tracing::warn!(%error, "cannot reset a caller's connection");
        }
        self.resets_on_close = set.is_ok();
        set
    }

    /// Lets the connection end in order, as the last response was written up to its end.
    fn prepare_shutdown(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.resets_on_close) {
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Ok(())
    }

    /// Writes a head whose version has to be replaced.
    fn poll_write_head(&mut self, cx: &mut Context<'_>, head: &[u8]) -> Poll<io::Result<usize>> {
        let mut bytes = head.to_vec();
        if head.starts_with(UNFRAMED_VERSION) {
            bytes[..VERSION.len()].copy_from_slice(VERSION);
        }
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, &bytes))?;
        self.response.replaces_version.store(false, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn replaces_version(&self) -> bool {
        self.response.replaces_version.load(Ordering::Relaxed)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        if self.replaces_version() {
            return self.poll_write_head(cx, bytes);
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        match slices.iter().find(|it| !it.is_empty()) {
            Some(first) if self.replaces_version() => self.poll_write_head(cx, first),
            _ => Pin::new(&mut self.stream).poll_write_vectored(cx, slices),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.prepare_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

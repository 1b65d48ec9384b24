//! The socket of an endpoint, which checks the head of a response and bounds what may come before it, and
//! tells the end of a response from that of a connection which was lost in the middle of a request.
//!
//! An endpoint may send interim responses (status 1xx) without end. hyper reads them all, at the cost of
//! the requests that share its thread. It also takes lone line feeds for the ends of lines.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use tanagergauge_core::head_scanner::HeadScanner;

use crate::socket;

/// Maximum number of bytes that are read up to the head of a response, with what follows it at once.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of a request that an endpoint's host takes at once. It may read a longer one after its answer.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// What may be read while no head is awaited.
const UNLIMITED_BYTES: usize = usize::MAX;

/// How many bytes may still be read.
#[derive(Debug)]
pub(crate) struct ReadLimit {
    left_bytes: AtomicUsize,
    /// Number of heads that were awaited so far.
    awaited_heads: AtomicUsize,
}

impl Default for ReadLimit {
    fn default() -> ReadLimit {
        ReadLimit {
            left_bytes: AtomicUsize::new(UNLIMITED_BYTES),
            awaited_heads: AtomicUsize::new(0),
        }
    }
}

impl ReadLimit {
    /// Limits what is read until [`ReadLimit::head_received`]. What is read next begins a head.
    pub(crate) fn await_head(&self) {
        self.awaited_heads.fetch_add(1, Ordering::Relaxed);
        self.left_bytes.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends the limit.
    pub(crate) fn head_received(&self) {
        self.left_bytes.store(UNLIMITED_BYTES, Ordering::Relaxed);
    }

    fn is_used_up(&self) -> bool {
        self.left_bytes.load(Ordering::Relaxed) == 0
    }

    fn record_read(&self, read_bytes: usize) {
        let left = self.left_bytes.load(Ordering::Relaxed);
        if left != UNLIMITED_BYTES {
            self.left_bytes.store(left.saturating_sub(read_bytes), Ordering::Relaxed);
        }
    }
}

/// An endpoint's socket.
#[derive(Debug)]
pub(crate) struct EndpointStream {
    stream: TcpStream,
    limit: Arc<ReadLimit>,
    /// Checks the head that is awaited; absent before the first one.
    scanner: Option<HeadScanner>,
    /// [`ReadLimit::awaited_heads`] for which there was a scanner.
    scanned_heads: usize,
    /// Whether bytes that were to be written are not, since the socket took fewer or failed.
    is_write_unfinished: bool,
    /// [`ReadLimit::awaited_heads`] of the request that is being written.
    request: usize,
    /// Bytes of it that were written.
    request_bytes: usize,
    /// The socket waits for as long as the endpoint does not read.
    is_patient: bool,
}

impl EndpointStream {
    pub(crate) fn new(stream: TcpStream, limit: Arc<ReadLimit>) -> EndpointStream {
        EndpointStream {
            stream,
            limit,
            scanner: None,
            scanned_heads: 0,
            is_write_unfinished: false,
            request: 0,
            request_bytes: 0,
            is_patient: false,
        }
    }

    /// Begins to count the bytes of a request if it is another one than before.
    fn begin_write(&mut self) {
        let request = self.limit.awaited_heads.load(Ordering::Relaxed);
        if self.request != request {
            self.request = request;
            self.request_bytes = 0;
            self.set_patient(false);
        }
    }

    /// An endpoint that has begun to answer is there, also while it does not read the rest of a long request.
    fn record_answer(&mut self) {
        if self.request_bytes > MAX_UNREAD_BYTES {
            self.set_patient(true);
        }
    }

    fn set_patient(&mut self, is_patient: bool) {
        if self.is_patient != is_patient && socket::set_patient(&self.stream, is_patient).is_ok() {
            self.is_patient = is_patient;
        }
    }

    /// Notes whether a write took all bytes.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, offered_bytes: usize) {
        self.is_write_unfinished =
            !matches!(written, Poll::Ready(Ok(bytes)) if *bytes == offered_bytes);
        if let Poll::Ready(Ok(bytes)) = written {
            self.request_bytes += bytes;
        }
    }

    /// Checks bytes that were read, as far as they belong to the head that is awaited.
    fn scan(&mut self, bytes: &[u8]) -> io::Result<()> {
        let awaited_heads = self.limit.awaited_heads.load(Ordering::Relaxed);
        if self.scanned_heads != awaited_heads {
            self.scanned_heads = awaited_heads;
            self.scanner = Some(HeadScanner::default());
        }
        let Some(scanner) = &mut self.scanner else { return Ok(()) };
        scanner.push(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }
}

impl AsyncRead for EndpointStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_used_up() {
            let message = "too many bytes before the head of a response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let is_end = has_room && buffer.filled().len() == before;
        if is_end && self.is_write_unfinished {
            // Else a response without a length would count as whole. A reset is read as an end, too, after a
            // write has returned its error.
            let message = "the connection ended before the request was written";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionReset, message)));
        }
        if buffer.filled().len() > before {
            self.record_answer();
        }
        self.limit.record_read(buffer.filled().len() - before);
        Poll::Ready(self.scan(&buffer.filled()[before..]))
    }
}

impl AsyncWrite for EndpointStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.record_write(&written, slices.iter().map(|it| it.len()).sum());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

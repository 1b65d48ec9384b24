//! Bodies of answers to callers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Chunks that may wait between an endpoint and a caller who reads slowly.
const STREAM_BUFFER_CHUNKS: usize = 16;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it at once; `None` once it was sent.
    Whole(Option<Bytes>),
    /// Chunks as they come.
    Stream(StreamBody),
}

/// A body that arrives in chunks.
///
/// What feeds it runs within it, in the task of the caller's connection: a token then
/// wakes one task instead of two, and stops being fetched when the caller leaves.
pub struct StreamBody {
    /// None once it has ended.
    feed: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
    chunks: mpsc::Receiver<Chunk>,
    end: StreamEnd,
}

impl fmt::Debug for StreamBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamBody").field("end", &self.end).finish_non_exhaustive()
    }
}

/// How far a streamed body is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// More may come.
    Open,
    /// It is to break off once what was sent has left.
    Breaking,
    /// It was finished.
    Finished,
}

/// One step of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// More bytes.
    Data(Bytes),
    /// The body is finished. A channel that closes without it breaks the transfer off visibly.
    End,
}

/// A streamed body was broken off.
#[derive(Clone, Copy, Debug)]
pub struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stream could not be finished")
    }
}

impl std::error::Error for Aborted {}

impl AnswerBody {
    /// A body that is there already.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// A streamed body that `feed` fills. If that ends without having sent
    /// [`Chunk::End`], the body breaks off. It is dropped when the caller leaves.
    pub fn stream<F>(feed: impl FnOnce(mpsc::Sender<Chunk>) -> F) -> AnswerBody
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (sender, chunks) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        let feed = Some(Box::pin(feed(sender)) as Pin<Box<_>>);
        AnswerBody::Stream(StreamBody { feed, chunks, end: StreamEnd::Open })
    }
}

impl StreamBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.end {
            StreamEnd::Finished => return Poll::Ready(None),
            StreamEnd::Breaking => return Poll::Ready(Some(Err(Aborted))),
            StreamEnd::Open => {}
        }
        match ready!(self.poll_next(cx)) {
            Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Chunk::End) => {
                self.end = StreamEnd::Finished;
                Poll::Ready(None)
            }
            None => {
                // The server drops what it has not written yet when a body fails, so that
                // it gets a turn to write the last event first.
                self.end = StreamEnd::Breaking;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }
}

impl StreamBody {
    /// The next chunk; none once the feed has ended.
    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Chunk>> {
        if let Ok(chunk) = self.chunks.try_recv() {
            return Poll::Ready(Some(chunk));
        }
        if let Some(feed) = &mut self.feed
            && feed.as_mut().poll(cx).is_ready()
        {
            self.feed = None;
        }
        match self.chunks.try_recv() {
            Ok(chunk) => Poll::Ready(Some(chunk)),
            Err(_) if self.feed.is_none() => Poll::Ready(None),
            Err(_) => Poll::Pending,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            AnswerBody::Stream(stream) => stream.poll_chunk(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            AnswerBody::Stream(_) => SizeHint::default(),
        }
    }
}

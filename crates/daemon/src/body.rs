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
#[derive(Debug)]
pub struct StreamBody {
    chunks: mpsc::Receiver<Chunk>,
    end: StreamEnd,
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

    /// A streamed body and the end that feeds it. Dropping that end breaks the body off
    /// unless [`Chunk::End`] was sent.
    pub fn stream() -> (mpsc::Sender<Chunk>, AnswerBody) {
        let (sender, chunks) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        (sender, AnswerBody::Stream(StreamBody { chunks, end: StreamEnd::Open }))
    }
}

impl StreamBody {
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.end {
            StreamEnd::Finished => return Poll::Ready(None),
            StreamEnd::Breaking => return Poll::Ready(Some(Err(Aborted))),
            StreamEnd::Open => {}
        }
        match ready!(self.chunks.poll_recv(cx)) {
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

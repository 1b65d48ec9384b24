//! Bodies of answers to callers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
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
    Stream(mpsc::Receiver<Chunk>),
}

/// One step of a streamed body.
#[derive(Debug)]
pub enum Chunk {
    /// More bytes.
    Data(Bytes),
    /// The stream cannot be finished: the transfer breaks off visibly.
    Abort,
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

    /// A streamed body and the end that feeds it. Dropping that end finishes the body cleanly.
    pub fn stream() -> (mpsc::Sender<Chunk>, AnswerBody) {
        let (sender, receiver) = mpsc::channel(STREAM_BUFFER_CHUNKS);
        (sender, AnswerBody::Stream(receiver))
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
            AnswerBody::Stream(receiver) => receiver.poll_recv(cx).map(|it| it.map(frame)),
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

fn frame(chunk: Chunk) -> Result<Frame<Bytes>, Aborted> {
    match chunk {
        Chunk::Data(bytes) => Ok(Frame::data(bytes)),
        Chunk::Abort => Err(Aborted),
    }
}

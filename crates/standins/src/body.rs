//! Bodies of answers: whole, streamed, or broken off.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::answer::Format;

/// A part of a run's output.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Piece {
    /// The token of that number, counted from 0.
    Token(u32),
    /// The run is finished. A channel that closes without it broke off.
    End,
}

/// The body of an answer.
pub(crate) enum AnswerBody {
    Whole(Option<Bytes>),
    Stream(Box<TokenStream>),
}

/// A streamed answer.
pub(crate) struct TokenStream {
    /// A piece that stands before those of the channel.
    first: Option<Piece>,
    pieces: mpsc::UnboundedReceiver<Piece>,
    format: Format,
    ended: bool,
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }

    pub(crate) fn stream(
        first: Piece,
        pieces: mpsc::UnboundedReceiver<Piece>,
        format: Format,
    ) -> AnswerBody {
        let stream = TokenStream { first: Some(first), pieces, format, ended: false };
        AnswerBody::Stream(Box::new(stream))
    }
}

impl TokenStream {
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Piece>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(first)),
            None => self.pieces.poll_recv(cx),
        }
    }

    /// All events that are ready, as one frame.
    fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let Some(first) = ready!(self.poll_piece(cx)) else {
            return Poll::Ready(Some(Err(io::Error::other("the run broke off"))));
        };
        let mut text = String::new();
        self.ended = self.format.write_event(&first, &mut text);
        while !self.ended
            && let Ok(piece) = self.pieces.try_recv()
        {
            self.ended = self.format.write_event(&piece, &mut text);
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            AnswerBody::Stream(stream) => stream.poll_events(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Stream(stream) => stream.ended,
        }
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

//! Where a request ends in a stream of bytes.

/// Follows HTTP/1.1 requests far enough to know their last bytes.
#[derive(Debug, Default)]
pub(crate) struct Framing {
    state: State,
    /// Bytes of the head, or the latest bytes of a chunked body.
    held: Vec<u8>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Head,
    Sized {
        left_bytes: usize,
    },
    Chunked,
}

const HEAD_END: &[u8] = b"\r\n\r\n";

const CHUNKED_END: &[u8] = b"0\r\n\r\n";

impl Framing {
    /// Takes bytes; true if a request ends within or with them.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        match self.state {
            State::Head => self.push_head(bytes),
            State::Sized { left_bytes } => {
                self.state = State::Sized { left_bytes: left_bytes.saturating_sub(bytes.len()) };
                self.ends(bytes.len() >= left_bytes)
            }
            State::Chunked => {
                self.held.extend_from_slice(bytes);
                let keep_from = self.held.len().saturating_sub(CHUNKED_END.len());
                self.held.drain(..keep_from);
                self.ends(self.held == CHUNKED_END)
            }
        }
    }

    fn push_head(&mut self, bytes: &[u8]) -> bool {
        self.held.extend_from_slice(bytes);
        let Some(end) = self.held.windows(HEAD_END.len()).position(|it| it == HEAD_END) else {
            return false;
        };
        let head = String::from_utf8_lossy(&self.held[..end]).to_ascii_lowercase();
        let body = self.held.split_off(end + HEAD_END.len());
        self.held.clear();
        self.state = if head.contains("transfer-encoding: chunked") {
            State::Chunked
        } else {
            State::Sized { left_bytes: content_length(&head) }
        };
        self.push(&body)
    }

    fn ends(&mut self, ends: bool) -> bool {
        if ends {
            *self = Framing::default();
        }
        ends
    }
}

fn content_length(head: &str) -> usize {
    let line = head.lines().find_map(|it| it.strip_prefix("content-length:"));
    line.and_then(|it| it.trim().parse().ok()).unwrap_or(0)
}

//! Reads heads and bodies of HTTP/1.1 messages.

use std::{
    io::{self, Read},
    net::TcpStream,
};

/// A request or response that was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Body as far as it arrived, without chunk framing.
    pub body: Vec<u8>,
    /// The body arrived up to the end that its framing shows, or that of the connection if it has none.
    pub is_complete: bool,
}

impl Message {
    /// First value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Id of a request, or the one that a response echoes.
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one byte after another from a buffer that is filled as needed.
pub struct Reader<'s> {
    stream: &'s TcpStream,
    buffer: Vec<u8>,
    at: usize,
    /// Largest number of bytes that one read takes.
    pub read_bytes: usize,
}

impl<'s> Reader<'s> {
    /// Reads from a socket.
    pub fn new(stream: &'s TcpStream) -> Reader<'s> {
        Reader { stream, buffer: Vec::new(), at: 0, read_bytes: 16 << 10 }
    }

    /// The next byte; `None` at an orderly end.
    fn byte(&mut self) -> io::Result<Option<u8>> {
        if self.at == self.buffer.len() {
            let mut piece = vec![0; self.read_bytes];
            let read = self.stream.read(&mut piece)?;
            if read == 0 {
                return Ok(None);
            }
            piece.truncate(read);
            (self.buffer, self.at) = (piece, 0);
        }
        self.at += 1;
        Ok(Some(self.buffer[self.at - 1]))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        let mut line = Vec::new();
        loop {
            match self.byte()? {
                None => return Ok(None),
                Some(b'\n') => break,
                Some(it) => line.push(it),
            }
        }
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Ok(Some(String::from_utf8_lossy(&line).into_owned()))
    }

    /// Reads a head; `None` if the connection ended before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(first_line) = self.line()? else { return Ok(None) };
        let mut message = Message { first_line, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(it) if it.is_empty() => return Ok(Some(message)),
                Some(it) => {
                    if let Some((name, value)) = it.split_once(':') {
                        let name = name.trim().to_ascii_lowercase();
                        message.headers.push((name, value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads the body of a message. `until_close` is whether one without framing ends with its connection.
    pub fn body(&mut self, message: &mut Message, until_close: bool) -> io::Result<()> {
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|it| it.to_ascii_lowercase().ends_with("chunked"));
        let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
        if is_chunked {
            return self.chunks(message);
        }
        match length {
            Some(length) => {
                while message.body.len() < length {
                    match self.byte()? {
                        Some(it) => message.body.push(it),
                        None => return Ok(()),
                    }
                }
                message.is_complete = true;
            }
            None if until_close => {
                while let Some(it) = self.byte()? {
                    message.body.push(it);
                }
                message.is_complete = true;
            }
            None => message.is_complete = true,
        }
        Ok(())
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let Some(line) = self.line()? else { return Ok(()) };
            let size = line.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else { return Ok(()) };
            for _ in 0..size {
                match self.byte()? {
                    Some(it) => message.body.push(it),
                    None => return Ok(()),
                }
            }
            if self.line()?.is_none() {
                return Ok(());
            }
            if size == 0 {
                message.is_complete = true;
                return Ok(());
            }
        }
    }
}

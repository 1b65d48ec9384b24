//! Callers.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{Message, Reader};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Call {
    /// A request without a body.
    pub fn new(method: &'static str, path: &str, id: &str, key: &str) -> Call {
        let (path, id, key) = (path.to_owned(), id.to_owned(), Some(key.to_owned()));
        Call { method, path, id, key, deadline_ms: 5_000, headers: Vec::new(), body: Vec::new() }
    }

    /// The bytes of the request.
    pub fn bytes(&self) -> Vec<u8> {
        let Call { method, path, id, deadline_ms, .. } = self;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n",
            crate::manifest::HOST
        );
        if let Some(key) = &self.key {
            head += &format!("Authorization: Bearer {key}\r\n");
        }
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        if !self.body.is_empty() {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        [head.as_bytes(), b"\r\n", &self.body].concat()
    }

    /// Sends the request on a channel of its own and reads the answer.
    pub fn send(&self, address: SocketAddr) -> io::Result<Message> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_000)))?;
        (&mut &stream).write_all(&self.bytes())?;
        read_answer(&stream)
    }
}

/// Reads an answer, as far as it arrives.
pub fn read_answer(stream: &TcpStream) -> io::Result<Message> {
    let mut reader = Reader::new(stream);
    let Some(mut message) = reader.head()? else {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    };
    // A reset leaves what has arrived, which is not complete.
    let _ = reader.body(&mut message, true);
    Ok(message)
}

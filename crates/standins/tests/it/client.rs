//! A raw HTTP client, one connection a request.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// An answer as it came, up to the end of the connection.
#[derive(Debug)]
pub(crate) struct Raw(pub(crate) String);

impl Raw {
    pub(crate) fn status(&self) -> &str {
        self.0.split(' ').nth(1).unwrap_or("")
    }

    pub(crate) fn body(&self) -> &str {
        self.0.split_once("\r\n\r\n").map_or("", |it| it.1)
    }

    pub(crate) fn has_header(&self, line: &str) -> bool {
        let head = self.0.split("\r\n\r\n").next().unwrap_or("");
        head.lines().any(|it| it.eq_ignore_ascii_case(line))
    }

    /// Whether a chunked body came to its end.
    pub(crate) fn is_whole(&self) -> bool {
        self.0.ends_with("\r\n0\r\n\r\n")
    }

    /// The text of a streamed answer.
    pub(crate) fn streamed_text(&self) -> String {
        let events = self.body().split("\"content\":\"").skip(1);
        events.map(|it| it.split('"').next().unwrap_or("")).collect()
    }
}

pub(crate) async fn open(address: SocketAddr, head: &str, body: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    let length = body.len();
    let request = format!(
        "{head}\r\nHost: test\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Sends a request and reads to the end of the connection.
pub(crate) async fn send(address: SocketAddr, head: &str, body: &str) -> io::Result<Raw> {
    let mut stream = open(address, head, body).await?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await?;
    Ok(Raw(String::from_utf8_lossy(&bytes).into_owned()))
}

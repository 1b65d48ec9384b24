//! Requests that no HTTP library would write.

use std::{io, net::SocketAddr};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::PATIENCE;

/// A connection on which bytes are written as they are.
pub struct RawConnection {
    stream: TcpStream,
}

/// All that came back until the connection was closed.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// The bytes as text.
    pub text: String,
}

impl RawConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// It is refused.
    pub async fn open(address: SocketAddr) -> io::Result<RawConnection> {
        Ok(RawConnection { stream: TcpStream::connect(address).await? })
    }

    /// Writes bytes. Whether they were taken shows at the answer.
    pub async fn write(&mut self, bytes: impl AsRef<[u8]>) {
        let _ = self.stream.write_all(bytes.as_ref()).await;
    }

    /// Closes the connection for writing.
    pub async fn close_writing(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads until the other side closes.
    ///
    /// # Panics
    /// When that takes longer than [`PATIENCE`].
    pub async fn read_to_end(&mut self) -> RawAnswer {
        let mut bytes = Vec::new();
        let read = timeout(PATIENCE, self.stream.read_to_end(&mut bytes)).await;
        // A reset after the answer leaves the bytes that came before.
        let _ = read.expect("the instance closes the connection");
        RawAnswer { text: String::from_utf8_lossy(&bytes).into_owned() }
    }
}

impl RawAnswer {
    /// The status, if a head came.
    pub fn status(&self) -> Option<u16> {
        self.text.split(' ').nth(1)?.parse().ok()
    }

    /// Whether the head holds this line, whatever its case.
    pub fn has_header(&self, line: &str) -> bool {
        let head = self.text.split("\r\n\r\n").next().unwrap_or_default();
        head.lines().any(|it| it.eq_ignore_ascii_case(line))
    }
}

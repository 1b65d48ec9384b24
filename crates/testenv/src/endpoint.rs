//! An endpoint that answers bytes no HTTP library would write.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

const REQUEST_BYTES: usize = 64 * 1024;

/// An endpoint that answers the bytes of each connection with the same bytes, whatever it was
/// asked, and closes it.
pub struct RawEndpoint {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RawEndpoint {
    /// Starts one that gives the same answer on each connection, on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(answer: &'static [u8]) -> io::Result<RawEndpoint> {
        RawEndpoint::start_kept(&[answer]).await
    }

    /// The same with an answer for each request on a connection.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start_kept(answers: &[&'static [u8]]) -> io::Result<RawEndpoint> {
        let answers = answers.to_vec();
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_each(stream, answers.clone()));
            }
        });
        Ok(RawEndpoint { address, task })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for RawEndpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer_each(mut stream: TcpStream, answers: Vec<&'static [u8]>) {
    let mut request = vec![0; REQUEST_BYTES];
    for answer in answers {
        if !matches!(stream.read(&mut request).await, Ok(1..)) {
            return;
        }
        // The caller may have closed the connection.
        let _ = stream.write_all(answer).await;
    }
}

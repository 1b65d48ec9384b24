//! An endpoint that answers bytes no HTTP library would write.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time::sleep,
};

const REQUEST_BYTES: usize = 64 * 1024;

const RECEIVE_BUFFER_BYTES: u32 = 4 * 1024;
const BACKLOG: u32 = 64;
/// Time for which bytes may travel, and for which an endpoint keeps a connection after its end of it.
const TRAVEL_TIME: Duration = Duration::from_millis(50);

/// How an endpoint ends a connection on which it may not have read all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Closes it.
    Close,
    /// Resets it.
    Reset,
    /// Ends its direction, and closes the connection later.
    HalfClose,
}

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

    /// The same answer on each connection once so many bytes were read, slowly in two pieces; then the
    /// connection ends.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start_early(
        answer: &'static [u8],
        read_bytes: usize,
        end: EarlyEnd,
    ) -> io::Result<RawEndpoint> {
        let socket = TcpSocket::new_v4()?;
        // Most of a large request stays with the instance.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_early(stream, answer, read_bytes, end));
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

async fn answer_early(
    mut stream: TcpStream,
    answer: &'static [u8],
    read_bytes: usize,
    end: EarlyEnd,
) -> io::Result<()> {
    stream.read_exact(&mut vec![0; read_bytes]).await?;
    for piece in answer.chunks(answer.len().div_ceil(2)) {
        stream.write_all(piece).await?;
        sleep(TRAVEL_TIME).await;
    }
    match end {
        EarlyEnd::Close => {}
        EarlyEnd::Reset => stream.set_zero_linger()?,
        EarlyEnd::HalfClose => {
            stream.shutdown().await?;
            sleep(TRAVEL_TIME).await;
        }
    }
    Ok(())
}

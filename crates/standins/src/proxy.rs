//! A TCP proxy that brings about network faults.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{framing::Framing, gate::Gate};

const READ_BYTES: usize = 16 * 1024;

/// Reads that may be on their way in one direction of a connection.
const READS_IN_FLIGHT: usize = 1024;

/// How bytes of one direction are passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// As they come.
    #[default]
    Pass,
    /// Not at all, until this is switched off.
    Hold,
    /// At this pace, a byte at a time.
    Trickle {
        /// Bytes a second.
        bytes_per_s: u32,
    },
}

/// What goes wrong on the way.
#[derive(Clone, Debug, Default)]
pub struct ProxyFaults {
    /// Time that bytes need each way, in milliseconds.
    pub delay_ms: u64,
    /// Flow from the caller to the target.
    pub up: Flow,
    /// Flow from the target to the caller.
    pub down: Flow,
    /// The caller's connection is closed once a whole request was passed on; the
    /// target's stays open, and its answer is thrown away.
    pub cut_after_request: bool,
    /// Both connections are closed when the target has answered more than this
    /// many bytes; with 0, at the first of them.
    pub cut_answer_after_bytes: Option<u64>,
}

/// A proxy before one target, on a port of its own.
pub struct Proxy {
    gate: Gate,
    shared: Arc<Shared>,
}

struct Shared {
    /// None until it is known; connections are closed at once until then.
    target: Mutex<Option<SocketAddr>>,
    faults: watch::Sender<ProxyFaults>,
    connections: AtomicU64,
    up_bytes: AtomicU64,
    down_bytes: AtomicU64,
}

/// Why a direction came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// One side closed it.
    Closed,
    /// A whole request was passed on and the caller is to be cut off.
    CutAfterRequest,
    /// The answer is to be cut here.
    CutAnswer,
}

/// One direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl Proxy {
    /// Starts a proxy before `target` on a free port of loopback.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        let proxy = Proxy::without_target().await?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Starts a proxy whose target is not known yet.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn without_target() -> io::Result<Proxy> {
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            faults: watch::Sender::default(),
            connections: AtomicU64::new(0),
            up_bytes: AtomicU64::new(0),
            down_bytes: AtomicU64::new(0),
        });
        let owner = Arc::clone(&shared);
        let gate = Gate::open(move |stream| connection(stream, Arc::clone(&owner))).await?;
        Ok(Proxy { gate, shared })
    }

    /// Sets where new connections go.
    pub fn set_target(&self, target: SocketAddr) {
        *self.shared.target.lock().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Changes what goes wrong, also for the connections that are open.
    pub fn switch(&self, change: impl FnOnce(&mut ProxyFaults)) {
        self.shared.faults.send_modify(change);
    }

    /// Closes every connection and refuses new ones.
    pub async fn refuse(&self) {
        self.gate.control().refuse().await;
    }

    /// Closes every connection and goes on taking new ones.
    pub async fn sever(&self) {
        self.gate.control().sever().await;
    }

    /// Ends every fault. What was held is passed on.
    pub async fn heal(&self) {
        self.shared.faults.send_replace(ProxyFaults::default());
        self.gate.control().accept().await;
    }

    /// Connections taken since the start.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Bytes passed on to the target since the start.
    pub fn up_bytes(&self) -> u64 {
        self.shared.up_bytes.load(Ordering::Relaxed)
    }

    /// Bytes passed on to callers since the start.
    pub fn down_bytes(&self) -> u64 {
        self.shared.down_bytes.load(Ordering::Relaxed)
    }
}

async fn connection(caller: TcpStream, shared: Arc<Shared>) {
    shared.connections.fetch_add(1, Ordering::Relaxed);
    let address = *shared.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(address) = address else {
        return;
    };
    let Ok(target) = TcpStream::connect(address).await else {
        return;
    };
    let _ = target.set_nodelay(true);
    let (mut caller_read, mut caller_write) = caller.into_split();
    let (mut target_read, mut target_write) = target.into_split();
    let end = {
        let up = pump(&shared, Direction::Up, &mut caller_read, &mut target_write);
        let down = pump(&shared, Direction::Down, &mut target_read, &mut caller_write);
        both(up, down).await
    };
    if end == End::CutAfterRequest {
        drop((caller_read, caller_write));
        let _ = tokio::io::copy(&mut target_read, &mut tokio::io::sink()).await;
    }
}

/// Runs both directions until both are closed or one is cut.
async fn both(up: impl Future<Output = End>, down: impl Future<Output = End>) -> End {
    tokio::pin!(up, down);
    tokio::select! {
        end = &mut up => if end == End::Closed { down.await } else { end },
        end = &mut down => if end == End::Closed { up.await } else { end },
    }
}

/// Bytes on their way.
struct Packet {
    sent: Instant,
    bytes: Bytes,
}

async fn pump(
    shared: &Shared,
    direction: Direction,
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
) -> End {
    let (sender, receiver) = mpsc::channel(READS_IN_FLIGHT);
    let write = write_all(shared, direction, receiver, to);
    tokio::pin!(write);
    tokio::select! {
        end = &mut write => end,
        () = read_all(from, sender) => write.await,
    }
}

async fn read_all(from: &mut OwnedReadHalf, sender: mpsc::Sender<Packet>) {
    loop {
        let mut bytes = BytesMut::with_capacity(READ_BYTES);
        let Ok(1..) = from.read_buf(&mut bytes).await else {
            return;
        };
        let packet = Packet { sent: Instant::now(), bytes: bytes.freeze() };
        if sender.send(packet).await.is_err() {
            return;
        }
    }
}

async fn write_all(
    shared: &Shared,
    direction: Direction,
    mut packets: mpsc::Receiver<Packet>,
    to: &mut OwnedWriteHalf,
) -> End {
    let mut faults = shared.faults.subscribe();
    let mut framing = Framing::default();
    let mut passed_bytes = 0;
    while let Some(packet) = packets.recv().await {
        tokio::time::sleep_until(packet.sent + delay(&faults)).await;
        let _ = faults.wait_for(|it| flow(it, direction) != Flow::Hold).await;
        let now = faults.borrow().clone();
        let bytes = allowed(&now, direction, packet.bytes.clone(), passed_bytes);
        if write(to, &bytes, flow(&now, direction)).await.is_err() {
            return End::Closed;
        }
        passed_bytes += bytes.len() as u64;
        shared.count(direction, bytes.len() as u64);
        if bytes.len() < packet.bytes.len() {
            return End::CutAnswer;
        }
        if direction == Direction::Up && framing.push(&bytes) && now.cut_after_request {
            return End::CutAfterRequest;
        }
    }
    let _ = to.shutdown().await;
    End::Closed
}

fn delay(faults: &watch::Receiver<ProxyFaults>) -> Duration {
    Duration::from_millis(faults.borrow().delay_ms)
}

fn flow(faults: &ProxyFaults, direction: Direction) -> Flow {
    match direction {
        Direction::Up => faults.up,
        Direction::Down => faults.down,
    }
}

/// The part of an answer that is still to be passed on.
fn allowed(faults: &ProxyFaults, direction: Direction, bytes: Bytes, passed_bytes: u64) -> Bytes {
    match (direction, faults.cut_answer_after_bytes) {
        (Direction::Down, Some(limit_bytes)) => {
            let left_bytes = limit_bytes.saturating_sub(passed_bytes);
            bytes.slice(..bytes.len().min(usize::try_from(left_bytes).unwrap_or(usize::MAX)))
        }
        _ => bytes,
    }
}

async fn write(to: &mut OwnedWriteHalf, bytes: &[u8], flow: Flow) -> io::Result<()> {
    let Flow::Trickle { bytes_per_s } = flow else {
        return to.write_all(bytes).await;
    };
    for byte in bytes {
        to.write_all(&[*byte]).await?;
        tokio::time::sleep(Duration::from_secs(1) / bytes_per_s.max(1)).await;
    }
    Ok(())
}

impl Shared {
    fn count(&self, direction: Direction, bytes: u64) {
        let counter = match direction {
            Direction::Up => &self.up_bytes,
            Direction::Down => &self.down_bytes,
        };
        counter.fetch_add(bytes, Ordering::Relaxed);
    }
}

//! A listening port that can be made to refuse connections and reopened.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{mpsc, oneshot},
    task::{JoinHandle, JoinSet},
};

const BACKLOG: u32 = 1024;

enum Command {
    Refuse,
    Accept,
    Sever,
}

struct Order {
    command: Command,
    done: oneshot::Sender<()>,
}

/// A port on loopback, and the tasks of its connections.
///
/// Dropping it ends them all.
pub(crate) struct Gate {
    address: SocketAddr,
    control: GateControl,
    task: JoinHandle<()>,
}

/// Opens and closes a [`Gate`], from its own connections too.
#[derive(Clone)]
pub(crate) struct GateControl {
    orders: mpsc::UnboundedSender<Order>,
}

impl Gate {
    /// Listens on a free port and spawns `serve` for each connection.
    pub(crate) async fn open<F, Fut>(serve: F) -> io::Result<Gate>
    where
        F: Fn(TcpStream) -> Fut + Send + 'static,
        Fut: Future<Output = ()> + Send + 'static,
    {
        let listener = reserve(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let (orders, inbox) = mpsc::unbounded_channel();
        let state = GateState { address, inbox, connections: JoinSet::new(), serve };
        let task = tokio::spawn(state.run(listener));
        Ok(Gate { address, control: GateControl { orders }, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn control(&self) -> &GateControl {
        &self.control
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl GateControl {
    /// Closes every connection and refuses new ones; returns once that holds.
    pub(crate) async fn refuse(&self) {
        self.order(Command::Refuse).await;
    }

    /// Takes connections again; returns once that holds.
    pub(crate) async fn accept(&self) {
        self.order(Command::Accept).await;
    }

    /// Closes every connection and goes on taking new ones.
    pub(crate) async fn sever(&self) {
        self.order(Command::Sever).await;
    }

    async fn order(&self, command: Command) {
        let (done, wait) = oneshot::channel();
        if self.orders.send(Order { command, done }).is_ok() {
            let _ = wait.await;
        }
    }
}

struct GateState<F> {
    address: SocketAddr,
    inbox: mpsc::UnboundedReceiver<Order>,
    connections: JoinSet<()>,
    serve: F,
}

impl<F, Fut> GateState<F>
where
    F: Fn(TcpStream) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            listener = match listener {
                Some(open) => self.accept(open).await,
                None => self.refuse().await,
            };
            if listener.is_none() && self.inbox.is_closed() {
                return;
            }
        }
    }

    /// Serves until told to refuse.
    async fn accept(&mut self, listener: TcpListener) -> Option<TcpListener> {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        let _ = stream.set_nodelay(true);
                        self.connections.spawn((self.serve)(stream));
                    }
                }
                Some(_) = self.connections.join_next() => {}
                order = self.inbox.recv() => {
                    let order = order?;
                    match order.command {
                        Command::Accept => {}
                        Command::Sever => self.connections.shutdown().await,
                        Command::Refuse => {
                            drop(listener);
                            self.connections.shutdown().await;
                            let _ = order.done.send(());
                            return None;
                        }
                    }
                    let _ = order.done.send(());
                }
            }
        }
    }

    /// Holds the port without listening, so that connections are refused.
    async fn refuse(&mut self) -> Option<TcpListener> {
        let socket = reserve(self.address).ok()?;
        loop {
            let order = self.inbox.recv().await?;
            if matches!(order.command, Command::Accept) {
                let listener = socket.listen(BACKLOG).ok();
                let _ = order.done.send(());
                return listener;
            }
            let _ = order.done.send(());
        }
    }
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

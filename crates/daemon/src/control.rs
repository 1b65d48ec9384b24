//! Serves sealed calls of peers and operators on the control address.

use std::{future::Future, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use jsonrpsee::{
    Methods, RpcModule,
    server::{ServerConfig, StopHandle, serve_with_graceful_shutdown, stop_channel},
    types::{ErrorObjectOwned, Params},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    keyring::Rights,
    meter::{Meter, Metered},
    seal::{Direction, Route, SealError, Sealed},
    trust::Trust,
};

/// Code of a JSON-RPC error whose message names a [`SealError`].
pub const REFUSED_CODE: i32 = -32_001;
/// Code of a JSON-RPC error for a payload that cannot be read.
pub const BAD_PAYLOAD_CODE: i32 = -32_002;
/// Largest question that is read, in bytes.
const MAX_QUESTION_BYTES: u32 = 1 << 20;
/// Largest answer that is sent, in bytes.
const MAX_ANSWER_BYTES: u32 = 8 << 20;
/// Connections open at once.
const MAX_CONNECTIONS: u32 = 256;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The future of an answer in postcard; `None` if the question cannot be read.
type Answering = Pin<Box<dyn Future<Output = Option<Vec<u8>>> + Send>>;

/// One method of the control address.
#[derive(Clone)]
pub struct ControlMethod {
    /// Its name.
    pub name: &'static str,
    /// What a caller needs.
    pub rights: Rights,
    answer: Arc<dyn Fn(Vec<u8>) -> Answering + Send + Sync>,
}

impl ControlMethod {
    /// A method that answers typed questions.
    pub fn new<Q, A, F>(
        name: &'static str,
        rights: Rights,
        answer: impl Fn(Q) -> F + Clone + Send + Sync + 'static,
    ) -> ControlMethod
    where
        Q: DeserializeOwned + Send + 'static,
        A: Serialize + Send,
        F: Future<Output = A> + Send + 'static,
    {
        let answer = move |payload: Vec<u8>| -> Answering {
            let answer = answer.clone();
            Box::pin(async move {
                let question = postcard::from_bytes(&payload).ok()?;
                postcard::to_allocvec(&answer(question).await).ok()
            })
        };
        ControlMethod { name, rights, answer: Arc::new(answer) }
    }
}

/// What serving needs.
#[derive(Clone, Debug)]
pub struct ControlContext {
    /// Keys, and the memory of what was received.
    pub trust: Arc<Trust>,
    /// Counts what is served.
    pub meter: Arc<Meter>,
    /// The address that callers use; part of what they seal.
    pub own: SocketAddr,
}

/// Serves until the task is dropped.
pub async fn serve(listener: TcpListener, context: ControlContext, methods: Vec<ControlMethod>) {
    let methods = module(&context, methods);
    // The server stops with the process: it answers for as long as anything is in progress.
    let (stop, _keep) = stop_channel();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let _ = socket.set_nodelay(true);
                let meter = Arc::clone(&context.meter);
                tokio::spawn(serve_connection(socket, meter, methods.clone(), stop.clone()));
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    meter: Arc<Meter>,
    methods: Methods,
    stop: StopHandle,
) {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_QUESTION_BYTES)
        .max_response_body_size(MAX_ANSWER_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let service = jsonrpsee::server::Server::builder()
        .set_config(config)
        .to_service_builder()
        .build(methods, stop.clone());
    let stopped = stop.shutdown();
    // A connection that breaks shows at its other end.
    let _ = serve_with_graceful_shutdown(Metered::new(socket, meter), service, stopped).await;
}

fn module(context: &ControlContext, methods: Vec<ControlMethod>) -> Methods {
    let mut module = RpcModule::new(context.clone());
    for method in methods {
        let registered = module.register_async_method(method.name, move |params, context, _| {
            handle(method.clone(), params, context)
        });
        debug_assert!(registered.is_ok(), "each method has a name of its own");
    }
    module.into()
}

async fn handle(
    method: ControlMethod,
    params: Params<'static>,
    context: Arc<ControlContext>,
) -> Result<Sealed, ErrorObjectOwned> {
    context.meter.message();
    let sealed: Sealed = params.one().map_err(|_| refused(SealError::Malformed))?;
    let trust = &context.trust;
    let opened =
        trust.open_question(&sealed, method.name, context.own, method.rights).map_err(refused)?;
    let answer = (method.answer)(opened.payload).await.ok_or_else(bad_payload)?;
    let route = Route { direction: Direction::Answer, method: method.name, asked: context.own };
    trust.seal_answer(route, &sealed, opened.nonce, &answer).map_err(refused)
}

fn refused(error: SealError) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED_CODE, error.to_string(), None::<()>)
}

fn bad_payload() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(BAD_PAYLOAD_CODE, "bad_payload", None::<()>)
}

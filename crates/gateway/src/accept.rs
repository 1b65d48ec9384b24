//! Listeners for callers, readiness checks, and peers and metrics.

use std::{
    convert::Infallible,
    error::Error,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Method, Response, StatusCode, Version,
    body::Incoming,
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

use crate::{
    attempt::collect_body,
    caller_stream::{CallerStream, ResponseState},
    exchange,
    follow::StoreFollower,
    gateway::Gateway,
    idle::IdleTimer,
    meters, peers,
    response::ResponseBody,
    socket,
    stop::Phase,
};

/// Idle time-out of callers' connections before the configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest delay after the start before callers are accepted although configuration or endpoints
/// are not known yet.
const STARTUP_WAIT: Duration = Duration::from_millis(700);
/// Largest request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time-out for reading the body of a peer's report.
const REPORT_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time-out of connections to the readiness and control addresses.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts callers until a graceful stop closes idle connections; later requests could not be
/// finished in time.
pub(crate) async fn callers(gateway: Arc<Gateway>, listener: TcpListener) {
    let mut closing = std::pin::pin!(gateway.wait_for_phase(Phase::Closing));
    // During start-up, connections wait in the accept queue instead of being refused as not ready.
    let _ = timeout(STARTUP_WAIT, gateway.wait_until_initialized()).await;
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = closing.as_mut() => return,
        };
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            gateway.connections.fetch_add(1, Ordering::Relaxed);
            serve_caller(&gateway, stream).await;
            gateway.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_caller(gateway: &Arc<Gateway>, stream: TcpStream) {
    let idle = gateway.idle_timeout().unwrap_or(DEFAULT_IDLE_TIMEOUT);
    let response_state = Arc::new(ResponseState::default());
    let stream = CallerStream::new(stream, Arc::clone(&response_state));
    let service = service_fn(|incoming: hyper::Request<Incoming>| {
        let (gateway, response_state) = (Arc::clone(gateway), Arc::clone(&response_state));
        async move {
            let version = incoming.version();
            let response = exchange::handle(gateway, incoming).await;
            let is_until_close = response.version() == Version::HTTP_10;
            response_state.begin(is_until_close, is_until_close && version != Version::HTTP_10);
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    let timer = IdleTimer::new(Arc::clone(gateway));
    builder.timer(timer).header_read_timeout(idle).max_buf_size(MAX_HEAD_BYTES);
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = gateway.wait_for_phase(Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(%error, "connection from a caller failed");
    }
}

/// Serves `/readyz`.
pub(crate) async fn readiness(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let gateway = Arc::clone(&gateway);
        let service = service_fn(move |incoming: hyper::Request<Incoming>| {
            let response = match incoming.uri().path() {
                "/readyz" if gateway.is_ready() => {
                    full_response(StatusCode::OK, Bytes::from("ready\n"))
                }
                "/readyz" => {
                    full_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::from("not ready\n"))
                }
                _ => full_response(StatusCode::NOT_FOUND, Bytes::new()),
            };
            std::future::ready(Ok::<_, Infallible>(response))
        });
        tokio::spawn(serve_connection(stream, service));
    }
}

/// Serves peers' reports and `/metrics`.
pub(crate) async fn control(follower: Arc<StoreFollower>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let follower = Arc::clone(&follower);
        let service = service_fn(move |incoming: hyper::Request<Incoming>| {
            let follower = Arc::clone(&follower);
            async move { Ok::<_, Infallible>(handle_control(&follower, incoming).await) }
        });
        tokio::spawn(serve_connection(stream, service));
    }
}

async fn handle_control(
    follower: &StoreFollower,
    incoming: hyper::Request<Incoming>,
) -> Response<ResponseBody> {
    match (incoming.method(), incoming.uri().path()) {
        (&Method::GET, "/metrics") => {
            full_response(StatusCode::OK, Bytes::from(meters::render(follower.gateway())))
        }
        (&Method::POST, peers::PATH) => {
            let deadline = Instant::now() + REPORT_BODY_TIMEOUT;
            let body = collect_body(follower.gateway(), incoming.into_body(), deadline).await;
            match body.ok().and_then(|it| peers::handle(follower, &it)) {
                Some(bytes) => full_response(StatusCode::OK, bytes),
                None => full_response(StatusCode::BAD_REQUEST, Bytes::new()),
            }
        }
        _ => full_response(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn serve_connection<S>(stream: TcpStream, service: S)
where
    S: HttpService<Incoming, ResBody = ResponseBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(CONTROL_IDLE_TIMEOUT);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        tracing::debug!(%error, "readiness or control connection failed");
    }
}

fn full_response(status: StatusCode, bytes: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(bytes));
    *response.status_mut() = status;
    response
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = socket::set_options(&stream) {
                    tracing::debug!(%error, "cannot set socket options");
                }
                return stream;
            }
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

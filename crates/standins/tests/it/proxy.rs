//! The proxy and the faults it brings about.

use std::time::Duration;

use tanagergauge_standins::{Flow, Proxy, Service};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::client::{open, send};

const HEAD: &str = "POST /cues HTTP/1.1";

async fn pair() -> (Service, Proxy) {
    let service = Service::start().await.unwrap();
    let proxy = Proxy::start(service.address()).await.unwrap();
    (service, proxy)
}

async fn runs(service: &Service, runs: usize) {
    while service.runs().len() < runs {
        tokio::task::yield_now().await;
    }
}

/// Whether a request through the proxy gets a whole answer.
async fn answers(proxy: &Proxy) -> bool {
    let answer = send(proxy.address(), HEAD, "cue").await;
    answer.is_ok_and(|it| it.status() == "200" && it.body().ends_with('}'))
}

#[tokio::test]
async fn without_faults_everything_passes() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.delay_ms = 5);
    assert!(answers(&proxy).await);
    assert_eq!((service.runs().len(), proxy.connections()), (1, 1));
    assert!(proxy.up_bytes() > 0 && proxy.down_bytes() > 0);
}

#[tokio::test]
async fn a_cut_after_the_request_leaves_its_run() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.cut_after_request = true);
    assert!(!answers(&proxy).await);
    runs(&service, 1).await;
    proxy.heal().await;
    assert!(answers(&proxy).await);
}

#[tokio::test]
async fn a_request_in_chunks_is_followed_to_its_end() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.cut_after_request = true);
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let head = "POST /cues HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n";
    for part in [head, "3\r\ncue\r\n", "0\r\n", "\r\n"] {
        stream.write_all(part.as_bytes()).await.unwrap();
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(answer.is_empty());
    runs(&service, 1).await;
    assert_eq!(service.runs()[0].body_blake3, blake3::hash(b"cue").to_string());
}

#[tokio::test]
async fn a_dropped_answer_leaves_its_run() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.cut_answer_after_bytes = Some(0));
    assert!(!answers(&proxy).await);
    assert_eq!((service.runs().len(), proxy.down_bytes()), (1, 0));
}

#[tokio::test]
async fn an_answer_is_cut_at_the_byte() {
    let (_service, proxy) = pair().await;
    proxy.switch(|it| it.cut_answer_after_bytes = Some(20));
    assert!(!answers(&proxy).await);
    assert_eq!(proxy.down_bytes(), 20);
}

#[tokio::test]
async fn refusing_ends_when_healed() {
    let (service, proxy) = pair().await;
    proxy.refuse().await;
    assert!(open(proxy.address(), HEAD, "cue").await.is_err());
    proxy.heal().await;
    assert!(answers(&proxy).await);
    assert_eq!(service.runs().len(), 1);
}

#[tokio::test]
async fn what_is_held_arrives_when_healed() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.down = Flow::Hold);
    let mut stream = open(proxy.address(), HEAD, "cue").await.unwrap();
    runs(&service, 1).await;
    let mut byte = [0];
    let early = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut byte)).await;
    assert!(early.is_err());
    proxy.heal().await;
    let mut rest = String::new();
    stream.read_to_string(&mut rest).await.unwrap();
    assert!(rest.starts_with("HTTP/1.1 200"));
}

#[tokio::test]
async fn a_request_held_on_its_way_does_not_run() {
    let (service, proxy) = pair().await;
    proxy.switch(|it| it.up = Flow::Hold);
    let stream = open(proxy.address(), HEAD, "cue").await.unwrap();
    while proxy.connections() == 0 {
        tokio::task::yield_now().await;
    }
    assert!(service.runs().is_empty());
    proxy.heal().await;
    runs(&service, 1).await;
    drop(stream);
}

#[tokio::test]
async fn a_trickle_comes_byte_by_byte() {
    let (_service, proxy) = pair().await;
    proxy.switch(|it| it.down = Flow::Trickle { bytes_per_s: 2_000 });
    assert!(answers(&proxy).await);
}

#[tokio::test]
async fn severed_connections_leave_the_port_open() {
    let (service, proxy) = pair().await;
    service.switch(|it| it.hold = true);
    let mut stream = open(proxy.address(), HEAD, "cue").await.unwrap();
    runs(&service, 1).await;
    proxy.sever().await;
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty());
    service.switch(|it| it.hold = false);
    assert!(answers(&proxy).await);
}

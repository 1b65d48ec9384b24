//! Time to read one event of a streamed completion.

use std::hint::black_box;

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use tanagergauge_daemon::sse::{Split, Splitter, meaning};

const EVENT: &str = concat!(
    r#"data: {"id":"chatcmpl-01a23f37-5b44-70dd-bb98-74834a840e71-1","#,
    r#""object":"chat.completion.chunk","created":1764820922,"model":"libretto","#,
    r#""choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}]}"#,
    "\n\n",
);

/// Events in one chunk of bytes, as a busy engine sends them.
const EVENTS: usize = 16;

fn read_events(c: &mut Criterion) {
    let mut group = c.benchmark_group("sse");
    group.throughput(Throughput::Elements(1));
    group.bench_function("meaning", |b| b.iter(|| meaning(black_box(EVENT.as_bytes()))));
    let bytes = EVENT.repeat(EVENTS);
    group.throughput(Throughput::Elements(EVENTS as u64));
    group.bench_function("split", |b| {
        b.iter(|| {
            let mut splitter = Splitter::default();
            splitter.push(black_box(bytes.as_bytes()));
            while let Split::Event(event) = splitter.split() {
                black_box(event);
            }
        });
    });
    group.finish();
}

criterion_group!(benches, read_events);
criterion_main!(benches);

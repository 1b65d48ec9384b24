//! Time to parse and validate a sheet, by its number of endpoints.

use std::fmt::Write;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tanagergauge_core::check::parse_sheet;

/// Numbers of endpoints. The last one is the largest sheet expected within two years.
const ENDPOINTS: [usize; 3] = [21, 210, 2100];

fn sheet(endpoints: usize) -> String {
    let mut text = String::from(
        "sheet: bench\n\
         availability_zones:\n  - { name: zone-1, region: north }\n\
         tiers:\n  - name: top\n\
         classes:\n  - { name: chat, tier: top, first_token_ms: 500, whole_answer_ms: 9000 }\n\
         client_accounts:\n  - { name: acme, share_percent: 50, credentials: [] }\n\
         models:\n  - name: libretto\n\
         endpoints:\n",
    );
    for i in 0..endpoints {
        let (high, low) = (i / 250, i % 250);
        let line = format!(
            "  - name: engine-{i}\n    availability_zone: zone-1\n    \
             address: 127.0.{high}.{low}:8000\n    serves: [libretto]\n    slots: 8\n"
        );
        text.write_str(&line).expect("writing to a string does not fail");
    }
    text
}

fn parse_sheets(c: &mut Criterion) {
    let mut group = c.benchmark_group("sheet");
    group.sample_size(10);
    for endpoints in ENDPOINTS {
        let text = sheet(endpoints);
        if let Err(findings) = parse_sheet(&text) {
            panic!("{findings}");
        }
        group.bench_with_input(BenchmarkId::new("read", endpoints), &text, |b, text| {
            b.iter(|| parse_sheet(text));
        });
    }
    group.finish();
}

criterion_group!(benches, parse_sheets);
criterion_main!(benches);

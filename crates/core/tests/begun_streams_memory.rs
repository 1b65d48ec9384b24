//! What it costs an instance to remember at which software version streams began.

use tanagergauge_core::{
    Name,
    begun_streams::{BegunStreams, MAX_STREAMS, StreamKey},
};

/// Instances that are measured together.
const COPIES: u64 = 8;

/// Resident memory of this process, in bytes; `None` where the system does not tell.
fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = text.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    Some(line.trim().strip_suffix(" kB")?.parse::<u64>().ok()? * 1_024)
}

#[test]
fn the_most_streams_that_are_remembered_take_little_memory() {
    let Some(before) = resident_bytes() else { return };
    let mut instances: Vec<BegunStreams> = (1..=COPIES).map(BegunStreams::new).collect();
    for it in &mut instances {
        for stream in 0..=MAX_STREAMS {
            let key = StreamKey::new("huka270", "tekstur", &format!("{stream:016x}"));
            it.record(key, &Name::from("v1.1"), 0);
        }
    }
    let bytes = (resident_bytes().expect("it was told") - before) / COPIES;
    println!("{MAX_STREAMS} streams: {bytes} bytes, {} each", bytes / MAX_STREAMS as u64);
    assert!(bytes < 4 << 20, "{bytes} bytes");
}

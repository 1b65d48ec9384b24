//! The record of a run: what was sent, answered and run.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// A file of lines with the time since the start.
pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub fn create() -> Record {
        // A stand-in that fails is no verdict, and leaves no process behind.
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            crate::instance::end_all();
            std::process::exit(2);
        }));
        let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
        let file = File::create(Path::new(&path)).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(2)
        });
        Record { begin: Instant::now(), file: Mutex::new(file) }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at_ms = self.begin.elapsed().as_millis();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{at_ms:>6} ms  {text}");
        println!("{at_ms:>6} ms  {text}");
    }
}

//! The record of a case: what was sent, answered and run, with the seconds since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub(crate) struct Record {
    begin: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file that the first argument of the program names.
    pub(crate) fn create() -> Record {
        let path = std::env::args().nth(1).expect("the first argument names the record");
        let file = File::create(path).expect("the record can be written");
        Record { begin: Instant::now(), file: Mutex::new(BufWriter::new(file)) }
    }

    /// Adds a line.
    pub(crate) fn line(&self, text: &str) {
        let at = self.begin.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        let written = writeln!(file, "{at:8.3} {text}").and_then(|()| file.flush());
        written.expect("the record can be written");
    }

    /// Adds a line and prints it.
    pub(crate) fn print(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

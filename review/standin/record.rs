//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { began: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{:>6}.{:03} {text}", at / 1000, at % 1000);
    }

    /// Writes a line and shows it to whoever runs the script.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
